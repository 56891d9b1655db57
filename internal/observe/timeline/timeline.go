// Package timeline merges the events of all processes into one time line and writes
// it as text, JSON or HTML.
//
// # Usage
//
//	l := timeline.Merge(nodes)
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

// NodeEvents holds the events of one node.
type NodeEvents struct {
	Node string `json:"node"`
	// Reached is false if the node did not answer.
	Reached bool `json:"reached"`
	// Overwritten is the number of older events that the node has overwritten.
	Overwritten uint64        `json:"lost"`
	Events      []event.Event `json:"-"`
}

// Timeline is a time line of the events of all nodes.
type Timeline struct {
	Nodes  []NodeEvents  `json:"nodes"`
	Events []event.Event `json:"events"`
}

// Merge sorts the events of all nodes by timestamp, then by node ID. Events of one
// node with equal timestamps keep their order.
func Merge(nodes []NodeEvents) Timeline {
	l := Timeline{Nodes: nodes, Events: []event.Event{}}
	for _, n := range nodes {
		l.Events = append(l.Events, n.Events...)
	}
	slices.SortStableFunc(l.Events, func(a, b event.Event) int {
		return cmp.Or(clock.Compare(a.Stamp, b.Stamp), cmp.Compare(a.Node, b.Node))
	})
	return l
}

// Tail returns a copy of the time line with only the last n events.
func (l Timeline) Tail(n int) Timeline {
	l.Events = l.Events[max(0, len(l.Events)-n):]
	return l
}

// WriteJSON writes the time line as an indented JSON object.
func (l Timeline) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return errors.Trace(e.Encode(l))
}

// WriteText writes one line per event, followed by a line for each node with missing
// events.
func (l Timeline) WriteText(w io.Writer) error {
	for _, e := range l.Events {
		wallTime := time.UnixMilli(e.Stamp.WallMS).UTC().Format("15:04:05.000")
		_, err := fmt.Fprintf(w, "%s.%d %-24s %d %-20s %s %s\n", wallTime, e.Stamp.Logical, e.Node, e.Number, e.Name, e.Subject, e.Detail)
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

// missing returns a message for each node whose events are missing, entirely or in
// part.
func (l Timeline) missing() []string {
	var out []string
	for _, n := range l.Nodes {
		if !n.Reached {
			out = append(out, fmt.Sprintf("missing: %s did not answer", n.Node))
		}
		if n.Overwritten > 0 {
			out = append(out, fmt.Sprintf("missing: %d older events of %s", n.Overwritten, n.Node))
		}
	}
	return out
}
