package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"egrethaven/internal/back/healthscore"
	"egrethaven/internal/infra/readbudget"
	"egrethaven/internal/observe/event"
	"egrethaven/internal/peer/gossip"
	"egrethaven/internal/peer/handover"
	"egrethaven/internal/peer/handoverrpc"
	"egrethaven/internal/peer/loadreport"
	"egrethaven/internal/peer/relay"
	"egrethaven/internal/peer/relayrpc"
	"egrethaven/internal/peer/rpc"
	"egrethaven/internal/peer/rumor"
	"egrethaven/internal/peer/rumorrpc"
	"egrethaven/internal/peer/takeover"
	"egrethaven/internal/peer/upstream"
	"egrethaven/internal/query/forward"
	"egrethaven/internal/query/retrypool"
	"egrethaven/internal/state/changelog"
	"egrethaven/internal/state/follow"
)

const (
	// peerDialTimeout limits the time to connect to another VM. Peers are in the
	// same failure domain, a fraction of a millisecond away; the rest covers VMs
	// with little CPU.
	peerDialTimeout = 300 * time.Millisecond
	// minSharingVMs is the minimum number of VMs in a failure domain for sharing
	// measurements of searchers. With fewer VMs, each one measures every searcher
	// many times a second itself.
	minSharingVMs = 7
	// maxPeerMessageBytes has room for the longest answer of a searcher and its header.
	maxPeerMessageBytes = 18 << 20
)

// peerComponents holds the components that communicate with other VMs: to follow
// the store through relays, to share measurements and to hand requests over.
type peerComponents struct {
	server      *rpc.Server
	dialer      *rpc.Dialer
	storeSource *upstream.Upstream
	sharing     *loadreport.Reporter
	// sender and takeover are nil if this VM accepts no calls, as other VMs then accept
	// none from it.
	sender   *handover.Sender
	takeover *takeover.Server
	// gossip and rumors pass on what all VMs have to know; nil like sender.
	gossip *gossip.Gossip
	rumors *rumorKeeper
}

// peerConfig holds the settings and dependencies of peerComponents.
type peerConfig struct {
	// ListenAddr is the address for other VMs; empty to not listen.
	ListenAddr string
	// Seeds holds addresses of other VMs, to start while the store is down.
	Seeds []string
	Store follow.Source
	// RumorStore takes what this VM cannot tell others directly.
	RumorStore follow.Store
	// ChangeTime is the time by which a change of the store has to be in force.
	ChangeTime time.Duration
	StoreView  *storeView
	Engine     *forward.Engine
	// Rumors holds what all VMs have to know.
	Rumors *rumor.Set
	// GroupLimit returns the number of extra sends to a service that the given
	// number of VMs may make for the given number of first sends.
	GroupLimit func(vms, first int) float64
	// Quota answers the calls of VMs whose quotas this one coordinates.
	Quota func(vm string, in *relayrpc.QuotaCall) (*relayrpc.QuotaReply, error)
	// Isolated reports whether this VM is cut off from searchers.
	Isolated func() bool
	// ObserveHandover is called with the outcome of each try to hand a request over.
	ObserveHandover func(outcome string)
	Events          event.Sink
	// Budget bounds the memory for messages of other VMs.
	Budget *readbudget.Budget
	// MaxPending is the maximum number of connections of other VMs whose handshake is not done.
	MaxPending int
}

