package plots

import (
	"fmt"
	"io"
	"text/tabwriter"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"fawnplank/internal/lab/dnsbench"
)

// The size of a picture of costs.
const (
	costsWidthInches  = 6
	costsHeightInches = 7.2
)

// costPanel is one plot of costs by the number of backends in the zone.
type costPanel struct {
	title  string
	unit   string
	curves []curve[dnsbench.Cost]
}

var costPanels = []costPanel{
	{title: "time to start", unit: "ms", curves: []curve[dnsbench.Cost]{
		{"zone file", green, func(cost dnsbench.Cost) float64 { return cost.Load }},
		{"journal", red, func(cost dnsbench.Cost) float64 { return cost.Start }},
	}},
	{title: "time from the sending of an update", unit: "ms", curves: []curve[dnsbench.Cost]{
		{"list published, p50", green, func(cost dnsbench.Cost) float64 { return cost.PublishedP50 }},
		{"list published, p99", red, func(cost dnsbench.Cost) float64 { return cost.PublishedP99 }},
		{"answered, p50", blue, func(cost dnsbench.Cost) float64 { return cost.AnsweredP50 }},
		{"answered, p99", purple, func(cost dnsbench.Cost) float64 { return cost.AnsweredP99 }},
	}},
	{title: "updates per second, eight updaters", unit: "per second", curves: []curve[dnsbench.Cost]{
		{"done", green, func(cost dnsbench.Cost) float64 { return cost.UpdatesPerSecond }},
	}},
}

// DrawCosts draws the costs of zones of several sizes into a PNG or SVG file.
func DrawCosts(path string, costs []dnsbench.Cost) error {
	var grid [][]*plot.Plot
	for _, panel := range costPanels {
		plt, err := panel.plot(costs)
		if err != nil {
			return err
		}
		grid = append(grid, []*plot.Plot{plt})
	}
	picture, err := newCanvas(path, costsWidthInches*vg.Inch, costsHeightInches*vg.Inch)
	if err != nil {
		return err
	}
	drawGrid(picture, grid, runPadding)
	return writePicture(path, picture)
}

func (p costPanel) plot(costs []dnsbench.Cost) (*plot.Plot, error) {
	plt := plot.New()
	plt.Title.Text = p.title
	plt.X.Label.Text = "backends"
	plt.Y.Label.Text = p.unit
	plt.X.Scale = plot.LogScale{}
	plt.X.Tick.Marker = plot.LogTicks{Prec: -1}
	top := 1.0
	for _, c := range p.curves {
		var points plotter.XYs
		for _, cost := range costs {
			points = append(points, plotter.XY{X: float64(cost.Backends), Y: c.value(cost)})
			top = max(top, c.value(cost))
		}
		line, dots, err := plotter.NewLinePoints(points)
		if err != nil {
			return nil, err
		}
		line.Color = c.color
		line.Width = vg.Points(lineWidth)
		dots.Color = c.color
		plt.Add(line, dots)
		plt.Legend.Add(c.name, line, dots)
	}
	plt.Legend.Top = true
	plt.Legend.Left = true
	plt.Y.Min = 0
	plt.Y.Max = top * legendHeadroom
	return plt, nil
}

// WriteCostTable writes the costs as a table.
func WriteCostTable(w io.Writer, costs []dnsbench.Cost) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, err := fmt.Fprintln(table, "backends\tfile, ms\tjournal, ms\tpublished p50, ms\tpublished p99, ms\t"+
		"answered p50, ms\tanswered p99, ms\tupdates per second")
	if err != nil {
		return err
	}
	for _, cost := range costs {
		_, err := fmt.Fprintf(table, "%d\t%.0f\t%.0f\t%.2f\t%.2f\t%.2f\t%.2f\t%.0f\n",
			cost.Backends, cost.Load, cost.Start, cost.PublishedP50, cost.PublishedP99,
			cost.AnsweredP50, cost.AnsweredP99, cost.UpdatesPerSecond)
		if err != nil {
			return err
		}
	}
	return table.Flush()
}
