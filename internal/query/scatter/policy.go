package scatter

import (
	"time"

	"egrethaven/internal/back/choice"
)

// Policy configures the decisions of the engine. The bench compares policies.
type Policy struct {
	// Name of the policy in reports.
	Name string
	// RandomReplica picks replicas at random instead of by health and load.
	RandomReplica bool
	// MaxHedges is the maximum number of hedges of a shard in flight.
	MaxHedges int
	// Retry enables retries of failed calls on other replicas.
	Retry bool
	// MaxRestarts is the maximum number of restarts of a query.
	MaxRestarts int
	// FixedAdmission admits every query, without an adaptive limit.
	FixedAdmission bool
	// Timeout limits the duration of each query in addition to its deadline; 0
	// means no timeout.
	Timeout time.Duration
	// DisableTrial disables the trial call of requests that were never answered.
	DisableTrial bool
}

// naiveTimeout is the fixed timeout of the naive policy.
const naiveTimeout = 10 * time.Second

// DefaultPolicy returns the policy used in production.
func DefaultPolicy() Policy {
	return Policy{Name: "current", MaxHedges: 2, Retry: true, MaxRestarts: 8}
}

// NaivePolicy returns the baseline policy of benchmarks: a random replica, a
// fixed timeout, no hedges, no retries, no adaptive limit.
func NaivePolicy() Policy {
	return Policy{Name: "naive", RandomReplica: true, FixedAdmission: true, Timeout: naiveTimeout, DisableTrial: true}
}

// choose returns the function that chooses a replica.
func (p Policy) choose() choice.Policy {
	if p.RandomReplica {
		return choice.PickUniform
	}
	return choice.Pick
}
