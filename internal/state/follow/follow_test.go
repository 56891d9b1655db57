package follow_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

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
			if s.forgetful {
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
				f := follow.New(follow.Config{Store: s, Handler: m})
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
		f := follow.New(follow.Config{Store: s, Handler: &mirror{}, Wait: 4 * time.Second})
		ctx, cancel := context.WithTimeout(t.Context(), 59*time.Second)
		defer cancel()
		f.Run(ctx)
		if s.ranges != 1 || s.waits != 15 {
			t.Errorf("%d full reads and %d watches in 59 s", s.ranges, s.waits)
		}
	})
}
