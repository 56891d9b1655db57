package gateway

import (
	"time"

	"github.com/juju/errors"

	"egrethaven/internal/back/healthscore"
	"egrethaven/internal/observe/event"
	"egrethaven/internal/peer/relay"
	"egrethaven/internal/peer/relayrpc"
	"egrethaven/internal/peer/rpc"
	"egrethaven/internal/peer/sharing"
	"egrethaven/internal/peer/upstream"
	"egrethaven/internal/query/forward"
	"egrethaven/internal/query/retrypool"
	"egrethaven/internal/state/changelog"
	"egrethaven/internal/state/follow"
)

const (
	// peerDialTimeout bounds the opening of a connection to another VM. Those
	// asked are in the same failure domain, a fraction of a millisecond away;
	// the rest is for a VM with little processor time.
	peerDialTimeout = 300 * time.Millisecond
	// shareLeast is how many VMs a failure domain has to have for them to tell
	// each other what they see of searchers. Fewer see each searcher many times
	// a second by themselves.
	shareLeast = 7
	// freshSlack is how long a watch may take beyond its wait before what this
	// VM knows of the store is no longer passed on.
	freshSlack = time.Second
)

// peers is this VM's part in following the store together with other VMs.
type peers struct {
	server   *rpc.Server
	dialer   *rpc.Dialer
	upstream *upstream.Upstream
	sharing  *sharing.Sharing
}

// peersConfig sets up peers.
type peersConfig struct {
	// Listen is the address for other VMs; empty for none.
	Listen string
	// Seeds are addresses of other VMs, for a start without the store.
	Seeds []string
	Store follow.Source
	// WatchWait is how long one watch waits at the store.
	WatchWait time.Duration
	View      *view
	Engine    *forward.Engine
	// Bound is how many extra sends a number of VMs may make to a service.
	Bound  func(vms, first int) float64
	Events event.Sink
}

// newPeers listens for other VMs, if there is an address for it.
func newPeers(c peersConfig) (*peers, error) {
	v := c.View
	p := &peers{dialer: rpc.NewDialer(rpc.DialerConfig{DialTimeout: peerDialTimeout})}
	log := changelog.New(changelog.Config{MaxAge: c.WatchWait + freshSlack})
	p.upstream = upstream.New(upstream.Config{Store: c.Store, Log: log, Dialer: p.dialer, Relays: v.relays, Seeds: c.Seeds, Events: c.Events})
	board, pool := healthscore.New(), retrypool.New(retrypool.Config{Bound: c.Bound})
	p.sharing = sharing.New(sharing.Config{Dialer: p.dialer, Board: board, Pool: pool, VM: v.c.Self.ID, Events: c.Events,
		Used: c.Engine.Used, Relay: func() (string, bool) { return p.gatherer(v) },
		Heard: func(now time.Time, n sharing.News) {
			v.hear(now, n.Scores)
			c.Engine.Pool(now, n.Levels)
		}})
	v.observe = p.sharing.Observe
	if c.Listen == "" {
		return p, nil
	}
	var err error
	if p.server, err = rpc.NewServer(rpc.ServerConfig{Listen: c.Listen, IsKnownAddr: v.knows, Events: c.Events}); err != nil {
		return p, errors.Trace(err)
	}
	return p, errors.Trace(relayrpc.DRPCRegisterRelay(p.server.Mux(), relay.New(relay.Config{Log: log, Board: board, Pool: pool})))
}

// gatherer returns the address of the VM that gathers what this one sees of
// searchers; empty if it does so itself. It reports false if nobody does.
func (p *peers) gatherer(v *view) (string, bool) {
	if !v.shares.Load() {
		return "", false
	}
	if v.relays() == nil {
		return "", true
	}
	addr := p.upstream.Through()
	return addr, addr != ""
}

// serve begins to answer other VMs.
func (p *peers) serve() {
	if p.server != nil {
		p.server.Serve()
	}
}

// close ends all calls and waits.
func (p *peers) close() error {
	err := p.dialer.Close()
	if p.server == nil {
		return errors.Trace(err)
	}
	if e := p.server.Close(); err == nil {
		err = e
	}
	return errors.Trace(err)
}
