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
	// Check returns what is wrong with a definition; nil checks only names.
	Check func(search.Definition) []string
	// Rand spreads retries; nil makes one.
	Rand *rand.Rand
	// Mode is how the service is followed at the start.
	Mode Mode
}

// Mode is how a Manager follows the service.
type Mode int

// The modes.
const (
	// Watching holds a watch on the root.
	Watching Mode = iota
	// Polling reads the root now and then.
	Polling
	// Idle leaves the service alone; peers bring the configuration.
	Idle
)

// Counts tells how often something happened since the start.
type Counts struct {
	Adopted uint64
	// RefusedLower are configurations older than the one in force.
	RefusedLower uint64
	// RefusedCorrupt are values that do not match their hash.
	RefusedCorrupt uint64
}

// held is the configuration in force with all that is needed to pass it on.
type held struct {
	snapshot *Snapshot
	index    Index
	docs     map[string][]byte
}

// Manager keeps the configuration of one node.
type Manager struct {
	c       Config
	current atomic.Pointer[held]
	// confirmed is when the service last confirmed what is in force, in
	// nanoseconds since 1970; 0 means never.
	confirmed atomic.Int64
	// empty is true once the service has said that there is no root.
	empty atomic.Bool

	adopting sync.Mutex
	watchers []func(*Snapshot, Source)

	adopted, lower, corrupt atomic.Uint64

	mode   chan Mode
	rmu    sync.Mutex
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// New returns a Manager that follows the service until Close.
func New(c Config) *Manager {
	if c.Events == nil {
		c.Events = event.Discard{}
	}
	if c.Rand == nil {
		c.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	m := &Manager{c: c, mode: make(chan Mode, 1)}
	m.current.Store(&held{snapshot: &Snapshot{}})
	m.ctx, m.cancel = context.WithCancel(context.Background())
	m.wg.Go(m.follow)
	return m
}

// Close stops following and waits for all goroutines.
func (m *Manager) Close() error {
	m.cancel()
	m.wg.Wait()
	return nil
}

// Current is the configuration in force; never nil, and of revision 0 before
// the first.
func (m *Manager) Current() *Snapshot { return m.current.Load().snapshot }

// Index is the index of the configuration in force.
func (m *Manager) Index() Index { return m.current.Load().index }

// Documents are the bodies of the configuration in force by name; they must
// not be changed.
func (m *Manager) Documents() (Index, map[string][]byte) {
	h := m.current.Load()
	return h.index, h.docs
}

// Ready tells whether a configuration is in force, or the service has said
// that there is none yet.
func (m *Manager) Ready() bool { return m.Current().Revision > 0 || m.empty.Load() }

// Confirmed is when the service last confirmed what is in force; zero means
// never.
func (m *Manager) Confirmed() time.Time {
	n := m.confirmed.Load()
	if n == 0 {
		return time.Time{}
	}
	return time.Unix(0, n)
}

// Counts returns the counters.
func (m *Manager) Counts() Counts {
	return Counts{Adopted: m.adopted.Load(), RefusedLower: m.lower.Load(), RefusedCorrupt: m.corrupt.Load()}
}

// Subscribe has f called after each adoption, in order, with where it came
// from. f must not block.
func (m *Manager) Subscribe(f func(*Snapshot, Source)) {
	m.adopting.Lock()
	defer m.adopting.Unlock()
	m.watchers = append(m.watchers, f)
}

// SetMode changes how the service is followed.
func (m *Manager) SetMode(v Mode) {
	for {
		select {
		case m.mode <- v:
			return
		default:
		}
		select {
		case <-m.mode:
		default:
		}
	}
}

// jitter returns a random part of d.
func (m *Manager) jitter(d time.Duration) time.Duration {
	m.rmu.Lock()
	defer m.rmu.Unlock()
	return time.Duration(m.c.Rand.Int64N(int64(d) + 1))
}
