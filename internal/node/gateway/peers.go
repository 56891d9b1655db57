package gateway

import (
	"net/netip"
	"strings"
	"time"

	"github.com/juju/errors"

	"egrethaven/internal/back/scoreboard"
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
	"egrethaven/internal/state/roster"
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
	p := &peers{dialer: rpc.NewDialer(rpc.DialerConfig{Timeout: peerDialTimeout})}
	log := changelog.New(changelog.Config{Fresh: c.WatchWait + freshSlack})
	p.upstream = upstream.New(upstream.Config{Store: c.Store, Log: log, Dialer: p.dialer, Relays: v.relays, Seeds: c.Seeds, Events: c.Events})
	board, pool := scoreboard.New(), retrypool.New(retrypool.Config{Bound: c.Bound})
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
	if p.server, err = rpc.NewServer(rpc.ServerConfig{Listen: c.Listen, Known: v.knows, Events: c.Events}); err != nil {
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
	if p.server != nil {
		err = errors.Wrap(err, p.server.Close())
	}
	return errors.Trace(err)
}

// vm takes the registration of a VM. The lock is held.
func (v *view) vm(c follow.Change) {
	id := strings.TrimPrefix(c.Key, v.c.Decode.VMPrefix)
	if c.Deleted {
		delete(v.vms, id)
		return
	}
	r, err := roster.Decode(id, c.Value)
	if err != nil {
		v.c.Events.Emit(event.EntryUnreadable, c.Key, err.Error())
		r = roster.VM{ID: id}
	}
	v.vms[id] = r
}

// choose works out through which VMs this one follows the store. The lock is
// held.
func (v *view) choose() {
	vms := make([]roster.VM, 0, len(v.vms))
	known := make(map[netip.Addr]bool, len(v.vms))
	for _, r := range v.vms {
		vms = append(vms, r)
		if a, err := netip.ParseAddrPort(r.Peers); err == nil {
			known[a.Addr()] = true
		}
	}
	var addrs []string
	for _, r := range roster.Relays(vms, v.c.Self) {
		addrs = append(addrs, r.Peers)
	}
	v.shares.Store(v.c.Self.Peers != "" && roster.Peers(vms, v.c.Self.Domain) >= shareLeast)
	v.relayAddrs.Store(&addrs)
	v.known.Store(&known)
}

// hear takes what the VMs of the domain have seen of searchers.
func (v *view) hear(now time.Time, scores []scoreboard.Score) {
	by := make(map[scoreboard.Searcher]scoreboard.Score, len(scores))
	for _, s := range scores {
		by[s.Searcher] = s
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	for p, i := range v.instances {
		name := scoreboard.Searcher{ID: p.id, Born: p.born}
		s, ok := by[name]
		if !ok {
			s = scoreboard.Score{Searcher: name, Factor: 1}
		}
		i.Hear(now, s)
	}
}

// relays returns the addresses of the VMs through which this one follows the
// store; none if it watches the store itself.
func (v *view) relays() []string {
	if a := v.relayAddrs.Load(); a != nil && v.c.Self.Peers != "" {
		return *a
	}
	return nil
}

// knows tells whether a registered VM has an address.
func (v *view) knows(a netip.Addr) bool {
	m := v.known.Load()
	return m != nil && (*m)[a]
}
