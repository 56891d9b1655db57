package once

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	_ "egrethaven/internal/proof/fixedseed"

	"egrethaven/internal/platform/kv"
	"egrethaven/internal/query/outcome"
	"egrethaven/internal/world/vm"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// alone is a view of the members in which nobody else lives, so that every
// node takes itself for the owner of every bucket.
type alone struct{}

func (alone) Live() []vm.VM { return nil }

// keyAt returns a UUIDv7 of a time.
func keyAt(t time.Time) string {
	u := uuid.New()
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], uint64(t.UnixMilli()))
	copy(u[:6], b[2:])
	u[6] = 0x70 | u[6]&0x0f
	return u.String()
}

func newStore(m kv.Store, c Config) *Store {
	c.Store, c.Self, c.Members = m, "e-1", alone{}
	c.SweepInterval = or(c.SweepInterval, -1)
	return New(c)
}

func claim(s *Store, key string, timeout time.Duration) Claim {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return s.Claim(ctx, Request{Key: key, Fingerprint: 1})
}

func want(t *testing.T, what string, c Claim, s Status, r outcome.Reason) {
	t.Helper()
	if c.Status != s || c.Reason != r {
		t.Fatalf("%s: got %d %s, want %d %s", what, c.Status, c.Reason, s, r)
	}
}

// bubble runs f with a fake clock and two nodes that both take themselves for
// the owner of every bucket.
func bubble(t *testing.T, c Config, f func(m *memory, a, b *Store)) {
	synctest.Test(t, func(*testing.T) {
		m := newMemory(1)
		a, b := newStore(m, c), newStore(m, c)
		defer func() { _ = a.Close(); _ = b.Close() }()
		f(m, a, b)
	})
}

func TestRepeats(t *testing.T) {
	bubble(t, Config{}, func(_ *memory, a, b *Store) {
		k := keyAt(time.Now())
		c := claim(a, k, time.Second)
		want(t, "first", c, Claimed, "")
		want(t, "repeat at once, same node", claim(a, k, time.Second), InProgress, "")
		want(t, "repeat at once, other node", claim(b, k, time.Second), InProgress, "")
		r := Record{Outcome: outcome.Failed(outcome.Rejected), Revision: 7, Detail: strings.Repeat("é", 200)}
		a.Record(c, r)
		time.Sleep(time.Second)
		for _, s := range []*Store{a, b} {
			d := claim(s, k, time.Second)
			want(t, "repeat", d, Repeated, "")
			if d.Record.Outcome != r.Outcome || d.Record.Revision != 7 || d.Record.Detail != strings.Repeat("é", 128) {
				t.Fatalf("recorded %+v", d.Record)
			}
		}
		other := a.Claim(context.Background(), Request{Key: k, Fingerprint: 2})
		want(t, "other body", other, Refused, outcome.KeyReused)
	})
}

func TestAbandonFreesTheKey(t *testing.T) {
	bubble(t, Config{}, func(_ *memory, a, b *Store) {
		k := keyAt(time.Now())
		a.Abandon(claim(a, k, time.Second))
		time.Sleep(time.Second)
		want(t, "after the abandonment", claim(b, k, time.Second), Claimed, "")
		want(t, "a third", claim(a, k, time.Second), InProgress, "")
	})
}

func TestKeys(t *testing.T) {
	bubble(t, Config{}, func(_ *memory, a, _ *Store) {
		now := time.Now()
		want(t, "old", claim(a, keyAt(now.Add(-DefaultRetention-time.Second)), time.Second), Refused, outcome.KeyExpired)
		want(t, "nearly old", claim(a, keyAt(now.Add(-DefaultRetention+time.Minute)), time.Second), Claimed, "")
		want(t, "future", claim(a, keyAt(now.Add(DefaultMaxAhead+time.Second)), time.Second), Refused, outcome.BadRequest)
		for _, k := range []string{"", "x", uuid.NewString(), "urn:uuid:" + keyAt(now), strings.Repeat("z", 36)} {
			want(t, k, claim(a, k, time.Second), Refused, outcome.BadRequest)
		}
	})
}

func TestBucketFull(t *testing.T) {
	bubble(t, Config{MaxBucket: 1000}, func(m *memory, a, _ *Store) {
		now := time.Now()
		var last Claim
		for range 10 {
			last = claim(a, keyAt(now), time.Second)
			a.Record(last, Record{Outcome: outcome.OK(), Detail: strings.Repeat("x", 300)})
			time.Sleep(time.Second)
		}
		want(t, "last", last, Refused, outcome.BucketFull)
		for k, e := range m.entries {
			if len(e.Value) > 1000 {
				t.Fatalf("%s holds %d bytes", k, len(e.Value))
			}
		}
	})
}

// An outcome may come to a committer that knows an older state of the bucket.
func TestOutcomeThroughAnotherNode(t *testing.T) {
	bubble(t, Config{}, func(_ *memory, a, b *Store) {
		now := time.Now()
		want(t, "first", claim(a, keyAt(now), time.Second), Claimed, "")
		k := keyAt(now)
		c := claim(b, k, time.Second)
		a.Record(c, Record{Outcome: outcome.OK()})
		time.Sleep(time.Second)
		want(t, "repeat", claim(b, k, time.Second), Repeated, "")
	})
}

