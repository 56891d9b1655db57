package once

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"egrethaven/internal/platform/kv"
)

// memory is a Store whose calls can be delayed, refused and their answers
// lost.
type memory struct {
	mu       sync.Mutex
	random   *rand.Rand
	entries  map[string]kv.Entry
	revision uint64
	calls    int

	down bool
	// delay is the longest wait before a call takes effect, and again before
	// its answer arrives.
	delay time.Duration
	// lose is the fraction of answers that are lost.
	lose float64
	// mute leaves the value out of conflicts.
	mute bool
	// before runs ahead of each swap, without the lock.
	before func(key string)
}

func newMemory(seed uint64) *memory {
	return &memory{entries: map[string]kv.Entry{}, random: rand.New(rand.NewPCG(seed, 0))}
}

// call runs f as one call and tells how its answer fares.
func (m *memory) call(ctx context.Context, f func() kv.Status) kv.Status {
	m.wait(ctx)
	if ctx.Err() != nil {
		return kv.Unknown
	}
	m.mu.Lock()
	m.calls++
	s := kv.Unavailable
	if !m.down {
		s = f()
	}
	lost := s != kv.Unavailable && m.random.Float64() < m.lose
	m.mu.Unlock()
	m.wait(ctx)
	if lost || ctx.Err() != nil {
		return kv.Unknown
	}
	return s
}

func (m *memory) wait(ctx context.Context) {
	m.mu.Lock()
	d := time.Duration(m.random.Int64N(int64(m.delay) + 1))
	m.mu.Unlock()
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

func (m *memory) set(f func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f()
}

func (m *memory) Get(ctx context.Context, key string) (e kv.Entry, s kv.Status) {
	s = m.call(ctx, func() kv.Status {
		var ok bool
		if e, ok = m.entries[key]; !ok {
			return kv.NotFound
		}
		return kv.OK
	})
	if s == kv.Unknown {
		s = kv.Unavailable
	}
	return e, s
}

func (m *memory) Swap(ctx context.Context, key string, expect uint64, v []byte) (e kv.Entry, s kv.Status) {
	if m.before != nil {
		m.before(key)
	}
	s = m.call(ctx, func() kv.Status {
		if e = m.entries[key]; e.Revision != expect {
			return kv.Conflict
		}
		m.revision++
		e = kv.Entry{Key: key, Value: v, Revision: m.revision}
		m.entries[key] = e
		return kv.OK
	})
	if s == kv.Conflict && m.mute {
		e.Value = nil
	}
	if s != kv.OK && s != kv.Conflict {
		e = kv.Entry{}
	}
	return e, s
}

func (m *memory) Delete(ctx context.Context, key string, expect uint64) kv.Status {
	return m.call(ctx, func() kv.Status {
		if m.entries[key].Revision != expect {
			return kv.Conflict
		}
		delete(m.entries, key)
		return kv.OK
	})
}

func (m *memory) List(ctx context.Context, prefix string) (es []kv.Entry, s kv.Status) {
	s = m.call(ctx, func() kv.Status {
		for k, e := range m.entries {
			if strings.HasPrefix(k, prefix) {
				es = append(es, kv.Entry{Key: k, Revision: e.Revision})
			}
		}
		return kv.OK
	})
	return es, s
}

func (*memory) Watch(context.Context, string, uint64) (kv.Entry, kv.Status) {
	return kv.Entry{}, kv.Unavailable
}

func (*memory) Grant(context.Context, int64) (kv.Lease, kv.Status) { return kv.Lease{}, kv.Unavailable }

func (*memory) SwapLeased(context.Context, string, uint64, []byte, kv.Lease) (kv.Entry, kv.Status) {
	return kv.Entry{}, kv.Unavailable
}

func (*memory) KeepAlive(context.Context, kv.Lease) kv.Status { return kv.Unavailable }
