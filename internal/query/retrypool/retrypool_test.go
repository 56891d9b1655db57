package retrypool_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"egrethaven/internal/query/retrybudget"
	"egrethaven/internal/query/retrypool"
)

const (
	window    = 10 * time.Second
	ratio     = 0.2
	allowance = 222.0
	// vms of a large tier, in groups that each add up what they send.
	vms    = 91
	groups = 6
	// tick is the time between two reports of a VM.
	tick = 250 * time.Millisecond
)

// tier is a large tier that sends to one service.
type tier struct {
	r       *rand.Rand
	budgets [vms]*retrybudget.Budget
	pools   [groups]*retrypool.Pool
	// weights are the shares of the traffic, which clients bring unevenly.
	weights []int
	first   []time.Time
	extra   []time.Time
	refused int
}

// newTier starts all VMs.
func newTier() *tier {
	x := &tier{r: rand.New(rand.NewPCG(3, 3))}
	for i := range x.pools {
		x.pools[i] = retrypool.New(retrypool.Config{Bound: func(n, first int) float64 {
			return ratio*float64(first) + 0.75*allowance*float64(n)/vms
		}})
	}
	for i := range vms {
		x.start(i)
		for range x.r.IntN(4) {
			x.weights = append(x.weights, i)
		}
	}
	return x
}

// start starts a VM anew: it knows nothing of what it has sent.
func (x *tier) start(i int) {
	x.budgets[i] = retrybudget.New(retrybudget.Config{Ratio: ratio, Allowance: allowance / 2 / vms, Window: window})
}

// play sends requests for a time; each wants an extra send with a probability.
func (x *tier) play(d time.Duration, perSecond, wants float64, what retrybudget.Purpose) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(tick) {
		now := time.Now()
		for i, b := range x.budgets {
			first, extra := b.Usage(now)
			p := x.pools[i%groups]
			p.Report(now, fmt.Sprint(i), []retrypool.Usage{{Service: "s", First: first, Extra: extra}})
			b.SetGroupLevel(now, p.Levels(now)["s"])
		}
		for range int(perSecond * tick.Seconds()) {
			b := x.budgets[x.weights[x.r.IntN(len(x.weights))]]
			b.CountFirst(now)
			x.first = append(x.first, now)
			switch {
			case x.r.Float64() >= wants:
			case b.AllowExtra(now, what):
				x.extra = append(x.extra, now)
			default:
				x.refused++
			}
		}
	}
}

// worst returns by how much the extra sends of any window exceed what the users
// allow; below 0 if they never do.
func (x *tier) worst() float64 {
	worst := -allowance
	for _, end := range x.extra {
		n := max(count(x.first, end), count(x.first, end.Add(-window/2)), count(x.first, end.Add(-window)))
		worst = max(worst, float64(count(x.extra, end))-ratio*float64(n)-allowance)
	}
	return worst
}

// count counts the times in the window that ends at a time.
func count(ts []time.Time, end time.Time) int {
	n := 0
	for _, t := range ts {
		if !t.After(end) && end.Sub(t) < window {
			n++
		}
	}
	return n
}

// TestWideSlowDown plays a tier in which every request comes to be late, or to
// fail, with a burst, and a loss of power of all VMs in the midst of it. The extra sends of
// all VMs together stay within what the users allow.
func TestWideSlowDown(t *testing.T) {
	for _, what := range []retrybudget.Purpose{retrybudget.LastHedge, retrybudget.Retry} {
		synctest.Test(t, func(*testing.T) {
			x := newTier()
			x.play(12*time.Second, 80, 0.1, what)
			x.play(8*time.Second, 80, 1, what)
			x.play(4*time.Second, 150, 1, what)
			for i := range vms {
				x.start(i)
			}
			x.play(12*time.Second, 80, 1, what)
			if w := x.worst(); w > 0 {
				t.Errorf("purpose %d: %g extra sends too many in a window", what, w)
			}
		})
	}
}

// TestUnevenTraffic plays a calm tier, whose clients are spread unevenly, in
// which one request in eight is late: as good as all of them get their extra
// send, though many VMs have more of them than their own part allows.
func TestUnevenTraffic(t *testing.T) {
	synctest.Test(t, func(*testing.T) {
		x := newTier()
		x.play(window, 80, 0, retrybudget.LastHedge)
		x.play(20*time.Second, 80, 0.125, retrybudget.LastHedge)
		if share := float64(x.refused) / float64(x.refused+len(x.extra)); share > 0.02 {
			t.Errorf("%.3f of the late requests were refused an extra send", share)
		}
	})
}

// TestSheddingSearchers plays a tier whose searchers decline three of ten
// requests, which the users' bound allows to send again: nearly all are.
func TestSheddingSearchers(t *testing.T) {
	synctest.Test(t, func(*testing.T) {
		x := newTier()
		x.play(window, 80, 0, retrybudget.Retry)
		x.play(20*time.Second, 80, 0.3, retrybudget.Retry)
		if share := float64(x.refused) / float64(x.refused+len(x.extra)); share > 0.05 {
			t.Errorf("%.3f of the failed requests were not sent again", share)
		}
	})
}

// TestVMsThatFallSilent counts only VMs that report.
func TestVMsThatFallSilent(t *testing.T) {
	p := retrypool.New(retrypool.Config{Bound: func(n, _ int) float64 { return float64(10 * n) }})
	now := time.Now()
	p.Report(now, "a", []retrypool.Usage{{Service: "s", Extra: 9}})
	p.Report(now, "b", []retrypool.Usage{{Service: "s", Extra: 1}})
	if s := p.Levels(now); len(s) != 0 {
		t.Errorf("10 of 20: %v", s)
	}
	later := now.Add(3 * time.Second)
	p.Report(later, "a", []retrypool.Usage{{Service: "s", Extra: 9}})
	if s := p.Levels(later); s["s"] != retrypool.Spent {
		t.Errorf("9 of 10: %v", s)
	}
}
