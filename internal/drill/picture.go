package drill

import (
	"errors"
	"image/color"
	"maps"
	"os"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Colors of the picture.
var (
	blue   = color.RGBA{31, 119, 180, 255}
	orange = color.RGBA{255, 127, 14, 255}
	grey   = color.RGBA{150, 150, 150, 255}
	red    = color.RGBA{200, 0, 0, 255}
)

// loadQuantileCount is the number of quantiles of the load that are drawn: the minimum, the quartiles and the maximum.
const loadQuantileCount = 5

// series is a line of a chart, with a value for each second.
type series struct {
	name   string
	values []float64
	color  color.Color
}

// timelines holds the values of a record for each second.
type timelines struct {
	issued, succeeded []float64   // requests
	divergent         []float64   // processes
	loadQuantiles     [][]float64 // runs per process: the minimum, the quartiles and the maximum over the processes
}

// Draw writes an SVG picture of the record to a file, with charts of the requests, the load by process and the
// divergent views. Each chart marks the beginnings of faults with vertical lines.
func (r Record) Draw(path string) error {
	t := r.timelines()
	quantiles := t.loadQuantiles
	var charts []*plot.Plot
	for _, panel := range []struct {
		title string
		lines []series
	}{
		{"requests per second", []series{{"succeeded", t.succeeded, blue}, {"sent", t.issued, grey}}},
		{"runs per second by process: minimum, quartiles, maximum", []series{
			{"least", quantiles[0], grey},
			{"lower", quantiles[1], orange},
			{"median", quantiles[2], blue},
			{"most", quantiles[4], grey},
			{"upper", quantiles[3], orange},
		}},
		{"processes whose view diverges", []series{{"divergent", t.divergent, blue}}},
	} {
		chart, err := r.drawPanel(panel.title, panel.lines)
		if err != nil {
			return err
		}
		charts = append(charts, chart)
	}
	return saveCharts(path, charts)
}

// timelines returns the values of the record for each second.
func (r Record) timelines() timelines {
	seconds := int64(1)
	for _, row := range r {
		seconds = max(seconds, row.AtMS/1000+1)
	}
	t := timelines{
		issued:    make([]float64, seconds),
		succeeded: make([]float64, seconds),
		divergent: make([]float64, seconds),
	}
	loads := map[string][]float64{}
	for _, row := range r {
		second := max(0, row.AtMS/1000)
		switch row.Kind {
		case kindRequest:
			t.issued[second]++
			if requestOutcome(row.Outcome) == outcomeSucceeded {
				t.succeeded[second]++
			}
		case kindRun:
			if loads[row.Process] == nil {
				loads[row.Process] = make([]float64, seconds)
			}
			loads[row.Process][second]++
		case kindDivergent:
			t.divergent[second] = max(t.divergent[second], row.Value)
		}
	}
	t.loadQuantiles = quantilesBySecond(slices.Collect(maps.Values(loads)), seconds)
	return t
}

// quantilesBySecond returns the quantiles over all processes for each second, from the minimum to the maximum.
// They are 0 if there are no processes.
func quantilesBySecond(loads [][]float64, seconds int64) [][]float64 {
	quantiles := make([][]float64, loadQuantileCount)
	for i := range quantiles {
		quantiles[i] = make([]float64, seconds)
	}
	if len(loads) == 0 {
		return quantiles
	}
	for second := range seconds {
		var values []float64
		for _, load := range loads {
			values = append(values, load[second])
		}
		slices.Sort(values)
		for i := range quantiles {
			quantiles[i][second] = values[i*(len(values)-1)/(loadQuantileCount-1)]
		}
	}
	return quantiles
}

// drawPanel returns a line chart that also marks the beginnings of the faults.
func (r Record) drawPanel(title string, lines []series) (*plot.Plot, error) {
	chart := plot.New()
	chart.Title.Text = title
	chart.X.Label.Text = "s"
	chart.Legend.Top = true
	for _, s := range lines {
		points := make(plotter.XYs, len(s.values))
		for second, value := range s.values {
			points[second] = plotter.XY{X: float64(second), Y: value}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return nil, err
		}
		line.Color = s.color
		chart.Add(line)
		chart.Legend.Add(s.name, line)
	}
	top := max(1, chart.Y.Max)
	for _, row := range r.rowsOf(kindBegin) {
		mark, err := plotter.NewLine(plotter.XYs{{X: row.Value, Y: 0}, {X: row.Value, Y: top}})
		if err != nil {
			return nil, err
		}
		mark.Color = red
		mark.Dashes = []vg.Length{vg.Points(2), vg.Points(2)}
		chart.Add(mark)
	}
	return chart, nil
}

// saveCharts writes charts to a file as an SVG, one below the other.
func saveCharts(path string, charts []*plot.Plot) error {
	canvas := vgsvg.New(24*vg.Centimeter, 27*vg.Centimeter)
	tiles := draw.Tiles{Rows: len(charts), Cols: 1, PadY: vg.Points(8)}
	for i, chart := range charts {
		chart.Draw(tiles.At(draw.New(canvas), 0, i))
	}
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	_, err = canvas.WriteTo(file)
	return errors.Join(err, file.Close())
}
