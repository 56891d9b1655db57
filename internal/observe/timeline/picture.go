package timeline

import (
	"html/template"
	"io"

	"github.com/juju/errors"

	"egrethaven/internal/observe/event"
)

// The measures of the picture, in pixels.
const (
	labelWidth = 200
	plotWidth  = 1000
	rowHeight  = 26
	headHeight = 30
)

// colors has one color for each area, a hundred numbers wide.
var colors = []string{"#777", "#1f77b4", "#2ca02c", "#d62728", "#9467bd", "#8c564b", "#e377c2", "#ff7f0e", "#bcbd22", "#17becf"}

// areas names the areas in the order of colors.
var areas = []string{"", "node", "query", "backend server", "platform", "configuration", "peer", "write", "health", "operator"}

// mark is one event in the picture.
type mark struct {
	X, Y  int
	Color string
	Event event.Event
}

// label is a word with its place.
type label struct {
	X, Y        int
	Text, Color string
}

// picture is what the template draws.
type picture struct {
	Width, Height int
	Rows          []label
	Legend        []label
	Marks         []mark
	Missing       []string
	Events        []event.Event
}

var page = template.Must(template.New("timeline").Parse(`<!doctype html>
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

// WriteHTML writes a self-contained page: one row a node, one dot an event,
// and the list of events.
func (l Line) WriteHTML(w io.Writer) error {
	return errors.Trace(page.Execute(w, l.layout()))
}

// layout places rows and marks.
func (l Line) layout() picture {
	p := picture{Width: labelWidth + plotWidth + 20, Missing: l.missing(), Events: l.Events}
	for i := 1; i < len(areas); i++ {
		p.Legend = append(p.Legend, label{X: labelWidth + (i-1)*plotWidth/len(areas), Y: 14, Text: areas[i], Color: colors[i]})
	}
	rows := make(map[string]int)
	for _, n := range l.Nodes {
		p.row(rows, n.Node)
	}
	if len(l.Events) == 0 {
		p.Height = headHeight + rowHeight*(len(rows)+1)
		return p
	}
	first := l.Events[0].Stamp.WallMS
	span := max(l.Events[len(l.Events)-1].Stamp.WallMS-first, 1)
	for _, e := range l.Events {
		x := labelWidth + int((e.Stamp.WallMS-first)*plotWidth/span)
		color := colors[min(max(int(e.Number)/100, 0), len(colors)-1)]
		p.Marks = append(p.Marks, mark{X: x, Y: p.row(rows, e.Node) - 4, Color: color, Event: e})
	}
	p.Height = headHeight + rowHeight*(len(rows)+1)
	return p
}

// row returns the height of a node's row, adding it when it is new.
func (p *picture) row(rows map[string]int, node string) int {
	if y, ok := rows[node]; ok {
		return y
	}
	y := headHeight + rowHeight*(len(rows)+1)
	rows[node] = y
	p.Rows = append(p.Rows, label{X: 4, Y: y, Text: node})
	return y
}
