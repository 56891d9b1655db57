// Package fakekv is an in-memory key-value service for tests, with or without a fake
// clock. It can lose answers, refuse calls and be unreachable for some of its clients.
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

// watchTimeout is the maximum duration of a watch.
const watchTimeout = 25 * time.Second

// Store is an in-memory kv.Store. It does not implement the methods for leases, which
// panic. It is safe for concurrent use.
type Store struct {
	kv.Store
	mu       sync.Mutex
	entries  map[string]kv.Entry
	revision uint64
	// changed is closed and replaced on each write.
	changed         chan struct{}
	rand            *rand.Rand
	lostFraction    float64
	refusedFraction float64
	calls           int
}

// New returns an empty Store. seed is the seed of the injected faults.
func New(seed uint64) *Store {
	return &Store{entries: map[string]kv.Entry{}, changed: make(chan struct{}), rand: rand.New(rand.NewPCG(seed, 1))}
}

// SetFaults sets the fraction of writes that take effect but whose answer is lost, and
// the fraction of calls that are refused.
func (s *Store) SetFaults(lost, refused float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lostFraction, s.refusedFraction = lost, refused
}

// CallCount returns the number of calls to Get, Swap and Watch.
func (s *Store) CallCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// countCall counts a call and reports whether it is refused.
func (s *Store) countCall() bool {
	s.calls++
	return s.rand.Float64() < s.refusedFraction
}

// Get returns an entry.
func (s *Store) Get(_ context.Context, key string) (kv.Entry, kv.Status) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.countCall() {
		return kv.Entry{}, kv.Unavailable
	}
	e, ok := s.entries[key]
	if !ok {
		return e, kv.NotFound
	}
	return e, kv.OK
}

// Swap writes a key if its current revision is expect.
func (s *Store) Swap(_ context.Context, key string, expect uint64, value []byte) (kv.Entry, kv.Status) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.countCall() {
		return kv.Entry{}, kv.Unavailable
	}
	if s.entries[key].Revision != expect {
		return s.entries[key], kv.Conflict
	}
	s.put(key, value)
	if s.rand.Float64() < s.lostFraction {
		return kv.Entry{}, kv.Unknown
	}
	return s.entries[key], kv.OK
}

// put writes a key unconditionally. The caller holds s.mu.
func (s *Store) put(key string, value []byte) {
	s.revision++
	s.entries[key] = kv.Entry{Key: key, Value: value, Revision: s.revision}
	close(s.changed)
	s.changed = make(chan struct{})
}

// ForcePut writes a key regardless of its revision, without injected faults.
func (s *Store) ForcePut(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, value)
}

// Delete removes a key regardless of its revision, without injected faults. It does not
// wake watches.
func (s *Store) Delete(_ context.Context, key string, _ uint64) kv.Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.entries, key)
	return kv.OK
}

// List returns the keys that start with prefix, without values, in no particular
// order.
func (s *Store) List(_ context.Context, prefix string) ([]kv.Entry, kv.Status) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []kv.Entry
	for k, e := range s.entries {
		if strings.HasPrefix(k, prefix) {
			out = append(out, kv.Entry{Key: k, Revision: e.Revision})
		}
	}
	return out, kv.OK
}

// Watch waits until the key's revision is higher than after.
func (s *Store) Watch(ctx context.Context, key string, after uint64) (kv.Entry, kv.Status) {
	t := time.NewTimer(watchTimeout)
	defer t.Stop()
	for first := true; ; first = false {
		s.mu.Lock()
		refused := first && s.countCall()
		e, changed := s.entries[key], s.changed
		s.mu.Unlock()
		switch {
		case refused:
			return kv.Entry{}, kv.Unavailable
		case e.Revision > after:
			return e, kv.OK
		}
		select {
		case <-changed:
		case <-t.C:
			return kv.Entry{}, kv.NotFound
		case <-ctx.Done():
			return kv.Entry{}, kv.Unavailable
		}
	}
}

// View returns the service as seen by one client, which can reach it while reachable
// returns true.
func (s *Store) View(reachable func() bool) *View {
	return &View{Store: s, reachable: reachable}
}

// View is a Store that one client can reach only some of the time.
type View struct {
	*Store
	reachable func() bool
}

// Get returns an entry.
func (v *View) Get(ctx context.Context, key string) (kv.Entry, kv.Status) {
	if !v.reachable() {
		return kv.Entry{}, kv.Unavailable
	}
	return v.Store.Get(ctx, key)
}

// Swap writes a key if its current revision is expect.
func (v *View) Swap(ctx context.Context, key string, expect uint64, value []byte) (kv.Entry, kv.Status) {
	if !v.reachable() {
		return kv.Entry{}, kv.Unavailable
	}
	return v.Store.Swap(ctx, key, expect, value)
}

// Watch waits until the key's revision is higher than after. It returns Unavailable if the
// service is unreachable at the start or the end of the wait.
func (v *View) Watch(ctx context.Context, key string, after uint64) (kv.Entry, kv.Status) {
	if !v.reachable() {
		return kv.Entry{}, kv.Unavailable
	}
	e, st := v.Store.Watch(ctx, key, after)
	if !v.reachable() {
		return kv.Entry{}, kv.Unavailable
	}
	return e, st
}
