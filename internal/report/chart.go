package report

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/font"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Line is one line of a chart.
type Line struct {
	Name string
	X    []float64 // seconds since the start of the incarnation's first interval
	Y    []float64
}

// add appends a point.
func (l *Line) add(x, y float64) {
	l.X, l.Y = append(l.X, x), append(l.Y, y)
}

// Chart is a chart of lines over time.
type Chart struct {
	Title, Unit string
	Limit       float64 // drawn as a horizontal line if greater than 0
	Lines       []Line
	SVG         template.HTML
	Length      float64 // length of the time axis in seconds
	severity    float64 // charts are sorted by descending severity
}

// Sizes of a chart and its parts.
const (
	chartWidth     = 16 * vg.Centimeter
	chartHeight    = 6 * vg.Centimeter
	lineWidth      = 1.2 // points
	fontSize       = 8   // points
	thumbnailWidth = 12  // points
)

const (
	legendFraction = 0.25 // space above the lines for the legend, as a fraction of the range of values
	limitHeadroom  = 1.1  // minimum ratio of the top of the axis, before the legend, to the limit
)

// palette is distinguishable with color blindness (Okabe and Ito).
var palette = []color.RGBA{
	{0, 114, 178, 255},
	{213, 94, 0, 255},
	{0, 158, 115, 255},
	{204, 121, 167, 255},
	{230, 159, 0, 255},
	{86, 180, 233, 255},
	{0, 0, 0, 255},
	{120, 120, 120, 255},
}

var limitColor = color.RGBA{200, 0, 0, 255}

// render draws the chart as SVG.
func (c *Chart) render() (template.HTML, error) {
	p := newPlot(c.Unit)
	for i := range c.Lines {
		if err := addLine(p, &c.Lines[i], palette[i%len(palette)]); err != nil {
			return "", fmt.Errorf("report: draw chart %q: %w", c.Title, err)
		}
	}
	p.Y.Min = min(0, p.Y.Min)
	if c.Limit > 0 {
		addLimit(p, c.Limit)
	}
	p.Y.Max += legendFraction * (p.Y.Max - p.Y.Min)
	p.X.Min, p.X.Max = 0, max(1, c.Length) // all charts of an incarnation have the same time axis
	svg, err := renderSVG(p)
	if err != nil {
		return "", fmt.Errorf("report: draw chart %q: %w", c.Title, err)
	}
	return svg, nil
}

func newPlot(unit string) *plot.Plot {
	p := plot.New()
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = unit
	for _, f := range []*font.Font{
		&p.X.Label.TextStyle.Font, &p.Y.Label.TextStyle.Font,
		&p.X.Tick.Label.Font, &p.Y.Tick.Label.Font,
		&p.Legend.TextStyle.Font,
	} {
		f.Variant, f.Size = "Sans", fontSize
	}
	p.Legend.Top, p.Legend.Left = true, true
	p.Legend.ThumbnailWidth = thumbnailWidth
	p.Add(plotter.NewGrid())
	return p
}

func addLine(p *plot.Plot, l *Line, c color.RGBA) error {
	points := make(plotter.XYs, len(l.X))
	for i := range l.X {
		points[i].X, points[i].Y = l.X[i], l.Y[i]
	}
	line, dots, err := plotter.NewLinePoints(points)
	if err != nil {
		return err
	}
	line.Color, line.Width = c, vg.Points(lineWidth)
	dots.Color = c
	dots.Shape, dots.Radius = draw.CircleGlyph{}, vg.Points(lineWidth)
	p.Add(line, dots)
	p.Legend.Add(l.Name, line)
	return nil
}

func addLimit(p *plot.Plot, limit float64) {
	line := plotter.NewFunction(func(float64) float64 { return limit })
	line.Color, line.Dashes = limitColor, []vg.Length{vg.Points(4), vg.Points(3)}
	p.Add(line)
	p.Legend.Add("limit", line)
	p.Y.Max = max(p.Y.Max, limitHeadroom*limit)
}

func renderSVG(p *plot.Plot) (template.HTML, error) {
	canvas := vgsvg.New(chartWidth, chartHeight)
	p.Draw(draw.New(canvas))
	var b bytes.Buffer
	if _, err := canvas.WriteTo(&b); err != nil {
		return "", err
	}
	svg := b.Bytes()
	if start := bytes.Index(svg, []byte("<svg")); start > 0 {
		svg = svg[start:] // without the XML declaration, which is not allowed inside HTML
	}
	return template.HTML(svg), nil // the canvas escapes texts
}
