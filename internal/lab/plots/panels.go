package plots

import (
	"image/color"
	"math"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"fawnplank/internal/lab/results"
)

const (
	// legendHeadroom is the ratio of an axis's maximum to the highest value. The excess makes room for the legend.
	legendHeadroom = 1.3
	// lineWidth is the width of curves in typographic points.
	lineWidth = 1.2
	// minFaultWidthSeconds is the smallest width with which a fault is drawn.
	minFaultWidthSeconds = 0.1
	// maxObjectiveRatio is the largest ratio of an objective to the axis's maximum at which the objective is drawn. A
	// higher objective would compress the curves.
	maxObjectiveRatio = 1.5
	// objectiveHeadroom is the ratio of an axis's maximum to the objective.
	objectiveHeadroom = 1.05
)

// curve is one line of a panel. value returns its height for a row, a run or a cost.
type curve[T any] struct {
	name  string
	color color.Color
	value func(T) float64
}

// panel is one plot of a run over time.
type panel struct {
	title        string
	unit         string
	curves       []curve[results.Row]
	hasObjective bool // the panel shows the latency objective
}

var panels = []panel{
	{title: "answers per second", unit: "submissions", curves: []curve[results.Row]{
		{"succeeded", green, func(row results.Row) float64 { return float64(row.Succeeded) }},
		{"rejected", orange, func(row results.Row) float64 { return float64(row.Rejected) }},
		{"aborted", red, func(row results.Row) float64 { return float64(row.Aborted) }},
		{"abandoned, not sent", purple, func(row results.Row) float64 {
			return float64(row.Abandoned + row.NotSent)
		}},
	}},
	{title: "latency", unit: "ms", hasObjective: true, curves: []curve[results.Row]{
		{"p50", green, func(row results.Row) float64 { return row.P50 }},
		{"p99", red, func(row results.Row) float64 { return row.P99 }},
	}},
	{title: "counter calls", unit: "calls, instances", curves: []curve[results.Row]{
		{"calls per second", blue, func(row results.Row) float64 { return float64(row.CounterCalls) }},
		{"failed", red, func(row results.Row) float64 { return float64(row.CounterFailures) }},
		{"instances not calling", purple, func(row results.Row) float64 { return float64(row.OpenBreakers) }},
	}},
	{title: "drift of tenants' counts from an exact counter's", unit: "units", curves: []curve[results.Row]{
		{"over", red, func(row results.Row) float64 { return row.DriftOver }},
		{"under", orange, func(row results.Row) float64 { return row.DriftUnder }},
	}},
}

// pointsOverTime returns a curve's values by the second of a run.
func pointsOverTime(c curve[results.Row], run *results.Run) plotter.XYs {
	var points plotter.XYs
	for _, row := range run.Rows {
		points = append(points, plotter.XY{X: float64(row.Second), Y: c.value(row)})
	}
	return points
}

// runTitle returns the name of a run's scenario and the run's label, if any.
func runTitle(run *results.Run) string {
	if run.Label != "" {
		return run.Scenario + ", " + run.Label
	}
	return run.Scenario
}

// buildGrid returns rows of plots with a column for each run: the panels, which have the same scales in all columns,
// and the latency percentiles.
func buildGrid(runs []*results.Run) ([][]*plot.Plot, error) {
	var grid [][]*plot.Plot
	for _, p := range panels {
		row, err := p.plots(runs)
		if err != nil {
			return nil, err
		}
		grid = append(grid, row)
	}
	var percentiles []*plot.Plot
	for _, run := range runs {
		plt, err := percentilePlot(run)
		if err != nil {
			return nil, err
		}
		percentiles = append(percentiles, plt)
	}
	return append(grid, percentiles), nil
}

// axisRange is the range of a panel's axes.
type axisRange struct{ xMax, yMax float64 }

func (p panel) axisRangeOf(runs []*results.Run) axisRange {
	var axes axisRange
	for _, run := range runs {
		for _, c := range p.curves {
			for _, point := range pointsOverTime(c, run) {
				axes.xMax = math.Max(axes.xMax, point.X)
				axes.yMax = math.Max(axes.yMax, point.Y)
			}
		}
	}
	axes.yMax = math.Max(axes.yMax*legendHeadroom, 1)
	return axes
}

// plots returns a plot of the panel for each run.
func (p panel) plots(runs []*results.Run) ([]*plot.Plot, error) {
	axes := p.axisRangeOf(runs)
	var row []*plot.Plot
	for _, run := range runs {
		plt := plot.New()
		plt.Title.Text = runTitle(run) + ": " + p.title
		plt.X.Label.Text = "s"
		plt.Y.Label.Text = p.unit
		if err := addFaults(plt, run, axes.yMax); err != nil {
			return nil, err
		}
		if err := p.addCurves(plt, run); err != nil {
			return nil, err
		}
		if p.hasObjective && run.LatencyObjective <= maxObjectiveRatio*axes.yMax {
			addObjective(plt, run.LatencyObjective)
			axes.yMax = math.Max(axes.yMax, run.LatencyObjective*objectiveHeadroom)
		}
		plt.Legend.Top = true
		plt.X.Min = 0
		plt.X.Max = axes.xMax
		plt.Y.Min = 0
		plt.Y.Max = axes.yMax
		row = append(row, plt)
	}
	return row, nil
}

func (p panel) addCurves(plt *plot.Plot, run *results.Run) error {
	for _, c := range p.curves {
		line, err := plotter.NewLine(pointsOverTime(c, run))
		if err != nil {
			return err
		}
		line.Color = c.color
		line.Width = vg.Points(lineWidth)
		plt.Add(line)
		plt.Legend.Add(c.name, line)
	}
	return nil
}

// addFaults shades the time during which each fault is active.
func addFaults(plt *plot.Plot, run *results.Run, top float64) error {
	for _, fault := range run.Faults {
		from := fault.From
		until := math.Max(fault.Until, from+minFaultWidthSeconds)
		corners := plotter.XYs{{X: from, Y: 0}, {X: until, Y: 0}, {X: until, Y: top}, {X: from, Y: top}}
		box, err := plotter.NewPolygon(corners)
		if err != nil {
			return err
		}
		box.Color = faultShade
		box.Width = 0
		plt.Add(box)
	}
	return nil
}

func addObjective(plt *plot.Plot, objective float64) {
	line := plotter.NewFunction(func(float64) float64 { return objective })
	line.Color = blue
	line.Dashes = []vg.Length{vg.Points(3), vg.Points(3)}
	plt.Add(line)
	plt.Legend.Add("objective", line)
}

// percentilePlot returns a plot of a run's latencies by percentile.
func percentilePlot(run *results.Run) (*plot.Plot, error) {
	plt := plot.New()
	plt.Title.Text = runTitle(run) + ": latency by percentile"
	plt.X.Label.Text = "slower answers per 1,000"
	plt.Y.Label.Text = "ms"
	var points plotter.XYs
	for _, p := range run.Latency {
		if slower := (100 - p.Percent) * 10; slower >= 0.05 && p.Millis > 0 {
			points = append(points, plotter.XY{X: slower, Y: p.Millis})
		}
	}
	if len(points) < 2 { // a logarithmic axis without points cannot be drawn
		return plt, nil
	}
	for _, axis := range []*plot.Axis{&plt.X, &plt.Y} {
		axis.Scale = plot.LogScale{}
		axis.Tick.Marker = plot.LogTicks{Prec: -1}
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return nil, err
	}
	line.Color = blue
	line.Width = vg.Points(lineWidth)
	plt.Add(line)
	return plt, nil
}
