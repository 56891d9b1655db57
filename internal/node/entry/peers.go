package entry

import (
	"net/netip"

	"github.com/juju/errors"

	"egrethaven/internal/infra/vm"
	"egrethaven/internal/node/partrpc"
	"egrethaven/internal/peer/claimrpc"
	"egrethaven/internal/peer/member"
	"egrethaven/internal/peer/rpc"
	"egrethaven/internal/peer/rumor"
	"egrethaven/internal/peer/scatterrpc"
	"egrethaven/internal/state/configsync"
	"egrethaven/internal/state/idempotency"
)

// bindPeers binds the peer port and creates the components that talk to other
// entry VMs.
func (n *Node) bindPeers() error {
	s := n.c.Settings
	var err error
	n.peerServer, err = rpc.NewServer(rpc.ServerConfig{
		Listen:      s.Listen.Peer,
		SharedKey:   s.Peer.SharedKey,
		IsKnownAddr: n.isKnownAddr,
		Events:      n.log,
		Budget:      n.budget,
	})
	if err != nil {
		return errors.Annotate(err, "peer port")
	}
	n.dialer = rpc.NewDialer(rpc.DialerConfig{SharedKey: s.Peer.SharedKey, Budget: n.budget})
	n.self = vm.VM{ID: s.Node.ID, Role: vm.Entry, Domain: s.Node.FailureDomain, Addr: n.peerServer.Addr(), State: vm.Live}
	n.rumors = rumor.New(rumor.Config{Node: s.Node.ID})
	n.configSync = configsync.New(configsync.Config{Self: n.self, Manager: n.configs, Dialer: n.dialer, Events: n.log})
	n.membership = member.New(member.Config{
		Self:     n.self,
		VMs:      n.vms.List,
		Refresh:  n.vms.Refresh,
		Dialer:   n.dialer,
		Rumors:   n.rumors,
		Events:   n.log,
		Digest:   n.configSync.Digest,
		OnDigest: n.configSync.OnDigest,
	})
	n.claims = idempotency.New(idempotency.Config{
		Store:   n.store,
		Self:    s.Node.ID,
		Members: liveMembers{n.membership},
		Dialer:  n.dialer,
		Events:  n.log,
		Seed:    n.c.Seed,

		RestoredAt: n.store.RestoredAt,
	})
	if n.accounts != nil {
		n.quota = n.newQuota()
	}
	return nil
}

// servePeers registers the services of the peer port, serves it and joins the
// other entry VMs.
func (n *Node) servePeers() error {
	m := n.peerServer.Mux()
	if err := n.membership.Register(m); err != nil {
		return errors.Trace(err)
	}
	if err := n.configSync.Register(m); err != nil {
		return errors.Trace(err)
	}
	if err := claimrpc.DRPCRegisterClaims(m, n.claims); err != nil {
		return errors.Trace(err)
	}
	if err := scatterrpc.DRPCRegisterScatter(m, partrpc.Server{Engine: n.engine}); err != nil {
		return errors.Trace(err)
	}
	if err := n.fleet.Register(m); err != nil {
		return errors.Trace(err)
	}
	if err := n.registerQuota(m); err != nil {
		return errors.Trace(err)
	}
	n.peerServer.Serve()
	n.membership.Start()
	n.configSync.Start(n.membership)
	n.startQuota()
	return nil
}

// isKnownAddr reports whether an address belongs to a member or to an entry VM in
// the platform's VM list.
func (n *Node) isKnownAddr(addr netip.Addr) bool {
	if n.membership.IsMemberAddr(addr) {
		return true
	}
	vms, _ := n.vms.List()
	for _, v := range vms {
		p, err := netip.ParseAddrPort(v.Addr)
		if err == nil && v.Role == vm.Entry && p.Addr() == addr {
			return true
		}
	}
	return false
}

// liveMembers provides the live members of all failure domains to the claim store.
type liveMembers struct {
	m *member.Membership
}

// Live returns the live entry VMs of all failure domains.
func (l liveMembers) Live() []vm.VM { return l.m.LiveAll() }
