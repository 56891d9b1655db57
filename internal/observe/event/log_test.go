package event_test

import (
	"bytes"
	"fmt"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/phuslu/log"

	"egrethaven/internal/observe/event"
)

func TestLogKeepsLatestEvents(t *testing.T) {
	var out bytes.Buffer
	n := int64(0)
	stamp := func() event.Stamp { n++; return event.Stamp{WallMS: n} }
	l := event.New(event.Config{Node: "a", Stamp: stamp, Capacity: 3,
		Logger: &log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: &out}}})
	for i := range 5 {
		l.Emit(event.PeerJoined, fmt.Sprint(i), "d")
	}
	es, overwritten := l.Since(event.Stamp{WallMS: 3}, 10)
	if overwritten != 2 || len(es) != 2 || es[0].Subject != "3" || es[1].Subject != "4" || es[1].Name != "peer_joined" {
		t.Fatalf("events %v, %d overwritten, want the events 3 and 4, 2 overwritten", es, overwritten)
	}
	if es, _ := l.Since(event.Stamp{}, 1); len(es) != 1 || es[0].Subject != "2" {
		t.Fatalf("events %v, want only event 2, the oldest kept", es)
	}
	if l.Counts()[event.PeerJoined] != 5 || strings.Count(out.String(), `"event":600`) != 5 {
		t.Fatalf("counts %v, want 5 events counted and logged:\n%s", l.Counts(), out.String())
	}
}

// TestLogRateLimit checks that a burst of one event does not displace other events,
// and that suppressed events are counted.
func TestLogRateLimit(t *testing.T) {
	now := int64(5000)
	l := event.New(event.Config{Stamp: func() event.Stamp { return event.Stamp{WallMS: now} }, Capacity: 1000})
	for range 5000 {
		l.Emit(event.QueryRefused, "s", "shed")
	}
	l.Emit(event.PeerDead, "n", "")
	now += 1000
	l.Emit(event.QueryRefused, "s", "shed")
	es, overwritten := l.Since(event.Stamp{}, 1000)
	if len(es) != 102 || overwritten != 0 || es[101].Detail != "shed (4900 earlier events suppressed)" || l.Counts()[event.QueryRefused] != 5001 {
		t.Fatalf("%d events, %d overwritten, last %+v, counts %v", len(es), overwritten, es[len(es)-1], l.Counts())
	}
}

// TestCatalogue checks that docs/EVENTS.md and the code define the same events.
func TestCatalogue(t *testing.T) {
	b, err := os.ReadFile("../../../docs/EVENTS.md")
	if err != nil {
		t.Fatal(err)
	}
	row := regexp.MustCompile(`(?m)^\| (\d+) \| ([a-z_]+) \| .{20,} \|$`)
	var rows []string
	for _, m := range row.FindAllStringSubmatch(string(b), -1) {
		rows = append(rows, m[1]+" "+m[2])
	}
	var want []string
	for _, n := range event.Catalogue() {
		want = append(want, strconv.Itoa(int(n))+" "+n.Name())
	}
	for _, w := range want {
		if !slices.Contains(rows, w) {
			t.Errorf("docs/EVENTS.md has no row for %q", w)
		}
	}
	for _, r := range rows {
		if !slices.Contains(want, r) {
			t.Errorf("docs/EVENTS.md has a row for %q, which is not defined in the code", r)
		}
	}
}
