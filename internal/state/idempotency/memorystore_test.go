package idempotency

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"egrethaven/internal/platform/kv"
)

// memoryStore is an in-memory kv.Store that can delay calls, refuse them and
// lose their answers.
type memoryStore struct {
	mu       sync.Mutex
	random   *rand.Rand
	entries  map[string]kv.Entry
	revision uint64
	calls    int

	down bool
	// maxDelay bounds the delay before a call takes effect, and again before its
	// answer.
	maxDelay time.Duration
	// lossRate is the fraction of answers that are lost.
	lossRate float64
	// omitConflictValue makes conflicts return no value.
	omitConflictValue bool
	// beforeSwap is called before each swap, without the lock.
	beforeSwap func(key string)
}

func newMemoryStore(seed uint64) *memoryStore {
	return &memoryStore{entries: map[string]kv.Entry{}, random: rand.New(rand.NewPCG(seed, 0))}
}

// call runs f as one call and returns the status that the caller sees.
func (m *memoryStore) call(ctx context.Context, f func() kv.Status) kv.Status {
	m.sleep(ctx)
	if ctx.Err() != nil {
		return kv.Unknown
	}
	m.mu.Lock()
	m.calls++
	s := kv.Unavailable
	if !m.down {
		s = f()
	}
	lost := s != kv.Unavailable && m.random.Float64() < m.lossRate
	m.mu.Unlock()
	m.sleep(ctx)
	if lost || ctx.Err() != nil {
		return kv.Unknown
	}
	return s
}

func (m *memoryStore) sleep(ctx context.Context) {
	m.mu.Lock()
	d := time.Duration(m.random.Int64N(int64(m.maxDelay) + 1))
	m.mu.Unlock()
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

func (m *memoryStore) locked(f func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f()
}

func (m *memoryStore) Get(ctx context.Context, key string) (e kv.Entry, s kv.Status) {
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

func (m *memoryStore) Swap(ctx context.Context, key string, expect uint64, v []byte) (e kv.Entry, s kv.Status) {
	if m.beforeSwap != nil {
		m.beforeSwap(key)
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
	if s == kv.Conflict && m.omitConflictValue {
		e.Value = nil
	}
	if s != kv.OK && s != kv.Conflict {
		e = kv.Entry{}
	}
	return e, s
}

func (m *memoryStore) Delete(ctx context.Context, key string, expect uint64) kv.Status {
	return m.call(ctx, func() kv.Status {
		if m.entries[key].Revision != expect {
			return kv.Conflict
		}
		delete(m.entries, key)
		return kv.OK
	})
}

func (m *memoryStore) List(ctx context.Context, prefix string) (es []kv.Entry, s kv.Status) {
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

func (*memoryStore) Watch(context.Context, string, uint64) (kv.Entry, kv.Status) {
	return kv.Entry{}, kv.Unavailable
}

func (*memoryStore) Grant(context.Context, int64) (kv.Lease, kv.Status) {
	return kv.Lease{}, kv.Unavailable
}

func (*memoryStore) SwapLeased(context.Context, string, uint64, []byte, kv.Lease) (kv.Entry, kv.Status) {
	return kv.Entry{}, kv.Unavailable
}

func (*memoryStore) KeepAlive(context.Context, kv.Lease) kv.Status { return kv.Unavailable }
