package searcher

import (
	"time"

	"egrethaven/internal/infra/failuredomain"
	"egrethaven/internal/standin/dataset"
)

// Config holds the settings of a stand-in searcher.
type Config struct {
	ID      string
	Service string
	Domain  failuredomain.Domain
	// Addr is the address to listen on; empty means a free port on 127.0.0.1.
	Addr string
	// Truth holds the index content and records which requests ran.
	Truth *dataset.GroundTruth
	// Slots is the number of requests that run concurrently.
	Slots int
	// MaxQueued limits the requests waiting for a slot; 0 means
	// DefaultQueuePerSlot for each slot.
	MaxQueued int
	// MaxConnections limits the open connections; 0 means no limit.
	MaxConnections int
	// ConnectDelay is the delay before the first read from a new connection.
	ConnectDelay time.Duration
	// ServiceTime is the distribution of the service time.
	ServiceTime ServiceTime
	// WarmUpTime is how long the service time takes, after a start or a
	// drain, to fall linearly from coldFactor times normal to normal.
	WarmUpTime time.Duration
	// StatusLag is the maximum age of the reported status.
	StatusLag time.Duration
	// LoadLag is the maximum age of the reported load.
	LoadLag time.Duration
	// Writes enables POST /write.
	Writes bool
	// PoisonText crashes the searcher when a request contains it.
	PoisonText string
	// PoisonDowntime is the downtime after such a crash; 0 means until
	// Restart.
	PoisonDowntime time.Duration
	Seed           uint64
}

// DefaultQueuePerSlot is the default queue length for each slot.
const DefaultQueuePerSlot = 8

// ServiceTime is a lognormal service time distribution with a fraction of
// stragglers.
type ServiceTime struct {
	Median time.Duration
	// Sigma is the standard deviation of the logarithm.
	Sigma float64
	// StragglerFraction of the requests take StragglerFactor times as long.
	StragglerFraction float64
	StragglerFactor   float64
}
