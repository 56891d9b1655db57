package timeline_test

import (
	"bytes"
	"strings"
	"testing"

	"egrethaven/internal/observe/event"
	"egrethaven/internal/observe/timeline"
)

func TestMergeAndWrite(t *testing.T) {
	newEvent := func(node string, wall int64, logical uint32) event.Event {
		return event.Event{Number: 600, Name: "peer_joined", Node: node, Stamp: event.Stamp{WallMS: wall, Logical: logical}, Subject: "<b>"}
	}
	l := timeline.Merge([]timeline.NodeEvents{
		{Node: "b", Reached: true, Events: []event.Event{newEvent("b", 1, 0), newEvent("b", 2, 1)}},
		{Node: "a", Reached: true, Overwritten: 4, Events: []event.Event{newEvent("a", 1, 0), newEvent("a", 2, 0), newEvent("a", 9, 0)}},
		{Node: "c"},
	})
	order := ""
	for _, e := range l.Events {
		order += e.Node
	}
	if order != "ababa" || len(l.Tail(2).Events) != 2 {
		t.Fatalf("nodes of the merged events %s, want ababa; Tail(2) has %d events", order, len(l.Tail(2).Events))
	}
	var text, html bytes.Buffer
	if err := l.WriteText(&text); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(text.String(), "c did not answer") || !strings.Contains(text.String(), "4 older events of a") {
		t.Errorf("missing events are not listed:\n%s", text.String())
	}
	if err := l.WriteHTML(&html); err != nil {
		t.Fatal(err)
	}
	if strings.Count(html.String(), "<circle") != 5 || strings.Contains(html.String(), "<b>") {
		t.Errorf("want 5 circles and no unescaped subject:\n%s", html.String())
	}
}
