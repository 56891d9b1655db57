package health

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"egrethaven/internal/infra/failuredomain"
	"egrethaven/internal/observe/event"
	"egrethaven/internal/query/ask"
	"egrethaven/internal/state/search"
)

const (
	// checkInterval is the interval between checks for changed verdicts and due
	// canary queries. It is also the time span of one Evidence.
	checkInterval = 250 * time.Millisecond
	// canaryTimeout limits the duration of a canary query.
	canaryTimeout = time.Second
	// fetchTimeout limits the wait for the reports of other nodes.
	fetchTimeout = time.Second
	// canaryNodes is the number of nodes per failure domain that run canary
	// queries. Reports are always fetched from these nodes.
	canaryNodes = 3
	// maxNodesPerDomain limits the number of nodes per failure domain whose
	// reports are fetched.
	maxNodesPerDomain = 6
)

// Config configures a Collector.
type Config struct {
	Node   string
	Domain failuredomain.Domain
	// Definitions returns the definitions in force.
	Definitions func() map[string]search.Definition
	// ConfigState returns the revision of the configuration in force and the
	// milliseconds since the store or a peer confirmed it, -1 if unknown. If
	// nil, reports contain 0 and -1.
	ConfigState func() (revision uint64, ageMS int64)
	// StoreDown reports whether the platform's store does not answer. If nil,
	// the store counts as up.
	StoreDown func() bool
	// MaxAge is the age from which on evidence is ignored.
	MaxAge time.Duration
	// CanaryInterval is the time without a complete answer after which a search
	// is sent a canary query.
	CanaryInterval time.Duration
	// RunCanary runs a canary query. If nil, no canary queries are run.
	RunCanary func(context.Context, ask.Query) ask.Answer
	// Peers returns the other entry VMs. If nil, there are none.
	Peers func() []Peer
	// Domains returns the failure domains that are known to contain searchers
	// or entry VMs, reachable or not. If nil, those of Peers are used.
	Domains func() []failuredomain.Domain
	// FetchReport returns the local report of another node. If nil, all peers count
	// as unresponsive.
	FetchReport func(context.Context, Peer) (Report, error)
	Events      event.Sink
	// Rand selects the peers whose reports are fetched. If nil, a generator
	// with a fixed seed is used.
	Rand *rand.Rand
}

// Collector collects the evidence of one node and evaluates it. It is safe for
// concurrent use.
type Collector struct {
	c      Config
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu       sync.Mutex
	evidence map[string][]Evidence
	// lastComplete is the time of the last complete answer, by search.
	lastComplete map[string]time.Time
	// lastCanary is the start of the last canary query, by search.
	lastCanary map[string]time.Time
	// verdicts holds the current local verdict, by search.
	verdicts map[string]verdictSince
	// lastReached is the time of the last report from a failure domain.
	lastReached map[failuredomain.Domain]time.Time
	// unreachableSince is the time since which no node of a failure domain has
	// answered. Reachable failure domains have no entry.
	unreachableSince map[failuredomain.Domain]time.Time
}

// verdictSince is a verdict and the time of the change to it.
type verdictSince struct {
	verdict Verdict
	since   time.Time
}

// New returns a collector without evidence.
func New(c Config) *Collector {
	if c.Events == nil {
		c.Events = event.Discard{}
	}
	if c.Rand == nil {
		c.Rand = rand.New(rand.NewPCG(1, 2))
	}
	k := &Collector{c: c, evidence: map[string][]Evidence{}, lastComplete: map[string]time.Time{}, lastCanary: map[string]time.Time{}, verdicts: map[string]verdictSince{},
		lastReached: map[failuredomain.Domain]time.Time{}, unreachableSince: map[failuredomain.Domain]time.Time{}}
	k.ctx, k.cancel = context.WithCancel(context.Background())
	return k
}

// Start starts checking verdicts and running canary queries in the background.
func (k *Collector) Start() {
	k.wg.Go(k.run)
}

