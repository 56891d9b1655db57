// Package gatewaysettings parses the settings file of a gateway, an entry VM that
// reads its configuration and the list of searchers from the platform's store.
//
// Parse reports all problems of a file at once. The table in fields.go is the
// reference of all keys; a test checks docs/SETTINGS.md against it.
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

// Settings are the settings of one gateway.
type Settings struct {
	// ID is the name of this VM.
	ID string
	// Domain is the failure domain of this VM.
	Domain string
	// ClientAddr, ReadyAddr and MetricsAddr are the addresses to listen on for client
	// requests, the readiness check and the metrics page.
	ClientAddr  string
	ReadyAddr   string
	MetricsAddr string
	// PeerAddr is the address to listen on for other VMs; empty for none.
	PeerAddr string
	// SeedAddrs are addresses of VMs to ask for routes and searchers if the store does
	// not respond at startup.
	SeedAddrs []string
	// StoreAddr is the address of the platform's store.
	StoreAddr string
	// EntryGrace is how long a searcher is kept if its entry is missing after an
	// outage of the store.
	EntryGrace time.Duration
	// CatchUp is the time after an outage of the store by which its changes have to be
	// known.
	CatchUp time.Duration
	// ConfigApply is the time after the acknowledgement of a configuration by which it
	// has to be in force.
	ConfigApply time.Duration
	// DrainTime is the time after the acknowledgement of a searcher's departure by
	// which it gets no more requests.
	DrainTime time.Duration
	// RetryRatio, RetryWindow and RetryAllowance define the retry budget that all VMs
	// share for a service: its requests in a window times the ratio, plus the allowance.
	RetryRatio     float64
	RetryWindow    time.Duration
	RetryAllowance float64
	// QuotaWindow, QuotaOverage and QuotaSlack define by how much the requests of a client
	// account may exceed its quota in any window: (rate x window + burst) x overage + slack.
	QuotaWindow  time.Duration
	QuotaOverage float64
	QuotaSlack   float64
	// ShutdownTimeout is how long the process may keep running after it is told to stop.
	ShutdownTimeout time.Duration
	// MemoryMB is the memory that the process may use, in MiB, and Cores the number of
	// processor cores.
	MemoryMB int
	Cores    int
	// LinkMbps is the bandwidth of the VM's network link, in Mbit/s.
	LinkMbps float64
	LogLevel settings.LogLevel
}

// ChangeTime returns the time after its acknowledgement by which any change of the
// store has to be in force.
func (s Settings) ChangeTime() time.Duration { return min(s.ConfigApply, s.DrainTime) }

// Parse parses the contents b of a settings file; name is the file name to report in
// problems. The settings are valid only if there are no problems.
func Parse(name string, b []byte) (Settings, []problem.Problem) {
	var s Settings
	f, ps := inifile.Parse(name, b)
	ps = append(ps, field.ReadFile(fields, f, &s)...)
	problem.Sort(ps)
	return s, ps
}
