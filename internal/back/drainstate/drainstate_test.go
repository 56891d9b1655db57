package drainstate

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "egrethaven/internal/proof/fixedseed"
)

var start = time.Unix(1_000_000, 0)

// TestListAndPageNeverOverrideOwnEvidence feeds pages and lists at random
// after the searcher itself said that it drains.
func TestListAndPageNeverOverrideOwnEvidence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r Record
		r.Answer(start, false)
		if !r.Refused(start.Add(time.Millisecond)) {
			t.Fatal("the first evidence is not reported")
		}
		now := start.Add(time.Millisecond)
		for range rapid.IntRange(0, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				r.Page(now, rapid.Bool().Draw(t, "draining"))
			case 1:
				r.List(rapid.Bool().Draw(t, "leaving"))
			case 2:
				r.Answer(now, false)
			case 3:
				if r.Refused(now) && now.Sub(start) < holdFirst {
					t.Fatal("the first evidence is reported twice")
				}
			}
			if now.Sub(start) < holdFirst && r.Use(now) != None {
				t.Fatalf("used %v after its own word", now.Sub(start))
			}
		}
	})
}

func TestReturn(t *testing.T) {
	var r Record
	r.Refused(start)
	now := start.Add(holdFirst + time.Second)
	if r.Use(now) != None {
		t.Fatal("time alone removes the doubt")
	}
	if !r.Page(now, false) || r.Use(now) != Normal {
		t.Fatal("a page after the hold does not remove the doubt")
	}
	r.Refused(now)
	if till := r.DrainTill().Sub(now); till != 2*holdFirst {
		t.Fatalf("held %v after a repeat", till)
	}
	r.Answer(now, false)
	if r.Use(now) != None {
		t.Fatal("a late answer removes the doubt")
	}
}

func TestRanks(t *testing.T) {
	var r Record
	r.List(true)
	if r.Use(start) != LastResort {
		t.Fatal("a searcher that is listed as leaving gets normal work")
	}
	r.List(false)
	r.Page(start, true)
	if r.Use(start) != None {
		t.Fatal("the page is not believed without other evidence")
	}
	r.Answer(start, false)
	if r.Use(start) != Normal {
		t.Fatal("the page beats a fresh answer")
	}
	if !r.Told(start, start.Add(time.Minute)) || r.Use(start) != None {
		t.Fatal("the word of another node is not believed")
	}
	late := start.Add(holdTold)
	if r.Page(late.Add(-1), false) || !r.Page(late, false) || r.Use(late) != Normal {
		t.Fatal("the page does not remove the doubt after the word of another node")
	}
}
