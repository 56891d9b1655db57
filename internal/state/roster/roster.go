// Package roster knows how a VM registers with the others, and which VMs of a
// failure domain watch the platform's store on behalf of the rest.
//
// Every VM works out the same choice from the same registrations, without a
// coordinator. Where views differ for a moment, a VM that is asked but does
// not watch the store says so, and the one that asked watches it by itself.
//
// # Usage
//
//	value := roster.VM{ID: "front-1", Domain: "sapporo", Peers: "10.1.0.39:7740", LinkMbps: 140}.Encode()
//	v, err := roster.Decode(id, value)
//	addrs := roster.Relays(vms, self)
package roster

import (
	"cmp"
	"encoding/json"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
)

const (
	// relaysLeast is how many VMs of a domain watch the store, and relaysMany
	// how many where the domain has more than manyVMs of them, so that the loss
	// of one leaves the others followed.
	relaysLeast = 1
	relaysMany  = 2
	manyVMs     = 6
)

// VM is one entry VM as it registers.
type VM struct {
	ID     string `json:"-"`
	Domain string `json:"domain"`
	// PeerAddr is the IP and port for other VMs; empty if it takes no calls.
	PeerAddr string `json:"peers,omitempty"`
	// LinkMbps is the bandwidth of the VM's network link, in megabits a second.
	LinkMbps float64 `json:"link_mbps,omitempty"`
}

// Encode returns the value under which the VM registers.
func (v VM) Encode() []byte {
	b, err := json.Marshal(v)
	if err != nil {
		// Strings and a finite number always have an encoding.
		panic(err)
	}
	return b
}

// Decode reads the registration of a VM.
func Decode(id string, value []byte) (VM, error) {
	v := VM{}
	if err := json.Unmarshal(value, &v); err != nil {
		return VM{}, errors.Annotatef(err, "registration of %s", id)
	}
	if _, err := netip.ParseAddrPort(v.PeerAddr); v.PeerAddr != "" && err != nil {
		return VM{}, errors.Annotatef(err, "registration of %s", id)
	}
	v.ID = id
	return v, nil
}

// SelectRelays returns the VMs through which self follows the store, the first choice
// first; none if it watches the store itself. VMs with the widest links are
// chosen to watch.
func SelectRelays(vms []VM, self VM) []VM {
	own := reachable(vms, self.Domain)
	slices.SortFunc(own, func(a, b VM) int {
		return cmp.Or(cmp.Compare(b.LinkMbps, a.LinkMbps), cmp.Compare(hash(b.ID), hash(a.ID)), cmp.Compare(a.ID, b.ID))
	})
	n := relaysLeast
	if len(own) > manyVMs {
		n = relaysMany
	}
	relays := own[:min(n, len(own))]
	if slices.ContainsFunc(relays, func(v VM) bool { return v.ID == self.ID }) {
		return nil
	}
	// Half of the VMs prefer each of two.
	slices.SortFunc(relays, func(a, b VM) int { return cmp.Compare(hash(self.ID+"\x00"+a.ID), hash(self.ID+"\x00"+b.ID)) })
	return relays
}

// CountPeers returns how many VMs of a domain take calls of others.
func CountPeers(vms []VM, domain string) int { return len(reachable(vms, domain)) }

// reachable returns the VMs of a domain that take calls of others.
func reachable(vms []VM, domain string) []VM {
	var own []VM
	for _, v := range vms {
		if v.Domain == domain && v.PeerAddr != "" {
			own = append(own, v)
		}
	}
	return own
}

// hash orders VMs without regard to their names.
func hash(s string) uint64 { return xxhash.Sum64String(s) }
