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
	// heartbeatInterval is the mean time between two rounds of heartbeats.
	heartbeatInterval = time.Second
	// heartbeatTimeout is the deadline of one heartbeat.
	heartbeatTimeout = 500 * time.Millisecond
	// probeTimeout is the deadline of an indirect probe.
	probeTimeout = 1500 * time.Millisecond
	// maxGossipBytes bounds the rumors and updates in one message.
	maxGossipBytes = 800
	// maxRumorBytes is the part of maxGossipBytes available to rumors; the
	// largest rumor fits.
	maxRumorBytes = rumor.MaxRumorBytes
)

// Dialer connects to other entry VMs. *rpc.Dialer implements it.
type Dialer interface {
	Conn(ctx context.Context, addr string) (drpc.Conn, error)
}

// Config configures a Membership. Self and Dialer are required.
type Config struct {
	Self vm.VM
	// VMs returns the platform's list of VMs and its age; nil means no list.
	VMs func() ([]vm.VM, time.Duration)
	// Refresh fetches the list anew for a Broadcast; nil means VMs is used.
	Refresh func(ctx context.Context) []vm.VM
	// Seeds are addresses tried in addition to the list when joining.
	Seeds  []string
	Dialer Dialer
	Rumors *rumor.Set
	Events event.Sink
	// Rand chooses the members to contact; nil means a random seed.
	Rand *rand.Rand
	// Digest returns the configuration digest of this node; nil means an empty
	// digest is sent.
	Digest func() Digest
	// OnDigest is called with the digest of each heartbeat from a peer. It
	// must not block.
	OnDigest func(from vm.VM, d Digest)
}

// Membership is the membership as one node sees it.
type Membership struct {
	c  Config
	mu sync.Mutex
	t  *table
	// ring holds the IDs of members of this node's domain that get the next
	// heartbeats, in order.
	ring []string
	// hashMismatches is the number of consecutive heartbeats whose hash
	// differed.
	hashMismatches int
	lastSync       time.Time
	startedAt      time.Time
	// focusDomain is the domain to probe next because of a suspicion, and
	// lastSuspicion is the time of the latest suspicion.
	focusDomain   failuredomain.Domain
	lastSuspicion time.Time
	rand          *rand.Rand
	joined        atomic.Bool
	// lastContact is when any peer last answered, in Unix nanoseconds; 0 means
	// never.
	lastContact atomic.Int64
	pushes      chan pushScope
	ctx         context.Context
	cancel      context.CancelFunc
	startOnce   sync.Once
	wg          sync.WaitGroup
}

// New returns a Membership that contains only this node. Start starts the
// heartbeats.
func New(c Config) *Membership {
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
	m := &Membership{c: c, rand: c.Rand, pushes: make(chan pushScope, 1), startedAt: time.Now()}
	m.t = newTable(c.Self, uint64(time.Now().UnixMilli()))
	m.ctx, m.cancel = context.WithCancel(context.Background())
	c.Rumors.SubscribeAll(func(r rumor.Rumor) { m.Push(r.Origin == c.Self.ID) })
	return m
}

// Register registers the membership service with a server's mux.
func (m *Membership) Register(mux drpc.Mux) error { return memberrpc.DRPCRegisterMember(mux, m) }

// Start starts the heartbeats.
func (m *Membership) Start() { m.startOnce.Do(func() { m.wg.Go(m.loop) }) }

// Close stops all goroutines and waits for them.
func (m *Membership) Close() error {
	m.cancel()
	m.wg.Wait()
	return nil
}

// Joined reports whether this node has read the member table of a peer.
func (m *Membership) Joined() bool { return m.joined.Load() }

// LastContact returns when any peer last answered a heartbeat; zero means never.
func (m *Membership) LastContact() time.Time {
	n := m.lastContact.Load()
	if n == 0 {
		return time.Time{}
	}
	return time.Unix(0, n)
}

// Version returns a number that increases when the set of live members or the
// VM data of a member changes.
func (m *Membership) Version() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.t.version
}

// Members returns all members, this node included, sorted by ID.
func (m *Membership) Members() []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]Member, 0, len(m.t.members)+1)
	for _, u := range m.t.updates() {
		member := Member{VM: u.VM, State: u.State, Incarnation: u.Incarnation}
		if e, ok := m.t.members[u.VM.ID]; ok {
			member.Since, member.LastHeard, member.Digest = e.since, e.lastHeard, e.digest
		}
		out = append(out, member)
	}
	return out
}

// Live returns the live members of a failure domain, this node included. A
// suspected member counts as live until it is declared dead.
func (m *Membership) Live(d failuredomain.Domain) []vm.VM {
	return m.liveWhere(func(x failuredomain.Domain) bool { return x == d })
}

// LiveAll returns the live members of all failure domains, this node included.
func (m *Membership) LiveAll() []vm.VM {
	return m.liveWhere(func(failuredomain.Domain) bool { return true })
}

func (m *Membership) liveWhere(match func(failuredomain.Domain) bool) []vm.VM {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []vm.VM
	if match(m.c.Self.Domain) && m.t.self.State.live() {
		out = append(out, m.c.Self)
	}
	for _, u := range m.t.liveIn(match) {
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

// withTable runs f with the table locked, then emits the resulting events and
// pushes the urgent ones.
func (m *Membership) withTable(f func(t *table, now time.Time)) {
	m.mu.Lock()
	f(m.t, time.Now())
	events := m.t.events
	m.t.events = nil
	refuted := m.t.refuted
	m.t.refuted = false
	m.mu.Unlock()
	push := refuted
	for _, e := range events {
		m.c.Events.Emit(e.number, e.id, e.detail)
		switch e.number {
		case event.PeerLeft:
			push = true
		case event.PeerSuspected:
			push = m.recordSuspicion(failuredomain.Domain(e.detail)) || push
		}
	}
	if push {
		m.Push(refuted)
	}
}

// IsMemberAddr reports whether a is the IP address of another member that is
// not dead.
func (m *Membership) IsMemberAddr(a netip.Addr) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, e := range m.t.members {
		p, err := netip.ParseAddrPort(e.VM.Addr)
		if err == nil && p.Addr() == a && e.State != Dead {
			return true
		}
	}
	return false
}

// QueuedUpdates returns the number of members whose state is still being
// gossiped.
func (m *Membership) QueuedUpdates() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.t.queue.items)
}
