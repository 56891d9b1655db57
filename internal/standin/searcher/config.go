package searcher

import (
	"time"

	"egrethaven/internal/standin/dataset"
	"egrethaven/internal/world/zone"
)

// Config describes a stand-in searcher.
type Config struct {
	ID      string
	Service string
	Domain  zone.Domain
	// Addr to listen on; empty is a free port of 127.0.0.1.
	Addr string
	// Truth is the content of the index and the record of what ran.
	Truth *dataset.GroundTruth
	// Slots is how many requests run at a time.
	Slots int
	// MaxQueued is how many requests may wait for a slot; 0 is QueuePerSlot a slot.
	MaxQueued int
	// MaxConnections is how many connections are served; 0 is no limit.
	MaxConnections int
	// ConnectDelay is the time before a new connection is served.
	ConnectDelay time.Duration
	// Service time of a request.
	ServiceTime ServiceTime
	// WarmUpTime is the time over which a searcher that started or returned comes
	// from coldFactor times its service time down to the normal one.
	WarmUpTime time.Duration
	// StatusLag is how old the status may be.
	StatusLag time.Duration
	// LoadLag is how old the reported load may be.
	LoadLag time.Duration
	// Writes tells whether POST /write is served.
	Writes bool
	// PoisonText is a text that crashes the searcher when a request has it.
	PoisonText string
	// PoisonDowntime is how long a crash by poison lasts; 0 is for good.
	PoisonDowntime time.Duration
	Seed           uint64
}

// DefaultQueuePerSlot is the default length of the queue for each slot.
const DefaultQueuePerSlot = 8

// ServiceTime is the distribution of the service time: lognormal, with a share of
// stragglers.
type ServiceTime struct {
	Median time.Duration
	// Sigma of the logarithm.
	Sigma float64
	// StragglerFraction is the share of requests that take StraggleFactor times
	// as long.
	StragglerFraction float64
	StragglerFactor   float64
}
