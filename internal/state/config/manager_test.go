package config_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"
	"pgregory.net/rapid"

	_ "egrethaven/internal/proof/fixedseed"

	"egrethaven/internal/platform/fakekv"
	"egrethaven/internal/platform/kv"
	"egrethaven/internal/state/config"
	"egrethaven/internal/state/search"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func put(id, name string, limit int) config.Change {
	return config.Change{ID: id, Author: "mika", Put: []search.Definition{{Name: name, MaxLimit: limit}}}
}

// TestRacingOperators has operators change searches at once through several
// nodes while the store loses answers and refuses calls. Every accepted change
// has to be one step of the history, once; no refused one may be in it.
func TestRacingOperators(t *testing.T) {
	for seed := range uint64(5) {
		synctest.Test(t, func(t *testing.T) { race(t, seed) })
	}
}

func race(t *testing.T, seed uint64) {
	s := fakekv.New(seed)
	s.SetFaults(0.3, 0.1)
	var nodes []*config.Manager
	for i := range 3 {
		nodes = append(nodes, config.New(config.Config{Store: s, Node: fmt.Sprint("e-", i)}))
	}
	var mu sync.Mutex
	verdicts := map[string]config.Result{}
	var wg sync.WaitGroup
	for i := range 12 {
		wg.Go(func() {
			for j := range 8 {
				id := fmt.Sprintf("c-%d-%d", i, j)
				r := nodes[i%3].Apply(t.Context(), put(id, fmt.Sprint("s", j%3), i*100+j))
				mu.Lock()
				verdicts[id] = r
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	s.SetFaults(0, 0)
	time.Sleep(time.Minute)
	h, err := nodes[0].History(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	at := map[string]uint64{}
	for i, e := range h {
		if e.Revision != uint64(i+1) || at[e.ChangeID] != 0 {
			t.Errorf("entry %d of the history is %+v", i, e)
		}
		at[e.ChangeID] = e.Revision
	}
	accepted := 0
	for id, r := range verdicts {
		switch r.Verdict {
		case config.Accepted:
			accepted++
			if at[id] != r.Revision {
				t.Errorf("%s accepted as %d, in the history as %d", id, r.Revision, at[id])
			}
		case config.StoreDown, config.Refused, config.Conflict:
			if at[id] != 0 {
				t.Errorf("%s answered %s but is in the history", id, r.Verdict)
			}
		}
	}
	if accepted < 20 {
		t.Errorf("only %d changes were accepted", accepted)
	}
	for _, n := range nodes {
		if n.Current().Revision != uint64(len(h)) {
			t.Errorf("revision %d in force, %d accepted", n.Current().Revision, len(h))
		}
		n.Close()
	}
}

func TestRepeatedChangeIsAppliedOnce(t *testing.T) {
	s := fakekv.New(1)
	m := config.New(config.Config{Store: s, Mode: config.Idle})
	defer m.Close()
	first := m.Apply(t.Context(), put("a", "s", 1))
	for i := range 40 {
		m.Apply(t.Context(), put(fmt.Sprint("b", i), "s", 2+i))
	}
	r := m.Apply(t.Context(), put("a", "s", 1))
	if r.Verdict != config.Accepted || r.Revision != first.Revision || m.Current().Revision != 41 {
		t.Errorf("repeat gave %+v at revision %d", r, m.Current().Revision)
	}
}

func TestConflictShowsTheDiff(t *testing.T) {
	m := config.New(config.Config{Store: fakekv.New(1), Mode: config.Idle})
	defer m.Close()
	m.Apply(t.Context(), put("a", "s", 1))
	m.Apply(t.Context(), put("b", "s", 2))
	c := put("c", "s", 3)
	c.Expect = 1
	r := m.Apply(t.Context(), c)
	if r.Verdict != config.Conflict || r.Revision != 2 || !slices.Contains(r.Diff, "s.max_limit: current 2, asked 3") {
		t.Errorf("got %+v", r)
	}
	if r := m.Apply(t.Context(), put("d", "s", 2)); r.Verdict != config.Unchanged || r.Revision != 2 {
		t.Errorf("got %+v", r)
	}
}

// TestNeverReverts puts a corrupt, a lower and no root in the store.
func TestNeverReverts(t *testing.T) {
	s := fakekv.New(1)
	m := config.New(config.Config{Store: s, Mode: config.Idle})
	defer m.Close()
	m.Apply(t.Context(), put("a", "s", 1))
	old, _ := s.Get(t.Context(), config.RootKey)
	m.Apply(t.Context(), put("b", "s", 2))
	now, _ := s.Get(t.Context(), config.RootKey)
	flipped := slices.Clone(now.Value)
	flipped[len(flipped)/2] ^= 1
	for name, v := range map[string][]byte{"lower": old.Value, "flipped": flipped, "cut": now.Value[:20], "empty": nil} {
		s.ForcePut(config.RootKey, v)
		if m.Refresh(t.Context()) || m.Current().Revision != 2 {
			t.Errorf("%s root was taken", name)
		}
		if r := m.Apply(t.Context(), put("c"+name, "s", 3)); r.Verdict != config.Refused || len(r.Problems) == 0 {
			t.Errorf("a change on a %s root gave %+v", name, r)
		}
	}
	s.Delete(t.Context(), config.RootKey, 0)
	if m.Refresh(t.Context()) || m.Current().Revision != 2 || m.Counts().RefusedLower < 2 || m.Counts().RefusedCorrupt < 3 {
		t.Errorf("after all, revision %d and %+v", m.Current().Revision, m.Counts())
	}
}

// staleStore answers the read of the root after a conflict as it was before.
type staleStore struct {
	*fakekv.Store
	old   kv.Entry
	was   kv.Status
	stale bool
}

func (s *staleStore) Get(ctx context.Context, key string) (kv.Entry, kv.Status) {
	if key == config.RootKey && s.stale {
		s.stale = false
		return s.old, s.was
	}
	return s.Store.Get(ctx, key)
}

func (s *staleStore) Swap(ctx context.Context, key string, expect uint64, b []byte) (kv.Entry, kv.Status) {
	if key == config.RootKey && !s.stale {
		s.old, s.was = s.Store.Get(ctx, key)
	}
	e, st := s.Store.Swap(ctx, key, expect, b)
	if key == config.RootKey && st == kv.OK {
		// The answer is lost; the swap that is sent again meets a conflict.
		st = kv.Unknown
		s.stale = true
	}
	return e, st
}

// TestStaleReadIsNoConflict loses the answer to a swap that took effect and
// answers the reading back with an older root.
func TestStaleReadIsNoConflict(t *testing.T) {
	s := &staleStore{Store: fakekv.New(1)}
	m := config.New(config.Config{Store: s, Mode: config.Idle})
	defer m.Close()
	for i := range uint64(3) {
		c := put(fmt.Sprint("c", i), "s", int(i)+1)
		c.Expect = i
		if r := m.Apply(t.Context(), c); r.Verdict != config.Accepted || r.Revision != i+1 {
			t.Errorf("change %d: %+v", i, r)
		}
	}
	c := put("d", "s", 9)
	c.Expect = 7
	if r := m.Apply(t.Context(), c); r.Verdict != config.Refused {
		t.Errorf("a revision that is not there was expected: %+v", r)
	}
}

func TestCorruptDocumentKeepsTheLastGood(t *testing.T) {
	s := fakekv.New(1)
	a := config.New(config.Config{Store: s, Mode: config.Idle})
	defer a.Close()
	b := config.New(config.Config{Store: s, Mode: config.Idle})
	defer b.Close()
	a.Apply(t.Context(), put("a", "s", 1))
	b.Refresh(t.Context())
	a.Apply(t.Context(), put("b", "s", 2))
	es, _ := s.List(t.Context(), config.DocumentPrefix)
	for _, e := range es {
		s.ForcePut(e.Key, []byte(`{"name":"s","max_limit":9}`))
	}
	if b.Refresh(t.Context()) || b.Current().Revision != 1 || b.Counts().RefusedCorrupt == 0 {
		t.Errorf("revision %d, %+v", b.Current().Revision, b.Counts())
	}
}

// TestDelta has peers pass deltas on, some of them altered on the way.
func TestDelta(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := fakekv.New(1)
		a := config.New(config.Config{Store: s, Mode: config.Idle})
		defer a.Close()
		b := config.New(config.Config{Store: s, Mode: config.Idle})
		defer b.Close()
		for i := range rapid.IntRange(1, 12).Draw(t, "changes") {
			c := put(fmt.Sprint("c", i), rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "name"), i)
			if rapid.Bool().Draw(t, "delete") {
				c.Put, c.Delete = nil, []string{c.Put[0].Name}
			}
			a.Apply(context.Background(), c)
			if !rapid.Bool().Draw(t, "pass on") {
				continue
			}
			x, docs := a.Documents()
			before := b.Index()
			d := config.Between(before, x, docs)
			altered := len(d.Put) > 0 && rapid.Bool().Draw(t, "alter")
			if altered {
				d.Put[0].Body = append(slices.Clone(d.Put[0].Body), ' ')
			}
			took, err := b.Offer(d, "peer")
			if altered && (took || err == nil || b.Index().Revision != before.Revision) {
				t.Fatal("an altered delta was taken")
			}
			if !altered && b.Index().Digest() != a.Index().Digest() {
				t.Fatalf("b is at %d, a at %d: %v", b.Index().Revision, a.Index().Revision, err)
			}
		}
	})
}

func FuzzDecodeRoot(f *testing.F) {
	b, err := config.EncodeRoot(config.Root{Index: config.Index{Revision: 1, Refs: []config.Ref{{Name: "s", Written: 1}}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Add([]byte(`{"root":{},"sum":""}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		r, err := config.DecodeRoot(b)
		if err == nil && r.Index.Valid() != nil {
			t.Error("an invalid root was taken")
		}
	})
}
