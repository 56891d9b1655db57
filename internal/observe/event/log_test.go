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

func TestLogKeepsTheLatest(t *testing.T) {
	var out bytes.Buffer
	n := int64(0)
	stamp := func() event.Stamp { n++; return event.Stamp{WallMS: n} }
	l := event.New(event.Config{Node: "a", Stamp: stamp, Size: 3,
		Logger: &log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: &out}}})
	for i := range 5 {
		l.Emit(event.PeerJoined, fmt.Sprint(i), "d")
	}
	es, lost := l.Since(event.Stamp{WallMS: 3}, 10)
	if lost != 2 || len(es) != 2 || es[0].Subject != "3" || es[1].Subject != "4" || es[1].Name != "peer_joined" {
		t.Fatal(es, lost)
	}
	if es, _ := l.Since(event.Stamp{}, 1); len(es) != 1 || es[0].Subject != "2" {
		t.Fatal(es)
	}
	if l.Counts()[event.PeerJoined] != 5 || strings.Count(out.String(), `"event":600`) != 5 {
		t.Fatal(l.Counts(), out.String())
	}
}

// TestLogRate holds that a flood of one event leaves room for others, and is
// counted.
func TestLogRate(t *testing.T) {
	now := int64(5000)
	l := event.New(event.Config{Stamp: func() event.Stamp { return event.Stamp{WallMS: now} }, Size: 1000})
	for range 5000 {
		l.Emit(event.QueryRefused, "s", "shed")
	}
	l.Emit(event.PeerDead, "n", "")
	now += 1000
	l.Emit(event.QueryRefused, "s", "shed")
	es, lost := l.Since(event.Stamp{}, 1000)
	if len(es) != 102 || lost != 0 || es[101].Detail != "shed (4900 more before were left out)" || l.Counts()[event.QueryRefused] != 5001 {
		t.Fatal(len(es), lost, es[len(es)-1], l.Counts())
	}
}

// TestCatalogue holds docs/EVENTS.md against the code, both ways.
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
			t.Errorf("docs/EVENTS.md lacks a row for %q", w)
		}
	}
	for _, r := range rows {
		if !slices.Contains(want, r) {
			t.Errorf("docs/EVENTS.md has %q, which is not in the code", r)
		}
	}
}