// newPeerComponents creates the components and binds ListenAddr.
func newPeerComponents(c peerConfig) (*peerComponents, error) {
	v := c.StoreView
	p := &peerComponents{dialer: rpc.NewDialer(rpc.DialerConfig{DialTimeout: peerDialTimeout, MaxMessageBytes: maxPeerMessageBytes, Budget: c.Budget})}
	var log *changelog.Log
	p.storeSource, log = newStoreSource(c, p.dialer)
	board, pool := healthscore.New(), retrypool.New(retrypool.Config{Limit: c.GroupLimit})
	p.sharing = loadreport.New(loadreport.Config{Dialer: p.dialer, HealthScores: board, RetryPool: pool, VM: v.c.Self.ID, Events: c.Events,
		Usage: c.Engine.Usage, RelayAddr: func() (string, bool) { return p.scoreRelay(v) },
		OnAggregate: func(now time.Time, n loadreport.Aggregate) {
			v.applyScores(now, n.Scores)
			c.Engine.SetGroupLevels(now, n.Levels)
		}})
	v.observeSearcher = p.sharing.Observe
	if c.ListenAddr == "" {
		return p, nil
	}
	var err error
	if p.server, err = rpc.NewServer(rpc.ServerConfig{Listen: c.ListenAddr, IsKnownAddr: v.isKnownAddr, Events: c.Events, MaxMessageBytes: maxPeerMessageBytes, Budget: c.Budget, MaxPending: c.MaxPending}); err != nil {
		return p, errors.Trace(err)
	}
	p.sender = handover.New(handover.Config{Dialer: p.dialer, Domain: v.c.Self.Domain, Peers: v.peers, Observe: c.ObserveHandover, Events: c.Events})
	p.takeover = takeover.New(takeover.Config{Do: c.Engine.Do, ConfigVersion: v.routingVersion, Isolated: c.Isolated})
	if err := handoverrpc.DRPCRegisterHandover(p.server.Mux(), p.takeover); err != nil {
		return p, errors.Trace(err)
	}
	p.gossip = gossip.New(gossip.Config{Rumors: c.Rumors, Dialer: p.dialer, Addr: c.ListenAddr, Domain: v.c.Self.Domain, Peers: v.peers, Events: c.Events})
	p.rumors = newRumorKeeper(rumorKeeperConfig{Rumors: c.Rumors, Store: c.RumorStore, Key: v.c.Decode.RumorPrefix + v.c.Self.ID, Events: c.Events,
		Needed: p.gossip.Unreached, Watches: func() bool { return p.storeSource.RelayAddr() == "" }})
	v.rumors = p.rumors
	if err := rumorrpc.DRPCRegisterRumors(p.server.Mux(), p.gossip); err != nil {
		return p, errors.Trace(err)
	}
	return p, errors.Trace(relayrpc.DRPCRegisterRelay(p.server.Mux(), relay.New(relay.Config{Log: log, HealthScores: board, RetryPool: pool, Quota: c.Quota})))
}

// newStoreSource returns the source through which this VM follows the store, and the
// log through which other VMs follow it.
func newStoreSource(c peerConfig, d upstream.Dialer) (*upstream.Upstream, *changelog.Log) {
	log := changelog.New(changelog.Config{MaxAge: upstream.MaxCopyAge(c.ChangeTime)})
	return upstream.New(upstream.Config{Store: c.Store, Log: log, Dialer: d, Relays: c.StoreView.relays, Seeds: c.Seeds,
		ChangeTime: c.ChangeTime, Events: c.Events}), log
}

// scoreRelay returns the address of the VM that aggregates measurements of
// searchers; empty if this VM does. It returns false if measurements are not
// shared or the relay is unknown.
func (p *peerComponents) scoreRelay(v *storeView) (string, bool) {
	if !v.sharesScores.Load() {
		return "", false
	}
	if v.relays() == nil {
		return "", true
	}
	addr := p.storeSource.RelayAddr()
	return addr, addr != ""
}

// stopTakingOver declines further requests of other VMs, and returns when those that were
// taken over have been answered, or at the deadline.
func (p *peerComponents) stopTakingOver(deadline time.Time) {
	if p.takeover != nil {
		p.takeover.Stop(deadline)
	}
}

// passOnRumors passes rumors on until ctx ends.
func (p *peerComponents) passOnRumors(ctx context.Context) {
	if p.gossip == nil {
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { p.gossip.Run(ctx) })
	wg.Go(func() { p.rumors.Run(ctx) })
	wg.Wait()
}

// serve starts to answer other VMs.
func (p *peerComponents) serve() {
	if p.server != nil {
		p.server.Serve()
	}
}

// close aborts all calls and waits for them to end.
func (p *peerComponents) close() error {
	p.storeSource.Close()
	err := p.dialer.Close()
	if p.server == nil {
		return errors.Trace(err)
	}
	if e := p.server.Close(); err == nil {
		err = e
	}
	return errors.Trace(err)
}
