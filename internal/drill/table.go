package drill

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
)

// metrics gives the measured values, those of the ops among them.
func (r Record) metrics() (metrics []metric) {
	byOutcome, latencies := map[string]int{}, []float64{}
	requests := r.rowsOf("op")
	for _, request := range requests {
		byOutcome[request.Outcome]++
		if request.Outcome == "acked" {
			latencies = append(latencies, request.Value)
		}
	}
	slices.Sort(latencies)
	quantile := func(fraction float64) float64 {
		if len(latencies) == 0 {
			return 0
		}
		return latencies[min(len(latencies)-1, int(fraction*float64(len(latencies))))]
	}
	metrics = append(metrics, metric{"ops", float64(len(requests))})
	for _, outcome := range []string{"acked", "Busy", "Failed", "broken", ""} {
		name := outcome
		if outcome == "" {
			name = "unanswered"
		}
		metrics = append(metrics, metric{name, float64(byOutcome[outcome])})
	}
	metrics = append(metrics, metric{"ms to acked, median", quantile(0.5)}, metric{"ms to acked, 99th percentile", quantile(0.99)})
	for _, m := range r.rowsOf("figure") {
		metrics = append(metrics, metric{m.Name, m.Value})
	}
	return append(metrics, metric{"violations", float64(len(r.rowsOf("violation")))})
}

// WriteTable prints what a rehearsal came to.
func (r Record) WriteTable(out io.Writer) {
	for _, row := range r {
		if row.Kind == "done" || row.Kind == "violation" {
			fmt.Fprintf(out, "%s\n", row.Name)
		}
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, m := range r.metrics() {
		fmt.Fprintf(table, "%s\t%.4g\n", m.Name, m.Value)
	}
	table.Flush()
}

// Compare prints the figures of two side by side.
func Compare(out io.Writer, first, second Record) {
	secondByName := map[string]float64{}
	secondMetrics := second.metrics()
	for _, m := range secondMetrics {
		secondByName[m.Name] = m.Value
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "\tfirst\tsecond\tchange")
	inFirst := map[string]bool{}
	for _, m := range first.metrics() {
		inFirst[m.Name] = true
		if value, inBoth := secondByName[m.Name]; inBoth {
			fmt.Fprintf(table, "%s\t%.4g\t%.4g\t%+.4g\n", m.Name, m.Value, value, value-m.Value)
		} else {
			fmt.Fprintf(table, "%s\t%.4g\t-\t\n", m.Name, m.Value)
		}
	}
	for _, m := range secondMetrics {
		if !inFirst[m.Name] {
			fmt.Fprintf(table, "%s\t-\t%.4g\t\n", m.Name, m.Value)
		}
	}
	table.Flush()
}