// Close stops the collector and waits for its goroutines.
func (k *Collector) Close() {
	k.cancel()
	k.wg.Wait()
}

// RecordAnswer adds the answer to a caller's query to the evidence of a search. It
// ignores answers that were decided by the caller's request rather than by the
// health of the search.
func (k *Collector) RecordAnswer(name string, a ask.Answer) {
	d, ok := k.c.Definitions()[name]
	if !ok || isIgnored(a, d) {
		return
	}
	k.add(name, a, time.Now())
}

// LocalReport returns the health of each search according to this node's evidence.
func (k *Collector) LocalReport() Report {
	now := time.Now()
	r := Report{Node: k.c.Node, Domain: k.c.Domain, At: now, MaxAgeMS: k.c.MaxAge.Milliseconds(), ConfigAgeMS: -1}
	if k.c.ConfigState != nil {
		r.ConfigRevision, r.ConfigAgeMS = k.c.ConfigState()
	}
	defs := k.c.Definitions()
	storeDown := k.c.StoreDown != nil && k.c.StoreDown()
	for _, name := range k.searchNames() {
		s := k.updateState(name, now)
		s.WritesRefused = storeDown && defs[name].Writes
		r.States = append(r.States, s)
	}
	return r
}

// SearchReport returns the local report on one search. It contains no states if the
// search is not defined.
func (k *Collector) SearchReport(name string) Report {
	r := k.LocalReport()
	r.States = slices.DeleteFunc(r.States, func(s State) bool { return s.Search != name })
	return r
}

// OKBySearch returns, by search, 1 if the search is ok according to this node's evidence
// and otherwise 0. It feeds a metric.
func (k *Collector) OKBySearch() map[string]float64 {
	out := make(map[string]float64)
	for _, s := range k.LocalReport().States {
		out[s.Search] = 0
		if s.Verdict == OK {
			out[s.Search] = 1
		}
	}
	return out
}

// updateState evaluates one search. If the verdict has changed, it stores the new
// verdict and may emit an event.
func (k *Collector) updateState(name string, now time.Time) State {
	k.mu.Lock()
	es := k.evidence[name]
	expired := func(e Evidence) bool { return elapsed(e.Start, now) >= k.c.MaxAge }
	es = slices.DeleteFunc(es, expired)
	k.evidence[name] = es
	s := Evaluate(es, now, k.c.MaxAge)
	previous, known := k.verdicts[name]
	changed := !known || previous.verdict != s.Verdict
	if changed {
		k.verdicts[name] = verdictSince{verdict: s.Verdict, since: now}
	}
	s.Since = k.verdicts[name].since
	k.mu.Unlock()
	s.Search, s.Domain, s.Nodes = name, k.c.Domain, []string{k.c.Node}
	if changed && k.isReportable(previous.verdict, s.Verdict) {
		k.c.Events.Emit(event.HealthChanged, name, string(previous.verdict)+" to "+string(s.Verdict))
	}
	return s
}

// isReportable reports whether a change of verdict causes an event. On a node that
// runs no canary queries, changes from and to unknown cause none: there, a search
// becomes unknown whenever it has no traffic.
func (k *Collector) isReportable(from, to Verdict) bool {
	if from == "" || from == Unknown || to == Unknown {
		return from != "" && k.runsCanaries() || from == "" && to != Unknown
	}
	return true
}

// searchNames returns the sorted names of the defined searches and drops the state
// of all other searches.
func (k *Collector) searchNames() []string {
	defs := k.c.Definitions()
	names := make([]string, 0, len(defs))
	for n := range defs {
		names = append(names, n)
	}
	slices.Sort(names)
	k.mu.Lock()
	defer k.mu.Unlock()
	for n := range k.evidence {
		if _, ok := defs[n]; !ok {
			delete(k.evidence, n)
			delete(k.verdicts, n)
			delete(k.lastCanary, n)
			delete(k.lastComplete, n)
		}
	}
	return names
}
