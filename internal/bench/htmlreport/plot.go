package htmlreport

import (
	"bytes"
	"html/template"
	"image/color"
	"math"
	"strings"

	"egrethaven/internal/bench/figure"
	"egrethaven/internal/bench/scenario"

	"github.com/juju/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Sizes of a plot, its bars and its lines.
const (
	width     = 20 * vg.Centimeter
	height    = 10 * vg.Centimeter
	barWidth  = 14 * vg.Millimeter
	lineWidth = vg.Length(1.5)
)

// barCharts are the figures that are drawn as bar charts of all arms.
var barCharts = []struct{ name, title string }{
	{"coverage", "Coverage"},
	{"complete_share", "Share of complete answers"},
	{"extra_load", "Extra load"},
}

// renderPlots renders every plot that the report has data for.
func renderPlots(r scenario.Report) ([]renderedPlot, error) {
	var ps []renderedPlot
	add := func(title string, p *plot.Plot, err error) error {
		if err != nil || p == nil {
			return errors.Trace(err)
		}
		ps = append(ps, renderedPlot{Title: title, SVG: svg(p)})
		return nil
	}
	p, err := latencyPlot(r)
	if err := add("Latency by quantile", p, err); err != nil {
		return nil, err
	}
	for _, b := range barCharts {
		p, err := barChart(r, b.name)
		if err := add(b.title, p, err); err != nil {
			return nil, err
		}
	}
	for _, s := range seriesTypes(r) {
		p, err := seriesPlot(r, s)
		if err := add(s.Name+" over "+s.Over, p, err); err != nil {
			return nil, err
		}
	}
	return ps, nil
}

// latencyPlot draws the latency against -log10(1 - quantile), the number of
// nines of the quantile. It returns nil without data.
func latencyPlot(r scenario.Report) (*plot.Plot, error) {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = "quantile", "milliseconds"
	p.X.Tick.Marker = plot.ConstantTicks{
		{Value: 0, Label: "0"}, {Value: 1, Label: "0.9"}, {Value: 2, Label: "0.99"}, {Value: 3, Label: "0.999"},
	}
	n := 0
	for _, a := range r.Arms {
		var xy plotter.XYs
		for _, l := range a.LatencyMS {
			if l.X < 1 {
				xy = append(xy, plotter.XY{X: -math.Log10(1 - l.X), Y: l.Y})
			}
		}
		if len(xy) == 0 {
			continue
		}
		if err := addLine(p, a.Name, xy, n); err != nil {
			return nil, errors.Trace(err)
		}
		n++
	}
	if n == 0 {
		return nil, nil
	}
	p.Y.Min = 0
	return p, nil
}

// barChart draws one figure of all arms. It returns nil if no arm has it.
func barChart(r scenario.Report, name string) (*plot.Plot, error) {
	var vs plotter.Values
	var names []string
	for _, a := range r.Arms {
		if v, ok := figure.Find(a, name); ok {
			vs, names = append(vs, v), append(names, a.Name)
		}
	}
	if len(vs) == 0 {
		return nil, nil
	}
	b, err := plotter.NewBarChart(vs, barWidth)
	if err != nil {
		return nil, errors.Trace(err)
	}
	b.Color = plotutil.Color(0)
	p := plot.New()
	p.Add(b)
	p.NominalX(names...)
	p.Y.Min = 0
	return p, nil
}

// secondsAxis is the default X axis of a series.
const secondsAxis = "second"

// seriesTypes returns each different series name with its X axis, without points.
func seriesTypes(r scenario.Report) []scenario.Series {
	var types []scenario.Series
	seen := map[string]bool{}
	for _, a := range r.Arms {
		for _, s := range a.Series {
			if seen[s.Name] {
				continue
			}
			seen[s.Name] = true
			if s.Over == "" {
				s.Over = secondsAxis
			}
			types = append(types, scenario.Series{Name: s.Name, Over: s.Over})
		}
	}
	return types
}

// seriesPlot draws one series of all arms. A plot over time also shows the
// events of the run. It returns nil without data.
func seriesPlot(r scenario.Report, series scenario.Series) (*plot.Plot, error) {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = series.Over, series.Name
	n := 0
	for _, a := range r.Arms {
		for _, s := range a.Series {
			if s.Name != series.Name || len(s.Points) == 0 {
				continue
			}
			xy := make(plotter.XYs, len(s.Points))
			for i, q := range s.Points {
				xy[i] = plotter.XY{X: q.X, Y: q.Y}
			}
			if err := addLine(p, a.Name, xy, n); err != nil {
				return nil, errors.Trace(err)
			}
			n++
		}
	}
	if n == 0 {
		return nil, nil
	}
	p.Y.Min = 0
	if series.Over != secondsAxis {
		return p, nil
	}
	return p, errors.Trace(addEvents(p, r.Timeline))
}

// addEvents draws a vertical line at each event.
func addEvents(p *plot.Plot, events []scenario.Event) error {
	for _, e := range events {
		l, err := plotter.NewLine(plotter.XYs{{X: e.Second, Y: p.Y.Min}, {X: e.Second, Y: p.Y.Max}})
		if err != nil {
			return errors.Trace(err)
		}
		l.Color = color.Gray{Y: 128}
		l.Dashes = plotutil.Dashes(1)
		p.Add(l)
	}
	return nil
}

// addLine adds one line to a plot and its legend.
func addLine(p *plot.Plot, name string, xy plotter.XYs, colorIndex int) error {
	l, err := plotter.NewLine(xy)
	if err != nil {
		return errors.Trace(err)
	}
	l.Color, l.Width = plotutil.Color(colorIndex), lineWidth
	p.Add(l)
	p.Legend.Add(name, l)
	p.Legend.Top, p.Legend.Left = true, true
	return nil
}

// svg renders a plot as an SVG element.
func svg(p *plot.Plot) template.HTML {
	c := vgsvg.New(width, height)
	p.Draw(draw.New(c))
	var b bytes.Buffer
	// Writes to a buffer don't fail.
	_, _ = c.WriteTo(&b)
	s := b.String()
	return template.HTML(s[strings.Index(s, "<svg"):])
}
