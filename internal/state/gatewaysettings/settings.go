// Package gatewaysettings holds the settings of one gateway: an entry VM that
// takes its configuration and its searchers from the platform's store.
//
// Parse reports every problem of a file at once. The table in fields.go is
// the reference of all keys; docs/SETTINGS.md is checked against it.
//
// # Usage
//
//	s, ps := gatewaysettings.Parse("gateway.ini", b)
//	if len(ps) > 0 { ... }
package gatewaysettings

import (
	"time"

	"egrethaven/internal/state/field"
	"egrethaven/internal/state/inifile"
	"egrethaven/internal/state/problem"
	"egrethaven/internal/state/settings"
)

// Settings are the choices for one gateway.
type Settings struct {
	// ID names the VM.
	ID string
	// Domain is its failure domain.
	Domain string
	// Clients, Ready and Metrics are the addresses to listen on for client
	// requests, the readiness check and metrics.
	Clients string
	Ready   string
	Metrics string
	// Peers is the address for other VMs; empty if there is none.
	Peers string
	// Seeds are addresses of VMs that may know routes and searchers when this one
	// starts and the store does not answer.
	Seeds []string
	// Store is the address of the platform's store.
	Store string
	// EntryGrace is how long searchers stay that are missing in the store
	// after an outage of it.
	EntryGrace time.Duration
	// CatchUp is the time after a disruption of the store within which its
	// changes have to be known.
	CatchUp time.Duration
	// RetryRatio, RetryWindow and RetryAllowance bound the extra sends of all
	// VMs to a service: in each window, the ratio of its requests plus the
	// allowance.
	RetryRatio     float64
	RetryWindow    time.Duration
	RetryAllowance float64
	// StopWithin is how long the process may run once it is told to stop.
	StopWithin time.Duration
	// MemoryMB is the memory that the process may use, in megabytes.
	MemoryMB int
	Cores    int
	// LinkMbps is the bandwidth of the VM's network link, in megabits a
	// second.
	LinkMbps float64
	LogLevel settings.LogLevel
}

// Parse reads the settings in b; name is the file's name for problems. The
// settings may be used only when there is no problem.
func Parse(name string, b []byte) (Settings, []problem.Problem) {
	var s Settings
	f, ps := inifile.Parse(name, b)
	ps = append(ps, field.ReadFile(fields, f, &s)...)
	problem.Sort(ps)
	return s, ps
}
