package drill

import (
	"image/color"
	"os"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

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
