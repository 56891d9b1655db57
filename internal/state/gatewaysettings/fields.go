package gatewaysettings

import (
	"fmt"
	"math"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"egrethaven/internal/state/field"
	"egrethaven/internal/state/settings"
)

// fields defines all keys, in the order of the reference.
var fields = []field.Field[Settings]{
	field.Name(field.Spec{Section: "gateway", Key: "vm", Required: true,
		Help: "name of this VM, unique in the deployment"},
		func(s *Settings) *string { return &s.ID }),
	field.Name(field.Spec{Section: "gateway", Key: "domain", Required: true,
		Help: "failure domain that this VM is in"},
		func(s *Settings) *string { return &s.Domain }),

	field.Addr(field.Spec{Section: "listen", Key: "clients", Required: true,
		Help: "address for client requests"},
		func(s *Settings) *string { return &s.ClientAddr }),
	field.Addr(field.Spec{Section: "listen", Key: "ready", Required: true,
		Help: "address of the readiness check"},
		func(s *Settings) *string { return &s.ReadyAddr }),
	field.Addr(field.Spec{Section: "listen", Key: "metrics", Required: true,
		Help: "address of the metrics page"},
		func(s *Settings) *string { return &s.MetricsAddr }),
	field.Addr(field.Spec{Section: "listen", Key: "peers",
		Help: "address for other VMs; none if not given, and the store is watched by every VM itself"},
		func(s *Settings) *string { return &s.PeerAddr }),

	addrList(field.Spec{Section: "peers", Key: "seeds",
		Help: "addresses of VMs that are asked for routes and searchers if the store does not answer at the start"},
		func(s *Settings) *[]string { return &s.SeedAddrs }),

	field.Addr(field.Spec{Section: "store", Key: "address", Required: true,
		Help: "address of the platform's store"},
		func(s *Settings) *string { return &s.StoreAddr }),
	field.Duration(field.Spec{Section: "store", Key: "entry_grace", Default: "2s",
		Help: "how long searchers are kept that are missing in the store after an outage of it"},
		0, time.Minute, func(s *Settings) *time.Duration { return &s.EntryGrace }),
	milliseconds(field.Spec{Section: "store", Key: "catch_up_ms", Default: "4000",
		Help: "time after a disruption of the store within which its changes have to be known"},
		200, 600_000, func(s *Settings) *time.Duration { return &s.CatchUp }),
	milliseconds(field.Spec{Section: "store", Key: "config_apply_ms", Default: "3000",
		Help: "time after its acknowledgement within which a change of the routes has to be in force"},
		200, 600_000, func(s *Settings) *time.Duration { return &s.ConfigApply }),
	milliseconds(field.Spec{Section: "store", Key: "drain_ms", Default: "3000",
		Help: "time after its acknowledgement within which a searcher that leaves gets no more requests"},
		200, 600_000, func(s *Settings) *time.Duration { return &s.DrainTime }),
	milliseconds(field.Spec{Section: "store", Key: "evacuate_ms", Default: "5000",
		Help: "time after its acknowledgement within which the searchers of an evacuated failure domain get no more requests"},
		200, 600_000, func(s *Settings) *time.Duration { return &s.EvacuationTime }),

	field.Float(field.Spec{Section: "retries", Key: "ratio", Default: "0.2",
		Help: "extra sends of all VMs to a service, for each of its requests in a window"},
		0, 10, func(s *Settings) *float64 { return &s.RetryRatio }),
	seconds(field.Spec{Section: "retries", Key: "window_s", Default: "10",
		Help: "span over which extra sends are counted"},
		1, 600, func(s *Settings) *time.Duration { return &s.RetryWindow }),
	field.Float(field.Spec{Section: "retries", Key: "allowance", Unit: "sends", Default: "50",
		Help: "extra sends of all VMs to a service in a window beyond the ratio"},
		0, 1e6, func(s *Settings) *float64 { return &s.RetryAllowance }),

	boolean(field.Spec{Section: "accounts", Key: "strict_revoke", Default: "false",
		Help: "whether requests that need a key are refused while the copy of the store is older than revoke_ms and max_skew_ms together"},
		func(s *Settings) *bool { return &s.StrictRevoke }),
	milliseconds(field.Spec{Section: "accounts", Key: "revoke_ms", Default: "5000",
		Help: "time within which a removed key has to be refused, with strict_revoke"},
		1, 600_000, func(s *Settings) *time.Duration { return &s.RevokeTime }),
	milliseconds(field.Spec{Section: "accounts", Key: "max_skew_ms", Default: "0",
		Help: "largest difference between the clocks of two VMs"},
		0, 600_000, func(s *Settings) *time.Duration { return &s.MaxSkew }),

	field.Float(field.Spec{Section: "cold", Key: "overage", Default: "1.5",
		Help: "requests of all VMs to a cold searcher in any second, for each of its service's cold_per_s"},
		0, 100, func(s *Settings) *float64 { return &s.ColdOverage }),
	field.Float(field.Spec{Section: "cold", Key: "slack", Unit: "requests", Default: "5",
		Help: "requests of all VMs to a cold searcher in any second beyond that"},
		0, 1e6, func(s *Settings) *float64 { return &s.ColdSlack }),

	seconds(field.Spec{Section: "quota", Key: "window_s", Default: "5",
		Help: "span over which the requests of a client account are counted, over all VMs"},
		0.1, 600, func(s *Settings) *time.Duration { return &s.QuotaWindow }),
	field.Float(field.Spec{Section: "quota", Key: "overage", Default: "0.1",
		Help: "share of an account's rate and burst by which its requests in a window may exceed them"},
		0, 10, func(s *Settings) *float64 { return &s.QuotaOverage }),
	field.Float(field.Spec{Section: "quota", Key: "slack", Unit: "requests", Default: "20",
		Help: "requests of an account in a window that are tolerated besides"},
		0, 1e6, func(s *Settings) *float64 { return &s.QuotaSlack }),

	seconds(field.Spec{Section: "process", Key: "stop_within_s", Default: "6",
		Help: "how long the process may run once it is told to stop"},
		0, 600, func(s *Settings) *time.Duration { return &s.ShutdownTimeout }),
	field.Int(field.Spec{Section: "process", Key: "memory_mb", Unit: "MB", Default: "256",
		Help: "memory that the process may use; callers may hold 0.45 of what the program leaves, and connections 0.6 of that at 20 KB each"},
		32, 1<<20, func(s *Settings) *int { return &s.MemoryMB }),
	field.Int(field.Spec{Section: "process", Key: "max_fds", Unit: "descriptors", Default: "4100",
		Help: "file descriptors that the process may use; three quarters of them less 200 may be clients' connections, if memory_mb has room for them"},
		220, 1<<20, func(s *Settings) *int { return &s.MaxFDs }),
	field.Int(field.Spec{Section: "process", Key: "max_header_lines", Unit: "lines", Default: "4096",
		Help: "header lines that a request may have, and trailer lines"},
		16, 1<<16, func(s *Settings) *int { return &s.MaxHeaderLines }),
	field.Int(field.Spec{Section: "process", Key: "cores", Unit: "cores", Default: "1",
		Help: "processor cores that the process may use"},
		1, 1024, func(s *Settings) *int { return &s.Cores }),
	field.Float(field.Spec{Section: "process", Key: "link_mbps", Unit: "Mbit/s", Default: "1000",
		Help: "bandwidth of the VM's network link; VMs with the widest links watch the store for the others"},
		0, 1e6, func(s *Settings) *float64 { return &s.LinkMbps }),
	field.OneOf(field.Spec{Section: "process", Key: "log_level", Default: "info",
		Help: "least severe level that is logged"},
		[]settings.LogLevel{settings.Debug, settings.Info, settings.Warn, settings.Error},
		func(s *Settings) *settings.LogLevel { return &s.LogLevel }),
}

