package scatter

import (
	"time"

	"egrethaven/internal/back/choice"
)

// Policy configures the decisions of the engine. The bench compares policies.
type Policy struct {
	// Name of the policy in reports.
	Name string
	// Random picks replicas uniformly at random instead of by health and load.
	Random bool
	// Hedges is the maximum number of hedges of a shard in flight.
	Hedges int
	// Retry enables retries of failed calls on other replicas.
	Retry bool
	// Restarts is the maximum number of restarts of a query on a newer version.
	Restarts int
	// FixedAdmission admits every query, without an adaptive limit.
	FixedAdmission bool
	// Timeout limits the duration of each query in addition to its deadline; 0
	// means no timeout.
	Timeout time.Duration
	// NoTrial disables the trial call of requests that were never answered.
	NoTrial bool
}

// naiveTimeout is the fixed timeout of the naive policy.
const naiveTimeout = 10 * time.Second

// Current returns the policy used in production.
func Current() Policy {
	return Policy{Name: "current", Hedges: 2, Retry: true, Restarts: 8}
}

// Naive returns the baseline policy of benchmarks: a random replica, a fixed
// timeout, no hedges, no retries, no adaptive limit.
func Naive() Policy {
	return Policy{Name: "naive", Random: true, FixedAdmission: true, Timeout: naiveTimeout, NoTrial: true}
}

// choose returns the function that chooses a replica.
func (p Policy) choose() choice.Policy {
	if p.Random {
		return choice.Random
	}
	return choice.Pick
}
