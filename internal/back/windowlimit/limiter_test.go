package windowlimit_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"egrethaven/internal/back/limitshare"
	"egrethaven/internal/back/windowlimit"
	_ "egrethaven/internal/proof/fixedseed"
)

const window = 1500 * time.Millisecond

// most returns the highest number of times within a span, both ends included.
func most(times []time.Time, span time.Duration) int {
	slices.SortFunc(times, time.Time.Compare)
	n, first := 0, 0
	for i, t := range times {
		for t.Sub(times[first]) > span {
			first++
		}
		n = max(n, i-first+1)
	}
	return n
}

// TestAnyWindow checks that no window holds more requests than permitted at any time in it,
// that a request may be sent after the wait that was told, and that a queue is told the time
// that it takes.
func TestAnyWindow(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		start := time.Now()
		now := start
		l := windowlimit.New(now, window)
		highest := 0
		var sent []time.Time
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(rt, "ms")) * time.Millisecond)
			if rapid.IntRange(0, 5).Draw(rt, "change") == 0 || highest == 0 {
				n := rapid.IntRange(0, 4).Draw(rt, "max")
				l.SetMax(n)
				highest = max(highest, n)
			}
			wait, ok := l.Wait(now, 0)
			switch {
			case !ok:
				continue
			case rapid.Bool().Draw(rt, "wait"):
				last, _ := l.Wait(now, 5)
				now = now.Add(wait)
				if w, _ := l.Wait(now, 0); w != 0 {
					rt.Fatalf("told to wait for %s, and then for %s", wait, w)
				}
				if w, _ := l.Wait(now, 5); w > last-wait+10 || last-wait > w+10 {
					rt.Fatalf("the sixth is told %s, and %s after %s", last, w, wait)
				}
			case wait > 0:
				continue
			}
			if l.Take(now); rapid.IntRange(0, 3).Draw(rt, "returned") == 0 {
				l.Return(now)
				continue
			}
			sent = append(sent, now)
		}
		if n := most(sent, window); n > highest {
			rt.Fatalf("%d requests in a window, %d permitted", n, highest)
		}
		if len(sent) > 0 && sent[0].Sub(start) < window {
			rt.Fatalf("a request %s after the start, when what was sent before is not known", sent[0].Sub(start))
		}
	})
}

// TestAllVMsTogether checks that the VMs together never exceed the limit in any second,
// though they send whenever they may, requests take up to 400 ms to arrive, VMs start and
// restart, and each VM's list of VMs lacks one or has one that is gone. A VM waits after its
// start for as long as others take to count it, and a window more, in which others have sent
// by a list without it.
func TestAllVMsTogether(t *testing.T) {
	const countTime = 3 * time.Second
	const startWait = countTime + window
	rapid.Check(t, func(rt *rapid.T) {
		begin := time.Now()
		end := begin.Add(20 * time.Second)
		limit := rapid.IntRange(1, 120).Draw(rt, "limit")
		// joins holds when each VM starts; a VM that starts late is the one that others may
		// not count yet.
		names := make([]string, rapid.IntRange(1, 40).Draw(rt, "vms"))
		joins := make([]time.Time, len(names))
		for i := range names {
			names[i] = fmt.Sprint("vm-", i)
			if i == len(names)-1 && i > 0 {
				joins[i] = begin.Add(time.Duration(rapid.IntRange(0, 10_000).Draw(rt, "join")) * time.Millisecond)
			} else {
				joins[i] = begin.Add(-time.Hour)
			}
		}
		var arrivals []time.Time
		for i, name := range names {
			type view struct {
				from time.Time
				d    limitshare.Divider
			}
			see := func(from time.Time, others []string) view {
				if n := rapid.IntRange(-1, len(names)).Draw(rt, "differs"); n == len(names) {
					others = append(slices.Clone(others), "gone")
				} else if n >= 0 {
					others = slices.DeleteFunc(slices.Clone(others), func(o string) bool { return o == names[n] && o != name })
				}
				return view{from, limitshare.Divider{VM: name, VMs: others, Count: rapid.IntRange(0, len(others)).Draw(rt, "count")}}
			}
			last := len(names) - 1
			views := []view{see(begin, names[:max(last, 1)]), see(joins[last].Add(countTime), names)}
			if i == last {
				views = []view{see(begin, names)}
			}
			if i < last && rapid.IntRange(0, 4).Draw(rt, "restarts") == 0 {
				joins[i] = begin.Add(time.Duration(rapid.IntRange(0, 10_000).Draw(rt, "restart")) * time.Millisecond)
			}
			runs := []time.Time{begin.Add(-time.Hour), joins[i]}
			if i == last && last > 0 {
				runs = runs[1:]
			}
			for r, from := range runs {
				until := end
				if r+1 < len(runs) {
					until = runs[r+1]
				}
				now := from.Add(startWait)
				if now.Before(begin) {
					now = begin
				}
				l := windowlimit.New(now.Add(-window), window)
				for now.Before(until) {
					v := views[0]
					if len(views) > 1 && !now.Before(views[1].from) {
						v = views[1]
					}
					l.SetMax(v.d.Whole("i-1", limit))
					wait, ok := l.Wait(now, 0)
					if !ok || wait > 0 {
						// The number may change meanwhile.
						now = now.Add(max(min(wait, 50*time.Millisecond), time.Nanosecond))
						if !ok {
							now = now.Add(50 * time.Millisecond)
						}
						continue
					}
					l.Take(now)
					arrivals = append(arrivals, now.Add(time.Duration((len(arrivals)*7919)%400)*time.Millisecond))
				}
			}
		}
		if n := most(arrivals, time.Second); n > limit {
			rt.Fatalf("%d requests in a second, at most %d permitted", n, limit)
		}
	})
}
