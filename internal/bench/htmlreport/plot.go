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

// The size of a plot and of its lines.
const (
	width     = 20 * vg.Centimeter
	height    = 10 * vg.Centimeter
	barWidth  = 14 * vg.Millimeter
	lineWidth = vg.Length(1.5)
)

// bars are the figures that are drawn beside each other.
var bars = []struct{ name, title string }{
	{"coverage", "Coverage"},
	{"complete_share", "Share of complete answers"},
	{"extra_load", "Extra load"},
}

// plots draws everything that a report has.
func plots(r scenario.Report) ([]plotted, error) {
	var ps []plotted
	add := func(title string, p *plot.Plot, err error) error {
		if err != nil || p == nil {
			return errors.Trace(err)
		}
		ps = append(ps, plotted{Title: title, SVG: svg(p)})
		return nil
	}
	p, err := distribution(r)
	if err := add("Latency by quantile", p, err); err != nil {
		return nil, err
	}
	for _, b := range bars {
		p, err := bar(r, b.name)
		if err := add(b.title, p, err); err != nil {
			return nil, err
		}
	}
	for _, s := range kinds(r) {
		p, err := over(r, s)
		if err := add(s.Name+" over "+s.Over, p, err); err != nil {
			return nil, err
		}
	}
	return ps, nil
}

// distribution draws latency against the number of nines of its quantile.
func distribution(r scenario.Report) (*plot.Plot, error) {
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
		if err := line(p, a.Name, xy, n); err != nil {
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

// bar draws one figure of all arms; nil when none has it.
func bar(r scenario.Report, name string) (*plot.Plot, error) {
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

// seconds is what a series is drawn over, unless it says otherwise.
const seconds = "second"

// kinds returns one series of each name, without its points.
func kinds(r scenario.Report) []scenario.Series {
	var ks []scenario.Series
	seen := map[string]bool{}
	for _, a := range r.Arms {
		for _, s := range a.Series {
			if seen[s.Name] {
				continue
			}
			seen[s.Name] = true
			if s.Over == "" {
				s.Over = seconds
			}
			ks = append(ks, scenario.Series{Name: s.Name, Over: s.Over})
		}
	}
	return ks
}

// over draws one series of all arms; over time, with the events of the run.
func over(r scenario.Report, kind scenario.Series) (*plot.Plot, error) {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = kind.Over, kind.Name
	n := 0
	for _, a := range r.Arms {
		for _, s := range a.Series {
			if s.Name != kind.Name || len(s.Points) == 0 {
				continue
			}
			xy := make(plotter.XYs, len(s.Points))
			for i, q := range s.Points {
				xy[i] = plotter.XY{X: q.X, Y: q.Y}
			}
			if err := line(p, a.Name, xy, n); err != nil {
				return nil, errors.Trace(err)
			}
			n++
		}
	}
	if n == 0 {
		return nil, nil
	}
	p.Y.Min = 0
	if kind.Over != seconds {
		return p, nil
	}
	return p, errors.Trace(marks(p, r.Timeline))
}

// marks draws a vertical line at each event.
func marks(p *plot.Plot, ms []scenario.Event) error {
	for _, m := range ms {
		l, err := plotter.NewLine(plotter.XYs{{X: m.Second, Y: p.Y.Min}, {X: m.Second, Y: p.Y.Max}})
		if err != nil {
			return errors.Trace(err)
		}
		l.Color = color.Gray{Y: 128}
		l.Dashes = plotutil.Dashes(1)
		p.Add(l)
	}
	return nil
}

// line adds one line to a plot and its legend.
func line(p *plot.Plot, name string, xy plotter.XYs, n int) error {
	l, err := plotter.NewLine(xy)
	if err != nil {
		return errors.Trace(err)
	}
	l.Color, l.Width = plotutil.Color(n), lineWidth
	p.Add(l)
	p.Legend.Add(name, l)
	p.Legend.Top, p.Legend.Left = true, true
	return nil
}

// svg draws a plot as an SVG element.
func svg(p *plot.Plot) template.HTML {
	c := vgsvg.New(width, height)
	p.Draw(draw.New(c))
	var b bytes.Buffer
	// Writes to a buffer don't fail.
	_, _ = c.WriteTo(&b)
	s := b.String()
	return template.HTML(s[strings.Index(s, "<svg"):])
}
