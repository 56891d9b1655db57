package scatter

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"egrethaven/internal/back/backend"
	"egrethaven/internal/back/searcher"
	"egrethaven/internal/infra/failuredomain"
	"egrethaven/internal/query/ask"
	"egrethaven/internal/query/keyrange"
	"egrethaven/internal/query/outcome"
	"egrethaven/internal/query/record"
	"egrethaven/internal/state/config"
	"egrethaven/internal/state/search"
)

// behaviour is the response of a fake replica to a call.
type behaviour struct {
	delay   time.Duration
	outcome outcome.Outcome
	version uint64 // if not 0, answered instead of the requested version
}

// fakeReplica is a replica whose behaviour a test chooses for each call.
type fakeReplica struct {
	id       string
	domain   failuredomain.Domain
	respond  func(q searcher.Query) behaviour
	m        sync.Mutex
	calls    int
	inFlight int
}

func (f *fakeReplica) ID() string                   { return f.id }
func (f *fakeReplica) Domain() failuredomain.Domain { return f.domain }

func (f *fakeReplica) State() backend.State {
	f.m.Lock()
	defer f.m.Unlock()
	return backend.State{Usable: true, Weight: 1, InFlight: f.inFlight}
}

func (f *fakeReplica) Search(ctx context.Context, q searcher.Query) backend.Reply {
	f.addInFlight(1)
	defer f.addInFlight(-1)
	began := time.Now()
	b := f.respond(q)
	select {
	case <-time.After(b.delay):
	case <-ctx.Done():
		return backend.Reply{Outcome: outcome.Unknown(outcome.Canceled), Elapsed: time.Since(began)}
	}
	r := backend.Reply{Outcome: b.outcome, Elapsed: time.Since(began)}
	if b.outcome.Kind != outcome.KindNotRun {
		f.m.Lock()
		f.calls++
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

func (f *fakeReplica) addInFlight(n int) {
	f.m.Lock()
	defer f.m.Unlock()
	f.inFlight += n
}

// fakeIndex is an index whose versions all have the same shards.
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

// newIndex returns an index of version 1. respond gets the numbers of the shard
// and the replica.
func newIndex(shards, replicas int, respond func(shard, replica int, q searcher.Query) behaviour) *fakeIndex {
	x := &fakeIndex{versions: []uint64{1}}
	for s, r := range keyrange.Split(shards) {
		sh := Shard{Range: r}
		for k := range replicas {
			sh.Replicas = append(sh.Replicas, &fakeReplica{id: fmt.Sprintf("s%d-%d", s, k), domain: "home", respond: func(q searcher.Query) behaviour { return respond(s, k, q) }})
		}
		x.shards = append(x.shards, sh)
	}
	return x
}

// callsRun returns the number of calls that ran.
func (x *fakeIndex) callsRun() int {
	n := 0
	for _, s := range x.shards {
		for _, p := range s.Replicas {
			f := p.(*fakeReplica)
			f.m.Lock()
			n += f.calls
			f.m.Unlock()
		}
	}
	return n
}

// engine returns an engine on x with one search named "s".
func engine(t interface{ Cleanup(func()) }, x Source, p Policy, g Guard, d search.Definition) *Engine {
	d.Name, d.Service, d.SchemaVersions = "s", "svc", []int{1}
	if d.Deadline == 0 {
		d.Deadline = time.Second
	}
	s := &config.Snapshot{Revision: 7, Searches: map[string]search.Definition{"s": d}}
	e := New(Config{Source: x, Snapshot: func() *config.Snapshot { return s }, LocalDomain: "home", Policy: p, Guard: g, Seed: 1})
	t.Cleanup(e.Close)
	return e
}

// testQuery returns a query of the search "s".
func testQuery(partial bool) ask.Query {
	return ask.Query{QueryID: "q1", Search: "s", Limit: 1000, AcceptPartial: partial}
}

// ok returns a behaviour that answers after d.
func ok(d time.Duration) behaviour { return behaviour{delay: d, outcome: outcome.OK()} }

// checkComplete fails the test unless a is a complete answer of n shards.
func checkComplete(t *testing.T, a ask.Answer, n int) {
	t.Helper()
	if !a.Outcome.OK() || !a.Complete || len(a.Hits) != n {
		t.Fatalf("outcome %v, complete %v, %d hits, missing %v", a.Outcome, a.Complete, len(a.Hits), a.Coverage.Missing)
	}
}
