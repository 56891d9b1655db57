package gateway

import (
	"net/netip"
	"strings"

	"egrethaven/internal/observe/event"
	"egrethaven/internal/state/follow"
	"egrethaven/internal/state/vmregistry"
)

// vm takes the registration of a VM. The lock is held.
func (v *view) vm(c follow.Change) {
	id := strings.TrimPrefix(c.Key, v.c.Decode.VMPrefix)
	if c.Deleted {
		delete(v.vms, id)
		return
	}
	r, err := vmregistry.Decode(id, c.Value)
	if err != nil {
		v.c.Events.Emit(event.EntryUnreadable, c.Key, err.Error())
		r = vmregistry.VM{ID: id}
	}
	v.vms[id] = r
}

// choose works out through which VMs this one follows the store. The lock is
// held.
func (v *view) choose() {
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
	v.shares.Store(v.c.Self.PeerAddr != "" && vmregistry.CountPeers(vms, v.c.Self.Domain) >= shareLeast)
	v.relayAddrs.Store(&addrs)
	v.known.Store(&known)
}

// recall notes the lease of this VM's own registration, if the first read finds
// it as it would be written now: it can be renewed. The lock is held.
func (v *view) recall(c follow.Change) {
	if !v.loaded && v.vms[strings.TrimPrefix(c.Key, v.c.Decode.VMPrefix)] == v.c.Self {
		v.lease = c.Lease
	}
}

// Lease returns the lease of this VM's registration from before a restart; 0 if
// there is none.
func (v *view) Lease() follow.Lease {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.lease
}

// relays returns the addresses of the VMs through which this one follows the
// store; none if it watches the store itself.
func (v *view) relays() []string {
	if a := v.relayAddrs.Load(); a != nil && v.c.Self.PeerAddr != "" {
		return *a
	}
	return nil
}

// knows tells whether a registered VM has an address.
func (v *view) knows(a netip.Addr) bool {
	m := v.known.Load()
	return m != nil && (*m)[a]
}
