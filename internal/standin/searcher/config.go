package searcher

import (
	"time"

	"egrethaven/internal/infra/failuredomain"
	"egrethaven/internal/standin/dataset"
)

// Config describes a stand-in searcher.
type Config struct {
	ID      string
	Service string
	Domain  failuredomain.Domain
	// Addr to listen on; empty is a free port of 127.0.0.1.
	Addr string
	// Truth is the content of the index and the record of what ran.
	Truth *dataset.Truth
	// Slots is how many requests run at a time.
	Slots int
	// Queue is how many requests may wait for a slot; 0 is QueuePerSlot a slot.
	Queue int
	// MaxConnections is how many connections are served; 0 is no limit.
	MaxConnections int
	// ConnectCost is the time before a new connection is served.
	ConnectCost time.Duration
	// Service time of a request.
	Time Time
	// Cold is the time over which a searcher that started or returned comes
	// from coldFactor times its service time down to the normal one.
	Cold time.Duration
	// StatusLag is how old the status may be.
	StatusLag time.Duration
	// LoadLag is how old the reported load may be.
	LoadLag time.Duration
	// Writes tells whether POST /write is served.
	Writes bool
	// Poison is a text that crashes the searcher when a request has it.
	Poison string
	// PoisonDown is how long a crash by poison lasts; 0 is for good.
	PoisonDown time.Duration
	Seed       uint64
}

// QueuePerSlot is the default length of the queue for each slot.
const QueuePerSlot = 8

// Time is the distribution of the service time: lognormal, with a share of
// stragglers.
type Time struct {
	Median time.Duration
	// Sigma of the logarithm.
	Sigma float64
	// StraggleShare is the share of requests that take StraggleFactor times
	// as long.
	StraggleShare  float64
	StraggleFactor float64
}
