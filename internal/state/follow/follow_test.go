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

// fakeStore holds one key.
type fakeStore struct {
	mu        sync.Mutex
	rev       follow.Revision
	compacted follow.Revision
	changed   chan struct{}
	down      bool
	// forgetful leaves waiting watches without an answer.
	forgetful     bool
	ranges, waits int
}

var errDown = errors.New("down")

func (s *fakeStore) Range(context.Context, string) ([]follow.Change, follow.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ranges++
	if s.down {
		return nil, 0, errDown
	}
	return []follow.Change{{Key: "k", Value: []byte(fmt.Sprint(s.rev)), Revision: s.rev}}, s.rev, nil
}

func (s *fakeStore) Watch(ctx context.Context, _ string, after follow.Revision, wait time.Duration) ([]follow.Change, follow.Revision, error) {
	s.mu.Lock()
	s.waits++
	s.mu.Unlock()
	t := time.NewTimer(wait)
	defer t.Stop()
	for {
		if cs, rev, err := s.since(after); len(cs) > 0 || err != nil {
			return cs, rev, err
		}
		select {
		case <-s.changed:
			if s.forgets() {
				<-t.C
				return nil, after, nil
			}
		case <-t.C:
			return nil, after, nil
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

func (s *fakeStore) forgets() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.forgetful
}

// since returns what changed after a revision.
func (s *fakeStore) since(after follow.Revision) ([]follow.Change, follow.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.down:
		return nil, 0, errDown
	case after < s.compacted:
		return nil, 0, follow.ErrCompacted
	case s.rev > after:
		return []follow.Change{{Key: "k", Value: []byte(fmt.Sprint(s.rev)), Revision: s.rev}}, s.rev, nil
	}
	return nil, after, nil
}

// set changes the store's state.
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

func (*fakeStore) Grant(context.Context, time.Duration) (follow.Lease, error) { return 0, nil }

func (*fakeStore) Keep(context.Context, follow.Lease) error { return nil }

func (*fakeStore) Put(context.Context, string, []byte, follow.Lease) error { return nil }

// mirror is a handler that keeps the value of the key.
type mirror struct {
	value   string
	outages int
	current bool
}

func (m *mirror) take(cs []follow.Change) { m.value = string(cs[len(cs)-1].Value) }

func (m *mirror) Replace(_ time.Time, all []follow.Change) { m.take(all) }

func (m *mirror) Apply(_ time.Time, cs []follow.Change) { m.take(cs) }

func (m *mirror) Confirmed(time.Time) { m.current = true }

func (m *mirror) Outage(time.Time) { m.outages++; m.current = false }

// TestFollow plays what befalls a store and checks by when the copy has the
// last change.
func TestFollow(t *testing.T) {
	for name, c := range map[string]struct {
		play   func(*fakeStore)
		within time.Duration
		ranges int
		// forgetful stores leave waiting watches without an answer.
		forgetful bool
	}{
		"a change":     {func(s *fakeStore) { s.change() }, time.Millisecond, 1, false},
		"a burst":      {func(s *fakeStore) { s.change(); synctest.Wait(); s.change(); s.change() }, 260 * time.Millisecond, 1, false},
		"history lost": {func(s *fakeStore) { s.set(func() { s.rev, s.compacted = s.rev+1, s.rev+1 }); s.change() }, 10 * time.Millisecond, 2, false},
		"back from out": {func(s *fakeStore) {
			s.set(func() { s.down = true })
			s.change()
			time.Sleep(5 * time.Second)
			s.set(func() { s.down = false })
		}, 900 * time.Millisecond, 1, false},
		"a watch is forgotten, its history lost": {func(s *fakeStore) {
			s.set(func() { s.compacted = s.rev + 1 })
			s.change()
		}, 3100 * time.Millisecond, 2, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &fakeStore{rev: 7, changed: make(chan struct{}), forgetful: c.forgetful}
				m := &mirror{}
				ctx, cancel := context.WithCancel(t.Context())
				f := follow.New(follow.Config{Source: s, Handler: m})
				go f.Run(ctx)
				time.Sleep(time.Minute + 10*time.Millisecond)
				c.play(s)
				time.Sleep(c.within)
				synctest.Wait()
				cancel()
				synctest.Wait()
				if want := fmt.Sprint(s.rev); m.value != want || !m.current {
					t.Errorf("the copy has %q after %s, want %q (current: %v)", m.value, c.within, want, m.current)
				}
				if s.ranges != c.ranges {
					t.Errorf("%d full reads, want %d", s.ranges, c.ranges)
				}
			})
		})
	}
}

// TestQuietStore counts the calls of 59 quiet seconds: one for each wait.
func TestQuietStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{rev: 7, changed: make(chan struct{})}
		f := follow.New(follow.Config{Source: s, Handler: &mirror{}, WatchTimeout: 4 * time.Second})
		ctx, cancel := context.WithTimeout(t.Context(), 59*time.Second)
		defer cancel()
		f.Run(ctx)
		if s.ranges != 1 || s.waits != 15 {
			t.Errorf("%d full reads and %d watches in 59 s", s.ranges, s.waits)
		}
	})
}

// model is a store of a few keys and a follower's copy of it, for random
// histories.
type model struct {
	*fakeStore
	keys map[string]follow.Change
	log  []follow.Change
	copy map[string]string
	// back tells that an entry went back to an older revision.
	back bool
}

func newModel() *model {
	return &model{fakeStore: &fakeStore{changed: make(chan struct{})}, keys: map[string]follow.Change{}, copy: map[string]string{}}
}

// write puts or deletes a key.
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

func (m *model) Range(context.Context, string) ([]follow.Change, follow.Revision, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return nil, 0, errDown
	}
	var all []follow.Change
	for _, c := range m.keys {
		all = append(all, c)
	}
	return all, m.rev, nil
}

func (m *model) Watch(ctx context.Context, _ string, after follow.Revision, wait time.Duration) ([]follow.Change, follow.Revision, error) {
	if _, _, err := m.fakeStore.Watch(ctx, "", after, wait); err != nil {
		return nil, 0, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return nil, 0, errDown
	}
	if after < m.compacted {
		return nil, 0, follow.ErrCompacted
	}
	var cs []follow.Change
	for _, c := range m.log {
		if c.Revision > after {
			cs = append(cs, c)
		}
	}
	return cs, m.rev, nil
}

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
			m.back = true
		}
		if delete(m.copy, c.Key); !c.Deleted {
			m.copy[c.Key] = string(c.Value)
		}
	}
}

func (*model) Confirmed(time.Time) {}

func (*model) Outage(time.Time) {}

// TestHistories plays random histories of a store: writes, removals, outages,
// lost history, watches that are forgotten. Within the wait of a watch and a
// moment after the last of them, the copy is what the store holds.
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
					m.set(func() { m.forgetful = !m.forgetful })
				}
			}
			m.set(func() { m.down, m.forgetful = false, false })
			time.Sleep(3*time.Second + 900*time.Millisecond)
			synctest.Wait()
			cancel()
			synctest.Wait()
			want := map[string]string{}
			for k, c := range m.keys {
				want[k] = string(c.Value)
			}
			if !maps.Equal(want, m.copy) || m.back {
				fault = fmt.Sprintf("the store holds %v, the copy %v; went back: %v", want, m.copy, m.back)
			}
		})
		if fault != "" {
			rt.Fatal(fault)
		}
	})
}
