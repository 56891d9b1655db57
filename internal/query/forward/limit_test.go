package forward

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"egrethaven/internal/back/instance"
	"egrethaven/internal/query/retrybudget"
	"egrethaven/internal/state/routing"
)

const (
	// limitWindow is the period in which the requests at a searcher are counted. A
	// searcher that has named a limit for that long may get limitExcess times the
	// limit in it, and limitAllowance requests.
	limitWindow    = 4 * time.Second
	limitExcess    = 1.5
	limitAllowance = 5
)

// limitDay is a run of several VMs that send fan-outs to the same searchers.
type limitDay struct {
	vms, shards, replicas int
	// perSecond is the number of requests of all VMs together.
	perSecond int
	// limit is what the limited searchers name: all or one of each shard's, in all
	// shards or the first limitedShards.
	limit         int64
	limitedAll    bool
	limitedShards int
	// coverage is the share of the shards that has to answer; 0 means 0.9.
	coverage float64
	// slow is the share of answers that take so long that they are hedged, refused
	// the share of requests that a searcher declines, so that they are retried.
	slow, refused float64
	// vmStart is the number of VMs that take part from the start; the others do
	// after half of the day.
	vmStart int
}

// limitResult is what the clients and the searchers saw.
type limitResult struct {
	served, partial, notServed int
	// slowestRefusal is the longest time to a refusal.
	slowestRefusal time.Duration
	// worst is the highest ratio of requests at a limited searcher within
	// limitWindow to what is allowed.
	worst float64
	// used is the ratio of requests at the limited searchers to their limits.
	used float64
}

const limitLength = 16 * time.Second

// play runs the day.
func (d limitDay) play(t *testing.T) (out limitResult) {
	synctest.Test(t, func(t *testing.T) {
		searchers := map[string][]*fakeSearcher{}
		var limited []*fakeSearcher
		rnd := rand.New(rand.NewPCG(1, 2))
		var mu sync.Mutex
		for i := range d.shards {
			name := fmt.Sprintf("s%d", i)
			for j := range d.replicas {
				s := &fakeSearcher{id: fmt.Sprintf("i-%d-%d", i, j)}
				s.answer = func(int, *http.Request) fakeAnswer {
					mu.Lock()
					defer mu.Unlock()
					switch p := rnd.Float64(); {
					case p < d.slow:
						return fakeAnswer{delay: 60 * time.Millisecond, status: http.StatusOK, body: "0123456789abcdef"}
					case p < d.slow+d.refused:
						return fakeAnswer{status: http.StatusServiceUnavailable, notRun: true}
					}
					return fakeAnswer{delay: 5 * time.Millisecond, status: http.StatusOK, body: "0123456789abcdef"}
				}
				if (d.limitedAll || j == 0) && (d.limitedShards == 0 || i < d.limitedShards) {
					s.limit.Store(d.limit)
					limited = append(limited, s)
				}
				searchers[name] = append(searchers[name], s)
			}
		}
		route := fanOutRoute(d.shards)
		if d.coverage > 0 {
			route.MinCoverage = d.coverage
		}
		fx := newFixture(t, []routing.Route{route}, searchers)
		engines := []*Engine{fx.engine}
		for range d.vms - 1 {
			engines = append(engines, fx.addVM(t))
		}
		synctest.Wait()
		began := time.Now()
		var wg sync.WaitGroup
		for n := 0; time.Since(began) < limitLength; n++ {
			vms := d.vms
			if time.Since(began) < limitLength/2 && d.vmStart > 0 {
				vms = d.vmStart
			}
			wg.Go(func() {
				q := newRequest(300 * time.Millisecond)
				q.ID = fmt.Sprint("a", n)
				a := engines[n%vms].Do(t.Context(), q)
				mu.Lock()
				defer mu.Unlock()
				switch {
				case a.Status == http.StatusOK && a.Header.Get("Missing") == "0":
					out.served++
				case a.Status == http.StatusOK:
					out.partial++
				default:
					out.notServed++
					if a.Status == http.StatusServiceUnavailable {
						out.slowestRefusal = max(out.slowestRefusal, time.Since(q.Arrived))
					}
				}
			})
			time.Sleep(time.Second / time.Duration(d.perSecond))
		}
		wg.Wait()
		for _, s := range limited {
			out.worst = max(out.worst, s.worstExcess(began))
			out.used += float64(len(s.receivedAt)) / (float64(d.limit) * limitLength.Seconds()) / float64(len(limited))
		}
	})
	return out
}

