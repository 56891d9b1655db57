package scatter

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"egrethaven/internal/back/backend"
	"egrethaven/internal/back/searcher"
	"egrethaven/internal/query/ask"
	"egrethaven/internal/query/keyrange"
	"egrethaven/internal/query/outcome"
	"egrethaven/internal/query/record"
	"egrethaven/internal/state/config"
	"egrethaven/internal/state/search"
	"egrethaven/internal/world/zone"
)

// behaviour is what a fake replica does with a call.
type behaviour struct {
	delay   time.Duration
	outcome outcome.Outcome
	version uint64 // answered instead of the one asked for, if not 0
}

// fake is a replica whose behaviour a test decides call by call.
type fake struct {
	id     string
	domain zone.Domain
	act    func(q searcher.Query) behaviour
	m      sync.Mutex
	ran    int
	flying int
}

func (f *fake) ID() string          { return f.id }
func (f *fake) Domain() zone.Domain { return f.domain }

func (f *fake) State() backend.State {
	f.m.Lock()
	defer f.m.Unlock()
	return backend.State{Usable: true, Weight: 1, InFlight: f.flying}
}

func (f *fake) Search(ctx context.Context, q searcher.Query) backend.Reply {
	f.count(1)
	defer f.count(-1)
	began := time.Now()
	b := f.act(q)
	select {
	case <-time.After(b.delay):
	case <-ctx.Done():
		return backend.Reply{Outcome: outcome.Unknown(outcome.Canceled), Elapsed: time.Since(began)}
	}
	r := backend.Reply{Outcome: b.outcome, Elapsed: time.Since(began)}
	if b.outcome.Kind != outcome.KindNotRun {
		f.m.Lock()
		f.ran++
		f.m.Unlock()
	}
	if b.outcome.OK() {
		v := q.Version
		if b.version != 0 {
			v = b.version
		}
		r.Answer = searcher.Answer{QueryID: q.QueryID, AttemptID: q.AttemptID, Version: v, Range: q.Range, Total: 1}
		h := ask.Hit{Record: record.Record{Key: fmt.Sprintf("%016x", q.Range.First), SchemaVersion: 1, Revision: v}}
		r.Answer.Hits = []ask.Hit{h}
	}
	return r
}

func (f *fake) count(n int) {
	f.m.Lock()
	defer f.m.Unlock()
	f.flying += n
}

// fakeIndex holds versions whose shards are all on the same fakes.
type fakeIndex struct {
	m        sync.Mutex
	versions []uint64
	newest   uint64
	shards   []Shard
}

func (x *fakeIndex) Index(string) Index { return x }

func (x *fakeIndex) Versions() []uint64 {
	x.m.Lock()
	defer x.m.Unlock()
	return append([]uint64{}, x.versions...)
}

func (x *fakeIndex) Newest() uint64 {
	if vs := x.Versions(); len(vs) > 0 {
		return vs[0]
	}
	return x.newest
}

func (x *fakeIndex) Shards(uint64) []Shard { return x.shards }

func (x *fakeIndex) publish(v uint64) {
	x.m.Lock()
	defer x.m.Unlock()
	x.versions = append([]uint64{v}, x.versions...)
}

// newIndex makes an index of version 1; act gets shard and replica numbers.
func newIndex(shards, replicas int, act func(shard, replica int, q searcher.Query) behaviour) *fakeIndex {
	x := &fakeIndex{versions: []uint64{1}}
	for s, r := range keyrange.Split(shards) {
		sh := Shard{Range: r}
		for k := range replicas {
			sh.Replicas = append(sh.Replicas, &fake{id: fmt.Sprintf("s%d-%d", s, k), domain: "home", act: func(q searcher.Query) behaviour { return act(s, k, q) }})
		}
		x.shards = append(x.shards, sh)
	}
	return x
}

// ran counts the calls that truly ran.
func (x *fakeIndex) ran() int {
	n := 0
	for _, s := range x.shards {
		for _, p := range s.Replicas {
			f := p.(*fake)
			f.m.Lock()
			n += f.ran
			f.m.Unlock()
		}
	}
	return n
}

// engine returns an engine over x with one search named "s".
func engine(t interface{ Cleanup(func()) }, x Source, p Policy, g Guard, d search.Definition) *Engine {
	d.Name, d.Service, d.SchemaVersions = "s", "svc", []int{1}
	if d.Deadline == 0 {
		d.Deadline = time.Second
	}
	s := &config.Snapshot{Revision: 7, Searches: map[string]search.Definition{"s": d}}
	e := New(Config{Source: x, Searches: func() *config.Snapshot { return s }, Home: "home", Policy: p, Guard: g, Seed: 1})
	t.Cleanup(e.Close)
	return e
}

// question is a question to the search "s".
func question(partial bool) ask.Ask {
	return ask.Ask{QueryID: "q1", Search: "s", Limit: 1000, AcceptPartial: partial}
}

// ok answers after d.
func ok(d time.Duration) behaviour { return behaviour{delay: d, outcome: outcome.OK()} }

// checkWhole fails unless a is the complete answer over n shards.
func checkWhole(t *testing.T, a ask.Answer, n int) {
	t.Helper()
	if !a.Outcome.OK() || !a.Complete || len(a.Hits) != n {
		t.Fatalf("outcome %v, complete %v, %d hits, missing %v", a.Outcome, a.Complete, len(a.Hits), a.Coverage.Missing)
	}
}
