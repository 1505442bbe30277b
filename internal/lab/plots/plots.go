// Package plots draws what runs recorded: for each run a column of panels over time (answers, latencies, the
// counter, quotas) and its latency percentiles, with the same scales in all columns, so that two runs of a change
// can be laid side by side; and the table and sweep that go with them. It reads results and writes pictures.
package plots

import (
	"bytes"
	"fmt"
	"image/color"
	"io"
	"math"
	"os"
	"path/filepath"
	"strings"
	"text/tabwriter"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
	"gonum.org/v1/plot/vg/vgsvg"

	"fawnplank/internal/lab/results"
)

// Okabe and Ito's colours, told apart by most eyes.
var (
	green  = color.RGBA{0, 158, 115, 255}
	orange = color.RGBA{230, 159, 0, 255}
	red    = color.RGBA{213, 94, 0, 255}
	blue   = color.RGBA{0, 114, 178, 255}
	purple = color.RGBA{204, 121, 167, 255}
	shade  = color.NRGBA{120, 120, 120, 45}
)

// curve is one line of a panel.
type curve struct {
	name  string
	paint color.Color
	value func(r results.Row) float64
	sum   bool // add up over time
}

// panel is one plot of a run.
type panel struct {
	title, unit string
	curves      []curve
}

var panels = []panel{
	{"answers a second", "tries", []curve{
		{"fulfilled", green, func(r results.Row) float64 { return float64(r.Succeeded) }, false},
		{"dismissed", orange, func(r results.Row) float64 { return float64(r.Rejected) }, false},
		{"broken off", red, func(r results.Row) float64 { return float64(r.Aborted) }, false},
		{"left, unsent", purple, func(r results.Row) float64 { return float64(r.Abandoned + r.NotSent) }, false}}},
	{"latency", "ms", []curve{
		{"p50", green, func(r results.Row) float64 { return r.P50 }, false},
		{"p99", red, func(r results.Row) float64 { return r.P99 }, false}}},
	{"the counter", "calls, doors", []curve{
		{"calls a second", blue, func(r results.Row) float64 { return float64(r.CounterCalls) }, false},
		{"failed", red, func(r results.Row) float64 { return float64(r.CounterFailures) }, false},
		{"doors not calling", purple, func(r results.Row) float64 { return float64(r.OpenBreakers) }, false}}},
	{"drift of customers' counts from an honest counter's", "units", []curve{
		{"had more", red, func(r results.Row) float64 { return r.DriftOver }, false},
		{"had less", orange, func(r results.Row) float64 { return r.DriftUnder }, false}}},
}

// points are a curve's values over time.
func (c curve) points(run *results.Run) plotter.XYs {
	var all plotter.XYs
	sum := 0.0
	for _, r := range run.Rows {
		y := c.value(r)
		if c.sum {
			sum += y
			y = sum
		}
		all = append(all, plotter.XY{X: float64(r.Second), Y: y})
	}
	return all
}

// title names a run.
func title(r *results.Run) string {
	if r.Label != "" {
		return r.Scenario + ", " + r.Label
	}
	return r.Scenario
}

// build makes the columns of plots, a row a panel and the percentiles last.
func build(runs []*results.Run) ([][]*plot.Plot, error) {
	grid := make([][]*plot.Plot, len(panels)+1)
	for i, p := range panels {
		top, end := 0.0, 0.0
		for _, run := range runs {
			for _, c := range p.curves {
				for _, xy := range c.points(run) {
					top, end = math.Max(top, xy.Y), math.Max(end, xy.X)
				}
			}
		}
		top = math.Max(top*1.3, 1) // room for the legend
		for _, run := range runs {
			plt := plot.New()
			plt.Title.Text = title(run) + ": " + p.title
			plt.X.Label.Text, plt.Y.Label.Text = "s", p.unit
			for _, f := range run.Faults {
				from, until := f.From, math.Max(f.Until, f.From+0.1)
				box, err := plotter.NewPolygon(plotter.XYs{{X: from, Y: 0}, {X: until, Y: 0}, {X: until, Y: top}, {X: from, Y: top}})
				if err != nil {
					return nil, err
				}
				box.Color, box.LineStyle.Width = shade, 0
				plt.Add(box)
			}
			for _, c := range p.curves {
				line, err := plotter.NewLine(c.points(run))
				if err != nil {
					return nil, err
				}
				line.Color, line.Width = c.paint, vg.Points(1.2)
				plt.Add(line)
				plt.Legend.Add(c.name, line)
			}
			if p.title == "latency" {
				promised := plotter.NewFunction(func(float64) float64 { return run.LatencyObjective })
				promised.Color, promised.Dashes = blue, []vg.Length{vg.Points(3), vg.Points(3)}
				if run.LatencyObjective <= 1.5*top {
					plt.Add(promised)
					plt.Legend.Add("promised", promised)
					top = math.Max(top, run.LatencyObjective*1.05)
				}
			}
			plt.Legend.Top = true
			plt.X.Min, plt.X.Max, plt.Y.Min, plt.Y.Max = 0, end, 0, top
			grid[i] = append(grid[i], plt)
		}
	}
	for _, run := range runs {
		plt := plot.New()
		plt.Title.Text = title(run) + ": latency by percentile"
		plt.X.Label.Text, plt.Y.Label.Text = "of 1,000 answers, those slower", "ms"
		plt.X.Scale, plt.Y.Scale = plot.LogScale{}, plot.LogScale{}
		plt.X.Tick.Marker, plt.Y.Tick.Marker = plot.LogTicks{Prec: -1}, plot.LogTicks{Prec: -1}
		var xys plotter.XYs
		for _, p := range run.Latency {
			if slower := (100 - p.Percent) * 10; slower >= 0.05 && p.Ms > 0 {
				xys = append(xys, plotter.XY{X: slower, Y: p.Ms})
			}
		}
		if len(xys) > 1 {
			line, err := plotter.NewLine(xys)
			if err != nil {
				return nil, err
			}
			line.Color, line.Width = blue, vg.Points(1.2)
			plt.Add(line)
		} else { // nothing was answered: an empty log axis cannot be drawn
			plt.X.Scale, plt.Y.Scale = plot.LinearScale{}, plot.LinearScale{}
			plt.X.Tick.Marker, plt.Y.Tick.Marker = plot.DefaultTicks{}, plot.DefaultTicks{}
		}
		grid[len(panels)] = append(grid[len(panels)], plt)
	}
	return grid, nil
}

