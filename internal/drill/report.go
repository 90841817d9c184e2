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

// Open reads one that was saved.
func Open(path string) (Record, error) {
	rows, err := parquet.ReadFile[Row](path)
	return Record(rows), err
}

func (r Record) of(kind string) (some []Row) {
	for _, row := range r {
		if row.Kind == kind {
			some = append(some, row)
		}
	}
	return some
}

// figures gives the measured values, those of the ops among them.
func (r Record) figures() (all []Figure) {
	n, took := map[string]int{}, []float64{}
	ops := r.of("op")
	for _, o := range ops {
		n[o.Outcome]++
		if o.Outcome == "acked" {
			took = append(took, o.Value)
		}
	}
	slices.Sort(took)
	at := func(share float64) float64 {
		if len(took) == 0 {
			return 0
		}
		return took[min(len(took)-1, int(share*float64(len(took))))]
	}
	all = append(all, Figure{"ops", float64(len(ops))})
	for _, what := range []string{"acked", "Busy", "Failed", "broken", ""} {
		name := what
		if what == "" {
			name = "unanswered"
		}
		all = append(all, Figure{name, float64(n[what])})
	}
	all = append(all, Figure{"ms to acked, median", at(0.5)}, Figure{"ms to acked, 99th percentile", at(0.99)})
	for _, f := range r.of("figure") {
		all = append(all, Figure{f.Name, f.Value})
	}
	return append(all, Figure{"violations", float64(len(r.of("violation")))})
}

// Table prints what a rehearsal came to.
func (r Record) Table(out io.Writer) {
	for _, e := range r {
		if e.Kind == "done" || e.Kind == "violation" {
			fmt.Fprintf(out, "%s\n", e.Name)
		}
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, f := range r.figures() {
		fmt.Fprintf(w, "%s\t%.4g\n", f.Name, f.Value)
	}
	w.Flush()
}

// Differ prints the figures of two side by side.
func Differ(out io.Writer, a, b Record) {
	of := map[string]float64{}
	fb := b.figures()
	for _, f := range fb {
		of[f.Name] = f.Value
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "\tfirst\tsecond\tchange")
	known := map[string]bool{}
	for _, f := range a.figures() {
		known[f.Name] = true
		if x, both := of[f.Name]; both {
			fmt.Fprintf(w, "%s\t%.4g\t%.4g\t%+.4g\n", f.Name, f.Value, x, x-f.Value)
		} else {
			fmt.Fprintf(w, "%s\t%.4g\t-\t\n", f.Name, f.Value)
		}
	}
	for _, f := range fb {
		if !known[f.Name] {
			fmt.Fprintf(w, "%s\t-\t%.4g\t\n", f.Name, f.Value)
		}
	}
	w.Flush()
}

// Draw makes one picture: service, load by process, views that differ; faults stand in all as lines.
func (r Record) Draw(path string) error {
	end := int64(1)
	for _, row := range r {
		end = max(end, row.AtMS/1000+1)
	}
	seconds := func() []float64 { return make([]float64, end) }
	asked, acked, differs := seconds(), seconds(), seconds()
	load := map[string][]float64{}
	for _, row := range r {
		at := max(0, row.AtMS/1000)
		switch row.Kind {
		case "op":
			asked[at]++
			if row.Outcome == "acked" {
				acked[at]++
			}
		case "run":
			if load[row.Process] == nil {
				load[row.Process] = seconds()
			}
			load[row.Process][at]++
		case "differs":
			differs[at] = max(differs[at], row.Value)
		}
	}
	band := [][]float64{seconds(), seconds(), seconds(), seconds(), seconds()}
	for at := range end {
		var now []float64
		for _, l := range load {
			now = append(now, l[at])
		}
		slices.Sort(now)
		for q := range band {
			if len(now) > 0 {
				band[q][at] = now[q*(len(now)-1)/4]
			}
		}
	}
	blue, orange, grey := color.RGBA{31, 119, 180, 255}, color.RGBA{255, 127, 14, 255}, color.RGBA{150, 150, 150, 255}
	panel := func(title string, series map[string][]float64, colors map[string]color.Color) (*plot.Plot, error) {
		p := plot.New()
		p.Title.Text, p.X.Label.Text = title, "s"
		p.Legend.Top = true
		for _, name := range slices.Sorted(func(yield func(string) bool) {
			for n := range series {
				if !yield(n) {
					return
				}
			}
		}) {
			xys := make(plotter.XYs, end)
			for at := range end {
				xys[at] = plotter.XY{X: float64(at), Y: series[name][at]}
			}
			line, err := plotter.NewLine(xys)
			if err != nil {
				return nil, err
			}
			line.Color = colors[name]
			p.Add(line)
			p.Legend.Add(name, line)
		}
		top := p.Y.Max
		for _, e := range r.of("done") {
			mark, err := plotter.NewLine(plotter.XYs{{X: e.Value, Y: 0}, {X: e.Value, Y: max(1, top)}})
			if err != nil {
				return nil, err
			}
			mark.Color, mark.Dashes = color.RGBA{200, 0, 0, 255}, []vg.Length{vg.Points(2), vg.Points(2)}
			p.Add(mark)
		}
		return p, nil
	}
	var panels []*plot.Plot
	for _, x := range []struct {
		title  string
		series map[string][]float64
		colors map[string]color.Color
	}{
		{"ops a second", map[string][]float64{"asked": asked, "acked": acked}, map[string]color.Color{"asked": grey, "acked": blue}},
		{"runs a second by process: least, quartiles, most", map[string][]float64{"least": band[0], "lower": band[1], "median": band[2], "upper": band[3], "most": band[4]},
			map[string]color.Color{"least": grey, "lower": orange, "median": blue, "upper": orange, "most": grey}},
		{"processes whose view is not what is so", map[string][]float64{"differ": differs}, map[string]color.Color{"differ": blue}},
	} {
		p, err := panel(x.title, x.series, x.colors)
		if err != nil {
			return err
		}
		panels = append(panels, p)
	}
	c := vgsvg.New(24*vg.Centimeter, 27*vg.Centimeter)
	tiles := draw.Tiles{Rows: len(panels), Cols: 1, PadY: vg.Points(8)}
	for i, p := range panels {
		p.Draw(tiles.At(draw.New(c), 0, i))
	}
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	defer f.Close()
	_, err = c.WriteTo(f)
	return err
}

// record puts together all that was seen.
func record(w *world, h *history, events []Event, differs, links []Row, all []Violation, figures []Figure, began time.Time) (r Record) {
	ms := func(at time.Time) int64 { return at.Sub(began).Milliseconds() }
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, o := range h.all {
		r = append(r, Row{ms(o.sent), "op", w.procs[o.proc].name, o.id, o.outcome, float64(o.answered.Sub(o.sent).Microseconds()) / 1000})
		for _, x := range o.runs {
			r = append(r, Row{ms(x.at), "run", w.procs[x.proc].name, o.id, "", 0})
		}
	}
	for _, e := range events {
		kind := "done"
		if e.Undo {
			kind = "undone"
		}
		r = append(r, Row{e.At.Milliseconds(), kind, "", e.String(), e.Fault.Action, e.At.Seconds()})
	}
	r = append(r, differs...)
	for _, v := range all {
		r = append(r, Row{v.At.Milliseconds(), "violation", "", fmt.Sprintf("%6.2fs %s: %s", v.At.Seconds(), v.Rule, v.What), v.Rule, 0})
	}
	for _, f := range figures {
		r = append(r, Row{0, "figure", "", f.Name, "", f.Value})
	}
	return append(r, links...)
}
