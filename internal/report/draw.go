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

// The size of a chart.
const (
	chartWidth  = 16 * vg.Centimeter
	chartHeight = 6 * vg.Centimeter
)

// palette are told apart by those who see few colours, too (Okabe and Ito).
var palette = []color.RGBA{{0, 114, 178, 255}, {213, 94, 0, 255}, {0, 158, 115, 255}, {204, 121, 167, 255}, {230, 159, 0, 255},
	{86, 180, 233, 255}, {0, 0, 0, 255}, {120, 120, 120, 255}}

// render draws a chart as SVG.
func render(c *Chart) (template.HTML, error) {
	p := plot.New()
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = c.Unit
	for _, t := range []*font.Font{&p.X.Label.TextStyle.Font, &p.Y.Label.TextStyle.Font, &p.X.Tick.Label.Font, &p.Y.Tick.Label.Font,
		&p.Legend.TextStyle.Font} {
		t.Variant, t.Size = "Sans", 8
	}
	p.Legend.Top, p.Legend.Left = true, true
	p.Legend.ThumbnailWidth = 12
	p.Add(plotter.NewGrid())
	for i, l := range c.Lines {
		points := make(plotter.XYs, len(l.X))
		for j := range l.X {
			points[j].X, points[j].Y = l.X[j], l.Y[j]
		}
		line, dots, err := plotter.NewLinePoints(points)
		if err != nil {
			return "", fmt.Errorf("report: %s: %w", c.Title, err)
		}
		line.Color = palette[i%len(palette)]
		line.Width = vg.Points(1.2)
		dots.Color = line.Color
		dots.Shape, dots.Radius = draw.CircleGlyph{}, vg.Points(1.2)
		p.Add(line, dots)
		p.Legend.Add(l.Name, line)
	}
	p.Y.Min = min(0, p.Y.Min)
	if c.Limit > 0 {
		limit := plotter.NewFunction(func(float64) float64 { return c.Limit })
		limit.Color, limit.Dashes = color.RGBA{200, 0, 0, 255}, []vg.Length{vg.Points(4), vg.Points(3)}
		p.Add(limit)
		p.Legend.Add("limit", limit)
		p.Y.Max = max(p.Y.Max, 1.1*c.Limit)
	}
	p.Y.Max += 0.25 * (p.Y.Max - p.Y.Min)  // room for the legend
	p.X.Min, p.X.Max = 0, max(1, c.Length) // all charts of a run have one axis
	canvas := vgsvg.New(chartWidth, chartHeight)
	p.Draw(draw.New(canvas))
	var b bytes.Buffer
	if _, err := canvas.WriteTo(&b); err != nil {
		return "", fmt.Errorf("report: %s: %w", c.Title, err)
	}
	svg := b.Bytes()
	if at := bytes.Index(svg, []byte("<svg")); at > 0 {
		svg = svg[at:] // a declaration of XML has no place inside of a page
	}
	return template.HTML(svg), nil //nolint:gosec // the canvas escapes texts
}