// A value that can't be read is never overwritten: it may hold keys that ran.
func TestCorruptBucketIsLeftAlone(t *testing.T) {
	bubble(t, Config{}, func(m *memory, a, b *Store) {
		k := keyAt(time.Now())
		want(t, "first", claim(a, k, time.Second), Claimed, "")
		for name, e := range m.entries {
			for _, v := range [][]byte{nil, e.Value[:len(e.Value)-2], []byte("nonsense")} {
				m.set(func() { m.entries[name] = kv.Entry{Key: name, Value: v, Revision: 99} })
				time.Sleep(time.Second)
				want(t, "over a corrupt value", claim(b, k, time.Second), Refused, outcome.StoreDown)
				if string(m.entries[name].Value) != string(v) {
					t.Fatal("it was overwritten")
				}
			}
		}
	})
}

// A backlog has a bucket for each key. What the service can't be asked within
// the deadline is refused, and truly did not run.
func TestBacklogIsPaced(t *testing.T) {
	bubble(t, Config{}, func(m *memory, a, _ *Store) {
		now := time.Now()
		var w sync.WaitGroup
		var claimed, refused, shed atomic.Int64
		for i := range 2000 {
			w.Go(func() {
				c := claim(a, keyAt(now.Add(-time.Minute-time.Duration(i)*DefaultSlice)), 4*time.Second)
				switch c.Status {
				case Claimed:
					claimed.Add(1)
				case Refused:
					refused.Add(1)
				}
				if c.Reason == outcome.Shed {
					shed.Add(1)
				}
			})
		}
		w.Wait()
		most := int64(minBurst + 4*DefaultLateWrites)
		if n := claimed.Load(); n < most/2 || n > most || n+refused.Load() != 2000 {
			t.Fatalf("%d claimed, %d refused", n, refused.Load())
		}
		// A claim that its deadline overtook may have its bucket, which then
		// holds its abandonment.
		time.Sleep(time.Minute)
		buckets := 0
		m.set(func() { buckets = len(m.entries) })
		if n := claimed.Load(); buckets < int(n) || buckets > int(n+a.Counts().Unresolved) {
			t.Fatalf("%d buckets of %d claims, %d unresolved", buckets, n, a.Counts().Unresolved)
		}
		if shed.Load() < 1000 {
			t.Fatalf("%d shed only", shed.Load())
		}
	})
}

func TestStoreDown(t *testing.T) {
	bubble(t, Config{}, func(m *memory, a, b *Store) {
		k, l := keyAt(time.Now()), keyAt(time.Now())
		c := claim(a, l, time.Second)
		m.set(func() { m.down = true })
		a.Record(c, Record{Outcome: outcome.OK()})
		began := time.Now()
		want(t, "while down", claim(a, k, 10*time.Second), Refused, outcome.StoreDown)
		if d := time.Since(began); d > time.Second {
			t.Fatalf("refused after %v only", d)
		}
		before := m.calls
		for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
			claim(a, keyAt(time.Now()), time.Second)
		}
		if n := m.calls - before; n > 300 {
			t.Fatalf("%d calls in 10 s of outage", n)
		}
		m.set(func() { m.down = false })
		time.Sleep(10 * time.Second)
		want(t, "after the outage", claim(b, k, time.Second), Claimed, "")
		want(t, "recorded after the outage", claim(b, l, time.Second), Repeated, "")
	})
}

func TestLostAnswerIsReadBack(t *testing.T) {
	bubble(t, Config{}, func(m *memory, a, b *Store) {
		k := keyAt(time.Now())
		m.set(func() { m.lose = 1 })
		go func() { time.Sleep(10 * time.Millisecond); m.set(func() { m.lose = 0 }) }()
		want(t, "with its answer lost", claim(a, k, time.Second), Claimed, "")
		want(t, "of the other node", claim(b, k, time.Second), InProgress, "")
	})
}

func TestUnresolvedClaimIsNeverDispatchedAndFreed(t *testing.T) {
	bubble(t, Config{}, func(m *memory, a, b *Store) {
		k := keyAt(time.Now())
		m.set(func() { m.lose = 1 })
		want(t, "unresolved", claim(a, k, 300*time.Millisecond), Refused, outcome.StoreDown)
		if a.Counts().Unresolved != 1 || len(m.entries) != 1 {
			t.Fatalf("the swap took no effect: %+v", a.Counts())
		}
		want(t, "repeat", claim(b, k, 300*time.Millisecond), Refused, outcome.StoreDown)
		m.set(func() { m.lose = 0 })
		time.Sleep(20 * time.Second)
		want(t, "repeat later", claim(b, k, time.Second), Claimed, "")
	})
}

