package config_test

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"

	"egrethaven/internal/platform/kv"
)

// fakeStore keeps values in memory. Of the writes it loses the answer, or
// refuses them, at random.
type fakeStore struct {
	kv.Store
	mu      sync.Mutex
	values  map[string]kv.Entry
	last    uint64
	changed chan struct{}
	rand    *rand.Rand
	// lose and down are the fractions of writes whose answer is lost, and of
	// calls that are refused.
	lose, down float64
	calls      int
}

func newFakeStore(seed uint64) *fakeStore {
	return &fakeStore{values: map[string]kv.Entry{}, changed: make(chan struct{}), rand: rand.New(rand.NewPCG(seed, 1))}
}

func (s *fakeStore) refuses() bool {
	s.calls++
	return s.rand.Float64() < s.down
}

func (s *fakeStore) Get(_ context.Context, key string) (kv.Entry, kv.Status) {
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

func (s *fakeStore) Swap(_ context.Context, key string, expect uint64, v []byte) (kv.Entry, kv.Status) {
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
func (s *fakeStore) put(key string, v []byte) {
	s.last++
	s.values[key] = kv.Entry{Key: key, Value: v, Revision: s.last}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeStore) force(key string, v []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, v)
}

func (s *fakeStore) Delete(_ context.Context, key string, _ uint64) kv.Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.values, key)
	return kv.Done
}

func (s *fakeStore) List(_ context.Context, prefix string) ([]kv.Entry, kv.Status) {
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

func (s *fakeStore) Watch(ctx context.Context, key string, after uint64) (kv.Entry, kv.Status) {
	for {
		s.mu.Lock()
		e, c := s.values[key], s.changed
		s.mu.Unlock()
		if e.Revision > after {
			return e, kv.Done
		}
		select {
		case <-c:
		case <-ctx.Done():
			return kv.Entry{}, kv.Down
		}
	}
}
