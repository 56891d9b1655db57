package choice

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// Parameters of a queueing simulation: several nodes call searchers with two
// slots each, and know their own calls in flight and the last reported load.
const (
	simNodes    = 9
	simReplicas = 3
	simShards   = 20
	simSlots    = 2
	simCalls    = 300_000
)

type simEvent struct {
	at   float64  // in median service times
	call *simCall // call that ends, or nil for the next arrival
}

type simCall struct {
	node, searcher int
	arrived        float64
}

type simHeap []simEvent

func (h simHeap) Len() int           { return len(h) }
func (h simHeap) Less(i, k int) bool { return h[i].at < h[k].at }
func (h simHeap) Swap(i, k int)      { h[i], h[k] = h[k], h[i] }
func (h *simHeap) Push(x any)        { *h = append(*h, x.(simEvent)) }
func (h *simHeap) Pop() any {
	e := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return e
}

// simView is a node's view of one searcher.
type simView struct {
	inFlight   int
	reported   float64
	reportedAt float64
}

// simulate returns the 99th and 99.9th percentile of the call latency, in median
// service times. rho is the utilization of the searchers.
func simulate(rho float64, pick Policy, score func(v simView, now float64) float64) (p99, p999 float64) {
	r := rand.New(rand.NewPCG(1, 2))
	n := simReplicas * simShards
	running, queued := make([]int, n), make([][]*simCall, n)
	views := make([][]simView, simNodes)
	for i := range views {
		views[i] = make([]simView, n)
	}
	service := func() float64 {
		d := math.Exp(0.3 * r.NormFloat64())
		if r.Float64() < 0.01 {
			d *= 20
		}
		return d
	}
	// Lognormal mean times the effect of the slow 1%.
	const meanServiceTime = 1.046 * 1.19
	arrivalRate := rho * float64(n*simSlots) / meanServiceTime
	h := simHeap{{}}
	var latencies []float64
	for calls := 0; len(h) > 0; {
		e := heap.Pop(&h).(simEvent)
		now := e.at
		if e.call == nil {
			if calls++; calls < simCalls {
				heap.Push(&h, simEvent{at: now + r.ExpFloat64()/arrivalRate})
			}
			node, shard := r.IntN(simNodes), r.IntN(simShards)
			cs := make([]Candidate, simReplicas)
			for k := range cs {
				cs[k] = Candidate{Local: true, Usable: true, Weight: 1, LoadScore: score(views[node][shard*simReplicas+k], now)}
			}
			c := &simCall{node: node, searcher: shard*simReplicas + pick(r, cs, 0), arrived: now}
			views[node][c.searcher].inFlight++
			if running[c.searcher] < simSlots {
				running[c.searcher]++
				heap.Push(&h, simEvent{at: now + service(), call: c})
			} else {
				queued[c.searcher] = append(queued[c.searcher], c)
			}
			continue
		}
		c := e.call
		s := c.searcher
		running[s]--
		if len(queued[s]) > 0 {
			running[s]++
			heap.Push(&h, simEvent{at: now + service(), call: queued[s][0]})
			queued[s] = queued[s][1:]
		}
		v := &views[c.node][s]
		v.inFlight--
		v.reported, v.reportedAt = float64(running[s]+len(queued[s])), now
		latencies = append(latencies, now-c.arrived)
	}
	slices.Sort(latencies)
	return latencies[len(latencies)*99/100], latencies[len(latencies)*999/1000]
}

// BenchmarkScore compares load scores. The half-life of a load report is given
// in median service times.
func BenchmarkScore(b *testing.B) {
	decayed := func(halfLife float64) func(simView, float64) float64 {
		return func(v simView, now float64) float64 {
			return float64(v.inFlight) + v.reported/(1+(now-v.reportedAt)/halfLife)
		}
	}
	for _, c := range []struct {
		name  string
		pick  Policy
		score func(simView, float64) float64
	}{
		{"random", PickUniform, decayed(1)},
		{"own", Pick, func(v simView, _ float64) float64 { return float64(v.inFlight) }},
		{"sum_life_1", Pick, decayed(1)},
		{"sum_life_10", Pick, decayed(10)},
		{"sum_life_100", Pick, decayed(100)},
		{"sum_forever", Pick, func(v simView, _ float64) float64 { return float64(v.inFlight) + v.reported }},
		{"own_first", Pick, func(v simView, now float64) float64 {
			return LoadScore(v.inFlight, v.reported/(1+(now-v.reportedAt)/10))
		}},
	} {
		for _, rho := range []float64{0.3, 0.6, 0.8} {
			b.Run(c.name+"/load="+map[float64]string{0.3: "0.3", 0.6: "0.6", 0.8: "0.8"}[rho], func(b *testing.B) {
				var p99, p999 float64
				for b.Loop() {
					p99, p999 = simulate(rho, c.pick, c.score)
				}
				b.ReportMetric(p99, "p99")
				b.ReportMetric(p999, "p999")
			})
		}
	}
}
