package demo

import (
	"io"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 4.5 * vg.Inch
	margin     = 0.5          // left of the first operation, in operations
	markRadius = vg.Length(4) // points
)

// WriteSVG draws the p99 of each operation and variant: a mark at the median over the seeds, a
// line from the least to the most. The scale is logarithmic.
func (m *Measurement) WriteSVG(out io.Writer) error {
	p, err := m.draw()
	if err != nil {
		return err
	}
	svg, err := p.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return err
	}
	_, err = svg.WriteTo(out)
	return err
}

func (m *Measurement) draw() (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = m.Experiment.Name + ": " + m.Experiment.About
	p.Y.Label.Text = "p99, ms"
	p.Y.Scale = plot.LogScale{}
	p.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	p.Legend.Top = true
	names := make([]string, len(m.Experiment.Operations))
	for i, o := range m.Experiment.Operations {
		names[i] = strings.ReplaceAll(string(o), "-", " ")
	}
	p.NominalX(names...)
	p.X.Min = -margin
	p.X.Max = float64(len(names)) // room for the legend
	for i := range m.Experiment.Variants {
		if err := m.addVariant(p, i); err != nil {
			return nil, err
		}
	}
	return p, nil
}

// addVariant adds a mark at the median of each operation and a line over its spread.
func (m *Measurement) addVariant(p *plot.Plot, variant int) error {
	marks, err := plotter.NewScatter(m.spreads(variant))
	if err != nil {
		return err
	}
	marks.Color = plotutil.Color(variant)
	marks.Shape = draw.CircleGlyph{}
	marks.Radius = markRadius
	lines, err := plotter.NewYErrorBars(m.spreads(variant))
	if err != nil {
		return err
	}
	lines.Color = marks.Color
	p.Add(marks, lines)
	p.Legend.Add(m.Experiment.Variants[variant].Name, marks)
	return nil
}

// spreads returns the points of a variant, side by side with those of the others.
func (m *Measurement) spreads(variant int) spreads {
	const group = 0.6 // of the distance between two operations
	n := len(m.Experiment.Variants)
	offset := group * (float64(variant) - float64(n-1)/2) / float64(n)
	var s spreads
	for i, operation := range m.Experiment.Operations {
		p99 := m.row(variant, operation).P99Ms
		s.XYs = append(s.XYs, plotter.XY{X: float64(i) + offset, Y: p99.Median})
		s.YErrors = append(s.YErrors, struct{ Low, High float64 }{p99.Median - p99.Least, p99.Most - p99.Median})
	}
	return s
}

// spreads are points with the ends of their spreads.
type spreads struct {
	plotter.XYs
	plotter.YErrors
}
