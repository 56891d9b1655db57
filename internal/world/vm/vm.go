// Package vm describes the machines of a deployment as the platform lists
// them: entry VMs, which run this system, and the VMs of backend servers.
//
// # Usage
//
//	for _, v := range list {
//		if v.Role == vm.Entry && v.State == vm.Live { ... }
//	}
package vm

import "egrethaven/internal/world/zone"

// Role is what a machine is for.
type Role string

// The roles.
const (
	Entry    Role = "entry"
	Searcher Role = "searcher"
)

// State is what the platform says of a machine. It lags.
type State string

// The states.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// VM is one machine.
type VM struct {
	ID     string      `json:"id"`
	Role   Role        `json:"role"`
	Domain zone.Domain `json:"failure_domain"`
	// Service is the service that a searcher belongs to.
	Service string `json:"service,omitempty"`
	// Addr is where it listens, as IP and port: a searcher's HTTP port, an
	// entry VM's peer port.
	Addr  string `json:"addr"`
	State State  `json:"state"`
}
