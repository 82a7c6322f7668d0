package main

import (
	"fmt"
	"image/color"
	"os"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	panelWidth   = 14 * vg.Centimeter // of one panel
	panelHeight  = 10 * vg.Centimeter
	panelsPerRow = 3 // panels in one row of the chart
)

// drawChart writes an SVG with one panel for each unit and kind of size. Both axes are logarithmic, so that a power law is a straight line.
func (r *results) drawChart(path string) error {
	var panels []string
	seriesByPanel := map[string][]*series{}
	for _, s := range r.Series {
		_, unit, _ := strings.Cut(s.Key, "/")
		title := unit + " by " + s.SizeName
		if len(seriesByPanel[title]) == 0 {
			panels = append(panels, title)
		}
		seriesByPanel[title] = append(seriesByPanel[title], s)
	}
	rows := (len(panels) + panelsPerRow - 1) / panelsPerRow
	canvas := vgsvg.New(panelsPerRow*panelWidth, vg.Length(max(1, rows))*panelHeight)
	tiles := draw.Tiles{Rows: max(1, rows), Cols: panelsPerRow, PadX: vg.Centimeter / 2, PadY: vg.Centimeter / 2}
	page := draw.New(canvas)
	for i, title := range panels {
		panel := plot.New()
		panel.Title.Text = title
		panel.X.Label.Text = seriesByPanel[title][0].SizeName
		panel.X.Scale, panel.Y.Scale = plot.LogScale{}, plot.LogScale{}
		panel.X.Tick.Marker, panel.Y.Tick.Marker = plot.LogTicks{Prec: 1}, plot.LogTicks{Prec: 1}
		panel.Legend.Left, panel.Legend.Top = true, true
		panel.Legend.TextStyle.Font.Size = 8
		panel.Add(plotter.NewGrid())
		drawn := 0
		x, y := axisRange{}, axisRange{}
		for index, s := range seriesByPanel[title] {
			var xy plotter.XYs
			for _, sample := range s.Points {
				if sample.Value > 0 {
					xy = append(xy, plotter.XY{X: float64(sample.Size), Y: sample.Value})
				}
			}
			if len(xy) < 2 {
				continue
			}
			line, points, err := plotter.NewLinePoints(xy)
			if err != nil {
				return fmt.Errorf("%s: %w", s.Key, err)
			}
			line.Color, points.Color, points.Shape = plotutil.Color(index), color.Black, plotutil.Shape(index)
			panel.Add(line, points)
			for _, sample := range xy {
				x, y = x.including(sample.X), y.including(sample.Y)
			}
			drawn++
			name, _, _ := strings.Cut(s.Key, "/")
			panel.Legend.Add(fmt.Sprintf("%s ^%.2f", name, s.Fit.Exponent), line, points)
		}
		if drawn == 0 { // a logarithmic axis needs a value above zero
			continue
		}
		panel.X.Min, panel.X.Max = x.low/1.2, x.high*1.2 // a flat series would otherwise get an axis below zero
		panel.Y.Min, panel.Y.Max = y.low/1.2, y.high*1.2
		panel.Draw(tiles.At(page, i%panelsPerRow, i/panelsPerRow))
	}
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	defer f.Close()
	if _, err = canvas.WriteTo(f); err != nil {
		return err
	}
	return f.Close()
}

// axisRange is the range of values on an axis; high is 0 while it is empty.
type axisRange struct{ low, high float64 }

// including returns the range extended to a value.
func (r axisRange) including(value float64) axisRange {
	if r.high == 0 {
		return axisRange{value, value}
	}
	return axisRange{min(r.low, value), max(r.high, value)}
}
