package writes

import (
	"sync"

	"egrethaven/internal/bench/scenario"
	"egrethaven/internal/query/outcome"
	"egrethaven/internal/state/idempotency"
)

// oracle records the runs and the answers to the caller by idempotency key.
type oracle struct {
	mu      sync.Mutex
	runs    map[string]int
	answers map[string]answerCounts
}

// answerCounts is the number of answers of each kind for one key.
type answerCounts struct {
	ok, notRun, other int
}

func newOracle() *oracle {
	return &oracle{runs: map[string]int{}, answers: map[string]answerCounts{}}
}

// recordRun counts one run of the request with the given key.
func (o *oracle) recordRun(key string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.runs[key]++
}

// recordAnswer counts the answer that a caller received for its claim.
func (o *oracle) recordAnswer(key string, c idempotency.Claim) {
	o.mu.Lock()
	defer o.mu.Unlock()
	a := o.answers[key]
	switch {
	case c.Status == idempotency.Claimed, c.Status == idempotency.Repeated && c.Record.Outcome == outcome.OK():
		a.ok++
	case c.Status == idempotency.Refused:
		a.notRun++
	default:
		a.other++
	}
	o.answers[key] = a
}

// keys returns the keys of all requests that ran.
func (o *oracle) keys() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	ks := make([]string, 0, len(o.runs))
	for k := range o.runs {
		ks = append(ks, k)
	}
	return ks
}

// violations counts the keys whose request ran more than once, ran although
// every answer was not_run, or didn't run although an answer was ok.
func (o *oracle) violations() scenario.WrongAnswers {
	o.mu.Lock()
	defer o.mu.Unlock()
	var w scenario.WrongAnswers
	for k, a := range o.answers {
		switch n := o.runs[k]; {
		case n > 1:
			w.DoubleRuns++
		case n == 1 && a.ok == 0 && a.other == 0:
			w.FalseNotRun++
		case n == 0 && a.ok > 0:
			w.FalseOK++
		}
	}
	return w
}
