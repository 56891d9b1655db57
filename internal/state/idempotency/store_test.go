package idempotency

import (
	"context"
	"encoding/binary"
	"maps"
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

	"egrethaven/internal/infra/vm"
	"egrethaven/internal/platform/kv"
	"egrethaven/internal/query/outcome"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// noMembers lists no members, so that every node considers itself the owner of
// every bucket.
type noMembers struct{}

func (noMembers) Live() []vm.VM { return nil }

// keyAt returns a new UUIDv7 with the given timestamp.
func keyAt(t time.Time) string {
	u := uuid.New()
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], uint64(t.UnixMilli()))
	copy(u[:6], b[2:])
	u[6] = 0x70 | u[6]&0x0f
	return u.String()
}

func newStore(m kv.Store, c Config) *Store {
	c.Store, c.Self, c.Members = m, "e-1", noMembers{}
	c.SweepInterval = orDefault(c.SweepInterval, -1)
	return New(c)
}

func claim(s *Store, key string, timeout time.Duration) Claim {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return s.Claim(ctx, Request{Key: key, Fingerprint: 1})
}

func checkClaim(t *testing.T, what string, c Claim, s Status, r outcome.Reason) {
	t.Helper()
	if c.Status != s || c.Reason != r {
		t.Fatalf("%s: got %d %s, want %d %s", what, c.Status, c.Reason, s, r)
	}
}

// withTwoNodes runs f with a fake clock and two nodes that both consider
// themselves the owner of every bucket.
func withTwoNodes(t *testing.T, c Config, f func(m *memoryStore, a, b *Store)) {
	synctest.Test(t, func(*testing.T) {
		m := newMemoryStore(1)
		a, b := newStore(m, c), newStore(m, c)
		defer func() { _ = a.Close(); _ = b.Close() }()
		f(m, a, b)
	})
}

func TestRepeatReturnsRecordedOutcome(t *testing.T) {
	withTwoNodes(t, Config{}, func(_ *memoryStore, a, b *Store) {
		k := keyAt(time.Now())
		c := claim(a, k, time.Second)
		checkClaim(t, "first", c, Claimed, "")
		checkClaim(t, "repeat at once, same node", claim(a, k, time.Second), InProgress, "")
		checkClaim(t, "repeat at once, other node", claim(b, k, time.Second), InProgress, "")
		r := Record{Outcome: outcome.Failed(outcome.Rejected), Revision: 7, Detail: strings.Repeat("é", 200)}
		a.Record(c, r)
		time.Sleep(time.Second)
		for _, s := range []*Store{a, b} {
			d := claim(s, k, time.Second)
			checkClaim(t, "repeat", d, Repeated, "")
			if d.Record.Outcome != r.Outcome || d.Record.Revision != 7 || d.Record.Detail != strings.Repeat("é", 128) {
				t.Fatalf("recorded %+v", d.Record)
			}
		}
		other := a.Claim(context.Background(), Request{Key: k, Fingerprint: 2})
		checkClaim(t, "other body", other, Refused, outcome.KeyReused)
	})
}

func TestAbandonFreesKey(t *testing.T) {
	withTwoNodes(t, Config{}, func(_ *memoryStore, a, b *Store) {
		k := keyAt(time.Now())
		a.Abandon(claim(a, k, time.Second))
		time.Sleep(time.Second)
		checkClaim(t, "after abandonment", claim(b, k, time.Second), Claimed, "")
		checkClaim(t, "third claim", claim(a, k, time.Second), InProgress, "")
	})
}

func TestKeyValidation(t *testing.T) {
	withTwoNodes(t, Config{}, func(_ *memoryStore, a, _ *Store) {
		now := time.Now()
		checkClaim(t, "expired", claim(a, keyAt(now.Add(-DefaultRetention-time.Second)), time.Second), Refused, outcome.KeyExpired)
		checkClaim(t, "almost expired", claim(a, keyAt(now.Add(-DefaultRetention+time.Minute)), time.Second), Claimed, "")
		checkClaim(t, "future", claim(a, keyAt(now.Add(DefaultMaxFutureOffset+time.Second)), time.Second), Refused, outcome.BadRequest)
		for _, k := range []string{"", "x", uuid.NewString(), "urn:uuid:" + keyAt(now), strings.Repeat("z", 36)} {
			checkClaim(t, k, claim(a, k, time.Second), Refused, outcome.BadRequest)
		}
	})
}

