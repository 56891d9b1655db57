// Package timeline merges the events of all processes into one order and
// shows it as text, JSON or a picture.
//
// # Usage
//
//	l := timeline.Merge(parts)
//	err := l.WriteText(os.Stdout)
package timeline

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/juju/errors"

	"egrethaven/internal/observe/clock"
	"egrethaven/internal/observe/event"
)

// Part is what one node gave of its events.
type Part struct {
	Node string `json:"node"`
	// Reached is false when the node gave no answer.
	Reached bool `json:"reached"`
	// Lost counts events that the node's ring has overwritten.
	Lost   uint64        `json:"lost"`
	Events []event.Event `json:"-"`
}

// Line is the merged time line.
type Line struct {
	Nodes  []Part        `json:"nodes"`
	Events []event.Event `json:"events"`
}

// Merge returns the events of all parts in one order: by stamp, then node,
// then number. Events of one node keep their order.
func Merge(parts []Part) Line {
	l := Line{Nodes: parts, Events: []event.Event{}}
	for _, p := range parts {
		l.Events = append(l.Events, p.Events...)
	}
	slices.SortStableFunc(l.Events, func(a, b event.Event) int {
		return cmp.Or(clock.Compare(a.Stamp, b.Stamp), cmp.Compare(a.Node, b.Node))
	})
	return l
}

// Tail keeps the last n events.
func (l Line) Tail(n int) Line {
	l.Events = l.Events[max(0, len(l.Events)-n):]
	return l
}

// WriteJSON writes the time line as one JSON object.
func (l Line) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return errors.Trace(e.Encode(l))
}

// WriteText writes one event a line, and what is missing at the end.
func (l Line) WriteText(w io.Writer) error {
	for _, e := range l.Events {
		at := time.UnixMilli(e.Stamp.WallMS).UTC().Format("15:04:05.000")
		_, err := fmt.Fprintf(w, "%s.%d %-24s %d %-20s %s %s\n", at, e.Stamp.Logical, e.Node, e.Number, e.Name, e.Subject, e.Detail)
		if err != nil {
			return errors.Trace(err)
		}
	}
	for _, s := range l.missing() {
		if _, err := fmt.Fprintln(w, s); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// missing says in words which events the time line does not hold.
func (l Line) missing() []string {
	var out []string
	for _, p := range l.Nodes {
		if !p.Reached {
			out = append(out, fmt.Sprintf("missing: %s did not answer", p.Node))
		}
		if p.Lost > 0 {
			out = append(out, fmt.Sprintf("missing: %d older events of %s", p.Lost, p.Node))
		}
	}
	return out
}
