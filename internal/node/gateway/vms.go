package gateway

import (
	"net/netip"
	"strings"

	"egrethaven/internal/observe/event"
	"egrethaven/internal/peer/peerchoice"
	"egrethaven/internal/query/quota"
	"egrethaven/internal/state/follow"
	"egrethaven/internal/state/vmregistry"
)

// applyVM applies a change to the registration of a VM. An unreadable entry still
// counts as a VM. The lock is held.
func (v *storeView) applyVM(c follow.Change) {
	id := strings.TrimPrefix(c.Key, v.c.Decode.VMPrefix)
	if c.Deleted {
		delete(v.vms, id)
		if id == v.c.Self.ID {
			select {
			case v.keyLost <- struct{}{}:
			default:
			}
		}
		return
	}
	r, err := vmregistry.Decode(id, c.Value)
	if err != nil {
		v.c.Events.Emit(event.EntryUnreadable, c.Key, err.Error())
		r = vmregistry.VM{ID: id}
	}
	v.vms[id] = r
}

// updatePeers derives the relays, the other VMs, the known addresses and whether scores are
// shared from the registered VMs. The lock is held.
func (v *storeView) updatePeers() {
	vms := make([]vmregistry.VM, 0, len(v.vms))
	known := make(map[netip.Addr]bool, len(v.vms))
	for _, r := range v.vms {
		vms = append(vms, r)
		if a, err := netip.ParseAddrPort(r.PeerAddr); err == nil {
			known[a.Addr()] = true
		}
	}
	var addrs []string
	for _, r := range vmregistry.SelectRelays(vms, v.c.Self) {
		addrs = append(addrs, r.PeerAddr)
	}
	v.sharesScores.Store(v.c.Self.PeerAddr != "" && vmregistry.CountPeers(vms, v.c.Self.Domain) >= minSharingVMs)
	v.relayAddrs.Store(&addrs)
	v.knownAddrs.Store(&known)
	v.otherVMs.Store(newOtherVMs(vms, v.c.Self.ID))
}

// otherVMs holds the other VMs that accept calls, as those that use them take them.
type otherVMs struct {
	peers      []peerchoice.Peer
	candidates []quota.Candidate
}

// newOtherVMs derives the other VMs from all registered ones.
func newOtherVMs(all []vmregistry.VM, self string) *otherVMs {
	o := &otherVMs{}
	for _, r := range all {
		if r.PeerAddr != "" && r.ID != self {
			o.peers = append(o.peers, peerchoice.Peer{Addr: r.PeerAddr, Domain: r.Domain})
			o.candidates = append(o.candidates, candidate(r))
		}
	}
	return o
}

// peers returns the other VMs that accept calls.
func (v *storeView) peers() []peerchoice.Peer {
	if o := v.otherVMs.Load(); o != nil {
		return o.peers
	}
	return nil
}

// recallLease stores the lease of this VM's own registration if the first read
// finds it unchanged, so that the lease can be renewed. The lock is held.
func (v *storeView) recallLease(c follow.Change) {
	if !v.loaded && v.vms[strings.TrimPrefix(c.Key, v.c.Decode.VMPrefix)] == v.c.Self {
		v.previousLease = c.Lease
	}
}

// Lease returns the lease of this VM's registration from before a restart; zero
// if there is none.
func (v *storeView) Lease() follow.Lease {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.previousLease
}

// relays returns the addresses of the VMs through which this VM follows the
// store; nil if it watches the store itself.
func (v *storeView) relays() []string {
	if a := v.relayAddrs.Load(); a != nil && v.c.Self.PeerAddr != "" {
		return *a
	}
	return nil
}

// isKnownAddr reports whether the address belongs to a registered VM.
func (v *storeView) isKnownAddr(a netip.Addr) bool {
	m := v.knownAddrs.Load()
	return m != nil && (*m)[a]
}
