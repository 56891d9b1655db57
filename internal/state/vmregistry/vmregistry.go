// Package vmregistry encodes the registrations of entry VMs and selects the VMs of a
// failure domain that watch the platform's store and relay its changes to the
// others.
//
// Every VM computes the same selection from the same registrations, without a
// coordinator. While the VMs' views differ, a VM that is asked to relay but does
// not watch the store refuses, and the asking VM then watches the store itself.
//
// # Usage
//
//	value := vmregistry.VM{ID: "front-1", Domain: "sapporo", PeerAddr: "10.1.0.39:7740", LinkMbps: 140}.Encode()
//	v, err := vmregistry.Decode(id, value)
//	addrs := vmregistry.SelectRelays(vms, self)
package vmregistry

import (
	"cmp"
	"encoding/json"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
)

const (
	// minRelays is the number of relays in a failure domain. Domains of more than
	// singleRelayMaxVMs VMs have maxRelays, so that the loss of one relay leaves
	// another.
	minRelays         = 1
	maxRelays         = 2
	singleRelayMaxVMs = 6
)

// VM is the registration of an entry VM.
type VM struct {
	ID     string `json:"-"`
	Domain string `json:"domain"`
	// PeerAddr is the address for calls of other VMs, as IP:port; empty if the VM
	// accepts none.
	PeerAddr string `json:"peers,omitempty"`
	// LinkMbps is the bandwidth of the VM's network link, in Mbit/s.
	LinkMbps float64 `json:"link_mbps,omitempty"`
}

// Encode returns the JSON value that the VM writes to the store.
func (v VM) Encode() []byte {
	b, err := json.Marshal(v)
	if err != nil {
		// Not reachable: strings and finite numbers can always be encoded.
		panic(err)
	}
	return b
}

// Decode decodes the registration of the VM with the given ID. It returns an error
// if the value is not valid JSON or the peer address is not an IP:port.
func Decode(id string, value []byte) (VM, error) {
	v := VM{}
	if err := json.Unmarshal(value, &v); err != nil {
		return VM{}, errors.Annotatef(err, "decoding the registration of VM %q", id)
	}
	if _, err := netip.ParseAddrPort(v.PeerAddr); v.PeerAddr != "" && err != nil {
		return VM{}, errors.Annotatef(err, "decoding the registration of VM %q", id)
	}
	v.ID = id
	return v, nil
}

// SelectRelays returns the VMs that relay the store's changes to self, in order of
// preference, or nil if self is a relay. The VMs with the highest link bandwidth
// become relays.
func SelectRelays(vms []VM, self VM) []VM {
	own := reachable(vms, self.Domain)
	slices.SortFunc(own, func(a, b VM) int {
		return cmp.Or(cmp.Compare(b.LinkMbps, a.LinkMbps), cmp.Compare(hash(b.ID), hash(a.ID)), cmp.Compare(a.ID, b.ID))
	})
	n := minRelays
	if len(own) > singleRelayMaxVMs {
		n = maxRelays
	}
	relays := own[:min(n, len(own))]
	if slices.ContainsFunc(relays, func(v VM) bool { return v.ID == self.ID }) {
		return nil
	}
	// Half of the VMs prefer each of two relays.
	slices.SortFunc(relays, func(a, b VM) int { return cmp.Compare(hash(self.ID+"\x00"+a.ID), hash(self.ID+"\x00"+b.ID)) })
	return relays
}

// CountPeers returns the number of VMs of a failure domain that accept calls of other
// VMs.
func CountPeers(vms []VM, domain string) int { return len(reachable(vms, domain)) }

// reachable returns the VMs of a failure domain that accept calls of other VMs.
func reachable(vms []VM, domain string) []VM {
	var own []VM
	for _, v := range vms {
		if v.Domain == domain && v.PeerAddr != "" {
			own = append(own, v)
		}
	}
	return own
}

// hash returns a pseudo-random rank of a VM name.
func hash(s string) uint64 { return xxhash.Sum64String(s) }
