package config

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"egrethaven/internal/observe/event"
	"egrethaven/internal/platform/kv"
	"egrethaven/internal/state/search"
)

// Config configures a Manager.
type Config struct {
	Store  kv.Store
	Node   string
	Events event.Sink
	// Check returns the problems of a definition; nil checks only names.
	Check func(search.Definition) []string
	// Rand drives the jitter of retries; nil means a randomly seeded one.
	Rand *rand.Rand
	// Mode is the initial mode.
	Mode Mode
}

// Mode is how a Manager learns of changes in the store.
type Mode int

// The modes.
const (
	// Watching watches the root.
	Watching Mode = iota
	// Polling reads the root every 30 seconds on average.
	Polling
	// Idle does not follow the store; the configuration comes from peers.
	Idle
)

// Counts holds the counters of a Manager since its start.
type Counts struct {
	Adopted uint64
	// RefusedLower counts configurations older than the one in force.
	RefusedLower uint64
	// RefusedCorrupt counts corrupt values and other configurations of the
	// revision in force.
	RefusedCorrupt uint64
}

// activeConfig is the configuration in force with its documents.
type activeConfig struct {
	snapshot *Snapshot
	index    Index
	docs     map[string][]byte
}

// Manager holds the configuration of one node and keeps it up to date.
type Manager struct {
	c       Config
	current atomic.Pointer[activeConfig]
	// confirmed is when the store last confirmed the configuration in force, in
	// nanoseconds since 1970; 0 means never.
	confirmed atomic.Int64
	// storeEmpty is true once the store has answered that there is no root.
	storeEmpty atomic.Bool

	adoptMu     sync.Mutex
	subscribers []func(*Snapshot, Source)

	adopted, refusedLower, refusedCorrupt atomic.Uint64

	modeChange chan Mode
	randMu     sync.Mutex
	ctx        context.Context
	cancel     context.CancelFunc
	wg         sync.WaitGroup
}

// New starts a Manager, which runs until Close.
func New(c Config) *Manager {
	if c.Events == nil {
		c.Events = event.Discard{}
	}
	if c.Rand == nil {
		c.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	m := &Manager{c: c, modeChange: make(chan Mode, 1)}
	m.current.Store(&activeConfig{snapshot: &Snapshot{}})
	m.ctx, m.cancel = context.WithCancel(context.Background())
	m.wg.Go(m.follow)
	return m
}

// Close stops the Manager and waits for its goroutines.
func (m *Manager) Close() error {
	m.cancel()
	m.wg.Wait()
	return nil
}

// Current returns the configuration in force. It is never nil; before the first
// one it has revision 0.
func (m *Manager) Current() *Snapshot { return m.current.Load().snapshot }

// Index returns the index of the configuration in force.
func (m *Manager) Index() Index { return m.current.Load().index }

// Documents returns the index and, by search name, the document bodies of the
// configuration in force. They must not be modified.
func (m *Manager) Documents() (Index, map[string][]byte) {
	active := m.current.Load()
	return active.index, active.docs
}

// Ready reports whether a configuration is in force or the store has answered
// that there is none yet.
func (m *Manager) Ready() bool { return m.Current().Revision > 0 || m.storeEmpty.Load() }

// ConfirmedAt returns when the store last confirmed the configuration in force;
// zero means never.
func (m *Manager) ConfirmedAt() time.Time {
	ns := m.confirmed.Load()
	if ns == 0 {
		return time.Time{}
	}
	return time.Unix(0, ns)
}

// Counts returns the current counters.
func (m *Manager) Counts() Counts {
	return Counts{Adopted: m.adopted.Load(), RefusedLower: m.refusedLower.Load(), RefusedCorrupt: m.refusedCorrupt.Load()}
}

// Subscribe registers f to be called with each adopted snapshot and its source,
// in order. f must not block.
func (m *Manager) Subscribe(f func(*Snapshot, Source)) {
	m.adoptMu.Lock()
	defer m.adoptMu.Unlock()
	m.subscribers = append(m.subscribers, f)
}

// SetMode sets how the Manager learns of changes in the store.
func (m *Manager) SetMode(mode Mode) {
	for {
		select {
		case m.modeChange <- mode:
			return
		default:
		}
		select {
		case <-m.modeChange:
		default:
		}
	}
}

// jitter returns a random duration from 0 to d.
func (m *Manager) jitter(d time.Duration) time.Duration {
	m.randMu.Lock()
	defer m.randMu.Unlock()
	return time.Duration(m.c.Rand.Int64N(int64(d) + 1))
}
