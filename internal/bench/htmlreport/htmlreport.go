// Package htmlreport writes a report as one self-contained HTML page of plots.
//
// # Usage
//
//	err := htmlreport.Write(file, report)
package htmlreport

import (
	"html/template"
	"io"

	"egrethaven/internal/bench/figure"
	"egrethaven/internal/bench/scenario"

	"github.com/juju/errors"
)

// content is the data of the template.
type content struct {
	scenario.Report
	Plots []renderedPlot
}

// renderedPlot is a plot as an SVG element.
type renderedPlot struct {
	Title string
	SVG   template.HTML
}

// Write draws the plots of a report and writes the page.
func Write(w io.Writer, r scenario.Report) error {
	ps, err := renderPlots(r)
	if err != nil {
		return errors.Annotate(err, "draw plots")
	}
	return errors.Trace(layout.Execute(w, content{Report: r, Plots: ps}))
}

// targetStatus returns "met" or "missed", or nothing without a target.
func targetStatus(f scenario.Figure) string {
	switch {
	case f.Target == nil:
		return ""
	case figure.Met(f):
		return "met"
	}
	return "missed"
}

var layout = template.Must(template.New("page").Funcs(template.FuncMap{"mark": targetStatus}).Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>egrethaven bench {{.Scenario}}</title>
<style>
body { font-family: sans-serif; max-width: 60em; margin: 2em auto; }
table { border-collapse: collapse; } td, th { padding: .15em .8em; text-align: left; border-bottom: 1px solid #ddd; }
.met { color: #060; } .missed { color: #a00; font-weight: bold; }
svg { width: 100%; height: auto; }
</style></head><body>
<h1>{{.Scenario}}</h1>
<p>Seed {{.Seed}}</p>
{{range .Plots}}<h2>{{.Title}}</h2>
{{.SVG}}
{{end}}
{{if .Timeline}}<h2>Events</h2>
<table><tr><th>second</th><th>event</th></tr>
{{range .Timeline}}<tr><td>{{printf "%.2f" .Second}}</td><td>{{.What}}</td></tr>
{{end}}</table>{{end}}
<h2>Figures</h2>
<table><tr><th>arm</th><th>figure</th><th>value</th><th>target</th><th></th></tr>
{{range .Ratios}}<tr><td>ratio</td><td>{{.Name}}</td><td>{{printf "%.4g" .Value}}</td><td>{{with .Target}}{{.}}{{end}}</td><td class="{{mark .}}">{{mark .}}</td></tr>
{{end}}{{range $a := .Arms}}{{range .Figures}}<tr><td>{{$a.Name}}</td><td>{{.Name}}</td><td>{{printf "%.4g" .Value}}</td><td>{{with .Target}}{{.}}{{end}}</td><td class="{{mark .}}">{{mark .}}</td></tr>
{{end}}<tr><td>{{.Name}}</td><td>wrong answers</td><td>{{.Wrong.Total}}</td><td>0</td><td></td></tr>
{{end}}</table>
{{if .Notes}}<h2>Notes</h2><ul>{{range .Notes}}<li>{{.}}</li>{{end}}</ul>{{end}}
</body></html>
`))
