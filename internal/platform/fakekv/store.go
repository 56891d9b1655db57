// Package fakekv is a key-value service in memory for tests, which may use a
// fake clock. It can lose answers, refuse calls, and be cut off from some of
// its users.
//
// # Usage
//
//	s := fakekv.New(seed)
//	s.SetFaults(0.3, 0.1)
//	v := s.View(func() bool { return reachable })
package fakekv

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"egrethaven/internal/platform/kv"
)

// watchTime is how long a watch waits.
const watchTime = 25 * time.Second

// Store is the service.
type Store struct {
	kv.Store
	mu      sync.Mutex
	values  map[string]kv.Entry
	last    uint64
	changed chan struct{}
	rand    *rand.Rand
	lose    float64
	down    float64
	calls   int
}

// New returns an empty service.
func New(seed uint64) *Store {
	return &Store{values: map[string]kv.Entry{}, changed: make(chan struct{}), rand: rand.New(rand.NewPCG(seed, 1))}
}

// SetFaults sets the fractions of writes whose answer is lost after they took
// effect, and of calls that are refused.
func (s *Store) SetFaults(lose, down float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lose, s.down = lose, down
}

// Calls is how many calls were made, a watch being one.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// refuses counts a call and tells whether it is refused.
func (s *Store) refuses() bool {
	s.calls++
	return s.rand.Float64() < s.down
}

// Get reads a key.
func (s *Store) Get(_ context.Context, key string) (kv.Entry, kv.Status) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refuses() {
		return kv.Entry{}, kv.Down
	}
	e, ok := s.values[key]
	if !ok {
		return e, kv.Absent
	}
	return e, kv.Done
}

// Swap writes a key whose revision is expect.
func (s *Store) Swap(_ context.Context, key string, expect uint64, v []byte) (kv.Entry, kv.Status) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refuses() {
		return kv.Entry{}, kv.Down
	}
	if s.values[key].Revision != expect {
		return s.values[key], kv.Conflict
	}
	s.put(key, v)
	if s.rand.Float64() < s.lose {
		return kv.Entry{}, kv.Unknown
	}
	return s.values[key], kv.Done
}

// put writes without any check.
func (s *Store) put(key string, v []byte) {
	s.last++
	s.values[key] = kv.Entry{Key: key, Value: v, Revision: s.last}
	close(s.changed)
	s.changed = make(chan struct{})
}

// Force writes a key whatever its revision.
func (s *Store) Force(key string, v []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, v)
}

// Delete removes a key whatever its revision.
func (s *Store) Delete(_ context.Context, key string, _ uint64) kv.Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.values, key)
	return kv.Done
}

// List returns the keys with a prefix.
func (s *Store) List(_ context.Context, prefix string) ([]kv.Entry, kv.Status) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []kv.Entry
	for k, e := range s.values {
		if strings.HasPrefix(k, prefix) {
			out = append(out, kv.Entry{Key: k, Revision: e.Revision})
		}
	}
	return out, kv.Done
}

// Watch waits for a revision above after.
func (s *Store) Watch(ctx context.Context, key string, after uint64) (kv.Entry, kv.Status) {
	t := time.NewTimer(watchTime)
	defer t.Stop()
	for first := true; ; first = false {
		s.mu.Lock()
		refused := first && s.refuses()
		e, c := s.values[key], s.changed
		s.mu.Unlock()
		switch {
		case refused:
			return kv.Entry{}, kv.Down
		case e.Revision > after:
			return e, kv.Done
		}
		select {
		case <-c:
		case <-t.C:
			return kv.Entry{}, kv.Absent
		case <-ctx.Done():
			return kv.Entry{}, kv.Down
		}
	}
}

// View is the service as one user reaches it.
func (s *Store) View(reached func() bool) *View { return &View{Store: s, reached: reached} }

// View is a Store that is sometimes not reached.
type View struct {
	*Store
	reached func() bool
}

// Get reads a key.
func (v *View) Get(ctx context.Context, key string) (kv.Entry, kv.Status) {
	if !v.reached() {
		return kv.Entry{}, kv.Down
	}
	return v.Store.Get(ctx, key)
}

// Swap writes a key whose revision is expect.
func (v *View) Swap(ctx context.Context, key string, expect uint64, b []byte) (kv.Entry, kv.Status) {
	if !v.reached() {
		return kv.Entry{}, kv.Down
	}
	return v.Store.Swap(ctx, key, expect, b)
}

// Watch waits for a revision above after. A watch that waits when the cut
// begins goes without an answer.
func (v *View) Watch(ctx context.Context, key string, after uint64) (kv.Entry, kv.Status) {
	if !v.reached() {
		return kv.Entry{}, kv.Down
	}
	e, st := v.Store.Watch(ctx, key, after)
	if !v.reached() {
		return kv.Entry{}, kv.Down
	}
	return e, st
}
