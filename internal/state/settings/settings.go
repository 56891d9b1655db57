// Package settings parses the settings of an entry VM: an INI file that the
// process reads once, at startup.
//
// Parse reports all problems of a file at once, each with its line, section, key
// and allowed values. The table in fields.go defines all keys; a test compares
// docs/SETTINGS.md with it.
//
// # Usage
//
//	s, ps := settings.Parse("node.ini", b)
//	if len(ps) > 0 { ... }
package settings

import (
	"fmt"
	"net/netip"
	"time"

	"egrethaven/internal/infra/failuredomain"
	"egrethaven/internal/state/field"
	"egrethaven/internal/state/inifile"
	"egrethaven/internal/state/problem"
)

// Settings are the settings of one entry VM.
type Settings struct {
	Node     Node
	Listen   Listen
	Platform Platform
	Peer     Peer
	Operator Operator
	Accounts Accounts
	Limits   Limits
	Observe  Observe
	Health   Health
}

// Node identifies this VM.
type Node struct {
	ID            string
	FailureDomain failuredomain.Domain
}

// Listen holds the listen addresses, as IP:port.
type Listen struct {
	Caller   string
	Operator string
	Peer     string
}

// Platform configures the connection to the platform's services.
type Platform struct {
	Addr string
	// Timeout is the timeout of one call, except for watches.
	Timeout time.Duration
	// CallsPerSecond is the node's rate limit for key-value calls.
	CallsPerSecond int
}

// Peer configures the connections between entry VMs.
type Peer struct {
	// SharedKey is the secret with which entry VMs authenticate each other.
	SharedKey string
}

// Operator configures access to the operator API.
type Operator struct {
	// Token is the bearer token. If it is empty, the API must listen on a
	// loopback address.
	Token string
}

// Accounts configures client accounts.
type Accounts struct {
	// File is the path of the file of client accounts; there are none if it is empty.
	File string
}

// Limits holds the limits for requests and for shutdown.
type Limits struct {
	// MaxBody is the maximum size of a request body, in bytes.
	MaxBody int
	// MaxInFlight is the maximum number of caller requests in flight.
	MaxInFlight int
	// ResponseMemoryMB is the memory for responses that are read at a time, in MiB.
	ResponseMemoryMB int
	// DrainLimit is how long a graceful shutdown waits for requests in flight.
	DrainLimit time.Duration
	// BalancerLag is how long listeners stay open after /ready starts to fail,
	// so that the load balancer notices.
	BalancerLag time.Duration
}

// Observe configures events and logging.
type Observe struct {
	// Events is the capacity of the event ring buffer.
	Events int
	// LogLevel is the minimum level of log lines.
	LogLevel LogLevel
}

// LogLevel is the severity of a log line.
type LogLevel string

// The log levels.
const (
	Debug LogLevel = "debug"
	Info  LogLevel = "info"
	Warn  LogLevel = "warn"
	Error LogLevel = "error"
)

// Health configures the health assessment.
type Health struct {
	// EvidenceAge is the maximum age of health evidence. Older evidence counts
	// as unknown.
	EvidenceAge time.Duration
	// CanaryInterval is the time without traffic after which the tier sends a
	// canary query to a search.
	CanaryInterval time.Duration
}

// Parse parses the settings in b. file is the file name in problems. The
// settings are valid only if there are no problems.
func Parse(file string, b []byte) (Settings, []problem.Problem) {
	var s Settings
	f, ps := inifile.Parse(file, b)
	ps = append(ps, field.ReadFile(fields, f, &s)...)
	ps = append(ps, s.checkToken(file, field.FindSection(f, "listen").Line)...)
	problem.Sort(ps)
	return s, ps
}

// checkToken returns a problem if the operator address is not a loopback address
// and there is no token.
func (s Settings) checkToken(file string, line int) []problem.Problem {
	if s.Operator.Token != "" {
		return nil
	}
	a, err := netip.ParseAddrPort(s.Listen.Operator)
	if err != nil || a.Addr().IsLoopback() {
		return nil
	}
	return []problem.Problem{{File: file, Line: line, Section: "listen", Key: "operator",
		Message: fmt.Sprintf("%q can be reached from other machines, but [operator] token is not set", s.Listen.Operator),
		Allowed: "a loopback address, or any address once a token is set"}}
}
