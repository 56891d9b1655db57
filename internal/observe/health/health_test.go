package health_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	_ "egrethaven/internal/proof/fixedseed"

	"egrethaven/internal/infra/failuredomain"
	"egrethaven/internal/observe/health"
	"egrethaven/internal/query/ask"
	"egrethaven/internal/query/coverage"
	"egrethaven/internal/query/keyrange"
	"egrethaven/internal/query/outcome"
	"egrethaven/internal/state/search"
)

const maxAge = 4 * time.Second

// TestEvaluate checks that a verdict is ok only with recent evidence and at most one
// incomplete answer per 100 complete ones, and that evidence of the last 3 s takes
// precedence over older evidence.
func TestEvaluate(t *testing.T) {
	now := time.Unix(1000, 0)
	rapid.Check(t, func(t *rapid.T) {
		var es []health.Evidence
		var sums [2][3]int // of the last 3 s, and of maxAge
		for range rapid.IntRange(0, 6).Draw(t, "pieces") {
			n := [3]int(rapid.SliceOfN(rapid.IntRange(0, 300), 3, 3).Draw(t, "counts"))
			age := time.Duration(rapid.IntRange(-500, 8000).Draw(t, "age")) * time.Millisecond
			es = append(es, health.Evidence{Start: now.Add(-age), Complete: n[0], Partial: n[1], Unanswered: n[2]})
			for i, window := range []time.Duration{3 * time.Second, maxAge} {
				for j := range n {
					if age >= 0 && age < window {
						sums[i][j] += n[j]
					}
				}
			}
		}
		sum := sums[0]
		if sum == [3]int{} {
			sum = sums[1]
		}
		want := health.Degraded
		switch {
		case sum == [3]int{}:
			want = health.Unknown
		case (sum[1]+sum[2])*100 <= sum[0]:
			want = health.OK
		case sum[0]+sum[1] == 0:
			want = health.Down
		}
		if s := health.Evaluate(es, now, maxAge); s.Verdict != want {
			t.Fatalf("%s, want %s: %+v", s.Verdict, want, es)
		}
	})
}

// TestMerge checks that a failure domain is ok only if a node with recent evidence
// reports ok and no other node with recent evidence contradicts it.
func TestMerge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var states []health.State
		n := map[health.Verdict]int{}
		for range rapid.IntRange(0, 4).Draw(t, "nodes") {
			v := rapid.SampledFrom([]health.Verdict{health.OK, health.Degraded, health.Down, health.Unknown}).Draw(t, "verdict")
			age := rapid.Int64Range(-1, 8000).Draw(t, "age")
			states = append(states, health.State{Verdict: v, AgeMS: age})
			if age < 0 || age >= maxAge.Milliseconds() {
				v = health.Unknown
			}
			n[v]++
		}
		got := health.Merge(states, []string{"x"}, maxAge).Verdict
		if ok := n[health.OK] > 0 && n[health.Degraded]+n[health.Down] == 0; ok != (got == health.OK) {
			t.Fatalf("%s of %v", got, n)
		}
		if none := n[health.OK]+n[health.Degraded]+n[health.Down] == 0; none != (got == health.Unknown) {
			t.Fatalf("%s of %v", got, n)
		}
	})
}

// TestCanaryNodes checks that the number of canary queries doesn't grow with the
// number of nodes, and that reports are fetched from the nodes that run them.
func TestCanaryNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const nodes = 40
		var peers []health.Peer
		for i := range nodes {
			peers = append(peers, health.Peer{ID: fmt.Sprint("n", i), Domain: "d"})
		}
		var canaries atomic.Int64
		collectors := make(map[string]*health.Collector)
		for _, p := range peers {
			collectors[p.ID] = health.New(health.Config{Node: p.ID, Domain: p.Domain, MaxAge: maxAge, CanaryInterval: time.Second,
				Definitions: func() map[string]search.Definition {
					return map[string]search.Definition{"s": {Name: "s", Deadline: time.Second}}
				},
				Peers: func() []health.Peer { return peers },
				FetchReport: func(_ context.Context, p health.Peer) (health.Report, error) {
					return collectors[p.ID].LocalReport(), nil
				},
				RunCanary: func(context.Context, ask.Query) ask.Answer {
					canaries.Add(1)
					return ask.Answer{Outcome: outcome.OK(), Coverage: coverage.New(1, []keyrange.Range{keyrange.Whole}, nil)}
				}})
		}
		for _, k := range collectors {
			k.Start()
			defer k.Close()
		}
		time.Sleep(10 * time.Second)
		if n := canaries.Load(); n < 24 || n > 36 {
			t.Errorf("%d canary queries in 10 s, want 24 to 36", n)
		}
		for id, k := range collectors {
			if r := k.FleetReport(t.Context()); len(r.States) != 1 || r.Verdict() != health.OK || len(r.States[0].Nodes) > 7 {
				t.Errorf("fleet report of %s: %+v", id, r.States)
			}
		}
	})
}

