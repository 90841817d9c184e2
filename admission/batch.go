package admission

import (
	"cmp"
	"slices"
	"time"
)

// Batch selection: the knapsack of the paper's section 3.5, equations 17 to 21.

// selectBatch picks what to start into the capacity that the limit leaves. It follows the start order, unless no core
// is free and starting the head would make another request miss its objective; then it takes the best batch around
// one that is at risk.
func (c *Controller) selectBatch(candidates []candidate, capacity int, now time.Duration) []candidate {
	head := candidates[:min(1, capacity, len(candidates))]
	if c.coreFree(now) || len(candidates) < 2 {
		return head
	}
	// With the head started, the next start comes when one of those running ends.
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

// feasibleStarts turns the anchor's slack into a number of starts: how many may run for it to meet its objective, less
// those running, within the capacity.
func (c *Controller) feasibleStarts(anchor candidate, capacity int, now time.Duration) int {
	count := 0
	for count < capacity &&
		c.estimatedRunTime(anchor.request, len(c.requests.running)+count+1, now) <= anchor.slack {
		count++
	}
	return count
}

// batchAround fills the count with the anchor and those of highest value whose slack is no less than its own, and
// returns the sum of their values.
func batchAround(anchor candidate, candidates []candidate, count int) ([]candidate, float64) {
	var batch []candidate
	var workSum, slackSum float64
	for _, k := range candidates {
		if k.request == anchor.request || k.slack >= anchor.slack && k.slack > 0 {
			batch = append(batch, k)
			workSum += float64(k.work)
			slackSum += float64(k.slack)
		}
	}
	value := func(k candidate) float64 { return 1 / (float64(k.work)/workSum + float64(k.slack)/slackSum) }
	slices.SortStableFunc(batch, func(a, b candidate) int { return cmp.Compare(value(b), value(a)) })
	batch = slices.DeleteFunc(batch, func(k candidate) bool { return k.request == anchor.request })
	batch = slices.Insert(batch, 0, anchor)
	batch = batch[:min(count, len(batch))]
	var total float64
	for _, k := range batch {
		total += value(k)
	}
	return batch, total
}
