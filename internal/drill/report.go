package drill

import (
	"fmt"
	"image/color"
	"io"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/parquet-go/parquet-go"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Row is one line of the raw record.
type Row struct {
	AtMS    int64   `parquet:"at_ms"`
	Kind    string  `parquet:"kind,dict"` // op, run, done, undone, differs, violation, figure, link
	Process string  `parquet:"process,dict"`
	Name    string  `parquet:"name"`
	Outcome string  `parquet:"outcome,dict"`
	Value   float64 `parquet:"value"`
}

// Record is a rehearsal as it went, row by row.
type Record []Row

// schema names the root of a record's Parquet schema, which would follow the name of the Go type.
var schema = parquet.NewSchema("Row", parquet.SchemaOf(Row{}))

// Save writes it as Parquet.
func (r Record) Save(path string) error { return parquet.WriteFile(path, []Row(r), schema) }

// LoadRecord reads one that was saved.
func LoadRecord(path string) (Record, error) {
	rows, err := parquet.ReadFile[Row](path)
	return Record(rows), err
}

func (r Record) rowsOf(kind string) (rows []Row) {
	for _, row := range r {
		if row.Kind == kind {
			rows = append(rows, row)
		}
	}
	return rows
}

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

// Draw makes one picture: service, load by process, views that differ; faults stand in all as lines.
func (r Record) Draw(path string) error {
	end := int64(1)
	for _, row := range r {
		end = max(end, row.AtMS/1000+1)
	}
	seconds := func() []float64 { return make([]float64, end) }
	issued, succeeded, divergent := seconds(), seconds(), seconds()
	loadByProcess := map[string][]float64{}
	for _, row := range r {
		second := max(0, row.AtMS/1000)
		switch row.Kind {
		case "op":
			issued[second]++
			if row.Outcome == "acked" {
				succeeded[second]++
			}
		case "run":
			if loadByProcess[row.Process] == nil {
				loadByProcess[row.Process] = seconds()
			}
			loadByProcess[row.Process][second]++
		case "differs":
			divergent[second] = max(divergent[second], row.Value)
		}
	}
	quantiles := [][]float64{seconds(), seconds(), seconds(), seconds(), seconds()}
	for second := range end {
		var loads []float64
		for _, load := range loadByProcess {
			loads = append(loads, load[second])
		}
		slices.Sort(loads)
		for quantile := range quantiles {
			if len(loads) > 0 {
				quantiles[quantile][second] = loads[quantile*(len(loads)-1)/4]
			}
		}
	}
	blue, orange, grey := color.RGBA{31, 119, 180, 255}, color.RGBA{255, 127, 14, 255}, color.RGBA{150, 150, 150, 255}
	panel := func(title string, series map[string][]float64, colors map[string]color.Color) (*plot.Plot, error) {
		chart := plot.New()
		chart.Title.Text, chart.X.Label.Text = title, "s"
		chart.Legend.Top = true
		for _, name := range slices.Sorted(func(yield func(string) bool) {
			for n := range series {
				if !yield(n) {
					return
				}
			}
		}) {
			xys := make(plotter.XYs, end)
			for second := range end {
				xys[second] = plotter.XY{X: float64(second), Y: series[name][second]}
			}
			line, err := plotter.NewLine(xys)
			if err != nil {
				return nil, err
			}
			line.Color = colors[name]
			chart.Add(line)
			chart.Legend.Add(name, line)
		}
		top := chart.Y.Max
		for _, row := range r.rowsOf("done") {
			mark, err := plotter.NewLine(plotter.XYs{{X: row.Value, Y: 0}, {X: row.Value, Y: max(1, top)}})
			if err != nil {
				return nil, err
			}
			mark.Color, mark.Dashes = color.RGBA{200, 0, 0, 255}, []vg.Length{vg.Points(2), vg.Points(2)}
			chart.Add(mark)
		}
		return chart, nil
	}
	var panels []*plot.Plot
	for _, panelSpec := range []struct {
		title  string
		series map[string][]float64
		colors map[string]color.Color
	}{
		{"ops a second", map[string][]float64{"asked": issued, "acked": succeeded}, map[string]color.Color{"asked": grey, "acked": blue}},
		{"runs a second by process: least, quartiles, most", map[string][]float64{"least": quantiles[0], "lower": quantiles[1], "median": quantiles[2], "upper": quantiles[3], "most": quantiles[4]},
			map[string]color.Color{"least": grey, "lower": orange, "median": blue, "upper": orange, "most": grey}},
		{"processes whose view is not what is so", map[string][]float64{"differ": divergent}, map[string]color.Color{"differ": blue}},
	} {
		chart, err := panel(panelSpec.title, panelSpec.series, panelSpec.colors)
		if err != nil {
			return err
		}
		panels = append(panels, chart)
	}
	canvas := vgsvg.New(24*vg.Centimeter, 27*vg.Centimeter)
	tiles := draw.Tiles{Rows: len(panels), Cols: 1, PadY: vg.Points(8)}
	for i, chart := range panels {
		chart.Draw(tiles.At(draw.New(canvas), 0, i))
	}
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	defer file.Close()
	_, err = canvas.WriteTo(file)
	return err
}

// buildRecord puts together all that was seen.
func buildRecord(w *cluster, log *requestLog, events []Event, differs, links []Row, violations []violation, metrics []metric, startedAt time.Time) (result Record) {
	ms := func(moment time.Time) int64 { return moment.Sub(startedAt).Milliseconds() }
	log.mu.Lock()
	defer log.mu.Unlock()
	for _, request := range log.requests {
		result = append(result, Row{ms(request.sentAt), "op", w.processes[request.process].name, request.id, request.outcome, float64(request.answeredAt.Sub(request.sentAt).Microseconds()) / 1000})
		for _, execution := range request.executions {
			result = append(result, Row{ms(execution.at), "run", w.processes[execution.process].name, request.id, "", 0})
		}
	}
	for _, event := range events {
		kind := "done"
		if event.Undo {
			kind = "undone"
		}
		result = append(result, Row{event.At.Milliseconds(), kind, "", event.String(), event.Fault.Action, event.At.Seconds()})
	}
	result = append(result, differs...)
	for _, violation := range violations {
		result = append(result, Row{violation.At.Milliseconds(), "violation", "", fmt.Sprintf("%6.2fs %s: %s", violation.At.Seconds(), violation.Rule, violation.Detail), violation.Rule, 0})
	}
	for _, m := range metrics {
		result = append(result, Row{0, "figure", "", m.Name, "", m.Value})
	}
	return append(result, links...)
}