// canvas is one that can be written.
type canvas interface {
	vg.CanvasSizer
	io.WriterTo
}

func newCanvas(path string, w, h vg.Length) (canvas, error) {
	switch strings.ToLower(filepath.Ext(path)) {
	case ".png":
		return vgimg.PngCanvas{Canvas: vgimg.NewWith(vgimg.UseWH(w, h), vgimg.UseDPI(80), vgimg.UseBackgroundColor(color.White))}, nil
	case ".svg":
		return vgsvg.New(w, h), nil
	}
	return nil, fmt.Errorf("%s: a picture's name ends in .png or .svg", path)
}

// Draw draws one run, or several side by side, into a PNG or SVG file.
func Draw(path string, runs ...*results.Run) error {
	if len(runs) == 0 || len(runs) > 4 {
		return fmt.Errorf("%d runs: one to four stand side by side", len(runs))
	}
	grid, err := build(runs)
	if err != nil {
		return err
	}
	c, err := newCanvas(path, vg.Length(len(runs))*6*vg.Inch, vg.Length(len(grid))*2.4*vg.Inch)
	if err != nil {
		return err
	}
	tiles := draw.Tiles{Rows: len(grid), Cols: len(runs), PadX: vg.Points(8), PadY: vg.Points(8), PadTop: vg.Points(4),
		PadBottom: vg.Points(4), PadLeft: vg.Points(4), PadRight: vg.Points(10)}
	all := plot.Align(grid, tiles, draw.New(c))
	for i := range grid {
		for j := range grid[i] {
			grid[i][j].Draw(all[i][j])
		}
	}
	return write(path, c)
}

func write(path string, c canvas) error {
	var buf bytes.Buffer
	if _, err := c.WriteTo(&buf); err != nil {
		return err
	}
	return os.WriteFile(path, buf.Bytes(), 0o644)
}

