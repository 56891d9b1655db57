package configsync

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"storj.io/drpc"

	"egrethaven/internal/infra/failuredomain"
	"egrethaven/internal/infra/vm"
	"egrethaven/internal/observe/event"
	"egrethaven/internal/peer/configrpc"
	"egrethaven/internal/peer/member"
	"egrethaven/internal/state/config"
)

// Membership lists the entry VMs and pushes heartbeats to them.
// *member.Membership implements it.
type Membership interface {
	Live(d failuredomain.Domain) []vm.VM
	LiveAll() []vm.VM
	Members() []member.Member
	Version() uint64
	Push(allDomains bool)
}

// membershipHolder wraps the Membership passed to Start for atomic.Pointer.
type membershipHolder struct{ Membership }

// noMembership is the empty Membership used before Start.
type noMembership struct{}

func (noMembership) Live(failuredomain.Domain) []vm.VM { return nil }
func (noMembership) LiveAll() []vm.VM                  { return nil }
func (noMembership) Members() []member.Member          { return nil }
func (noMembership) Version() uint64                   { return 0 }
func (noMembership) Push(bool)                         {}

// membership returns the Membership passed to Start, or an empty one before.
func (s *Syncer) membership() Membership {
	if h := s.holder.Load(); h != nil {
		return h
	}
	return noMembership{}
}

// Config configures a Syncer. Self, Manager and Dialer are required.
type Config struct {
	Self    vm.VM
	Manager *config.Manager
	Dialer  member.Dialer
	Events  event.Sink
	// Rand draws the jitter of the silence timeout; nil means a random seed.
	Rand *rand.Rand
	// AllWatch makes every node watch the root, as a baseline for comparison.
	AllWatch bool
}

// Syncer keeps the configuration of one node up to date and sends it to peers.
type Syncer struct {
	c Config
	// silenceTimeout is the time without a confirmation by the service after
	// which this node polls the root itself.
	silenceTimeout time.Duration
	holder         atomic.Pointer[membershipHolder]
	offers         chan offer
	history        indexHistory
	// mu guards confirmedAt and confirmedRevision. confirmedAt is when the
	// service last confirmed confirmedRevision, according to peers.
	mu                sync.Mutex
	confirmedAt       time.Time
	confirmedRevision uint64
	watching          atomic.Bool
	fetched           atomic.Uint64
	ctx               context.Context
	cancel            context.CancelFunc
	wg                sync.WaitGroup
}

// offer is a newer revision announced by a peer.
type offer struct {
	from     vm.VM
	revision uint64
}

const (
	// watchersPerDomain is the number of nodes in a failure domain that watch
	// the root.
	watchersPerDomain = 3
	// roleInterval is the time between two evaluations of a node's role.
	roleInterval = time.Second
	// minSilenceTimeout exceeds the length of a watch; the jitter keeps nodes
	// from reading the root all at once.
	minSilenceTimeout    = 60 * time.Second
	silenceTimeoutJitter = 60 * time.Second
	// peerConfigTimeout is how long a new node waits for a configuration from
	// peers before it polls the service.
	peerConfigTimeout = time.Second
	// fetchTimeout is the deadline of one fetch from a peer.
	fetchTimeout = time.Second
	// offerQueueSize is the number of offers that may wait for a fetch.
	offerQueueSize = 8
)

// New returns a Syncer. The Manager should start in config.Idle mode.
func New(c Config) *Syncer {
	if c.Events == nil {
		c.Events = event.Discard{}
	}
	if c.Rand == nil {
		c.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	s := &Syncer{c: c, offers: make(chan offer, offerQueueSize)}
	s.silenceTimeout = minSilenceTimeout + time.Duration(c.Rand.Int64N(int64(silenceTimeoutJitter)))
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s
}

// Register registers the config service with a server's mux.
func (s *Syncer) Register(mux drpc.Mux) error { return configrpc.DRPCRegisterConfig(mux, server{s}) }

// Start starts to follow the service and the peers.
func (s *Syncer) Start(p Membership) {
	s.holder.Store(&membershipHolder{p})
	s.history.add(s.c.Manager.Index())
	s.c.Manager.Subscribe(s.onAdopted)
	s.wg.Go(s.loop)
	s.wg.Go(s.fetchLoop)
}

// Close stops all goroutines and waits for them.
func (s *Syncer) Close() error {
	s.cancel()
	s.wg.Wait()
	return nil
}

// FetchedDeltas returns the number of deltas from peers that were put in force.
func (s *Syncer) FetchedDeltas() uint64 { return s.fetched.Load() }

// Watching reports whether this node watches the root.
func (s *Syncer) Watching() bool { return s.watching.Load() }

// Ready reports whether a configuration is in force. If it is not, the string
// is the reason.
func (s *Syncer) Ready() (bool, string) {
	if s.c.Manager.Ready() {
		return true, ""
	}
	if len(s.membership().LiveAll()) <= 1 {
		return false, "no configuration: the platform's service has not answered and no peer is known"
	}
	return false, "no configuration: the platform's service has not answered and no peer has passed one on yet"
}

// onAdopted pushes a new revision to peers. One that came from a peer is not
// pushed to every other failure domain again.
func (s *Syncer) onAdopted(_ *config.Snapshot, from config.Source) {
	s.history.add(s.c.Manager.Index())
	s.membership().Push(from != config.FromPeer)
}

// Digest returns the configuration digest for this node's heartbeats.
func (s *Syncer) Digest() member.Digest {
	d := member.Digest{Revision: s.c.Manager.Current().Revision}
	d.Age, d.AgeKnown = s.ConfirmedAge()
	return d
}

// ConfirmedAge returns the time since the service last confirmed the revision in
// force to this node or to a peer. It returns false if it never did.
func (s *Syncer) ConfirmedAge() (time.Duration, bool) {
	at := s.c.Manager.ConfirmedAt()
	rev := s.c.Manager.Current().Revision
	s.mu.Lock()
	if s.confirmedRevision == rev && s.confirmedAt.After(at) {
		at = s.confirmedAt
	}
	s.mu.Unlock()
	if at.IsZero() {
		return 0, false
	}
	return time.Since(at), true
}

// OnDigest handles the configuration digest of a peer's heartbeat: a higher
// revision is queued for a fetch, an equal one may renew the confirmation. It
// does not block.
func (s *Syncer) OnDigest(from vm.VM, d member.Digest) {
	current := s.c.Manager.Current().Revision
	switch {
	case d.Revision > current:
		select {
		case s.offers <- offer{from: from, revision: d.Revision}:
		default:
			// Later heartbeats announce the revision again.
		}
	case d.Revision == current && d.AgeKnown:
		s.recordConfirmation(current, time.Now().Add(-d.Age))
	}
}

// recordConfirmation records that the service confirmed a revision to a peer.
func (s *Syncer) recordConfirmation(revision uint64, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.confirmedRevision != revision || at.After(s.confirmedAt) {
		s.confirmedRevision, s.confirmedAt = revision, at
	}
}