// A node that is paused before its swap, for longer than the retention, wakes
// when the bucket of the run that it never saw is gone.
func TestPausedBeyondTheRetention(t *testing.T) {
	bubble(t, Config{Retention: time.Second, Margin: time.Second}, func(m *memory, a, b *Store) {
		k := keyAt(time.Now())
		var passed atomic.Bool
		m.before = func(name string) {
			if passed.Swap(true) {
				return
			}
			want(t, "of the other node", claim(b, k, time.Second), Claimed, "")
			time.Sleep(3 * time.Second)
			m.set(func() { delete(m.entries, name) })
		}
		want(t, "of the paused node", claim(a, k, 10*time.Second), Refused, outcome.KeyExpired)
	})
}

func TestSweepKeepsWhatMayBeAsked(t *testing.T) {
	bubble(t, Config{}, func(m *memory, a, _ *Store) {
		made := time.Now()
		want(t, "claim", claim(a, keyAt(made), time.Second), Claimed, "")
		time.Sleep(DefaultRetention)
		a.sweep(time.Now())
		if len(m.entries) != 1 {
			t.Fatal("deleted too early")
		}
		time.Sleep(DefaultMargin + 2*time.Hour)
		a.sweep(time.Now())
		if len(m.entries) != 0 || a.Counts().Deleted != 1 {
			t.Fatal("not deleted")
		}
	})
}

// TestAtMostOnce lets callers send the same keys again and again through
// several nodes that all swap on their own, over a store that is slow, loses
// answers and goes down.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		seed := rapid.Uint64().Draw(r, "seed")
		nodes := rapid.IntRange(1, 4).Draw(r, "nodes")
		lose := rapid.Float64Range(0, 0.6).Draw(r, "lose")
		delay := rapid.IntRange(0, 400).Draw(r, "delay_ms")
		mute := rapid.Bool().Draw(r, "mute")
		outages := rapid.Bool().Draw(r, "outages")
		synctest.Test(t, func(*testing.T) {
			m := newMemory(seed)
			m.mute, m.lose, m.delay = mute, lose, time.Duration(delay)*time.Millisecond
			h := newHistory(m, nodes, seed)
			if outages {
				go h.outages()
			}
			h.play(6, 8)
			h.verify(r)
		})
	})
}

// history is what truly ran for each key, and what callers were told.
type history struct {
	m      *memory
	stores []*Store
	random *rand.Rand
	over   chan struct{}

	mu   sync.Mutex
	runs map[string]int
	told map[string][]outcome.Outcome
}

func newHistory(m *memory, nodes int, seed uint64) *history {
	h := &history{m: m, random: rand.New(rand.NewPCG(seed, 9)), over: make(chan struct{}), runs: map[string]int{}, told: map[string][]outcome.Outcome{}}
	for range nodes {
		h.stores = append(h.stores, newStore(m, Config{Seed: seed}))
	}
	return h
}

func (h *history) draw(n int) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.random.IntN(n)
}

func (h *history) outages() {
	for {
		select {
		case <-h.over:
			return
		case <-time.After(time.Duration(h.draw(400)) * time.Millisecond):
			h.m.set(func() { h.m.down = !h.m.down })
		}
	}
}

// play has each key sent by several callers at a time.
func (h *history) play(keys, sends int) {
	var w sync.WaitGroup
	for range keys {
		k := keyAt(time.Now())
		for range sends {
			w.Go(func() {
				time.Sleep(time.Duration(h.draw(2000)) * time.Millisecond)
				h.send(k)
			})
		}
	}
	w.Wait()
	close(h.over)
	h.m.set(func() { h.m.down, h.m.lose, h.m.delay = false, 0, 0 })
	time.Sleep(time.Minute)
	for k := range h.runs {
		c := claim(h.stores[0], k, time.Minute)
		h.told[k] = append(h.told[k], c.settled()...)
	}
	for _, s := range h.stores {
		_ = s.Close()
	}
}

// settled is the recorded outcome, if there is one.
func (c Claim) settled() []outcome.Outcome {
	if c.Status != Repeated {
		return nil
	}
	return []outcome.Outcome{c.Record.Outcome}
}

func (h *history) send(k string) {
	s := h.stores[h.draw(len(h.stores))]
	c := claim(s, k, time.Duration(100+h.draw(2000))*time.Millisecond)
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case c.Status != Claimed:
		h.told[k] = append(h.told[k], c.settled()...)
	case h.random.IntN(4) == 0:
		s.Abandon(c)
	default:
		h.runs[k]++
		s.Record(c, Record{Outcome: outcome.OK(), Revision: uint64(h.runs[k])})
	}
}

func (h *history) verify(r *rapid.T) {
	for k, n := range h.runs {
		if n > 1 {
			r.Fatalf("key %s ran %d times", k, n)
		}
		if !slices.Contains(h.told[k], outcome.OK()) {
			r.Fatalf("key %s ran, and its repeat was not told so", k)
		}
	}
	for k, os := range h.told {
		if len(os) > 0 && h.runs[k] == 0 {
			r.Fatalf("key %s never ran, and its repeat was told %v", k, os)
		}
	}
}
