package scatter

import (
	"time"

	"egrethaven/internal/back/choice"
)

// Policy selects how the engine decides. The bench runs policies against
// each other.
type Policy struct {
	// Name of the policy in reports.
	Name string
	// Random chooses replicas uniformly instead of by their standing.
	Random bool
	// Hedges is how many further calls a shard may have in flight.
	Hedges int
	// Retry repeats failed calls on other replicas.
	Retry bool
	// Restarts is how often a query may move to a newer version.
	Restarts int
	// FixedAdmission admits every query.
	FixedAdmission bool
	// Timeout bounds each query besides its deadline; 0 for none.
	Timeout time.Duration
	// NoTrial fans out requests that were never answered before at once.
	NoTrial bool
}

// naiveTimeout is the fixed timeout of the naive policy.
const naiveTimeout = 10 * time.Second

// Current returns the policy that the product runs.
func Current() Policy {
	return Policy{Name: "current", Hedges: 2, Retry: true, Restarts: 8}
}

// Naive returns the baseline of measurements: a random replica, a fixed
// timeout, no hedge, no retry, no adaptive limit.
func Naive() Policy {
	return Policy{Name: "naive", Random: true, FixedAdmission: true, Timeout: naiveTimeout, NoTrial: true}
}

// choose returns the way to choose a replica.
func (p Policy) choose() choice.Policy {
	if p.Random {
		return choice.PickUniform
	}
	return choice.Pick
}
