package follow_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	_ "egrethaven/internal/proof/fixedseed"
	"egrethaven/internal/state/follow"
)

// fakeStore is a store with a single key whose value is the revision.
type fakeStore struct {
	mu        sync.Mutex
	era       follow.Era
	rev       follow.Revision
	compacted follow.Revision
	changed   chan struct{}
	down      bool
	// loseWatches makes pending watches miss changes and time out.
	loseWatches     bool
	ranges, watches int
}

var errDown = errors.New("down")

func (s *fakeStore) Range(context.Context, string) ([]follow.Change, follow.Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ranges++
	if s.down {
		return nil, follow.Position{}, errDown
	}
	return []follow.Change{{Key: "k", Value: []byte(fmt.Sprint(s.rev)), Revision: s.rev}}, follow.Position{Era: s.era, Revision: s.rev}, nil
}

func (s *fakeStore) Watch(ctx context.Context, _ string, after follow.Position, wait time.Duration) ([]follow.Change, follow.Position, error) {
	s.mu.Lock()
	s.watches++
	s.mu.Unlock()
	t := time.NewTimer(wait)
	defer t.Stop()
	for {
		if cs, rev, err := s.since(after); len(cs) > 0 || err != nil {
			return cs, rev, err
		}
		select {
		case <-s.changed:
			if s.losesWatches() {
				<-t.C
				return nil, after, nil
			}
		case <-t.C:
			return nil, after, nil
		case <-ctx.Done():
			return nil, follow.Position{}, ctx.Err()
		}
	}
}

func (s *fakeStore) losesWatches() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loseWatches
}

// since returns the changes after a revision.
func (s *fakeStore) since(after follow.Position) ([]follow.Change, follow.Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.down:
		return nil, follow.Position{}, errDown
	case after.Era != s.era:
		return nil, follow.Position{}, follow.ErrRestored
	case after.Revision < s.compacted:
		return nil, follow.Position{}, follow.ErrCompacted
	case s.rev > after.Revision:
		return []follow.Change{{Key: "k", Value: []byte(fmt.Sprint(s.rev)), Revision: s.rev}}, follow.Position{Era: s.era, Revision: s.rev}, nil
	}
	return nil, after, nil
}

// set calls f with the lock held.
func (s *fakeStore) set(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

func (s *fakeStore) change() {
	s.set(func() { s.rev++ })
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

func (*fakeStore) Grant(context.Context, time.Duration) (follow.Lease, error) {
	return follow.Lease{}, nil
}

func (*fakeStore) Keep(context.Context, follow.Lease) error { return nil }

func (*fakeStore) Put(context.Context, string, []byte, follow.Lease) error { return nil }

// recorder is a handler that records the value of the key.
type recorder struct {
	value   string
	outages int
	current bool
	// restores is the number of calls to Restored.
	restores int
}

func (m *recorder) set(cs []follow.Change) { m.value = string(cs[len(cs)-1].Value) }

func (m *recorder) Restored(time.Time) { m.restores++ }

func (m *recorder) Replace(_ time.Time, all []follow.Change) { m.set(all) }

func (m *recorder) Apply(_ time.Time, cs []follow.Change) { m.set(cs) }

func (m *recorder) Confirmed(time.Time) { m.current = true }

func (m *recorder) Outage(time.Time) { m.outages++; m.current = false }

// TestFollow checks how soon the copy has the last change after various events at
// the store, and with how many full reads.
func TestFollow(t *testing.T) {
	for name, c := range map[string]struct {
		event  func(*fakeStore)
		within time.Duration
		ranges int
		// loseWatches is that of fakeStore.
		loseWatches bool
	}{
		"change":    {func(s *fakeStore) { s.change() }, time.Millisecond, 1, false},
		"burst":     {func(s *fakeStore) { s.change(); synctest.Wait(); s.change(); s.change() }, 260 * time.Millisecond, 1, false},
		"compacted": {func(s *fakeStore) { s.set(func() { s.rev, s.compacted = s.rev+1, s.rev+1 }); s.change() }, 10 * time.Millisecond, 2, false},
		"outage": {func(s *fakeStore) {
			s.set(func() { s.down = true })
			s.change()
			time.Sleep(5 * time.Second)
			s.set(func() { s.down = false })
		}, 900 * time.Millisecond, 1, false},
		"lost watch and compaction": {func(s *fakeStore) {
			s.set(func() { s.compacted = s.rev + 1 })
			s.change()
		}, 3100 * time.Millisecond, 2, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &fakeStore{rev: 7, changed: make(chan struct{}), loseWatches: c.loseWatches}
				m := &recorder{}
				ctx, cancel := context.WithCancel(t.Context())
				f := follow.New(follow.Config{Source: s, Handler: m})
				go f.Run(ctx)
				time.Sleep(time.Minute + 10*time.Millisecond)
				c.event(s)
				time.Sleep(c.within)
				synctest.Wait()
				cancel()
				synctest.Wait()
				if want := fmt.Sprint(s.rev); m.value != want || !m.current {
					t.Errorf("value %q in the copy after %s, want %q (current: %v)", m.value, c.within, want, m.current)
				}
				if s.ranges != c.ranges {
					t.Errorf("%d full reads, want %d", s.ranges, c.ranges)
				}
			})
		})
	}
}

