package timeline_test

import (
	"bytes"
	"strings"
	"testing"

	"egrethaven/internal/observe/event"
	"egrethaven/internal/observe/timeline"
)

func TestMergeOrders(t *testing.T) {
	at := func(node string, wall int64, logical uint32) event.Event {
		return event.Event{Number: 600, Name: "peer_joined", Node: node, Stamp: event.Stamp{WallMS: wall, Logical: logical}, Subject: "<b>"}
	}
	l := timeline.Merge([]timeline.Part{
		{Node: "b", Reached: true, Events: []event.Event{at("b", 1, 0), at("b", 2, 1)}},
		{Node: "a", Reached: true, Lost: 4, Events: []event.Event{at("a", 1, 0), at("a", 2, 0), at("a", 9, 0)}},
		{Node: "c"},
	})
	got := ""
	for _, e := range l.Events {
		got += e.Node
	}
	if got != "ababa" || len(l.Tail(2).Events) != 2 {
		t.Fatal(got)
	}
	var text, html bytes.Buffer
	if err := l.WriteText(&text); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(text.String(), "c did not answer") || !strings.Contains(text.String(), "4 older events of a") {
		t.Error(text.String())
	}
	if err := l.WriteHTML(&html); err != nil {
		t.Fatal(err)
	}
	if strings.Count(html.String(), "<circle") != 5 || strings.Contains(html.String(), "<b>") {
		t.Error(html.String())
	}
}
