// Package plots draws the results of runs. Each run is a column of panels over time (answers, latencies, counter
// calls, drift) and a plot of latency percentiles. All columns have the same scales, so that runs before and after
// a change can be compared side by side. The package also draws sweeps and the costs of zones, and writes tables.
// Its functions are safe for concurrent use.
package plots

import (
	"bytes"
	"fmt"
	"image/color"
	"io"
	"os"
	"path/filepath"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
	"gonum.org/v1/plot/vg/vgsvg"

	"fawnplank/internal/lab/results"
)

// Colors of the Okabe-Ito palette, which are distinguishable with most kinds of color blindness.
var (
	green      = color.RGBA{R: 0, G: 158, B: 115, A: 255}
	orange     = color.RGBA{R: 230, G: 159, B: 0, A: 255}
	red        = color.RGBA{R: 213, G: 94, B: 0, A: 255}
	blue       = color.RGBA{R: 0, G: 114, B: 178, A: 255}
	purple     = color.RGBA{R: 204, G: 121, B: 167, A: 255}
	faultShade = color.NRGBA{R: 120, G: 120, B: 120, A: 45}
)

// MaxRuns is the largest number of runs that DrawRuns draws side by side.
const MaxRuns = 4

// The sizes of pictures of runs.
const (
	columnInches = 6
	panelInches  = 2.4
	pngDPI       = 80
)

// canvas is a drawing area that can be written to a file.
type canvas interface {
	vg.CanvasSizer
	io.WriterTo
}

func newCanvas(path string, width, height vg.Length) (canvas, error) {
	switch strings.ToLower(filepath.Ext(path)) {
	case ".png":
		image := vgimg.NewWith(
			vgimg.UseWH(width, height), vgimg.UseDPI(pngDPI), vgimg.UseBackgroundColor(color.White))
		return vgimg.PngCanvas{Canvas: image}, nil
	case ".svg":
		return vgsvg.New(width, height), nil
	}
	return nil, fmt.Errorf("%s: the name of a picture must end in .png or .svg", path)
}

// DrawRuns draws one run, or up to MaxRuns side by side, into a PNG or SVG file.
func DrawRuns(path string, runs ...*results.Run) error {
	if len(runs) == 0 || len(runs) > MaxRuns {
		return fmt.Errorf("cannot draw %d runs: one to four runs are allowed", len(runs))
	}
	grid, err := buildGrid(runs)
	if err != nil {
		return err
	}
	width := vg.Length(len(runs)) * columnInches * vg.Inch
	height := vg.Length(len(grid)) * panelInches * vg.Inch
	picture, err := newCanvas(path, width, height)
	if err != nil {
		return err
	}
	drawGrid(picture, grid, runPadding)
	return writePicture(path, picture)
}

// runPadding is the space between and around the plots in pictures of runs and of costs.
var runPadding = draw.Tiles{
	PadX:      vg.Points(8),
	PadY:      vg.Points(8),
	PadTop:    vg.Points(4),
	PadBottom: vg.Points(4),
	PadLeft:   vg.Points(4),
	PadRight:  vg.Points(10),
}

// drawGrid draws a grid of plots of equal size. The numbers of rows and columns in padding are ignored.
func drawGrid(picture canvas, grid [][]*plot.Plot, padding draw.Tiles) {
	tiles := padding
	tiles.Rows = len(grid)
	tiles.Cols = len(grid[0])
	areas := plot.Align(grid, tiles, draw.New(picture))
	for row := range grid {
		for column := range grid[row] {
			grid[row][column].Draw(areas[row][column])
		}
	}
}

// writePicture writes a picture to a file. It creates no file if the picture cannot be encoded.
func writePicture(path string, picture canvas) error {
	var encoded bytes.Buffer
	if _, err := picture.WriteTo(&encoded); err != nil {
		return err
	}
	return os.WriteFile(path, encoded.Bytes(), 0o644)
}
