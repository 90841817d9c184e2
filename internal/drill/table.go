package drill

import (
	"io"
	"slices"
	"text/tabwriter"
)

// metrics returns the metrics of the record, including those derived from its requests.
func (r Record) metrics() []metric {
	counts := map[requestOutcome]int{}
	var latencies []float64 // ms, of succeeded requests
	requests := r.rowsOf(kindRequest)
	for _, request := range requests {
		outcome := requestOutcome(request.Outcome)
		counts[outcome]++
		if outcome == outcomeSucceeded {
			latencies = append(latencies, request.Value)
		}
	}
	slices.Sort(latencies)
	metrics := []metric{{"ops", float64(len(requests))}}
	for _, outcome := range requestOutcomes {
		name := string(outcome)
		if outcome == outcomeNone {
			name = "unanswered"
		}
		metrics = append(metrics, metric{name, float64(counts[outcome])})
	}
	metrics = append(metrics,
		metric{"ms to acked, median", quantile(latencies, 0.5)},
		metric{"ms to acked, 99th percentile", quantile(latencies, 0.99)})
	for _, row := range r.rowsOf(kindMetric) {
		metrics = append(metrics, metric{row.Name, row.Value})
	}
	return append(metrics, metric{"violations", float64(r.violationCount())})
}

// quantile returns a quantile of sorted values, or 0 if there are none.
func quantile(sorted []float64, fraction float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(fraction*float64(len(sorted))))]
}

// WriteTable prints the results of a drill: its faults, the violations and the metrics.
func (r Record) WriteTable(out io.Writer) {
	for _, row := range r {
		if row.Kind == kindBegin || row.Kind == kindViolation {
			printf(out, "%s\n", row.Name)
		}
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, m := range r.metrics() {
		printf(table, "%s\t%.4g\n", m.Name, m.Value)
	}
	_ = table.Flush() // the reader of out notices missing output
}

// Compare prints the metrics of two records side by side.
func Compare(out io.Writer, first, second Record) {
	secondMetrics := second.metrics()
	secondByName := map[string]float64{}
	for _, m := range secondMetrics {
		secondByName[m.Name] = m.Value
	}
	inFirst := map[string]bool{}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	printf(table, "\tfirst\tsecond\tchange\n")
	for _, m := range first.metrics() {
		inFirst[m.Name] = true
		if value, inBoth := secondByName[m.Name]; inBoth {
			printf(table, "%s\t%.4g\t%.4g\t%+.4g\n", m.Name, m.Value, value, value-m.Value)
		} else {
			printf(table, "%s\t%.4g\t-\t\n", m.Name, m.Value)
		}
	}
	for _, m := range secondMetrics {
		if !inFirst[m.Name] {
			printf(table, "%s\t-\t%.4g\t\n", m.Name, m.Value)
		}
	}
	_ = table.Flush() // the reader of out notices missing output
}