func TestBucketFull(t *testing.T) {
	withTwoNodes(t, Config{MaxBucketBytes: 1000}, func(m *memoryStore, a, _ *Store) {
		now := time.Now()
		var last Claim
		for range 10 {
			last = claim(a, keyAt(now), time.Second)
			a.Record(last, Record{Outcome: outcome.OK(), Detail: strings.Repeat("x", 300)})
			time.Sleep(time.Second)
		}
		checkClaim(t, "last", last, Refused, outcome.BucketFull)
		for k, e := range m.entries {
			if len(e.Value) > 1000 {
				t.Fatalf("%s holds %d bytes", k, len(e.Value))
			}
		}
	})
}

// The committer of another node, whose cached bucket does not have the claim yet,
// has to record its outcome.
func TestOutcomeRecordedByAnotherNode(t *testing.T) {
	withTwoNodes(t, Config{}, func(_ *memoryStore, a, b *Store) {
		now := time.Now()
		checkClaim(t, "first", claim(a, keyAt(now), time.Second), Claimed, "")
		k := keyAt(now)
		c := claim(b, k, time.Second)
		a.Record(c, Record{Outcome: outcome.OK()})
		time.Sleep(time.Second)
		checkClaim(t, "repeat", claim(b, k, time.Second), Repeated, "")
	})
}

// A corrupt bucket must not be overwritten: it may hold keys of requests that
// ran.
func TestCorruptBucketIsNotOverwritten(t *testing.T) {
	withTwoNodes(t, Config{}, func(m *memoryStore, a, b *Store) {
		k := keyAt(time.Now())
		checkClaim(t, "first", claim(a, k, time.Second), Claimed, "")
		for name, e := range m.entries {
			for _, v := range [][]byte{nil, e.Value[:len(e.Value)-2], []byte("nonsense")} {
				m.locked(func() { m.entries[name] = kv.Entry{Key: name, Value: v, Revision: 99} })
				time.Sleep(time.Second)
				checkClaim(t, "claim in a corrupt bucket", claim(b, k, time.Second), Refused, outcome.StoreDown)
				if string(m.entries[name].Value) != string(v) {
					t.Fatal("the corrupt bucket was overwritten")
				}
			}
		}
	})
}

