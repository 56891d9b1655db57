package choice

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// A small queueing model: several nodes call searchers with two slots each;
// a node knows its own calls in flight, and what each answer reported.
const (
	simNodes    = 9
	simReplicas = 3
	simShards   = 20
	simSlots    = 2
	simCalls    = 300_000
)

type simEvent struct {
	at   float64
	call *simCall // nil: the next arrival
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

// simView is what a node knows of a searcher.
type simView struct {
	own      int
	reported float64
	at       float64
}

// simulate returns the 99th and 99.9th percentile of the time of a call, in
// median service times, when loads are scored by score.
func simulate(rho float64, pick Policy, score func(v simView, now float64) float64) (p99, p999 float64) {
	r := rand.New(rand.NewPCG(1, 2))
	n := simReplicas * simShards
	running, waiting := make([]int, n), make([][]*simCall, n)
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
	const mean = 1.046 * 1.19
	rate := rho * float64(n*simSlots) / mean
	h := simHeap{{}}
	var times []float64
	for calls := 0; len(h) > 0; {
		e := heap.Pop(&h).(simEvent)
		now := e.at
		if e.call == nil {
			if calls++; calls < simCalls {
				heap.Push(&h, simEvent{at: now + r.ExpFloat64()/rate})
			}
			node, shard := r.IntN(simNodes), r.IntN(simShards)
			cs := make([]Candidate, simReplicas)
			for k := range cs {
				cs[k] = Candidate{Local: true, Usable: true, Weight: 1, LoadScore: score(views[node][shard*simReplicas+k], now)}
			}
			c := &simCall{node: node, searcher: shard*simReplicas + pick(r, cs, 0), arrived: now}
			views[node][c.searcher].own++
			if running[c.searcher] < simSlots {
				running[c.searcher]++
				heap.Push(&h, simEvent{at: now + service(), call: c})
			} else {
				waiting[c.searcher] = append(waiting[c.searcher], c)
			}
			continue
		}
		c := e.call
		s := c.searcher
		running[s]--
		if len(waiting[s]) > 0 {
			running[s]++
			heap.Push(&h, simEvent{at: now + service(), call: waiting[s][0]})
			waiting[s] = waiting[s][1:]
		}
		v := &views[c.node][s]
		v.own--
		v.reported, v.at = float64(running[s]+len(waiting[s])), now
		times = append(times, now-c.arrived)
	}
	slices.Sort(times)
	return times[len(times)*99/100], times[len(times)*999/1000]
}

// BenchmarkScore compares ways to score a replica. The half-life of a report
// is given in median service times.
func BenchmarkScore(b *testing.B) {
	aged := func(life float64) func(simView, float64) float64 {
		return func(v simView, now float64) float64 { return float64(v.own) + v.reported/(1+(now-v.at)/life) }
	}
	for _, c := range []struct {
		name  string
		pick  Policy
		score func(simView, float64) float64
	}{
		{"random", PickUniform, aged(1)},
		{"own", Pick, func(v simView, _ float64) float64 { return float64(v.own) }},
		{"sum_life_1", Pick, aged(1)},
		{"sum_life_10", Pick, aged(10)},
		{"sum_life_100", Pick, aged(100)},
		{"sum_forever", Pick, func(v simView, _ float64) float64 { return float64(v.own) + v.reported }},
		{"own_first", Pick, func(v simView, now float64) float64 { return LoadScore(v.own, v.reported/(1+(now-v.at)/10)) }},
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
