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
	// Addr is the TCP address to listen on; empty means a free port on
	// 127.0.0.1.
	Addr string
	// Truth holds the index content and records which requests ran.
	Truth *dataset.GroundTruth
	// Slots is the number of requests that run concurrently.
	Slots int
	// MaxQueued is the number of requests that may wait for a slot; 0 means
	// DefaultQueuePerSlot for each slot.
	MaxQueued int
	// MaxConnections is the maximum number of open connections; 0 means no
	// limit.
	MaxConnections int
	// ConnectDelay is the delay before the first read from a new connection.
	ConnectDelay time.Duration
	// ServiceTime is the service time distribution of requests.
	ServiceTime ServiceTime
	// WarmUpTime is the time after a start or the end of a drain during which
	// the service time falls linearly from coldFactor times normal to normal.
	WarmUpTime time.Duration
	// StatusLag is the maximum age of the reported status.
	StatusLag time.Duration
	// LoadLag is the maximum age of the reported load.
	LoadLag time.Duration
	// Writes enables POST /write.
	Writes bool
	// PoisonText crashes the searcher when a request contains it; empty
	// disables this.
	PoisonText string
	// PoisonDowntime is the time from such a crash to the restart; 0 means until
	// Restart is called.
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
