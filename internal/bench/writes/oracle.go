package writes

import (
	"sync"

	"egrethaven/internal/bench/scenario"
	"egrethaven/internal/query/outcome"
	"egrethaven/internal/state/idempotency"
)

// oracle knows which requests truly ran, and what the caller of each key
// was told.
type oracle struct {
	mu   sync.Mutex
	runs map[string]int
	told map[string]told
}

// told sums up the answers for one key.
type told struct {
	// ok, notRun and other count the answers of each sort.
	ok, notRun, other int
}

func newOracle() *oracle {
	return &oracle{runs: map[string]int{}, told: map[string]told{}}
}

// run is the request itself: a run for each call.
func (o *oracle) run(key string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.runs[key]++
}

// tell notes what a caller was told after its claim.
func (o *oracle) tell(key string, c idempotency.Claim) {
	o.mu.Lock()
	defer o.mu.Unlock()
	t := o.told[key]
	switch {
	case c.Status == idempotency.Claimed, c.Status == idempotency.Repeated && c.Record.Outcome == outcome.OK():
		t.ok++
	case c.Status == idempotency.Refused:
		t.notRun++
	default:
		t.other++
	}
	o.told[key] = t
}

// keys returns all keys that ran.
func (o *oracle) keys() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	ks := make([]string, 0, len(o.runs))
	for k := range o.runs {
		ks = append(ks, k)
	}
	return ks
}

// verdict counts the keys that ran twice, those whose caller heard nothing
// but not_run though they ran, and those whose caller heard ok though they
// did not.
func (o *oracle) verdict() scenario.WrongAnswers {
	o.mu.Lock()
	defer o.mu.Unlock()
	var w scenario.WrongAnswers
	for k, t := range o.told {
		switch n := o.runs[k]; {
		case n > 1:
			w.DoubleRuns++
		case n == 1 && t.ok == 0 && t.other == 0:
			w.FalseNotRun++
		case n == 0 && t.ok > 0:
			w.FalseOK++
		}
	}
	return w
}