// Table writes the runs' totals side by side, and what rules were found broken.
func Table(w io.Writer, runs ...*results.Run) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	row := func(name string, value func(*results.Run) string) {
		fmt.Fprint(t, name)
		for _, r := range runs {
			fmt.Fprint(t, "\t", value(r))
		}
		fmt.Fprintln(t)
	}
	seen := func(value func(*results.Run) string) func(*results.Run) string {
		return func(r *results.Run) string {
			if r.On == results.OnClients {
				return "not seen by clients"
			}
			return value(r)
		}
	}
	percent := func(part, all float64) string { return fmt.Sprintf("%.1f%%", 100*part/math.Max(all, 1)) }
	row("run", title)
	row("played on", func(r *results.Run) string {
		return fmt.Sprintf("%s, %d doors, %d backends, seed %d", r.On, r.Instances, r.Backends, r.Seed)
	})
	row("transactions, tries", func(r *results.Run) string { return fmt.Sprint(r.Total.Requests, ", ", r.Total.Submitted) })
	row("fulfilled, of transactions", func(r *results.Run) string {
		return percent(float64(r.Total.Succeeded), float64(r.Total.Requests+r.Total.NotSent))
	})
	row("late, of fulfilled", func(r *results.Run) string { return percent(float64(r.Total.Late), float64(r.Total.Succeeded)) })
	row("dismissed, broken off, left, unsent", func(r *results.Run) string {
		return fmt.Sprint(r.Total.Rejected, ", ", r.Total.Aborted, ", ", r.Total.Abandoned, ", ", r.Total.NotSent)
	})
	row("p50, p90, p99, p99.9, most, ms", func(r *results.Run) string {
		return fmt.Sprintf("%.1f, %.1f, %.1f, %.1f, %.1f", r.Total.P50, r.Total.P90, r.Total.P99, r.Total.P999, r.Total.Max)
	})
	row("shots a fulfilled try", seen(func(r *results.Run) string {
		return fmt.Sprintf("%.3f", float64(r.Total.Attempts)/math.Max(float64(r.Total.Succeeded), 1))
	}))
	row("counter calls, failed", seen(func(r *results.Run) string { return fmt.Sprint(r.Total.CounterCalls, ", ", r.Total.CounterFailures) }))
	row("withdrawn, with a shot after, p50, p99, most, ms", seen(func(r *results.Run) string {
		if r.Withdrawals == nil {
			return "none"
		}
		w := r.Withdrawals
		return fmt.Sprintf("%d, %d, %.1f, %.1f, %.1f", w.Count, w.WithAttempt, w.P50, w.P99, w.Max)
	}))
	row("dns updates answered", seen(func(r *results.Run) string { return fmt.Sprint(r.DNSUpdates) }))
	row("drift: had more, had less", seen(func(r *results.Run) string {
		over, under := r.Drift()
		return fmt.Sprintf("%.1f%%, %.1f%%", 100*over, 100*under)
	}))
	row("load tool's lag p50, p99, ms", func(r *results.Run) string { return fmt.Sprintf("%.2f, %.2f", r.LagP50, r.LagP99) })
	row("rules 1 to 5 broken", func(r *results.Run) string {
		return fmt.Sprint(r.RulesBroken["1"], ", ", r.RulesBroken["2"], ", ", r.RulesBroken["3"], ", ", r.RulesBroken["4"], ", ", r.RulesBroken["5"])
	})
	if err := t.Flush(); err != nil {
		return err
	}
	for _, r := range runs {
		for _, f := range r.Findings {
			fmt.Fprintf(w, "%s: rule %d at %.3f s: %s\n", title(r), f.Rule, float64(f.AtNanos)/1e9, f.What)
		}
	}
	return nil
}

// Sweep draws what came of a scenario as one of its figures took several values; labels are the values.
func Sweep(path, key string, labels []string, runs []*results.Run) error {
	c, err := newCanvas(path, 7*vg.Inch, 7*vg.Inch)
	if err != nil {
		return err
	}
	measures := []struct {
		title  string
		curves map[string]func(*results.Run) float64
		order  []string
	}{
		{"shares, %", map[string]func(*results.Run) float64{
			"fulfilled of transactions": func(r *results.Run) float64 {
				return 100 * float64(r.Total.Succeeded) / math.Max(float64(r.Total.Requests+r.Total.NotSent), 1)
			},
			"had more": func(r *results.Run) float64 { over, _ := r.Drift(); return 100 * over },
			"had less": func(r *results.Run) float64 { _, under := r.Drift(); return 100 * under },
		}, []string{"fulfilled of transactions", "had more", "had less"}},
		{"latency, ms", map[string]func(*results.Run) float64{
			"p50": func(r *results.Run) float64 { return r.Total.P50 },
			"p99": func(r *results.Run) float64 { return r.Total.P99 },
		}, []string{"p50", "p99"}},
	}
	paints := []color.Color{green, red, orange}
	var grid [][]*plot.Plot
	for _, m := range measures {
		plt := plot.New()
		plt.Title.Text = runs[0].Scenario + ": " + m.title
		plt.X.Label.Text = key
		plt.NominalX(labels...)
		plt.Y.Min = 0
		for n, name := range m.order {
			xys := make(plotter.XYs, len(runs))
			for i, r := range runs {
				xys[i] = plotter.XY{X: float64(i), Y: m.curves[name](r)}
			}
			line, dots, err := plotter.NewLinePoints(xys)
			if err != nil {
				return err
			}
			line.Color, dots.Color = paints[n], paints[n]
			plt.Add(line, dots)
			plt.Legend.Add(name, line)
		}
		plt.Legend.Top = true
		plt.Y.Max *= 1.3 // room for the legend
		plt.X.Min, plt.X.Max = -0.3, float64(len(runs))-0.7
		grid = append(grid, []*plot.Plot{plt})
	}
	all := plot.Align(grid, draw.Tiles{Rows: len(grid), Cols: 1, PadY: vg.Points(10), PadRight: vg.Points(10)}, draw.New(c))
	for i := range grid {
		grid[i][0].Draw(all[i][0])
	}
	return write(path, c)
}
