package drill

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// checkBalance measures how load was spread over the instances in the seconds in which nothing was done, and judges it where the script says so.
func checkBalance(w *cluster, log *requestLog, events []Event, startedAt, endedAt time.Time) (metrics []metric, violations []violation) {
	script := w.script
	loadSeconds := int(min(endedAt.Sub(startedAt), script.LoadDuration).Seconds())
	calmSeconds := make([]bool, max(0, loadSeconds))
	const warmUpSeconds = 8 // s: instances start cold
	for second := range calmSeconds {
		calmSeconds[second] = second >= warmUpSeconds
	}
	// Whose runs fail or are lost rests, up to half a minute by each relay's own judgement, and that is no load badly spread: it is not held to be idle.
	faulty := map[int]bool{}
	for _, event := range events {
		if event.Fault.Action == "fail-runs" || event.Fault.Action == "lose-runs" {
			for _, index := range event.Targets {
				faulty[index] = true
			}
		}
		start, to := event.At, event.At+script.Balance.RecoveryTime
		if event.Fault.Duration > 0 && !event.Undo {
			to = event.At + event.Fault.Duration + script.Balance.RecoveryTime
		}
		if len(event.Targets) > 0 { // who was started anew is cold
			to += warmUpSeconds * time.Second
		}
		for second := range calmSeconds {
			if time.Duration(second+1)*time.Second > start && time.Duration(second)*time.Second < to {
				calmSeconds[second] = false
			}
		}
	}
	counts := make([][]int, len(calmSeconds))
	for second := range counts {
		counts[second] = make([]int, script.Instances)
	}
	lastRun := make([]time.Duration, script.Instances)
	longestGap := make([]float64, script.Instances) // the longest, s
	log.mu.Lock()
	forwarded := 0
	type ran struct {
		at   time.Duration
		proc int
	}
	var executions []ran
	for _, request := range log.requests {
		for _, execution := range request.executions {
			executions = append(executions, ran{execution.at.Sub(startedAt), execution.process})
			if execution.process != request.process {
				forwarded++
			}
		}
	}
	log.mu.Unlock()
	slices.SortFunc(executions, func(a, b ran) int { return int(a.at - b.at) })
	total, longestIdle := 0, ""
	for _, execution := range executions {
		second := int(execution.at / time.Second)
		if execution.proc >= script.Instances || second < 0 || second >= len(calmSeconds) || !calmSeconds[second] {
			continue
		}
		counts[second][execution.proc]++
		total++
		// A gap counts where all of it is calm.
		if start := int(lastRun[execution.proc] / time.Second); lastRun[execution.proc] > 0 && !faulty[execution.proc] && !slices.Contains(calmSeconds[start:second], false) {
			if idleSeconds := (execution.at - lastRun[execution.proc]).Seconds(); idleSeconds > longestGap[execution.proc] {
				if longestGap[execution.proc] = idleSeconds; idleSeconds == slices.Max(longestGap) {
					longestIdle = fmt.Sprintf("%s until %.1f s", w.processes[execution.proc].name, execution.at.Seconds())
				}
			}
		}
		lastRun[execution.proc] = execution.at
	}
	var ratios []float64
	peak, expected, seconds := 0.0, 0.0, 0
	for second, row := range counts {
		if !calmSeconds[second] {
			continue
		}
		seconds++
		count := 0
		for _, runsOfOne := range row {
			count += runsOfOne
		}
		busiest, byChance := float64(slices.Max(row)), expectedMaximum(count, script.Instances)
		peak += busiest
		expected += byChance
		if byChance > 0 {
			ratios = append(ratios, busiest/byChance)
		}
	}
	if script.SpilloverEnabled && script.Proxies == 0 {
		metrics = append(metrics, metric{"ops handed over and run", float64(forwarded)})
	}
	if seconds < 3 || total == 0 || script.Coordinators > 0 { // by permits somebody is out all the time
		return metrics, nil
	}
	slices.Sort(ratios)
	meanGap := float64(seconds) * float64(script.Instances) / float64(total)
	imbalance, longestIdleGaps := peak/expected, slices.Max(longestGap)/meanGap
	metrics = append(metrics, []metric{{"calm seconds", float64(seconds)}, {"ops a second of an instance, calm", float64(total) / float64(seconds) / float64(script.Instances)},
		{"most loaded of a second, of what chance gives", imbalance}, {"... in the worst second", ratios[len(ratios)-1]}, {"longest idle, expected gaps", longestIdleGaps}}...)
	w.print("longest idle: " + longestIdle)
	if script.Balance.Enabled && imbalance > script.Balance.MaxImbalance {
		violations = append(violations, violation{script.LoadDuration, "load even", fmt.Sprintf("the most loaded of a second had %.2f of what chance gives, %.2f is told", imbalance, script.Balance.MaxImbalance)})
	}
	if script.Balance.Enabled && longestIdleGaps > script.Balance.MaxIdleGaps {
		violations = append(violations, violation{script.LoadDuration, "none idle", fmt.Sprintf("one waited for %.1f expected gaps, %.1f is told", longestIdleGaps, script.Balance.MaxIdleGaps)})
	}
	return metrics, violations
}

// expectedMaximum is how many of n ops the most loaded of m gets on average, if each goes to any with the same chance.
func expectedMaximum(requests, processes int) float64 {
	mean := float64(requests) / float64(processes)
	sum, atMost, probability := 0.0, 0.0, math.Exp(-mean)
	for k := 0; k <= requests; k++ {
		atMost += probability // Poisson: at most k
		sum += 1 - math.Pow(min(1, atMost), float64(processes))
		probability *= mean / float64(k+1)
		if float64(k) > mean && probability < 1e-12 {
			break
		}
	}
	return sum
}