// worstExcess returns the highest ratio of requests within limitWindow to what the
// searcher's limit allows, from limitWindow after the start on.
func (s *fakeSearcher) worstExcess(began time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	allowed := limitExcess*float64(s.limit.Load())*limitWindow.Seconds() + limitAllowance
	worst := 0.0
	for i, from := range s.receivedAt {
		if from.Before(began.Add(limitWindow / 2)) {
			continue
		}
		n, _ := slices.BinarySearchFunc(s.receivedAt, from.Add(limitWindow), time.Time.Compare)
		worst = max(worst, float64(n-i)/allowed)
	}
	return worst
}

// addVM returns the engine of one more VM, with connections of its own to the same
// searchers.
func (fx *fixture) addVM(t *testing.T) *Engine {
	fx.vms = append(fx.vms, fmt.Sprint("vm-", len(fx.vms)))
	vm := fx.vms[len(fx.vms)-1]
	s := &Snapshot{Config: fx.snapshot.Config, Instances: map[string][]*instance.Instance{}}
	for service, is := range fx.snapshot.Instances {
		for _, i := range is {
			s.Instances[service] = append(s.Instances[service], fx.connect(vm, i.Searcher()))
		}
	}
	e := New(Config{Dialect: testDialect{}, Domain: "a", Current: func() *Snapshot { return s },
		Budget: retrybudget.Config{Ratio: 0.2, Allowance: 10, Window: 10 * time.Second}})
	t.Cleanup(func() {
		e.Close()
		for _, is := range s.Instances {
			for _, i := range is {
				i.Close()
			}
		}
	})
	return e
}

// TestNamedLimitIsExceeded: searchers that named a limit got more requests than that
// from all VMs together, as first sends, hedges or retries.
func TestNamedLimitIsExceeded(t *testing.T) {
	for name, d := range map[string]limitDay{
		"one replica, one VM":  {vms: 1, shards: 4, replicas: 3, perSecond: 150, limit: 20},
		"one replica, 9 VMs":   {vms: 9, shards: 4, replicas: 3, perSecond: 150, limit: 20},
		"all replicas, 9 VMs":  {vms: 9, shards: 4, replicas: 3, perSecond: 150, limit: 20, limitedAll: true},
		"hedges":               {vms: 9, shards: 4, replicas: 2, perSecond: 100, limit: 20, slow: 0.15},
		"retries":              {vms: 9, shards: 4, replicas: 2, perSecond: 100, limit: 20, refused: 0.1},
		"low limit, 30 VMs":    {vms: 30, shards: 2, replicas: 2, perSecond: 150, limit: 4},
		"VMs come later":       {vms: 9, shards: 4, replicas: 2, perSecond: 100, limit: 20, vmStart: 3},
		"more VMs than limits": {vms: 40, shards: 2, replicas: 2, perSecond: 150, limit: 10, limitedAll: true},
	} {
		t.Run(name, func(t *testing.T) {
			r := d.play(t)
			if r.worst > 1 {
				t.Errorf("a searcher got %.2f times the requests that its limit allows (%+v)", r.worst, r)
			}
			if !d.limitedAll && d.refused == 0 && r.notServed > 0 {
				t.Errorf("%d requests not served, though one replica of each shard has no limit (%+v)", r.notServed, r)
			}
		})
	}
}

// TestScarceShardsAreLeftOut plays fan-outs that need nine of ten shards, three of which
// accept 90 of 150 requests a second. If each request does without one of the three, 135
// a second can be served. Requests that take all that is there leave too little for the
// next ones, and only those that happen to find two of three are served.
func TestScarceShardsAreLeftOut(t *testing.T) {
	d := limitDay{vms: 3, shards: 10, replicas: 3, perSecond: 150, limit: 30, limitedAll: true, limitedShards: 3, coverage: 0.89}
	r := d.play(t)
	possible := int(135 * limitLength.Seconds())
	if got := r.served + r.partial; got < possible*4/5 || r.worst > 1 {
		t.Errorf("%d of %d possible requests served, %.2f of the allowed requests at a searcher (%+v)", got, possible, r.worst, r)
	}
	if quarter := fanOutRoute(1).LatencyObjective / 4; r.slowestRefusal > quarter {
		t.Errorf("a refusal took %s", r.slowestRefusal)
	}
}

// TestNoScarcityBelowLimit checks that all shards take part in requests that stay within
// the limits.
func TestNoScarcityBelowLimit(t *testing.T) {
	d := limitDay{vms: 3, shards: 10, replicas: 3, perSecond: 60, limit: 30, limitedAll: true, coverage: 0.89}
	r := d.play(t)
	if r.notServed > 0 || r.partial > r.served/20 {
		t.Errorf("%+v, want nearly all with all shards", r)
	}
}
