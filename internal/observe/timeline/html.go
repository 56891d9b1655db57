package timeline

import (
	"html/template"
	"io"

	"github.com/juju/errors"

	"egrethaven/internal/observe/event"
)

// Dimensions of the chart, in pixels.
const (
	labelWidth   = 200
	plotWidth    = 1000
	rowHeight    = 26
	legendHeight = 30
)

// areaColors holds the color of each area. The index is the event number divided by
// 100.
var areaColors = []string{"#777", "#1f77b4", "#2ca02c", "#d62728", "#9467bd", "#8c564b", "#e377c2", "#ff7f0e", "#bcbd22", "#17becf"}

// areaNames holds the names of the areas, with the indexes of areaColors.
var areaNames = []string{"", "node", "query", "backend server", "platform", "configuration", "peer", "write", "health", "operator"}

// mark is the dot of one event.
type mark struct {
	X, Y  int
	Color string
	Event event.Event
}

// label is a text at a position.
type label struct {
	X, Y        int
	Text, Color string
}

// chart is the input of the page template.
type chart struct {
	Width, Height int
	Rows          []label
	Legend        []label
	Marks         []mark
	Missing       []string
	Events        []event.Event
}

var pageTemplate = template.Must(template.New("timeline").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>egrethaven time line</title>
<style>body{font:13px sans-serif}td{padding:1px 8px;font-family:monospace}</style></head><body>
<svg xmlns="http://www.w3.org/2000/svg" width="{{.Width}}" height="{{.Height}}" font-size="12" font-family="sans-serif">
{{range .Legend}}<text x="{{.X}}" y="{{.Y}}" fill="{{.Color}}">{{.Text}}</text>
{{end}}{{range .Rows}}<text x="{{.X}}" y="{{.Y}}">{{.Text}}</text>
{{end}}{{range .Marks}}<circle cx="{{.X}}" cy="{{.Y}}" r="5" fill="{{.Color}}"><title>{{.Event.Number}} {{.Event.Name}} {{.Event.Subject}} {{.Event.Detail}}</title></circle>
{{end}}</svg>
{{range .Missing}}<p>{{.}}</p>
{{end}}<table>{{range .Events}}<tr><td>{{.Stamp.WallMS}}.{{.Stamp.Logical}}</td><td>{{.Node}}</td><td>{{.Number}}</td><td>{{.Name}}</td><td>{{.Subject}}</td><td>{{.Detail}}</td></tr>
{{end}}</table></body></html>
`))

// WriteHTML writes a self-contained HTML page: a chart with a row for each node and a
// dot for each event, and a table of the events.
func (l Timeline) WriteHTML(w io.Writer) error {
	return errors.Trace(pageTemplate.Execute(w, l.layout()))
}

// layout computes the positions of labels and marks.
func (l Timeline) layout() chart {
	c := chart{Width: labelWidth + plotWidth + 20, Missing: l.missing(), Events: l.Events}
	for i := 1; i < len(areaNames); i++ {
		c.Legend = append(c.Legend, label{X: labelWidth + (i-1)*plotWidth/len(areaNames), Y: 14, Text: areaNames[i], Color: areaColors[i]})
	}
	rows := make(map[string]int)
	for _, n := range l.Nodes {
		c.row(rows, n.Node)
	}
	if len(l.Events) == 0 {
		c.Height = legendHeight + rowHeight*(len(rows)+1)
		return c
	}
	first := l.Events[0].Stamp.WallMS
	span := max(l.Events[len(l.Events)-1].Stamp.WallMS-first, 1)
	for _, e := range l.Events {
		x := labelWidth + int((e.Stamp.WallMS-first)*plotWidth/span)
		color := areaColors[min(max(int(e.Number)/100, 0), len(areaColors)-1)]
		c.Marks = append(c.Marks, mark{X: x, Y: c.row(rows, e.Node) - 4, Color: color, Event: e})
	}
	c.Height = legendHeight + rowHeight*(len(rows)+1)
	return c
}

// row returns the y coordinate of a node's row, which it adds if necessary. rows maps
// node IDs to y coordinates.
func (c *chart) row(rows map[string]int, node string) int {
	if y, ok := rows[node]; ok {
		return y
	}
	y := legendHeight + rowHeight*(len(rows)+1)
	rows[node] = y
	c.Rows = append(c.Rows, label{X: 4, Y: y, Text: node})
	return y
}
