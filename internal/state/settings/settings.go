// Package settings holds the settings of one entry VM, which its operator
// writes in INI and which the process reads once at its start.
//
// Parse reports every problem of a file at once, each with its line, section,
// key and what is allowed. The table in fields.go is the reference of all
// keys; docs/SETTINGS.md is checked against it.
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

// Settings are the choices for one entry VM.
type Settings struct {
	Node     Node
	Listen   Listen
	Platform Platform
	Peer     Peer
	Operator Operator
	Limits   Limits
	Observe  Observe
	Health   Health
}

// Node says which VM this is.
type Node struct {
	ID            string
	FailureDomain failuredomain.Domain
}

// Listen holds the addresses to listen on, as IP and port.
type Listen struct {
	Caller   string
	Operator string
	Peer     string
}

// Platform says how to reach the platform's services.
type Platform struct {
	Addr string
	// Timeout of one call.
	Timeout time.Duration
	// CallsPerSecond is the node's budget of key-value calls.
	CallsPerSecond int
}

// Peer holds what entry VMs share.
type Peer struct {
	// SharedKey proves that a connection comes from an entry VM.
	SharedKey string
}

// Operator holds the access to the operator API.
type Operator struct {
	// Token is the bearer token; without it the port is loopback only.
	Token string
}

// Limits bound what the node takes on.
type Limits struct {
	// MaxBody is the largest request body, in bytes.
	MaxBody int
	// MaxInFlight is how many caller requests run at a time.
	MaxInFlight int
	// DrainLimit is how long a graceful shutdown waits for requests.
	DrainLimit time.Duration
	// BalancerLag is how long listeners stay open once /ready fails.
	BalancerLag time.Duration
}

// Observe says what the node keeps of what it does.
type Observe struct {
	// Events is how many events the ring holds.
	Events int
	// LogLevel is the least severe level that is logged.
	LogLevel LogLevel
}

// LogLevel is the severity from which on lines are logged.
type LogLevel string

// The log levels.
const (
	Debug LogLevel = "debug"
	Info  LogLevel = "info"
	Warn  LogLevel = "warn"
	Error LogLevel = "error"
)

// Health sets how health is judged.
type Health struct {
	// EvidenceAge is the age from which on evidence counts as unknown.
	EvidenceAge time.Duration
	// CanaryInterval is how long a search may be without traffic before the
	// tier asks a query of its own.
	CanaryInterval time.Duration
}

// Parse reads the settings in b; name is the file's name for problems. The
// settings may be used only when there is no problem.
func Parse(name string, b []byte) (Settings, []problem.Problem) {
	var s Settings
	f, ps := inifile.Parse(name, b)
	ps = append(ps, field.ReadFile(fields, f, &s)...)
	ps = append(ps, s.checkToken(name, field.Find(f, "listen").Line)...)
	problem.Sort(ps)
	return s, ps
}

// checkToken requires a loopback operator address when there is no token.
func (s Settings) checkToken(file string, line int) []problem.Problem {
	if s.Operator.Token != "" {
		return nil
	}
	a, err := netip.ParseAddrPort(s.Listen.Operator)
	if err != nil || a.Addr().IsLoopback() {
		return nil
	}
	return []problem.Problem{{File: file, Line: line, Section: "listen", Key: "operator",
		What:    fmt.Sprintf("%q can be reached from other machines, but [operator] token is not set", s.Listen.Operator),
		Allowed: "a loopback address, or any address once a token is set"}}
}
