package settings

import (
	"time"

	"egrethaven/internal/infra/failuredomain"
	"egrethaven/internal/state/field"
)

// minSecretBytes is the minimum length of tokens and keys, in bytes.
const minSecretBytes = 16

// maxPathBytes is the maximum length of a path, in bytes; systems permit no longer ones.
const maxPathBytes = 4095

// fields defines all keys of the settings file.
var fields = []field.Field[Settings]{
	field.Name(field.Spec{Section: "node", Key: "id", Required: true,
		Help: "name of this VM, unique in the deployment and as in the platform's VM list"},
		func(s *Settings) *string { return &s.Node.ID }),
	domain(field.Spec{Section: "node", Key: "failure_domain", Required: true,
		Help: "failure domain that this VM is in"}),

	field.Addr(field.Spec{Section: "listen", Key: "caller", Required: true,
		Help: "address of the caller API, /ready, /live and /metrics"},
		func(s *Settings) *string { return &s.Listen.Caller }),
	field.Addr(field.Spec{Section: "listen", Key: "operator", Required: true,
		Help: "address of the operator API; loopback unless [operator] token is set"},
		func(s *Settings) *string { return &s.Listen.Operator }),
	field.Addr(field.Spec{Section: "listen", Key: "peer", Required: true,
		Help: "address for the other entry VMs, as in the platform's VM list"},
		func(s *Settings) *string { return &s.Listen.Peer }),

	field.Addr(field.Spec{Section: "platform", Key: "addr", Required: true,
		Help: "address of the platform's key-value service and VM list"},
		func(s *Settings) *string { return &s.Platform.Addr }),
	field.Duration(field.Spec{Section: "platform", Key: "timeout", Default: "2s",
		Help: "longest wait for one call of the platform, watches apart"},
		50*time.Millisecond, 30*time.Second, func(s *Settings) *time.Duration { return &s.Platform.Timeout }),
	field.Int(field.Spec{Section: "platform", Key: "calls_per_second", Unit: "calls/s", Default: "50",
		Help: "this node's budget of key-value calls"},
		1, 2000, func(s *Settings) *int { return &s.Platform.CallsPerSecond }),

	field.Secret(field.Spec{Section: "peer", Key: "shared_key",
		Help: "secret that entry VMs prove to each other; without it only addresses of listed VMs are accepted"},
		minSecretBytes, func(s *Settings) *string { return &s.Peer.SharedKey }),
	field.Secret(field.Spec{Section: "operator", Key: "token",
		Help: "bearer token that the operator API asks for"},
		minSecretBytes, func(s *Settings) *string { return &s.Operator.Token }),

	field.Text(field.Spec{Section: "accounts", Key: "file",
		Help: "path of the file of client accounts, one of whose keys each request has to bear; no request needs a key if not given"},
		maxPathBytes, func(s *Settings) *string { return &s.Accounts.File }),

	field.Int(field.Spec{Section: "limits", Key: "max_body", Unit: "bytes", Default: "65536",
		Help: "largest body of a caller's request"},
		1<<10, 1<<20, func(s *Settings) *int { return &s.Limits.MaxBody }),
	field.Int(field.Spec{Section: "limits", Key: "max_in_flight", Unit: "requests", Default: "1024",
		Help: "caller requests that run at a time; more are refused as not run"},
		1, 100000, func(s *Settings) *int { return &s.Limits.MaxInFlight }),
	field.Int(field.Spec{Section: "limits", Key: "response_memory_mb", Unit: "MB", Default: "64",
		Help: "memory for responses of backend servers, the platform and other VMs that are read at a time"},
		8, 1<<20, func(s *Settings) *int { return &s.Limits.ResponseMemoryMB }),
	field.Duration(field.Spec{Section: "limits", Key: "drain_limit", Default: "30s",
		Help: "longest wait for requests in progress at a graceful shutdown"},
		0, 10*time.Minute, func(s *Settings) *time.Duration { return &s.Limits.DrainLimit }),
	field.Duration(field.Spec{Section: "limits", Key: "balancer_lag", Default: "5s",
		Help: "how long listeners stay open once /ready fails, for the balancer to notice"},
		0, time.Minute, func(s *Settings) *time.Duration { return &s.Limits.BalancerLag }),

	field.Int(field.Spec{Section: "observe", Key: "events", Unit: "events", Default: "4096",
		Help: "events that the ring keeps for the time line"},
		64, 65536, func(s *Settings) *int { return &s.Observe.Events }),
	field.OneOf(field.Spec{Section: "observe", Key: "log_level", Default: "info",
		Help: "least severe level that is logged"},
		[]LogLevel{Debug, Info, Warn, Error}, func(s *Settings) *LogLevel { return &s.Observe.LogLevel }),

	field.Duration(field.Spec{Section: "health", Key: "evidence_age", Default: "4s",
		Help: "age from which on evidence of health counts as unknown"},
		time.Second, time.Minute, func(s *Settings) *time.Duration { return &s.Health.EvidenceAge }),
	field.Duration(field.Spec{Section: "health", Key: "canary_interval", Default: "1s",
		Help: "time without traffic after which a search is asked a canary query"},
		100*time.Millisecond, 30*time.Second, func(s *Settings) *time.Duration { return &s.Health.CanaryInterval }),
}

// domain returns the field for the failure domain, a name with its own type.
func domain(spec field.Spec) field.Field[Settings] {
	const allowed = "1 to 63 of a-z 0-9 _ . -, first a letter or digit"
	parse := func(s *Settings, v string) bool { s.Node.FailureDomain = failuredomain.Domain(v); return true }
	valid := func(s *Settings) bool { return field.IsName(string(s.Node.FailureDomain)) }
	return field.Custom(spec, allowed, parse, valid)
}

// Reference returns the definitions of all keys, in the order of the table.
func Reference() []field.Spec { return field.Reference(fields) }
