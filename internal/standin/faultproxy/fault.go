package faultproxy

import (
	"math/rand/v2"
	"time"
)

// Scope selects the connections that a fault applies to.
type Scope string

// Scopes of a fault.
const (
	// ScopeOpen selects the connections that are open now.
	ScopeOpen Scope = "open"
	// ScopeNew selects connections accepted from now on.
	ScopeNew Scope = "fresh"
	// ScopeAll selects open and new connections.
	ScopeAll Scope = "all"
)

// Direction holds the faults of one direction of a connection.
type Direction struct {
	// DelayMS delays each chunk of data; JitterMS is the maximum random
	// addition.
	DelayMS  int64 `json:"delay_ms,omitempty"`
	JitterMS int64 `json:"jitter_ms,omitempty"`
	// Silent drops all data and keeps the connection open.
	Silent bool `json:"silent,omitempty"`
	// BytesPerSecond limits the throughput; 0 means no limit.
	BytesPerSecond int `json:"bytes_per_second,omitempty"`
}

// Fault holds the faults of a connection. The zero value injects none.
type Fault struct {
	// Upstream applies to data sent to the target, Downstream to data sent back.
	Upstream   Direction `json:"up"`
	Downstream Direction `json:"down"`
	// Refuse resets new connections when they are accepted.
	Refuse bool `json:"refuse,omitempty"`
}

// Blackhole drops all data in both directions.
var Blackhole = Fault{Upstream: Direction{Silent: true}, Downstream: Direction{Silent: true}}

// delay returns the delay of one chunk, with random jitter.
func (d Direction) delay() time.Duration {
	delay := time.Duration(d.DelayMS) * time.Millisecond
	if d.JitterMS > 0 {
		delay += rand.N(time.Duration(d.JitterMS) * time.Millisecond)
	}
	return delay
}
