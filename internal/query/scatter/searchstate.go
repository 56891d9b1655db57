package scatter

import (
	"slices"
	"sync"
	"time"

	"egrethaven/internal/query/adaptivelimit"
	"egrethaven/internal/query/budget"
	"egrethaven/internal/query/latency"
	"egrethaven/internal/state/search"
)

const (
	// hedgeFraction is the fraction of the extra-load budget that the hedge
	// delay is set to spend; the rest is left to retries and second hedges.
	hedgeFraction = 0.75
	// maxMedians caps the hedge delay at a multiple of the median latency. For
	// a while after an outage, timeouts inflate the upper quantile.
	maxMedians = 4
	// defaultHedgeDelay is used until enough latencies are recorded.
	defaultHedgeDelay = 100 * time.Millisecond
)

// searchState is the state of one search that is shared by its queries.
type searchState struct {
	extraLoad float64
	shares    []search.Share
	budget    *budget.Budget
	latency   *latency.Histogram
	gate      *adaptivelimit.Gate
}

// hedgeDelay returns the time after which a call is hedged: the latency
// quantile that only as many calls exceed as the budget can hedge.
func (s *searchState) hedgeDelay() time.Duration {
	d, ok := s.latency.Quantile(1 - s.extraLoad*hedgeFraction)
	if !ok {
		return defaultHedgeDelay
	}
	median, _ := s.latency.Quantile(0.5)
	return min(d, maxMedians*median)
}

// searchStates holds the state of each search by name.
type searchStates struct {
	m              sync.Mutex
	fixedAdmission bool
	byName         map[string]*searchState
}

// get returns the state of the search that d defines. If the extra load or the
// shares have changed, budget and gate are replaced and latencies are kept.
func (s *searchStates) get(d search.Definition) *searchState {
	s.m.Lock()
	defer s.m.Unlock()
	old := s.byName[d.Name]
	if old != nil && old.extraLoad == d.ExtraLoad && slices.Equal(old.shares, d.Shares) {
		return old
	}
	st := &searchState{
		extraLoad: d.ExtraLoad,
		shares:    d.Shares,
		budget:    budget.New(budget.Config{Fraction: d.ExtraLoad}),
		latency:   latency.New(latency.Config{}),
		gate:      adaptivelimit.New(adaptivelimit.Config{Shares: d.Shares, Fixed: s.fixedAdmission}),
	}
	if old != nil {
		st.latency = old.latency
	}
	s.byName[d.Name] = st
	return st
}
