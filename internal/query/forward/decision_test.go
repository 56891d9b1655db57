package forward

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"egrethaven/internal/back/instance"
	"egrethaven/internal/query/retrybudget"
	"egrethaven/internal/state/registry"
	"egrethaven/internal/state/routing"
)

// BenchmarkDecision measures the decisions on a request to 54 shards with 3 searchers each,
// before anything is sent. They may take at most 2 µs more than before package shedding was
// used.
func BenchmarkDecision(b *testing.B) {
	r := fanOutRoute(54)
	r.LatencyObjective = 150 * time.Millisecond
	c, err := routing.New(1, []routing.Route{r}, nil, routing.Limits{})
	if err != nil {
		b.Fatal(err)
	}
	s := &Snapshot{Config: c, Instances: map[string][]*instance.Instance{}}
	dial := func(context.Context, string) (net.Conn, error) { return nil, errors.New("connection refused") }
	for _, service := range r.Shards {
		for range 3 {
			i := instance.New(instance.Config{Searcher: registry.Searcher{Service: service, Slots: 4, Domain: "a"}, Dial: dial})
			b.Cleanup(i.Close)
			s.Instances[service] = append(s.Instances[service], i)
		}
	}
	e := New(Config{Dialect: testDialect{}, Domain: "a", Current: func() *Snapshot { return s }, Budget: retrybudget.Config{Ratio: 0.2, Allowance: 10, Window: 10 * time.Second}})
	b.Cleanup(e.Close)
	q := newRequest(time.Second)
	for b.Loop() {
		q.Arrived = time.Now()
		x := e.newDispatch(q, s, &s.Config.Routes[0], client{})
		if _, ok := x.admit(q.Arrived); !ok {
			b.Fatal("refused")
		}
	}
}

// BenchmarkScarceBudget measures the choice of the shards that get extra sends when all of
// 54 are late, 49 of them are needed, and most of each budget is spent, for each shard.
func BenchmarkScarceBudget(b *testing.B) {
	r := fanOutRoute(54)
	c, err := routing.New(1, []routing.Route{r}, nil, routing.Limits{})
	if err != nil {
		b.Fatal(err)
	}
	s := &Snapshot{Config: c, Instances: map[string][]*instance.Instance{}}
	e := New(Config{Dialect: testDialect{}, Domain: "a", Current: func() *Snapshot { return s }, Budget: retrybudget.Config{Allowance: 10, Window: time.Hour}})
	b.Cleanup(e.Close)
	x := e.newDispatch(newRequest(time.Second), s, &s.Config.Routes[0], client{})
	now := time.Now()
	for _, p := range x.subrequests {
		for range 9 {
			p.budget.AllowExtra(now, retrybudget.Retry)
		}
	}
	for n := 0; b.Loop(); n++ {
		if n%len(x.subrequests) == 0 {
			now = time.Now()
		}
		x.subrequests[n%len(x.subrequests)].maySpend(now)
	}
}