// In a backlog each key has its own bucket. Claims that the rate limit does not
// admit before the deadline must be refused.
func TestBacklogIsRateLimited(t *testing.T) {
	withTwoNodes(t, Config{}, func(m *memoryStore, a, _ *Store) {
		now := time.Now()
		var w sync.WaitGroup
		var claimed, refused, shed atomic.Int64
		for i := range 2000 {
			w.Go(func() {
				c := claim(a, keyAt(now.Add(-time.Minute-time.Duration(i)*DefaultSliceDuration)), 4*time.Second)
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
		maxClaimed := int64(minBurst + 4*DefaultBacklogCommitsPerSecond)
		if n := claimed.Load(); n < maxClaimed/2 || n > maxClaimed || n+refused.Load() != 2000 {
			t.Fatalf("%d claimed, %d refused", n, refused.Load())
		}
		// A claim that is unresolved at its deadline may have written its
		// bucket, which then holds its abandonment.
		time.Sleep(time.Minute)
		buckets := 0
		m.locked(func() { buckets = len(m.entries) })
		if n := claimed.Load(); buckets < int(n) || buckets > int(n+a.Counts().Unresolved) {
			t.Fatalf("%d buckets of %d claims, %d unresolved", buckets, n, a.Counts().Unresolved)
		}
		if shed.Load() < 1000 {
			t.Fatalf("only %d shed", shed.Load())
		}
	})
}

func TestStoreDown(t *testing.T) {
	withTwoNodes(t, Config{}, func(m *memoryStore, a, b *Store) {
		k, recorded := keyAt(time.Now()), keyAt(time.Now())
		c := claim(a, recorded, time.Second)
		m.locked(func() { m.down = true })
		a.Record(c, Record{Outcome: outcome.OK()})
		start := time.Now()
		checkClaim(t, "while down", claim(a, k, 10*time.Second), Refused, outcome.StoreDown)
		if d := time.Since(start); d > time.Second {
			t.Fatalf("refused only after %v", d)
		}
		callsBefore := m.calls
		for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
			claim(a, keyAt(time.Now()), time.Second)
		}
		if n := m.calls - callsBefore; n > 300 {
			t.Fatalf("%d calls in 10 s of outage", n)
		}
		m.locked(func() { m.down = false })
		time.Sleep(10 * time.Second)
		checkClaim(t, "after the outage", claim(b, k, time.Second), Claimed, "")
		checkClaim(t, "recorded after the outage", claim(b, recorded, time.Second), Repeated, "")
	})
}

func TestLostAnswerIsResolvedByReadBack(t *testing.T) {
	withTwoNodes(t, Config{}, func(m *memoryStore, a, b *Store) {
		k := keyAt(time.Now())
		m.locked(func() { m.lossRate = 1 })
		go func() { time.Sleep(10 * time.Millisecond); m.locked(func() { m.lossRate = 0 }) }()
		checkClaim(t, "claim with a lost answer", claim(a, k, time.Second), Claimed, "")
		checkClaim(t, "claim of the other node", claim(b, k, time.Second), InProgress, "")
	})
}

func TestUnresolvedClaimIsRefusedAndFreed(t *testing.T) {
	withTwoNodes(t, Config{}, func(m *memoryStore, a, b *Store) {
		k := keyAt(time.Now())
		m.locked(func() { m.lossRate = 1 })
		checkClaim(t, "unresolved", claim(a, k, 300*time.Millisecond), Refused, outcome.StoreDown)
		if a.Counts().Unresolved != 1 || len(m.entries) != 1 {
			t.Fatalf("want 1 unresolved claim whose swap took effect: %+v", a.Counts())
		}
		checkClaim(t, "repeat", claim(b, k, 300*time.Millisecond), Refused, outcome.StoreDown)
		m.locked(func() { m.lossRate = 0 })
		time.Sleep(20 * time.Second)
		checkClaim(t, "repeat later", claim(b, k, time.Second), Claimed, "")
	})
}

// A node pauses before its swap for longer than the retention. Meanwhile
// another node's claim of the key is deleted with its bucket, so the swap
// succeeds but must not grant the claim.
func TestPauseLongerThanRetention(t *testing.T) {
	withTwoNodes(t, Config{Retention: time.Second, ClockMargin: time.Second}, func(m *memoryStore, a, b *Store) {
		k := keyAt(time.Now())
		var called atomic.Bool
		m.beforeSwap = func(name string) {
			if called.Swap(true) {
				return
			}
			checkClaim(t, "claim of the other node", claim(b, k, time.Second), Claimed, "")
			time.Sleep(3 * time.Second)
			m.locked(func() { delete(m.entries, name) })
		}
		checkClaim(t, "claim of the paused node", claim(a, k, 10*time.Second), Refused, outcome.KeyExpired)
	})
}

func TestSweepKeepsUnexpiredBuckets(t *testing.T) {
	withTwoNodes(t, Config{}, func(m *memoryStore, a, _ *Store) {
		created := time.Now()
		checkClaim(t, "claim", claim(a, keyAt(created), time.Second), Claimed, "")
		time.Sleep(DefaultRetention)
		a.sweep(time.Now())
		if len(m.entries) != 1 {
			t.Fatal("the bucket was deleted before its retention and margin")
		}
		time.Sleep(DefaultClockMargin + 2*time.Hour)
		a.sweep(time.Now())
		if len(m.entries) != 0 || a.Counts().Deleted != 1 {
			t.Fatal("the expired bucket was not deleted")
		}
	})
}

// TestAtMostOnce sends the same keys repeatedly through several nodes that all
// write the buckets, with a store that is slow, loses answers and has outages.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		seed := rapid.Uint64().Draw(r, "seed")
		nodes := rapid.IntRange(1, 4).Draw(r, "nodes")
		lossRate := rapid.Float64Range(0, 0.6).Draw(r, "loss_rate")
		delayMS := rapid.IntRange(0, 400).Draw(r, "delay_ms")
		omitConflictValue := rapid.Bool().Draw(r, "omit_conflict_value")
		outages := rapid.Bool().Draw(r, "outages")
		synctest.Test(t, func(*testing.T) {
			m := newMemoryStore(seed)
			m.omitConflictValue, m.lossRate, m.maxDelay = omitConflictValue, lossRate, time.Duration(delayMS)*time.Millisecond
			h := newHistory(m, nodes, seed)
			if outages {
				go h.toggleOutages()
			}
			h.sendAll(6, 8)
			h.verify(r)
		})
	})
}