// TestRestoredStore checks that the handler is told of a restore before it gets the
// entries of the restored store, and of nothing else.
func TestRestoredStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, m := &fakeStore{rev: 7, changed: make(chan struct{})}, &recorder{}
		ctx, cancel := context.WithCancel(t.Context())
		go follow.New(follow.Config{Source: s, Handler: m}).Run(ctx)
		time.Sleep(10 * time.Second)
		s.set(func() { s.rev, s.compacted = 8, 8 })
		time.Sleep(10 * time.Second)
		if m.restores != 0 {
			t.Error("a compaction was taken for a restore")
		}
		s.set(func() { s.era, s.rev, s.compacted = 1, 9, 0 })
		time.Sleep(10 * time.Second)
		cancel()
		synctest.Wait()
		if m.restores != 1 || m.value != "9" || s.ranges != 3 {
			t.Errorf("told of %d restores, copy %q, %d full reads; want 1, 9 and 3", m.restores, m.value, s.ranges)
		}
	})
}

// TestIdleStore checks that without changes there is one watch per WatchTimeout.
func TestIdleStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{rev: 7, changed: make(chan struct{})}
		f := follow.New(follow.Config{Source: s, Handler: &recorder{}, WatchTimeout: 4 * time.Second})
		ctx, cancel := context.WithTimeout(t.Context(), 59*time.Second)
		defer cancel()
		f.Run(ctx)
		if s.ranges != 1 || s.watches != 15 {
			t.Errorf("%d full reads and %d watches in 59 s, want 1 and 15", s.ranges, s.watches)
		}
	})
}

// model is both a store of a few keys and the handler that holds its copy.
type model struct {
	*fakeStore
	keys map[string]follow.Change
	log  []follow.Change
	copy map[string]string
	// regressed is set when an entry is overwritten by an older revision.
	regressed bool
}

func newModel() *model {
	return &model{fakeStore: &fakeStore{changed: make(chan struct{})}, keys: map[string]follow.Change{}, copy: map[string]string{}}
}

// write writes or deletes a key.
func (m *model) write(key string, deleted bool) {
	m.set(func() {
		m.rev++
		c := follow.Change{Key: key, Value: []byte(fmt.Sprint(m.rev)), Revision: m.rev, Deleted: deleted}
		m.log = append(m.log, c)
		if delete(m.keys, key); !deleted {
			m.keys[key] = c
		}
	})
	select {
	case m.changed <- struct{}{}:
	default:
	}
}

func (m *model) Range(context.Context, string) ([]follow.Change, follow.Position, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return nil, follow.Position{}, errDown
	}
	var all []follow.Change
	for _, c := range m.keys {
		all = append(all, c)
	}
	return all, follow.Position{Revision: m.rev}, nil
}

func (m *model) Watch(ctx context.Context, _ string, after follow.Position, wait time.Duration) ([]follow.Change, follow.Position, error) {
	if _, _, err := m.fakeStore.Watch(ctx, "", after, wait); err != nil {
		return nil, follow.Position{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return nil, follow.Position{}, errDown
	}
	if after.Revision < m.compacted {
		return nil, follow.Position{}, follow.ErrCompacted
	}
	var cs []follow.Change
	for _, c := range m.log {
		if c.Revision > after.Revision {
			cs = append(cs, c)
		}
	}
	return cs, follow.Position{Revision: m.rev}, nil
}

func (*model) Restored(time.Time) {}

func (m *model) Replace(now time.Time, all []follow.Change) {
	old := m.copy
	m.copy = map[string]string{}
	for _, c := range all {
		if v, ok := old[c.Key]; ok {
			m.copy[c.Key] = v
		}
	}
	m.Apply(now, all)
}

func (m *model) Apply(_ time.Time, cs []follow.Change) {
	for _, c := range cs {
		if old, _ := strconv.Atoi(m.copy[c.Key]); follow.Revision(old) > c.Revision {
			m.regressed = true
		}
		if delete(m.copy, c.Key); !c.Deleted {
			m.copy[c.Key] = string(c.Value)
		}
	}
}

func (*model) Confirmed(time.Time) {}

func (*model) Outage(time.Time) {}

// TestHistories applies random sequences of writes, deletions, outages, compactions
// and lost watches. 3.9 s after the last of them, a watch timeout and the maximum
// retry delay, the copy must equal the store.
func TestHistories(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		type step struct {
			what  int
			key   string
			after time.Duration
		}
		var steps []step
		for range rapid.IntRange(1, 30).Draw(rt, "steps") {
			steps = append(steps, step{rapid.IntRange(0, 5).Draw(rt, "what"), rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "key"),
				time.Duration(rapid.IntRange(0, 2000).Draw(rt, "after_ms")) * time.Millisecond})
		}
		fault := ""
		synctest.Test(t, func(t *testing.T) {
			m := newModel()
			m.write("a", false)
			ctx, cancel := context.WithCancel(t.Context())
			f := follow.New(follow.Config{Source: m, Handler: m})
			go f.Run(ctx)
			for _, s := range steps {
				time.Sleep(s.after)
				switch s.what {
				case 0, 1:
					m.write(s.key, false)
				case 2:
					m.write(s.key, true)
				case 3:
					m.set(func() { m.down = !m.down })
				case 4:
					m.set(func() { m.compacted = m.rev })
				case 5:
					m.set(func() { m.loseWatches = !m.loseWatches })
				}
			}
			m.set(func() { m.down, m.loseWatches = false, false })
			time.Sleep(3*time.Second + 900*time.Millisecond)
			synctest.Wait()
			cancel()
			synctest.Wait()
			want := map[string]string{}
			for k, c := range m.keys {
				want[k] = string(c.Value)
			}
			if !maps.Equal(want, m.copy) || m.regressed {
				fault = fmt.Sprintf("store %v, copy %v; an entry went back to an older revision: %v", want, m.copy, m.regressed)
			}
		})
		if fault != "" {
			rt.Fatal(fault)
		}
	})
}
