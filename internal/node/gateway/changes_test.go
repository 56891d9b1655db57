package gateway

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "egrethaven/internal/proof/fixedseed"
)

// everyVM is the bit mask of all VMs.
const everyVM = ^uint(0)

// storm returns moments from start to end, each a gap after the one before.
func storm(start, end, gap time.Duration) []time.Duration {
	var at []time.Duration
	for t := start; t < end; t += gap {
		at = append(at, t)
	}
	return at
}

// checkDays plays a day for each phase of the calls that are under way when its last
// fault ends, and checks that changes are in force in time.
func checkDays(t *testing.T, day func(end time.Duration) day) {
	t.Helper()
	for phase := time.Duration(0); phase < 6*time.Second; phase += 250 * time.Millisecond {
		end := 12*time.Second + phase
		if broken := day(end).play(t); broken != "" {
			t.Fatalf("disturbed until %s: %s", end, broken)
		}
	}
}

// checkChangesInForce checks days with a change each 100 ms.
func checkChangesInForce(t *testing.T, vms int, faults func(end time.Duration) []fault) {
	t.Helper()
	checkDays(t, func(end time.Duration) day {
		return day{VMs: vms, Faults: faults(end), Changes: storm(time.Second, end+8*time.Second, 100*time.Millisecond)}
	})
}

// TestCallOutlivesOutage: a call that the silent store swallowed blocked a VM for
// seconds after the store's return.
func TestCallOutlivesOutage(t *testing.T) {
	checkChangesInForce(t, 3, func(end time.Duration) []fault {
		return []fault{{At: end - 6*time.Second, For: 6 * time.Second, Path: silent, VMs: everyVM}}
	})
}

// TestRelayLosesStore: followers were given the copy of a relay that had lost the store.
func TestRelayLosesStore(t *testing.T) {
	for name, f := range map[string]fault{
		"silent":   {Path: silent, VMs: 1},
		"refusing": {Path: refusing, VMs: 1},
		"two":      {Path: silent, VMs: 3},
	} {
		t.Run(name, func(t *testing.T) {
			checkChangesInForce(t, 7, func(end time.Duration) []fault {
				f.At, f.For = end-6*time.Second, 6*time.Second
				return []fault{f}
			})
		})
	}
}

// TestRelayLosesStoreAndGoesDark: followers of a relay that lost the store and then
// stopped answering waited for it before they asked the store.
func TestRelayLosesStoreAndGoesDark(t *testing.T) {
	checkChangesInForce(t, 7, func(end time.Duration) []fault {
		return []fault{{At: 6 * time.Second, For: 30 * time.Second, Path: silent, VMs: 3},
			{At: 6*time.Second + (end-12*time.Second)/2, For: 30 * time.Second, Dark: true, VMs: 3}}
	})
}

// TestRestoredStoreGivesOutRevisionsAgain: VMs that went on from a revision of before
// the restore missed the change to which the store gave that revision again.
func TestRestoredStoreGivesOutRevisionsAgain(t *testing.T) {
	for name, p := range map[string]path{"refusing": refusing, "silent": silent} {
		t.Run(name, func(t *testing.T) {
			checkDays(t, func(end time.Duration) day {
				lost := []time.Duration{end - 2600*time.Millisecond, end - 2400*time.Millisecond}
				return day{VMs: 7, Changes: append(lost, end+100*time.Millisecond),
					Faults: []fault{{At: end - 2*time.Second, For: 2 * time.Second, Path: p, VMs: everyVM, RestoredAge: 3 * time.Second}}}
			})
		})
	}
}

// TestStoreRestoredTwice: VMs that heard of one restore only missed a change.
func TestStoreRestoredTwice(t *testing.T) {
	checkDays(t, func(end time.Duration) day {
		lost := []time.Duration{end - 5200*time.Millisecond, end - 5100*time.Millisecond, end - 5*time.Second}
		return day{VMs: 7, Changes: append(lost, end+100*time.Millisecond), Faults: []fault{
			{At: end - 4*time.Second, For: 500 * time.Millisecond, Path: refusing, VMs: everyVM, RestoredAge: time.Second},
			{At: end - 2*time.Second, For: 2 * time.Second, Path: refusing, VMs: everyVM, RestoredAge: 6 * time.Second}}}
	})
}

// TestChangesInForceInTime plays random days.
func TestChangesInForceInTime(t *testing.T) {
	ms := func(rt *rapid.T, label string, low, high int) time.Duration {
		return time.Duration(rapid.IntRange(low, high).Draw(rt, label)) * time.Millisecond
	}
	rapid.Check(t, func(rt *rapid.T) {
		d := day{VMs: rapid.SampledFrom([]int{1, 3, 7}).Draw(rt, "vms")}
		for range rapid.IntRange(1, 4).Draw(rt, "faults") {
			f := fault{At: ms(rt, "at", 0, 20_000), For: ms(rt, "for", 100, 8000), VMs: everyVM,
				Path: rapid.SampledFrom([]path{refusing, silent}).Draw(rt, "path")}
			if rapid.Bool().Draw(rt, "some") {
				f.VMs = uint(rapid.IntRange(1, 127).Draw(rt, "mask"))
				f.Dark = rapid.Bool().Draw(rt, "dark")
			} else if rapid.Bool().Draw(rt, "restored") {
				f.RestoredAge, f.Rewrite = ms(rt, "age", 1, 12_000), ms(rt, "rewrite", 0, 1000)
			}
			d.Faults = append(d.Faults, f)
		}
		for range rapid.IntRange(1, 3).Draw(rt, "storms") {
			start := ms(rt, "start", 0, 20_000)
			d.Changes = append(d.Changes, storm(start, start+ms(rt, "length", 20, 12_000), ms(rt, "gap", 20, 4000))...)
		}
		slices.Sort(d.Changes)
		if broken := d.play(t); broken != "" {
			rt.Fatal(broken)
		}
	})
}
