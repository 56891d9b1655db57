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

func putChange(id, name string, limit int) config.Change {
	return config.Change{ID: id, Author: "mika", Put: []search.Definition{{Name: name, MaxLimit: limit}}}
}

// TestConcurrentChanges makes changes through several nodes while the store
// loses answers and refuses calls. Each accepted change must be in the history
// once, and no refused one.
func TestConcurrentChanges(t *testing.T) {
	for seed := range uint64(5) {
		synctest.Test(t, func(t *testing.T) { testConcurrentChanges(t, seed) })
	}
}

func testConcurrentChanges(t *testing.T, seed uint64) {
	s := fakekv.New(seed)
	s.SetFaults(0.3, 0.1)
	var nodes []*config.Manager
	for i := range 3 {
		nodes = append(nodes, config.New(config.Config{Store: s, Node: fmt.Sprint("e-", i)}))
	}
	var mu sync.Mutex
	results := map[string]config.Result{}
	var wg sync.WaitGroup
	for i := range 12 {
		wg.Go(func() {
			for j := range 8 {
				id := fmt.Sprintf("c-%d-%d", i, j)
				r := nodes[i%3].Apply(t.Context(), putChange(id, fmt.Sprint("s", j%3), i*100+j))
				mu.Lock()
				results[id] = r
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	s.SetFaults(0, 0)
	time.Sleep(time.Minute)
	history, err := nodes[0].History(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	revisions := map[string]uint64{}
	for i, e := range history {
		if e.Revision != uint64(i+1) || revisions[e.ChangeID] != 0 {
			t.Errorf("history entry %d is %+v", i, e)
		}
		revisions[e.ChangeID] = e.Revision
	}
	accepted := 0
	for id, r := range results {
		switch r.Verdict {
		case config.Accepted:
			accepted++
			if revisions[id] != r.Revision {
				t.Errorf("change %s was accepted as revision %d, but is revision %d in the history", id, r.Revision, revisions[id])
			}
		case config.StoreDown, config.Refused, config.Conflict:
			if revisions[id] != 0 {
				t.Errorf("change %s has the verdict %s, but is in the history", id, r.Verdict)
			}
		}
	}
	if accepted < 20 {
		t.Errorf("only %d changes were accepted", accepted)
	}
	for _, n := range nodes {
		if n.Current().Revision != uint64(len(history)) {
			t.Errorf("revision %d is in force after %d accepted changes", n.Current().Revision, len(history))
		}
		n.Close()
	}
}

// A change that is sent again, after more changes than the root lists, must return
// its first revision.
func TestRepeatedChangeIsAppliedOnce(t *testing.T) {
	s := fakekv.New(1)
	m := config.New(config.Config{Store: s, Mode: config.Idle})
	defer m.Close()
	first := m.Apply(t.Context(), putChange("a", "s", 1))
	for i := range 40 {
		m.Apply(t.Context(), putChange(fmt.Sprint("b", i), "s", 2+i))
	}
	r := m.Apply(t.Context(), putChange("a", "s", 1))
	if r.Verdict != config.Accepted || r.Revision != first.Revision || m.Current().Revision != 41 {
		t.Errorf("repeated change returned %+v at revision %d", r, m.Current().Revision)
	}
}

func TestConflictReturnsDiff(t *testing.T) {
	m := config.New(config.Config{Store: fakekv.New(1), Mode: config.Idle})
	defer m.Close()
	m.Apply(t.Context(), putChange("a", "s", 1))
	m.Apply(t.Context(), putChange("b", "s", 2))
	c := putChange("c", "s", 3)
	c.ExpectedRevision = 1
	r := m.Apply(t.Context(), c)
	if r.Verdict != config.Conflict || r.Revision != 2 || !slices.Contains(r.Diff, "s.max_limit: current 2, asked 3") {
		t.Errorf("change based on an old revision returned %+v", r)
	}
	if r := m.Apply(t.Context(), putChange("d", "s", 2)); r.Verdict != config.Unchanged || r.Revision != 2 {
		t.Errorf("change without effect returned %+v", r)
	}
}

// TestRootIsNeverReverted replaces the root in the store by an older one, by
// corrupt ones and by none. The configuration in force must not change.
func TestRootIsNeverReverted(t *testing.T) {
	s := fakekv.New(1)
	m := config.New(config.Config{Store: s, Mode: config.Idle})
	defer m.Close()
	m.Apply(t.Context(), putChange("a", "s", 1))
	old, _ := s.Get(t.Context(), config.RootKey)
	m.Apply(t.Context(), putChange("b", "s", 2))
	latest, _ := s.Get(t.Context(), config.RootKey)
	flipped := slices.Clone(latest.Value)
	flipped[len(flipped)/2] ^= 1
	for name, v := range map[string][]byte{"lower": old.Value, "flipped": flipped, "truncated": latest.Value[:20], "empty": nil} {
		s.ForcePut(config.RootKey, v)
		if m.Refresh(t.Context()) || m.Current().Revision != 2 {
			t.Errorf("%s root was accepted", name)
		}
		if r := m.Apply(t.Context(), putChange("c"+name, "s", 3)); r.Verdict != config.Refused || len(r.Problems) == 0 {
			t.Errorf("change on a %s root returned %+v", name, r)
		}
	}
	s.Delete(t.Context(), config.RootKey, 0)
	if m.Refresh(t.Context()) || m.Current().Revision != 2 || m.Counts().RefusedLower < 2 || m.Counts().RefusedCorrupt < 3 {
		t.Errorf("after deleting the root: revision %d, %+v", m.Current().Revision, m.Counts())
	}
}

// staleStore loses the answer to each swap of the root that takes effect, and then
// returns the previous root for one read.
type staleStore struct {
	*fakekv.Store
	previous       kv.Entry
	previousStatus kv.Status
	stale          bool
}

func (s *staleStore) Get(ctx context.Context, key string) (kv.Entry, kv.Status) {
	if key == config.RootKey && s.stale {
		s.stale = false
		return s.previous, s.previousStatus
	}
	return s.Store.Get(ctx, key)
}

func (s *staleStore) Swap(ctx context.Context, key string, expect uint64, b []byte) (kv.Entry, kv.Status) {
	if key == config.RootKey && !s.stale {
		s.previous, s.previousStatus = s.Store.Get(ctx, key)
	}
	e, st := s.Store.Swap(ctx, key, expect, b)
	if key == config.RootKey && st == kv.OK {
		// The answer is lost, and the same swap sent again conflicts.
		st = kv.Unknown
		s.stale = true
	}
	return e, st
}

// The answer to a successful swap is lost, and the read after its repetition
// returns the previous root. The change must still be accepted.
func TestStaleReadIsNoConflict(t *testing.T) {
	s := &staleStore{Store: fakekv.New(1)}
	m := config.New(config.Config{Store: s, Mode: config.Idle})
	defer m.Close()
	for i := range uint64(3) {
		c := putChange(fmt.Sprint("c", i), "s", int(i)+1)
		c.ExpectedRevision = i
		if r := m.Apply(t.Context(), c); r.Verdict != config.Accepted || r.Revision != i+1 {
			t.Errorf("change %d: %+v", i, r)
		}
	}
	c := putChange("d", "s", 9)
	c.ExpectedRevision = 7
	if r := m.Apply(t.Context(), c); r.Verdict != config.Refused {
		t.Errorf("change based on a revision that does not exist: %+v", r)
	}
}

func TestCorruptDocumentIsRefused(t *testing.T) {
	s := fakekv.New(1)
	a := config.New(config.Config{Store: s, Mode: config.Idle})
	defer a.Close()
	b := config.New(config.Config{Store: s, Mode: config.Idle})
	defer b.Close()
	a.Apply(t.Context(), putChange("a", "s", 1))
	b.Refresh(t.Context())
	a.Apply(t.Context(), putChange("b", "s", 2))
	es, _ := s.List(t.Context(), config.DocumentPrefix)
	for _, e := range es {
		s.ForcePut(e.Key, []byte(`{"name":"s","max_limit":9}`))
	}
	if b.Refresh(t.Context()) || b.Current().Revision != 1 || b.Counts().RefusedCorrupt == 0 {
		t.Errorf("after reading a corrupt document: revision %d, %+v", b.Current().Revision, b.Counts())
	}
}

// TestDelta applies deltas from one node on another and alters some of them. An
// altered delta must be refused.
func TestDelta(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := fakekv.New(1)
		a := config.New(config.Config{Store: s, Mode: config.Idle})
		defer a.Close()
		b := config.New(config.Config{Store: s, Mode: config.Idle})
		defer b.Close()
		for i := range rapid.IntRange(1, 12).Draw(t, "changes") {
			c := putChange(fmt.Sprint("c", i), rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "name"), i)
			if rapid.Bool().Draw(t, "delete") {
				c.Put, c.Delete = nil, []string{c.Put[0].Name}
			}
			a.Apply(context.Background(), c)
			if !rapid.Bool().Draw(t, "send") {
				continue
			}
			x, docs := a.Documents()
			before := b.Index()
			d := config.NewDelta(before, x, docs)
			altered := len(d.Put) > 0 && rapid.Bool().Draw(t, "alter")
			if altered {
				d.Put[0].Body = append(slices.Clone(d.Put[0].Body), ' ')
			}
			adopted, err := b.ApplyDelta(d, "peer")
			if altered && (adopted || err == nil || b.Index().Revision != before.Revision) {
				t.Fatal("an altered delta was accepted")
			}
			if !altered && b.Index().Digest() != a.Index().Digest() {
				t.Fatalf("b is at %d, a at %d: %v", b.Index().Revision, a.Index().Revision, err)
			}
		}
	})
}

func FuzzDecodeRoot(f *testing.F) {
	b, err := config.EncodeRoot(config.Root{Index: config.Index{Revision: 1, Refs: []config.Ref{{Name: "s", WrittenRevision: 1}}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Add([]byte(`{"root":{},"sum":""}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		r, err := config.DecodeRoot(b)
		if err == nil && r.Index.Validate() != nil {
			t.Error("DecodeRoot returned an invalid root")
		}
	})
}
