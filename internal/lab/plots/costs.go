package plots

import (
	"fmt"
	"image/color"
	"io"
	"text/tabwriter"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"

	"fawnplank/internal/lab/dnsbench"
)

// Costs draws what zones of several sizes cost, into a PNG or SVG file.
func Costs(path string, all []dnsbench.Cost) error {
	grid := make([][]*plot.Plot, 3)
	for i, p := range []struct {
		title, unit string
		curves      []struct {
			name  string
			value func(dnsbench.Cost) float64
		}
	}{
		{"a start", "ms", []struct {
			name  string
			value func(dnsbench.Cost) float64
		}{{"zone file", func(c dnsbench.Cost) float64 { return c.Load }}, {"journal", func(c dnsbench.Cost) float64 { return c.Start }}}},
		{"an update, from its sending", "ms", []struct {
			name  string
			value func(dnsbench.Cost) float64
		}{{"list told, p50", func(c dnsbench.Cost) float64 { return c.ToldP50 }}, {"list told, p99", func(c dnsbench.Cost) float64 { return c.ToldP99 }},
			{"answered, p50", func(c dnsbench.Cost) float64 { return c.DoneP50 }}, {"answered, p99", func(c dnsbench.Cost) float64 { return c.DoneP99 }}}},
		{"updates a second, eight updaters", "a second", []struct {
			name  string
			value func(dnsbench.Cost) float64
		}{{"done", func(c dnsbench.Cost) float64 { return c.PerSecond }}}},
	} {
		plt := plot.New()
		plt.Title.Text, plt.X.Label.Text, plt.Y.Label.Text = p.title, "backends", p.unit
		plt.X.Scale, plt.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
		top := 1.0
		for n, c := range p.curves {
			var xys plotter.XYs
			for _, x := range all {
				xys = append(xys, plotter.XY{X: float64(x.Backends), Y: c.value(x)})
				top = max(top, c.value(x))
			}
			line, points, err := plotter.NewLinePoints(xys)
			if err != nil {
				return err
			}
			line.Color = []color.Color{green, red, blue, purple}[n]
			points.Color, line.Width = line.Color, vg.Points(1.2)
			plt.Add(line, points)
			plt.Legend.Add(c.name, line, points)
		}
		plt.Legend.Top, plt.Legend.Left = true, true
		plt.Y.Min, plt.Y.Max = 0, top*1.3
		grid[i] = []*plot.Plot{plt}
	}
	c, err := newCanvas(path, 6*vg.Inch, 7.2*vg.Inch)
	if err != nil {
		return err
	}
	tiles := draw.Tiles{Rows: 3, Cols: 1, PadY: vg.Points(8), PadTop: vg.Points(4), PadBottom: vg.Points(4), PadLeft: vg.Points(4), PadRight: vg.Points(10)}
	at := plot.Align(grid, tiles, draw.New(c))
	for i := range grid {
		grid[i][0].Draw(at[i][0])
	}
	return write(path, c)
}

// CostTable writes them as a table.
func CostTable(w io.Writer, all []dnsbench.Cost) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "backends\tfile, ms\tjournal, ms\ttold p50, ms\ttold p99, ms\tanswered p50, ms\tanswered p99, ms\tupdates a second")
	for _, c := range all {
		fmt.Fprintf(t, "%d\t%.0f\t%.0f\t%.2f\t%.2f\t%.2f\t%.2f\t%.0f\n", c.Backends, c.Load, c.Start, c.ToldP50, c.ToldP99, c.DoneP50, c.DoneP99, c.PerSecond)
	}
	return t.Flush()
}