// TestCollector checks the verdicts on one search that loses half its key space,
// hangs and recovers, and on a second failure domain that becomes unreachable.
func TestCollector(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mode atomic.Value
		mode.Store("complete")
		answer := func(ctx context.Context, _ ask.Query) ask.Answer {
			switch mode.Load() {
			case "complete":
				return ask.Answer{Outcome: outcome.OK(), Coverage: coverage.New(1, []keyrange.Range{keyrange.Whole}, nil)}
			case "half":
				return ask.Answer{Outcome: outcome.Unknown(outcome.IncompleteCoverage), Coverage: coverage.New(1, keyrange.Split(2)[:1], nil)}
			}
			<-ctx.Done()
			return ask.Answer{Outcome: outcome.NotRun(outcome.NoReplica)}
		}
		var unreachable atomic.Bool
		fetch := func(ctx context.Context, _ health.Peer) (health.Report, error) {
			if unreachable.Load() { // requests hang
				<-ctx.Done()
				return health.Report{}, ctx.Err()
			}
			return health.Report{Node: "b", States: []health.State{{Search: "s", Verdict: health.OK, Since: time.Now()}}}, nil
		}
		def := search.Definition{Name: "s", Deadline: 5 * time.Second, Writes: true}
		k := health.New(health.Config{Node: "a", StoreDown: func() bool { return true }, Domain: "home", MaxAge: maxAge, CanaryInterval: time.Second, RunCanary: answer, FetchReport: fetch,
			Definitions: func() map[string]search.Definition { return map[string]search.Definition{"s": def} },
			Peers:       func() []health.Peer { return []health.Peer{{ID: "b", Domain: "far"}} }})
		if s := k.LocalReport().States[0]; !s.WritesRefused {
			t.Errorf("writes are not refused while the store is down: %+v", s)
		}
		state := func(d failuredomain.Domain) health.State {
			t.Helper()
			for _, s := range k.FleetReport(t.Context()).States {
				if s.Domain == d && s.Search == "s" {
					return s
				}
			}
			t.Fatal("no state for failure domain", d)
			return health.State{}
		}
		if v := state("home").Verdict; v != health.Unknown {
			t.Errorf("without evidence: %s", v)
		}
		k.Start()
		defer k.Close()
		for _, step := range []struct {
			mode string
			want health.Verdict
		}{{"complete", health.OK}, {"half", health.Degraded}, {"hang", health.Down}, {"complete", health.OK}} {
			mode.Store(step.mode)
			time.Sleep(5 * time.Second)
			if s := state("home"); s.Verdict != step.want {
				t.Errorf("%s: %+v, want %s", step.mode, s, step.want)
			}
		}
		// A timeout counts as evidence only if the caller's deadline was long enough.
		timeout := ask.Answer{Outcome: outcome.Unknown(outcome.Timeout), ElapsedMS: 5}
		k.RecordAnswer("s", timeout)
		if s := state("home"); s.Verdict != health.OK {
			t.Errorf("after a timeout of a short deadline: %+v", s)
		}
		timeout.ElapsedMS = 2000
		k.RecordAnswer("s", timeout)
		if s := state("home"); s.Verdict != health.Degraded {
			t.Errorf("after a timeout of a long deadline: %+v", s)
		}
		last := time.Now()
		if s := state("far"); s.Verdict != health.OK {
			t.Errorf("reachable failure domain: %+v", s)
		}
		unreachable.Store(true)
		time.Sleep(time.Second)
		if s := state("far"); s.Verdict != health.Unknown || !s.Since.Equal(last) || len(s.UnresponsiveNodes) != 1 {
			t.Errorf("unreachable failure domain: %+v", s)
		}
	})
}
