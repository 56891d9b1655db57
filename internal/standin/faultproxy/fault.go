package faultproxy

import (
	"math/rand/v2"
	"time"
)

// Scope selects connections.
type Scope string

// The scopes.
const (
	// Open is the connections that are open now.
	Open Scope = "open"
	// Fresh is the connections that are yet to come.
	Fresh Scope = "fresh"
	// All is both.
	All Scope = "all"
)

// Way is the faults of one direction.
type Way struct {
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
	// Up is the way to the target, Down the way back.
	Up   Way `json:"up"`
	Down Way `json:"down"`
	// Refuse resets new connections at once.
	Refuse bool `json:"refuse,omitempty"`
}

// Blackhole drops all data both ways.
var Blackhole = Fault{Up: Way{Silent: true}, Down: Way{Silent: true}}

// delay returns how long a piece of data is held back.
func (w Way) delay() time.Duration {
	d := time.Duration(w.DelayMS) * time.Millisecond
	if w.JitterMS > 0 {
		d += rand.N(time.Duration(w.JitterMS) * time.Millisecond)
	}
	return d
}
