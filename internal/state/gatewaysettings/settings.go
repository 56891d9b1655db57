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
	"slices"
	"time"

	"egrethaven/internal/state/field"
	"egrethaven/internal/state/inifile"
	"egrethaven/internal/state/problem"
	"egrethaven/internal/state/region"
	"egrethaven/internal/state/settings"
)

// regionsSection is the header of the section with the regions of failure domains.
const regionsSection = "regions"

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
	// EvacuationTime is the time after the acknowledgement of an evacuation by which the
	// searchers of that failure domain get no more requests.
	EvacuationTime time.Duration
	// RetryRatio, RetryWindow and RetryAllowance define the retry budget that all VMs
	// share for a service: its requests in a window times the ratio, plus the allowance.
	RetryRatio     float64
	RetryWindow    time.Duration
	RetryAllowance float64
	// StrictRevoke reports whether requests that need the key of a client account are refused
	// while this VM's copy of the store is older than RevokeTime and MaxSkew together.
	// MaxSkew is the largest difference between the clocks of two VMs.
	StrictRevoke bool
	RevokeTime   time.Duration
	MaxSkew      time.Duration
	// Regions holds the region of each failure domain.
	Regions region.Map
	// ColdOverage and ColdSlack define the requests of all VMs to a cold searcher in any
	// second: its service's limit times the overage, plus the slack.
	ColdOverage float64
	ColdSlack   float64
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
	// MaxFDs is the number of file descriptors that the process may use.
	MaxFDs int
	// MaxHeaderLines is the maximum number of header lines of a request.
	MaxHeaderLines int
	// LinkMbps is the bandwidth of the VM's network link, in Mbit/s.
	LinkMbps float64
	LogLevel settings.LogLevel
}

// ChangeTime returns the time after its acknowledgement by which any change of the
// store has to be in force.
func (s Settings) ChangeTime() time.Duration {
	return min(s.ConfigApply, s.DrainTime, s.EvacuationTime)
}

// MaxKeyAge returns the age of the copy of the store from which on keys are not checked by
// it; 0 for no limit.
func (s Settings) MaxKeyAge() time.Duration {
	if !s.StrictRevoke {
		return 0
	}
	return s.RevokeTime + s.MaxSkew
}

const (
	// fileFDs is the number of descriptors that are kept for files.
	fileFDs = 200
	// clientConnShare and otherConnShare are the shares of the others that connections of
	// clients may take, and those at each other listener. Connections to searchers take
	// the rest.
	clientConnShare = 0.75
	otherConnShare  = 1. / 32
)

// MaxClientConns returns the maximum number of open connections of clients, for which there are
// descriptors and memory.
func (s Settings) MaxClientConns() int { return min(s.conns(clientConnShare), s.connsInMemory()) }

// MaxOtherConns returns the maximum number of open connections at each other listener.
func (s Settings) MaxOtherConns() int { return s.conns(otherConnShare) }

// conns returns a share of the descriptors for connections, at least one.
func (s Settings) conns(share float64) int { return max(1, int(share*float64(s.MaxFDs-fileFDs))) }

// Parse parses the contents b of a settings file; name is the file name to report in
// problems. The settings are valid only if there are no problems.
func Parse(name string, b []byte) (Settings, []problem.Problem) {
	var s Settings
	f, ps := inifile.Parse(name, b)
	s.Regions, ps = takeRegions(&f, ps)
	ps = append(ps, field.ReadFile(fields, f, &s)...)
	problem.Sort(ps)
	return s, ps
}

// takeRegions removes the section with the regions of failure domains, whose keys are not
// known beforehand, and returns them. It appends its problems to ps.
func takeRegions(f *inifile.File, ps []problem.Problem) (region.Map, []problem.Problem) {
	m := region.Map{}
	f.Sections = slices.DeleteFunc(f.Sections, func(sec inifile.Section) bool {
		if sec.Header != regionsSection {
			return false
		}
		for _, k := range sec.Keys {
			if !field.IsName(k.Name) {
				ps = append(ps, problem.Problem{File: f.Name, Line: k.Line, Section: sec.Header, Key: k.Name,
					Message: "is not the name of a failure domain", Allowed: "1 to 63 of a-z 0-9 _ . -, first a letter or digit"})
			}
			m[k.Name] = k.Value
		}
		return true
	})
	return m, ps
}
