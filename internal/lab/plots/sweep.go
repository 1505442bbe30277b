package plots

import (
	"math"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"

	"fawnplank/internal/lab/results"
)

const (
	// sweepInches is the width and height of the picture of a sweep.
	sweepInches = 7
	// sweepMargin is the space beside the outermost values, as a share of the distance between two values.
	sweepMargin = 0.3
)

// sweepPanel is one plot of figures of whole runs by the swept value.
type sweepPanel struct {
	title  string
	curves []curve[*results.Run]
}

var sweepPanels = []sweepPanel{
	{title: "shares, %", curves: []curve[*results.Run]{
		{"requests that succeeded", green, func(run *results.Run) float64 {
			requests := float64(run.Total.Requests + run.Total.NotSent)
			return 100 * float64(run.Total.Succeeded) / math.Max(requests, 1)
		}},
		{"over", red, func(run *results.Run) float64 {
			over, _ := run.Drift()
			return 100 * over
		}},
		{"under", orange, func(run *results.Run) float64 {
			_, under := run.Drift()
			return 100 * under
		}},
	}},
	{title: "latency, ms", curves: []curve[*results.Run]{
		{"p50", green, func(run *results.Run) float64 { return run.Total.P50 }},
		{"p99", red, func(run *results.Run) float64 { return run.Total.P99 }},
	}},
}

// DrawSweep draws the results of runs of a scenario with different values of one of its keys into a PNG or SVG file.
// labels are the values.
func DrawSweep(path, key string, labels []string, runs []*results.Run) error {
	picture, err := newCanvas(path, sweepInches*vg.Inch, sweepInches*vg.Inch)
	if err != nil {
		return err
	}
	var grid [][]*plot.Plot
	for _, panel := range sweepPanels {
		plt, err := panel.plot(key, labels, runs)
		if err != nil {
			return err
		}
		grid = append(grid, []*plot.Plot{plt})
	}
	drawGrid(picture, grid, draw.Tiles{PadY: vg.Points(10), PadRight: vg.Points(10)})
	return writePicture(path, picture)
}

func (p sweepPanel) plot(key string, labels []string, runs []*results.Run) (*plot.Plot, error) {
	plt := plot.New()
	plt.Title.Text = runs[0].Scenario + ": " + p.title
	plt.X.Label.Text = key
	plt.NominalX(labels...)
	plt.Y.Min = 0
	for _, c := range p.curves {
		points := make(plotter.XYs, len(runs))
		for n, run := range runs {
			points[n] = plotter.XY{X: float64(n), Y: c.value(run)}
		}
		line, dots, err := plotter.NewLinePoints(points)
		if err != nil {
			return nil, err
		}
		line.Color = c.color
		dots.Color = c.color
		plt.Add(line, dots)
		plt.Legend.Add(c.name, line)
	}
	plt.Legend.Top = true
	plt.Y.Max *= legendHeadroom
	plt.X.Min = -sweepMargin
	plt.X.Max = float64(len(runs)) - (1 - sweepMargin)
	return plt, nil
}
