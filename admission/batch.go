package admission

import (
	"cmp"
	"slices"
	"time"
)

// Batch selection: the knapsack of the paper's section 3.5, equations 17 to 21.

// selectBatch selects the candidates to start within the capacity left by the limit. It follows the start order,
// unless no core is free and starting the head would make another request miss its objective. In that case it
// selects, among the batches around each request at risk, the largest, and among equally large ones the batch with the
// highest sum of values.
func (c *Controller) selectBatch(candidates []candidate, capacity int, now time.Duration) []candidate {
	head := candidates[:min(1, capacity, len(candidates))]
	if c.coreFree(now) || len(candidates) < 2 {
		return head
	}
	// If the head starts now, the next start happens when one of the running requests ends.
	running := len(c.requests.running) + 1
	gap := c.estimatedRunTime(candidates[0].request, running, now) / time.Duration(running)
	var best []candidate
	var bestValue float64
	for _, anchor := range candidates[1:] {
		runTime := c.estimatedRunTime(anchor.request, running, now)
		overQuota := anchor.level > max(levelUsual, candidates[0].level)
		atRisk := anchor.slack < runTime+gap && anchor.slack >= runTime
		if overQuota || !atRisk {
			continue
		}
		count := c.feasibleStarts(anchor, capacity, now)
		if count < 1 {
			continue
		}
		batch, value := batchAround(anchor, candidates, count)
		if len(batch) > len(best) || len(batch) == len(best) && value > bestValue {
			best, bestValue = batch, value
		}
	}
	if best == nil {
		return head
	}
	return best
}

// feasibleStarts returns the number of requests, at most the capacity, that can start in addition to the running
// ones such that the estimated run time of the anchor stays within its slack.
func (c *Controller) feasibleStarts(anchor candidate, capacity int, now time.Duration) int {
	count := 0
	for count < capacity &&
		c.estimatedRunTime(anchor.request, len(c.requests.running)+count+1, now) <= anchor.slack {
		count++
	}
	return count
}

// batchAround returns a batch of at most count requests, and the sum of their values. The batch holds the anchor
// and the candidates of highest value among those with at least the anchor's slack.
func batchAround(anchor candidate, candidates []candidate, count int) ([]candidate, float64) {
	var batch []candidate
	var workSum, slackSum float64
	for _, cand := range candidates {
		if cand.request == anchor.request || cand.slack >= anchor.slack && cand.slack > 0 {
			batch = append(batch, cand)
			workSum += float64(cand.work)
			slackSum += float64(cand.slack)
		}
	}
	value := func(cand candidate) float64 { return 1 / (float64(cand.work)/workSum + float64(cand.slack)/slackSum) }
	slices.SortStableFunc(batch, func(a, b candidate) int { return cmp.Compare(value(b), value(a)) })
	batch = slices.DeleteFunc(batch, func(cand candidate) bool { return cand.request == anchor.request })
	batch = slices.Insert(batch, 0, anchor)
	batch = batch[:min(count, len(batch))]
	var total float64
	for _, cand := range batch {
		total += value(cand)
	}
	return batch, total
}
