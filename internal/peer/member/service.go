package member

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"storj.io/drpc"

	"egrethaven/internal/infra/failuredomain"
	"egrethaven/internal/infra/vm"
	"egrethaven/internal/observe/event"
	"egrethaven/internal/peer/memberrpc"
	"egrethaven/internal/peer/rumor"
)

const (
	// period is the time between two heartbeats of a node.
	period = time.Second
	// beatTimeout bounds one heartbeat.
	beatTimeout = 500 * time.Millisecond
	// probeTimeout bounds a heartbeat through another member.
	probeTimeout = 1500 * time.Millisecond
	// newsBytes bounds the news of one message, in bytes.
	newsBytes = 800
	// rumorBytes is the part of them that rumors may take; the largest rumor
	// fits.
	rumorBytes = rumor.MaxSize
)

// Dialer reaches other entry VMs. A *rpc.Dialer is one.
type Dialer interface {
	Conn(ctx context.Context, addr string) (drpc.Conn, error)
}

// Config configures a Members.
type Config struct {
	Self vm.VM
	// VMs returns the platform's list and its age; nil when there is none.
	VMs func() ([]vm.VM, time.Duration)
	// Refresh fetches that list anew, for news that every VM has to have; nil
	// uses VMs.
	Refresh func(ctx context.Context) []vm.VM
	// Seeds are addresses to try when the list is of no help.
	Seeds  []string
	Dialer Dialer
	Rumors *rumor.Set
	Events event.Sink
	// Rand chooses whom to speak to; nil makes one.
	Rand *rand.Rand
	// Digest tells which configuration is in force here; nil sends none.
	Digest func() Digest
	// OnDigest is told what a peer has in force. It must not block.
	OnDigest func(from vm.VM, d Digest)
}

// Members is the membership as one node sees it.
type Members struct {
	c  Config
	mu sync.Mutex
	t  *table
	// ring is the order in which members of the own domain get heartbeats.
	ring []string
	// differed counts heartbeats in a row whose table hash differed.
	differed int
	synced   time.Time
	begun    time.Time
	// focus is the domain of a member that was suspected lately, and
	// suspected is when.
	focus     failuredomain.Domain
	suspected time.Time
	rand      *rand.Rand
	joined    atomic.Bool
	// heardAny is when any peer last answered, in nanoseconds since 1970.
	heardAny atomic.Int64
	pushes   chan reach
	ctx      context.Context
	cancel   context.CancelFunc
	start    sync.Once
	wg       sync.WaitGroup
}

// New returns a Members that knows only this node. Start begins the heartbeats.
func New(c Config) *Members {
	if c.Events == nil {
		c.Events = event.Discard{}
	}
	if c.Rand == nil {
		c.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if c.VMs == nil {
		c.VMs = func() ([]vm.VM, time.Duration) { return nil, 0 }
	}
	if c.Digest == nil {
		c.Digest = func() Digest { return Digest{} }
	}
	if c.OnDigest == nil {
		c.OnDigest = func(vm.VM, Digest) {}
	}
	if c.Rumors == nil {
		c.Rumors = rumor.New(rumor.Config{Node: c.Self.ID})
	}
	m := &Members{c: c, rand: c.Rand, pushes: make(chan reach, 1), begun: time.Now()}
	m.t = newTable(c.Self, uint64(time.Now().UnixMilli()))
	m.ctx, m.cancel = context.WithCancel(context.Background())
	c.Rumors.SubscribeAll(func(r rumor.Rumor) { m.Push(r.Origin == c.Self.ID) })
	return m
}

// Register adds the service to a server's mux.
func (m *Members) Register(mux drpc.Mux) error { return memberrpc.DRPCRegisterMember(mux, m) }

// Start begins the heartbeats.
func (m *Members) Start() { m.start.Do(func() { m.wg.Go(m.loop) }) }

// Close stops and waits for all goroutines.
func (m *Members) Close() error {
	m.cancel()
	m.wg.Wait()
	return nil
}

// Joined tells whether this node has read the table of a peer.
func (m *Members) Joined() bool { return m.joined.Load() }

// HeardAny is when any peer last answered; zero means never.
func (m *Members) HeardAny() time.Time {
	n := m.heardAny.Load()
	if n == 0 {
		return time.Time{}
	}
	return time.Unix(0, n)
}

// Version grows whenever the set of live members changes.
func (m *Members) Version() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.t.version
}

// Members returns all members, this node included, in order of their ids.
func (m *Members) Members() []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]Member, 0, len(m.t.all)+1)
	for _, u := range m.t.updates() {
		x := Member{VM: u.VM, State: u.State, Incarnation: u.Incarnation}
		if e, ok := m.t.all[u.VM.ID]; ok {
			x.Since, x.Heard, x.Digest = e.since, e.heard, e.digest
		}
		out = append(out, x)
	}
	return out
}

// Live returns the live members of a failure domain, this node included. A
// suspected member counts as live until it is declared dead.
func (m *Members) Live(d failuredomain.Domain) []vm.VM {
	return m.liveWhere(func(x failuredomain.Domain) bool { return x == d })
}

// LiveAll returns the live members of all failure domains.
func (m *Members) LiveAll() []vm.VM {
	return m.liveWhere(func(failuredomain.Domain) bool { return true })
}

func (m *Members) liveWhere(f func(failuredomain.Domain) bool) []vm.VM {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []vm.VM
	if f(m.c.Self.Domain) && m.t.self.State.live() {
		out = append(out, m.c.Self)
	}
	for _, u := range m.t.liveIn(f) {
		out = append(out, u.VM)
	}
	slices.SortFunc(out, func(a, b vm.VM) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return out
}

// locked runs f on the table and reports the events that result.
func (m *Members) locked(f func(t *table, now time.Time)) {
	m.mu.Lock()
	f(m.t, time.Now())
	cs := m.t.changes
	m.t.changes = nil
	refuted := m.t.refuted
	m.t.refuted = false
	m.mu.Unlock()
	push := refuted
	for _, c := range cs {
		m.c.Events.Emit(c.number, c.id, c.detail)
		switch c.number {
		case event.PeerLeft:
			push = true
		case event.PeerSuspected:
			push = m.focusOn(failuredomain.Domain(c.detail)) || push
		}
	}
	if push {
		m.Push(refuted)
	}
}

// Knows tells whether an address is that of a member that is not dead.
func (m *Members) Knows(a netip.Addr) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, e := range m.t.all {
		p, err := netip.ParseAddrPort(e.VM.Addr)
		if err == nil && p.Addr() == a && e.State != Dead {
			return true
		}
	}
	return false
}

// Queued is how many changes of members wait to be handed out.
func (m *Members) Queued() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.t.queue.items)
}
