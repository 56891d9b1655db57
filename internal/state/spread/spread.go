package spread

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"storj.io/drpc"

	"egrethaven/internal/observe/event"
	"egrethaven/internal/peer/configrpc"
	"egrethaven/internal/peer/member"
	"egrethaven/internal/state/config"
	"egrethaven/internal/world/vm"
	"egrethaven/internal/world/zone"
)

// Peers is the membership. A *member.Members is one.
type Peers interface {
	Live(d zone.Domain) []vm.VM
	LiveAll() []vm.VM
	Members() []member.Member
	Version() uint64
	Push(domains bool)
}

// joined holds the membership once Start has given it.
type joined struct{ Peers }

// alone is the membership before Start.
type alone struct{}

func (alone) Live(zone.Domain) []vm.VM { return nil }
func (alone) LiveAll() []vm.VM         { return nil }
func (alone) Members() []member.Member { return nil }
func (alone) Version() uint64          { return 0 }
func (alone) Push(bool)                {}

// peers is the membership.
func (s *Spread) peers() Peers {
	if j := s.joined.Load(); j != nil {
		return j
	}
	return alone{}
}

// Config configures a Spread.
type Config struct {
	Self    vm.VM
	Manager *config.Manager
	Dialer  member.Dialer
	Events  event.Sink
	// Rand spreads reads of the service; nil makes one.
	Rand *rand.Rand
	// Everyone has every node hold the watch: the simple way, to compare with.
	Everyone bool
}

// Spread passes the configuration on, on one node.
type Spread struct {
	c Config
	// patience is for how long the service's word may be missing before this
	// node reads the root by itself.
	patience time.Duration
	joined   atomic.Pointer[joined]
	offers   chan offer
	past     past
	// confirmed is when the service last confirmed the revision in force, by
	// the word of peers, in nanoseconds since 1970, and that revision.
	mu        sync.Mutex
	confirmed time.Time
	of        uint64
	watching  atomic.Bool
	fetched   atomic.Uint64
	ctx       context.Context
	cancel    context.CancelFunc
	wg        sync.WaitGroup
}

// offer is a revision that a peer has.
type offer struct {
	from     vm.VM
	revision uint64
}

const (
	// watchers is how many nodes of a failure domain hold the watch.
	watchers = 3
	// tick is how often a node looks at its own role.
	tick = time.Second
	// patienceLeast is above the length of a watch, and patienceSpread keeps
	// nodes from reading all at once.
	patienceLeast  = 60 * time.Second
	patienceSpread = 60 * time.Second
	// waitForPeers is how long a new node waits for the configuration from
	// peers before it reads the service.
	waitForPeers = time.Second
	// fetchTimeout bounds one fetch from a peer.
	fetchTimeout = time.Second
	// offersKept bounds the offers that wait for a fetch.
	offersKept = 8
)

// New returns a Spread. The Manager should begin in the Idle mode.
func New(c Config) *Spread {
	if c.Events == nil {
		c.Events = event.Discard{}
	}
	if c.Rand == nil {
		c.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	s := &Spread{c: c, offers: make(chan offer, offersKept)}
	s.patience = patienceLeast + time.Duration(c.Rand.Int64N(int64(patienceSpread)))
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s
}

// Register adds the service to a server's mux.
func (s *Spread) Register(mux drpc.Mux) error { return configrpc.DRPCRegisterConfig(mux, server{s}) }

// Start begins to follow the service and the peers.
func (s *Spread) Start(p Peers) {
	s.joined.Store(&joined{p})
	s.past.add(s.c.Manager.Index())
	s.c.Manager.Subscribe(s.adopted)
	s.wg.Go(s.loop)
	s.wg.Go(s.fetchLoop)
}

// Close stops and waits for all goroutines.
func (s *Spread) Close() error {
	s.cancel()
	s.wg.Wait()
	return nil
}

// Fetched is how many deltas were taken from peers.
func (s *Spread) Fetched() uint64 { return s.fetched.Load() }

// Watching tells whether this node holds the watch.
func (s *Spread) Watching() bool { return s.watching.Load() }

// Ready tells whether a configuration is in force, and if not, why.
func (s *Spread) Ready() (bool, string) {
	if s.c.Manager.Ready() {
		return true, ""
	}
	if len(s.peers().LiveAll()) <= 1 {
		return false, "no configuration: the platform's service has not answered and no peer is known"
	}
	return false, "no configuration: the platform's service has not answered and no peer has passed one on yet"
}

// adopted lets peers know of a new revision.
func (s *Spread) adopted(_ *config.Snapshot, from config.Source) {
	s.past.add(s.c.Manager.Index())
	s.peers().Push(from != config.FromPeer)
}

// Digest is what this node's heartbeats say.
func (s *Spread) Digest() member.Digest {
	d := member.Digest{Revision: s.c.Manager.Current().Revision}
	d.Age, d.Known = s.Age()
	return d
}

// Age is how long ago the service is known to have confirmed the revision in
// force, to this node or to a peer. It is false when it never was.
func (s *Spread) Age() (time.Duration, bool) {
	at := s.c.Manager.ConfirmedAt()
	rev := s.c.Manager.Current().Revision
	s.mu.Lock()
	if s.of == rev && s.confirmed.After(at) {
		at = s.confirmed
	}
	s.mu.Unlock()
	if at.IsZero() {
		return 0, false
	}
	return time.Since(at), true
}

// OnDigest deals with what a peer's heartbeat says. It does not block.
func (s *Spread) OnDigest(from vm.VM, d member.Digest) {
	own := s.c.Manager.Current().Revision
	switch {
	case d.Revision > own:
		select {
		case s.offers <- offer{from: from, revision: d.Revision}:
		default:
			// Others say the same soon.
		}
	case d.Revision == own && d.Known:
		s.confirm(own, time.Now().Add(-d.Age))
	}
}

// confirm notes the word of a peer on a revision.
func (s *Spread) confirm(revision uint64, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.of != revision || at.After(s.confirmed) {
		s.of, s.confirmed = revision, at
	}
}
