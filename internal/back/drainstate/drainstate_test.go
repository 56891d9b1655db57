package drainstate

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "egrethaven/internal/proof/fixedseed"
)

var start = time.Unix(1_000_000, 0)

// TestStatusAndListCannotEndDrainDuringHold applies random status pages, list
// entries and answers after a searcher refused a request because it drains.
func TestStatusAndListCannotEndDrainDuringHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var tr Tracker
		tr.RecordAnswer(start, false)
		if !tr.RecordRefusal(start.Add(time.Millisecond)) {
			t.Fatal("the first refusal is not reported as a new drain")
		}
		now := start.Add(time.Millisecond)
		for range rapid.IntRange(0, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0:
				tr.RecordStatus(now, rapid.Bool().Draw(t, "draining"))
			case 1:
				tr.RecordListing(rapid.Bool().Draw(t, "leaving"))
			case 2:
				tr.RecordAnswer(now, false)
			case 3:
				if tr.RecordRefusal(now) && now.Sub(start) < initialHold {
					t.Fatal("a drain is reported twice")
				}
			}
			if now.Sub(start) < initialHold && tr.Eligibility(now) != Excluded {
				t.Fatalf("eligible %v after its refusal", now.Sub(start))
			}
		}
	})
}

func TestReturnAfterHold(t *testing.T) {
	var tr Tracker
	tr.RecordRefusal(start)
	now := start.Add(initialHold + time.Second)
	if tr.Eligibility(now) != Excluded {
		t.Fatal("the drain ends without a status page")
	}
	if !tr.RecordStatus(now, false) || tr.Eligibility(now) != Normal {
		t.Fatal("a status page after the hold time does not end the drain")
	}
	tr.RecordRefusal(now)
	if hold := tr.HoldUntil().Sub(now); hold != 2*initialHold {
		t.Fatalf("hold time of %v after a second refusal", hold)
	}
	tr.RecordAnswer(now, false)
	if tr.Eligibility(now) != Excluded {
		t.Fatal("a late answer ends the drain")
	}
}

func TestPrecedence(t *testing.T) {
	var tr Tracker
	tr.RecordListing(true)
	if tr.Eligibility(start) != LastResort {
		t.Fatal("a searcher listed as leaving is not a last resort")
	}
	tr.RecordListing(false)
	tr.RecordStatus(start, true)
	if tr.Eligibility(start) != Excluded {
		t.Fatal("a draining status page is ignored")
	}
	tr.RecordAnswer(start, false)
	if tr.Eligibility(start) != Normal {
		t.Fatal("the status page overrides a recent answer")
	}
	if !tr.RecordPeerNotice(start, start.Add(time.Minute)) || tr.Eligibility(start) != Excluded {
		t.Fatal("the report of another node is ignored")
	}
	late := start.Add(maxPeerHold)
	if tr.RecordStatus(late.Add(-1), false) || !tr.RecordStatus(late, false) || tr.Eligibility(late) != Normal {
		t.Fatal("the status page does not end the drain at the end of the hold time")
	}
}