// history records, by key, how often the request ran and the outcomes that
// repeats returned.
type history struct {
	m      *memoryStore
	stores []*Store
	random *rand.Rand
	done   chan struct{}

	mu       sync.Mutex
	runs     map[string]int
	reported map[string][]outcome.Outcome
}

func newHistory(m *memoryStore, nodes int, seed uint64) *history {
	h := &history{m: m, random: rand.New(rand.NewPCG(seed, 9)), done: make(chan struct{}), runs: map[string]int{}, reported: map[string][]outcome.Outcome{}}
	for range nodes {
		h.stores = append(h.stores, newStore(m, Config{Seed: seed}))
	}
	return h
}

func (h *history) randomInt(n int) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.random.IntN(n)
}

func (h *history) toggleOutages() {
	for {
		select {
		case <-h.done:
			return
		case <-time.After(time.Duration(h.randomInt(400)) * time.Millisecond):
			h.m.locked(func() { h.m.down = !h.m.down })
		}
	}
}

// sendAll sends each key several times, concurrently. It then ends all faults and
// claims each key that ran once more.
func (h *history) sendAll(keys, sendsPerKey int) {
	var w sync.WaitGroup
	for range keys {
		k := keyAt(time.Now())
		for range sendsPerKey {
			w.Go(func() {
				time.Sleep(time.Duration(h.randomInt(2000)) * time.Millisecond)
				h.send(k)
			})
		}
	}
	w.Wait()
	close(h.done)
	h.m.locked(func() { h.m.down, h.m.lossRate, h.m.maxDelay = false, 0, 0 })
	time.Sleep(time.Minute)
	for k := range h.runs {
		c := claim(h.stores[0], k, time.Minute)
		h.reported[k] = append(h.reported[k], c.recordedOutcome()...)
	}
	for _, s := range h.stores {
		_ = s.Close()
	}
}

// recordedOutcome returns the outcome in c, or nothing if c is no repeat.
func (c Claim) recordedOutcome() []outcome.Outcome {
	if c.Status != Repeated {
		return nil
	}
	return []outcome.Outcome{c.Record.Outcome}
}

func (h *history) send(k string) {
	s := h.stores[h.randomInt(len(h.stores))]
	c := claim(s, k, time.Duration(100+h.randomInt(2000))*time.Millisecond)
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case c.Status != Claimed:
		h.reported[k] = append(h.reported[k], c.recordedOutcome()...)
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
		if !slices.Contains(h.reported[k], outcome.OK()) {
			r.Fatalf("key %s ran, but no repeat returned its outcome", k)
		}
	}
	for k, os := range h.reported {
		if len(os) > 0 && h.runs[k] == 0 {
			r.Fatalf("key %s never ran, but its repeats returned %v", k, os)
		}
	}
}

// TestClaimLostByRestore: a claim that the restored key-value service had lost was granted
// a second time.
func TestClaimLostByRestore(t *testing.T) {
	var restoredAt time.Time
	withTwoNodes(t, Config{RestoredAt: func() time.Time { return restoredAt }}, func(m *memoryStore, a, b *Store) {
		kept, lost := keyAt(time.Now()), keyAt(time.Now())
		k := claim(a, kept, time.Second)
		checkClaim(t, "claim", k, Claimed, "")
		a.Record(k, Record{Outcome: outcome.OK()})
		time.Sleep(time.Second)
		backup := map[string]kv.Entry{}
		m.locked(func() { maps.Copy(backup, m.entries) })
		checkClaim(t, "claim that is lost", claim(a, lost, time.Second), Claimed, "")
		time.Sleep(time.Minute)
		m.locked(func() { m.entries = backup })
		restoredAt = time.Now()
		checkClaim(t, "repeat of a lost claim", claim(b, lost, time.Second), Refused, outcome.KeyExpired)
		checkClaim(t, "second repeat", claim(b, lost, time.Second), InProgress, "")
		checkClaim(t, "repeat of a claim that was kept", claim(b, kept, time.Second), Repeated, "")
		time.Sleep(DefaultMaxFutureOffset + time.Second)
		checkClaim(t, "new key", claim(a, keyAt(time.Now()), time.Second), Claimed, "")
	})
}
