package health

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"egrethaven/internal/observe/event"
	"egrethaven/internal/query/ask"
	"egrethaven/internal/state/search"
	"egrethaven/internal/world/zone"
)

const (
	// tick is how often a collector looks for verdicts that have changed and
	// searches that want a canary, and the time that evidence is counted over.
	tick = 250 * time.Millisecond
	// maxCanary is the longest that a canary query takes.
	maxCanary = time.Second
	// fetchTimeout bounds how long the report of another node is awaited.
	fetchTimeout = time.Second
	// onDuty is how many nodes of a failure domain ask canaries, and are always
	// asked for their reports.
	onDuty = 3
	// perDomain is how many nodes of a failure domain are asked at most.
	perDomain = 6
)

// Config sets up a Collector.
type Config struct {
	Node   string
	Domain zone.Domain
	// Searches returns the definitions in force.
	Searches func() map[string]search.Definition
	// ConfigState returns the revision in force and how long ago the store
	// or a peer confirmed it, -1 when not known. nil: 0 and -1.
	ConfigState func() (revision uint64, ageMS int64)
	// StoreDown tells whether the platform's store does not answer. nil: it
	// does.
	StoreDown func() bool
	// MaxAge is the age from which on evidence does not count.
	MaxAge time.Duration
	// CanaryInterval is how long a search may be without evidence before a
	// canary query is asked.
	CanaryInterval time.Duration
	// Ask runs a canary query. nil: none are run.
	Ask func(context.Context, ask.Query) ask.Answer
	// Peers returns the other entry VMs. nil: none.
	Peers func() []Peer
	// Domains returns failure domains that are known to hold searchers or
	// entry VMs, reached or not. nil: those of Peers.
	Domains func() []zone.Domain
	// Fetch asks another node for its own report. nil: no peer is reached.
	Fetch  func(context.Context, Peer) (Report, error)
	Events event.Sink
	// Rand draws the peers to ask and spreads canaries.
	Rand *rand.Rand
}

// Collector keeps one node's evidence and judges it. It is safe for
// concurrent use.
type Collector struct {
	c      Config
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu       sync.Mutex
	evidence map[string][]Evidence
	// complete is when a complete answer last came, by search.
	complete map[string]time.Time
	// asked is when a canary last began, by search.
	asked map[string]time.Time
	// held is the verdict last seen on each search here, and since when.
	held map[string]held
	// reached is when a node of a failure domain last answered.
	reached map[zone.Domain]time.Time
	// cut is since when a failure domain has not answered.
	cut map[zone.Domain]time.Time
}

// held is a verdict with the time it began.
type held struct {
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
	k := &Collector{c: c, evidence: map[string][]Evidence{}, complete: map[string]time.Time{}, asked: map[string]time.Time{}, held: map[string]held{},
		reached: map[zone.Domain]time.Time{}, cut: map[zone.Domain]time.Time{}}
	k.ctx, k.cancel = context.WithCancel(context.Background())
	return k
}

// Start begins to follow verdicts and to ask canary queries.
func (k *Collector) Start() {
	k.wg.Go(k.run)
}

// Close stops the collector and waits for its goroutines.
func (k *Collector) Close() {
	k.cancel()
	k.wg.Wait()
}

// Observe takes in the answer to a caller's query. Answers that say more of
// the caller's request than of the search do not count.
func (k *Collector) Observe(name string, a ask.Answer) {
	d, ok := k.c.Searches()[name]
	if !ok || ignored(a, d) {
		return
	}
	k.add(name, a, time.Now())
}

// Local judges each search by this node's own evidence.
func (k *Collector) Local() Report {
	now := time.Now()
	r := Report{Node: k.c.Node, Domain: k.c.Domain, At: now, MaxAgeMS: k.c.MaxAge.Milliseconds(), ConfigAgeMS: -1}
	if k.c.ConfigState != nil {
		r.ConfigRevision, r.ConfigAgeMS = k.c.ConfigState()
	}
	defs := k.c.Searches()
	down := k.c.StoreDown != nil && k.c.StoreDown()
	for _, name := range k.names() {
		s := k.state(name, now)
		s.WritesRefused = down && defs[name].Writes
		r.States = append(r.States, s)
	}
	return r
}

// Search is Local for one search; without states when it is not defined.
func (k *Collector) Search(name string) Report {
	r := k.Local()
	r.States = slices.DeleteFunc(r.States, func(s State) bool { return s.Search != name })
	return r
}

// OK returns 1 for each search that is ok by this node's own evidence, and 0
// for each other, for metrics.
func (k *Collector) OK() map[string]float64 {
	out := make(map[string]float64)
	for _, s := range k.Local().States {
		out[s.Search] = 0
		if s.Verdict == OK {
			out[s.Search] = 1
		}
	}
	return out
}

// state judges one search and notes when the verdict changed.
func (k *Collector) state(name string, now time.Time) State {
	k.mu.Lock()
	es := k.evidence[name]
	stale := func(e Evidence) bool { return elapsed(e.At, now) >= k.c.MaxAge }
	es = slices.DeleteFunc(es, stale)
	k.evidence[name] = es
	s := Judge(es, now, k.c.MaxAge)
	h, known := k.held[name]
	changed := !known || h.verdict != s.Verdict
	if changed {
		k.held[name] = held{verdict: s.Verdict, since: now}
	}
	s.Since = k.held[name].since
	k.mu.Unlock()
	s.Search, s.Domain, s.Nodes = name, k.c.Domain, []string{k.c.Node}
	if changed && k.news(h.verdict, s.Verdict) {
		k.c.Events.Emit(event.HealthChanged, name, string(h.verdict)+" to "+string(s.Verdict))
	}
	return s
}

// news tells whether a change of verdict is worth an event. On a node that asks
// no canaries a search without traffic becomes unknown as a matter of course.
func (k *Collector) news(from, to Verdict) bool {
	if from == "" || from == Unknown || to == Unknown {
		return from != "" && k.duty() || from == "" && to != Unknown
	}
	return true
}

// names lists the searches in order, and forgets those that are gone.
func (k *Collector) names() []string {
	ds := k.c.Searches()
	names := make([]string, 0, len(ds))
	for n := range ds {
		names = append(names, n)
	}
	slices.Sort(names)
	k.mu.Lock()
	defer k.mu.Unlock()
	for n := range k.evidence {
		if _, ok := ds[n]; !ok {
			delete(k.evidence, n)
			delete(k.held, n)
			delete(k.asked, n)
			delete(k.complete, n)
		}
	}
	return names
}
