// Package vm defines the VMs of a deployment as listed by the platform: entry VMs, which
// run this system, and VMs of backend servers.
//
// # Usage
//
//	for _, v := range list {
//		if v.Role == vm.Entry && v.State == vm.Live { ... }
//	}
package vm

import "egrethaven/internal/infra/failuredomain"

// Role is the purpose of a VM.
type Role string

// Roles of a VM.
const (
	Entry    Role = "entry"
	Searcher Role = "searcher"
)

// State is the state of a VM according to the platform. It lags behind the actual state.
type State string

// States of a VM.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// VM is an entry of the platform's VM list.
type VM struct {
	ID     string               `json:"id"`
	Role   Role                 `json:"role"`
	Domain failuredomain.Domain `json:"failure_domain"`
	// Service is the service that a searcher belongs to, empty for entry VMs.
	Service string `json:"service,omitempty"`
	// Addr is the IP:port of the searcher's HTTP port or of the entry VM's peer
	// port.
	Addr  string `json:"addr"`
	State State  `json:"state"`
}