// addrList returns a field for a comma-separated list of addresses.
func addrList(a field.Spec, target func(*Settings) *[]string) field.Field[Settings] {
	parse := func(s *Settings, text string) bool {
		for v := range strings.SplitSeq(text, ",") {
			if v = strings.TrimSpace(v); v != "" {
				*target(s) = append(*target(s), v)
			}
		}
		return true
	}
	valid := func(s *Settings) bool {
		return !slices.ContainsFunc(*target(s), func(v string) bool {
			ap, err := netip.ParseAddrPort(v)
			return err != nil || ap.Port() == 0
		})
	}
	return field.Custom(a, "IP:port, separated by commas, or not given", parse, valid)
}

// boolean returns a field for true or false, also in the other forms in which a template may
// render it, such as True or 1.
func boolean(a field.Spec, target func(*Settings) *bool) field.Field[Settings] {
	parse := func(s *Settings, text string) bool {
		v, err := strconv.ParseBool(text)
		*target(s) = v
		return err == nil
	}
	return field.Custom(a, "true or false", parse, func(*Settings) bool { return true })
}

// seconds returns a field for a duration written as a number of seconds.
func seconds(a field.Spec, minimum, maximum float64, target func(*Settings) *time.Duration) field.Field[Settings] {
	a.Unit = "s"
	return durationNumber(a, time.Second, minimum, maximum, target)
}

// milliseconds returns a field for a duration written as a number of milliseconds.
func milliseconds(a field.Spec, minimum, maximum float64, target func(*Settings) *time.Duration) field.Field[Settings] {
	a.Unit = "ms"
	return durationNumber(a, time.Millisecond, minimum, maximum, target)
}

// durationNumber returns a field for a duration written as a number of units, from
// minimum to maximum.
func durationNumber(a field.Spec, unit time.Duration, minimum, maximum float64, target func(*Settings) *time.Duration) field.Field[Settings] {
	parse := func(s *Settings, text string) bool {
		v, err := strconv.ParseFloat(text, 64)
		*target(s) = time.Duration(v * float64(unit))
		return err == nil && !math.IsNaN(v)
	}
	valid := func(s *Settings) bool { v := float64(*target(s)) / float64(unit); return minimum <= v && v <= maximum }
	return field.Custom(a, fmt.Sprintf("a number from %g to %g", minimum, maximum), parse, valid)
}

// Reference returns the description of every key, in the order of fields.
func Reference() []field.Spec { return field.Reference(fields) }
