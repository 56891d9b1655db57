package scatter

import (
	"slices"
	"sync"
	"time"

	"egrethaven/internal/query/admit"
	"egrethaven/internal/query/budget"
	"egrethaven/internal/query/latency"
	"egrethaven/internal/state/search"
)

const (
	// hedgePart is the part of the extra-load budget that the hedge delay
	// aims to spend; the rest is left to retries and second hedges.
	hedgePart = 0.75
	// mostMedians bounds the hedge delay in medians of the latency: after an
	// outage the quantile is that of the timeouts for a while.
	mostMedians = 4
	// delayWhenUnknown is the hedge delay before latencies are known.
	delayWhenUnknown = 100 * time.Millisecond
)

// lane is what the engine keeps for one search between queries.
type lane struct {
	extraLoad float64
	shares    []search.Share
	budget    *budget.Budget
	latency   *latency.Histogram
	gate      *admit.Gate
}

// hedgeDelay returns how long a call may take before a hedge is sent. It
// follows from the budget: the part of calls that are slower is what the
// budget can pay for.
func (l *lane) hedgeDelay() time.Duration {
	d, ok := l.latency.Quantile(1 - l.extraLoad*hedgePart)
	if !ok {
		return delayWhenUnknown
	}
	m, _ := l.latency.Quantile(0.5)
	return min(d, mostMedians*m)
}

// lanes holds the lane of each search by name.
type lanes struct {
	m     sync.Mutex
	fixed bool
	names map[string]*lane
}

// of returns the lane of a definition. What the definition no longer fits is
// replaced; learned latencies are kept.
func (s *lanes) of(d search.Definition) *lane {
	s.m.Lock()
	defer s.m.Unlock()
	old := s.names[d.Name]
	if old != nil && old.extraLoad == d.ExtraLoad && slices.Equal(old.shares, d.Shares) {
		return old
	}
	l := &lane{
		extraLoad: d.ExtraLoad,
		shares:    d.Shares,
		budget:    budget.New(budget.Config{Fraction: d.ExtraLoad}),
		latency:   latency.New(latency.Config{}),
		gate:      admit.New(admit.Config{Shares: d.Shares, Fixed: s.fixed}),
	}
	if old != nil {
		l.latency = old.latency
	}
	s.names[d.Name] = l
	return l
}
