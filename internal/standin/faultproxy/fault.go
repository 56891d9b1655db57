package faultproxy

import (
	"math/rand/v2"
	"time"
)

// Scope selects connections.
type Scope string

// The scopes.
const (
	// ScopeOpen is the connections that are open now.
	ScopeOpen Scope = "open"
	// ScopeNew is the connections that are yet to come.
	ScopeNew Scope = "fresh"
	// ScopeAll is both.
	ScopeAll Scope = "all"
)

// Direction is the faults of one direction.
type Direction struct {
	// DelayMS is added to each piece of data, and up to JitterMS more.
	DelayMS  int64 `json:"delay_ms,omitempty"`
	JitterMS int64 `json:"jitter_ms,omitempty"`
	// Silent drops all data; the connection stays open.
	Silent bool `json:"silent,omitempty"`
	// BytesPerSecond bounds the throughput; 0 is no bound.
	BytesPerSecond int `json:"bytes_per_second,omitempty"`
}

// Fault is what a connection suffers. The zero Fault is none.
type Fault struct {
	// Upstream is the way to the target, Down the way back.
	Upstream   Direction `json:"up"`
	Downstream Direction `json:"down"`
	// Refuse resets new connections at once.
	Refuse bool `json:"refuse,omitempty"`
}

// Blackhole drops all data both ways.
var Blackhole = Fault{Upstream: Direction{Silent: true}, Downstream: Direction{Silent: true}}

// delay returns how long a piece of data is held back.
func (w Direction) delay() time.Duration {
	d := time.Duration(w.DelayMS) * time.Millisecond
	if w.JitterMS > 0 {
		d += rand.N(time.Duration(w.JitterMS) * time.Millisecond)
	}
	return d
}
