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
		var r Tracker
		r.RecordAnswer(start, false)
		if !r.RecordRefusal(start.Add(time.Millisecond)) {
			t.Fatal("the first evidence is not reported")
		}
		now := start.Add(time.Millisecond)
		for range rapid.IntRange(0, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				r.RecordStatus(now, rapid.Bool().Draw(t, "draining"))
			case 1:
				r.RecordListing(rapid.Bool().Draw(t, "leaving"))
			case 2:
				r.RecordAnswer(now, false)
			case 3:
				if r.RecordRefusal(now) && now.Sub(start) < holdFirst {
					t.Fatal("the first evidence is reported twice")
				}
			}
			if now.Sub(start) < holdFirst && r.Eligibility(now) != Excluded {
				t.Fatalf("used %v after its own word", now.Sub(start))
			}
		}
	})
}

func TestReturn(t *testing.T) {
	var r Tracker
	r.RecordRefusal(start)
	now := start.Add(holdFirst + time.Second)
	if r.Eligibility(now) != Excluded {
		t.Fatal("time alone removes the doubt")
	}
	if !r.RecordStatus(now, false) || r.Eligibility(now) != Normal {
		t.Fatal("a page after the hold does not remove the doubt")
	}
	r.RecordRefusal(now)
	if till := r.DrainUntil().Sub(now); till != 2*holdFirst {
		t.Fatalf("held %v after a repeat", till)
	}
	r.RecordAnswer(now, false)
	if r.Eligibility(now) != Excluded {
		t.Fatal("a late answer removes the doubt")
	}
}

func TestRanks(t *testing.T) {
	var r Tracker
	r.RecordListing(true)
	if r.Eligibility(start) != LastResort {
		t.Fatal("a searcher that is listed as leaving gets normal work")
	}
	r.RecordListing(false)
	r.RecordStatus(start, true)
	if r.Eligibility(start) != Excluded {
		t.Fatal("the page is not believed without other evidence")
	}
	r.RecordAnswer(start, false)
	if r.Eligibility(start) != Normal {
		t.Fatal("the page beats a fresh answer")
	}
	if !r.RecordPeerNotice(start, start.Add(time.Minute)) || r.Eligibility(start) != Excluded {
		t.Fatal("the word of another node is not believed")
	}
	late := start.Add(holdTold)
	if r.RecordStatus(late.Add(-1), false) || !r.RecordStatus(late, false) || r.Eligibility(late) != Normal {
		t.Fatal("the page does not remove the doubt after the word of another node")
	}
}
