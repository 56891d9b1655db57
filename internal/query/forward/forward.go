// Package forward answers requests by sending them to searchers.
//
// A request on a plain route goes to one searcher, whose answer is returned
// unchanged. A request on a fan-out route goes to one searcher of each shard. Its
// answer holds the greatest records of the shards that answered and the number
// of missing shards. Late sends are hedged and failed ones retried where the
// route allows it, within a retry budget for each service.
//
// The goroutine that calls Do owns the state of a request and makes all
// decisions. They are logged in one line when the request ends.
//
// # Usage
//
//	e := forward.New(forward.Config{Dialect: d, Current: current, ...})
//	a := e.Do(ctx, forward.Request{...})
//	e.Close()
package forward

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"egrethaven/internal/back/crashguard"
	"egrethaven/internal/back/instance"
	"egrethaven/internal/back/quarantine"
	"egrethaven/internal/observe/event"
	"egrethaven/internal/query/quota"
	"egrethaven/internal/query/retrybudget"
	"egrethaven/internal/query/retrypool"
	"egrethaven/internal/query/shedding"
	"egrethaven/internal/state/account"
	"egrethaven/internal/state/region"
	"egrethaven/internal/state/routing"
)

// Request is a client's request. A client that retries sends a new one.
type Request struct {
	// ID is the attempt ID that the client chose.
	ID     string
	Method string
	// Target is the path and query, byte for byte as sent by the client.
	Target string
	Host   string
	// Header holds the headers to forward to the searcher.
	Header http.Header
	Body   []byte
	// Client is the address of the client, for the log; empty if unknown.
	Client string
	// Arrived is when the request's header was read.
	Arrived time.Time
	// Timeout is how long the client waits after Arrived; 0 if unknown.
	Timeout time.Duration
	// NetworkTime is how much longer the client takes than this process measures:
	// the time before Arrived and that of the answer's way back; 0 if unknown.
	NetworkTime time.Duration
	// HandedOver reports that another VM handed the request over. It is not handed over
	// again. Sends is the number of searchers of one service to which that VM has sent it.
	HandedOver bool
	Sends      int
	// Account is the name of the client account of a request that was handed over; empty if
	// it has none.
	Account string
	// Evidence holds the searchers that the other VM has lost with the request.
	Evidence []quarantine.Incident

	// key is the key of a client account, taken out of Header. It stays in this process.
	key string
	// restarted is set if the request starts again under a newer configuration.
	restarted bool
	// explained is set if the request is only explained, so that it must leave no trace.
	explained bool
}

// Answer is the response to the client.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// RetryAfter is the time after which the client may retry a refused request;
	// 0 for none.
	RetryAfter time.Duration
	// Reason says why the request was not served.
	Reason Reason
	// AnsweredBy is the address of the VM to which the request was handed over; empty if
	// this VM answered it.
	AnsweredBy string
}

// Handover is a request to be handed over to another VM.
type Handover struct {
	Request
	Route string
	// ConfigVersion is the version by which the request was routed.
	ConfigVersion routing.Version
	Deadline      time.Time
	// Repeatable reports whether another VM may be asked after one that did not answer.
	Repeatable bool
	// MaxSends is the number of searchers of one service to which the request may be sent by
	// all VMs together.
	MaxSends int
	// MayHaveRun reports whether a searcher to which this VM has sent the request may have
	// run it, so that a refusal by another VM is no answer.
	MayHaveRun bool
	// Evidence holds the searchers that this VM has lost with the request.
	Evidence []quarantine.Incident
	// Regions decides which VMs may take the request over.
	Regions region.Filter
}

// Reason says why a request was not served.
type Reason string

// The reasons.
const (
	Served          Reason = ""
	NoConfig        Reason = "no_config"
	NoRoute         Reason = "no_route"
	NoSearcher      Reason = "no_searcher"
	Overloaded      Reason = "overloaded"
	SearcherFailed  Reason = "searcher_failed"
	AnswerLost      Reason = "answer_lost"
	TooFewShards    Reason = "too_few_shards"
	DeadlineReached Reason = "deadline_reached"
	Quarantined     Reason = "quarantined"
	UnknownKey      Reason = "unknown_key"
	OverQuota       Reason = "over_quota"
	KeysOutdated    Reason = "keys_outdated"
	ClientGone      Reason = "client_gone"
)

// IsRefusal reports whether an engine that gives this reason with a status that promises so
// has not run the request.
func (r Reason) IsRefusal() bool {
	switch r {
	case NoConfig, NoSearcher, Overloaded, Quarantined, DeadlineReached, KeysOutdated:
		return true
	}
	return false
}

// SendHeader holds the header fields added to a request to a searcher.
type SendHeader struct {
	ID string
	// Timeout is the time until the request's deadline.
	Timeout time.Duration
	// ExpectedSearcher is the ID of the intended searcher. Another searcher
	// that has taken over the address refuses the request.
	ExpectedSearcher string
	// Account is the name of the client account; empty if there is none.
	Account string
}

// ReplyHeader holds the parsed header of a searcher's answer.
type ReplyHeader struct {
	// Stamp is the searcher's signature; empty if the answer is unsigned.
	Stamp string
	// NotRun reports that the searcher did not run the request.
	NotRun bool
	// Misdirected reports that another searcher has the address.
	Misdirected bool
	// Load is the reported load of the searcher; valid if HasLoad is set.
	Load    instance.Load
	HasLoad bool
	// Limit is the number of requests a second that the searcher accepts from all
	// VMs together; valid if HasLimit is set. UnreadableLimit is the text of a limit
	// that could not be parsed.
	Limit           float64
	HasLimit        bool
	UnreadableLimit string
	// Leaving reports that the searcher is about to stop.
	Leaving bool
	// Wait is the time in which the searcher wants no request from this VM; valid if
	// HasWait is set. UnreadableWait is the text of a time that could not be parsed.
	Wait           time.Duration
	HasWait        bool
	UnreadableWait string
	// Cold is the time for which the searcher will be cold; valid if HasCold is set.
	Cold    time.Duration
	HasCold bool
}

// Dialect encodes and parses the headers exchanged with searchers and clients.
type Dialect interface {
	// TakeKey removes the key of a client account from a request's header and returns it;
	// empty if there is none. It also removes what names an account.
	TakeKey(h http.Header) string
	// AppendSendHeader appends the header lines of a request to a searcher.
	AppendSendHeader(b []byte, s SendHeader) []byte
	// AttemptID returns the attempt ID in an answer's header; empty if there is
	// none.
	AttemptID(h http.Header) string
	// CheckReply returns an error if an answer's header contradicts itself, such as one
	// with two stamps. Such an answer states nothing.
	CheckReply(h http.Header) error
	// ParseReply parses the other header fields of a searcher's answer.
	ParseReply(status int, h http.Header) ReplyHeader
	// WriteFanOutHeader sets the header fields of the answer to a fan-out: the
	// stamps of the merged answers and the number of missing shards.
	WriteFanOutHeader(h http.Header, stamps []string, missing int)
}

// Snapshot is an immutable view of the configuration and the searchers.
type Snapshot struct {
	Config *routing.Config
	// Instances holds the usable searchers of each service.
	Instances map[string][]*instance.Instance
	// BuiltAt is when the snapshot was built.
	BuiltAt time.Time
}

// Policy disables single mechanisms, to measure their effect.
type Policy struct {
	// AdmitAll disables admission control.
	AdmitAll bool
	// NoHedges disables hedged requests.
	NoHedges bool
}

// Quota limits the requests of client accounts over all VMs.
type Quota interface {
	// Take takes a permit for one request of an account. It may wait until the given time
	// for other VMs. If it returns false, retryAfter is the time after which a request fits.
	Take(ctx context.Context, a *account.Account, until time.Time) (ok bool, retryAfter time.Duration)
	// WouldTake returns what Take would do without waiting, and changes nothing.
	WouldTake(a *account.Account) quota.Outlook
	// Return gives back the permit of a request that was not sent.
	Return(a *account.Account)
}

// Config holds the settings of an Engine.
type Config struct {
	Dialect Dialect
	// Current returns the current snapshot; nil before the first one.
	Current func() *Snapshot
	// Domain is this VM's failure domain.
	Domain string
	// Budget limits the hedges and retries to each service.
	Budget retrybudget.Config
	Policy Policy
	// Guard keeps requests that crash searchers away from them; nil means one that knows
	// only of this engine's requests.
	Guard *crashguard.Guard
	// HandOver hands a request over to another VM. It reports false if none can serve it
	// and none has sent it to a searcher. Nil disables handing over.
	HandOver func(ctx context.Context, h Handover) (Answer, bool)
	// Quota limits the requests of client accounts over all VMs; nil means no limit.
	Quota Quota
	// CopyAge returns the age of this VM's copy of the store; nil means that it is not
	// known, and counts as 0.
	CopyAge func() time.Duration
	// Region returns the region of a failure domain, empty if it is not known; nil means
	// that none is.
	Region func(domain string) string
	// Log receives one event for each request; nil disables logging.
	Log *event.Log
	// Observe is called at the end of each request with the name of its route,
	// the reason and the elapsed time; nil for none.
	Observe func(route string, r Reason, elapsed time.Duration)
	// ObserveAccount is called at the end of each request of a client account that this VM
	// got from a client, with the account's name and the reason; nil for none.
	ObserveAccount func(account string, r Reason)
}

// MinIncidents is the number of incidents after which a request that crashes searchers is
// refused. A request that ran by chance on two searchers that ended does not get there.
const MinIncidents = 3

// Engine answers requests. It is safe for concurrent use.
type Engine struct {
	c       Config
	orphans *orphanedSends
	// maxKeyAge is the limit of SetMaxKeyAge in nanoseconds.
	maxKeyAge atomic.Int64
	// shedding knows how often the classes of requests were served.
	shedding *shedding.Policy

	mu      sync.Mutex
	stats   map[string]*routeStats
	budgets map[string]*retrybudget.Budget
	// groupLevels were received at groupLevelsAt; nil before the first ones.
	groupLevels   map[string]retrypool.Level
	groupLevelsAt time.Time
	splits        map[string]*weightedSplit
	// isolatedSince is when this VM was found to be cut off from searchers; zero if it is
	// not. isolated is closed then, and replaced at the end.
	isolatedSince time.Time
	isolated      chan struct{}
}

// New returns an engine.
func New(c Config) *Engine {
	if c.Observe == nil {
		c.Observe = func(string, Reason, time.Duration) {}
	}
	if c.ObserveAccount == nil {
		c.ObserveAccount = func(string, Reason) {}
	}
	if c.CopyAge == nil {
		c.CopyAge = func() time.Duration { return 0 }
	}
	if c.Guard == nil {
		c.Guard = crashguard.New(crashguard.Config{Quarantine: quarantine.New(quarantine.Config{MinIncidents: MinIncidents, TrustAnswered: true})})
	}
	return &Engine{
		c: c, orphans: newOrphanedSends(), shedding: shedding.NewPolicy(), stats: map[string]*routeStats{},
		budgets: map[string]*retrybudget.Budget{}, splits: map[string]*weightedSplit{}, isolated: make(chan struct{}),
	}
}

// Close aborts the sends of requests that were answered already.
func (e *Engine) Close() { e.orphans.close() }

// SetBudget changes the limits of the retry budgets.
func (e *Engine) SetBudget(c retrybudget.Config) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.c.Budget = c
	for _, b := range e.budgets {
		b.SetConfig(c)
	}
}

// Do answers one request.
func (e *Engine) Do(ctx context.Context, q Request) Answer {
	for {
		a, restart := e.dispatch(ctx, &q)
		if !restart {
			return a
		}
		q.restarted = true
	}
}

// dispatch answers a request under the configuration in force. It reports true if the request
// has to start again, as a newer configuration does not permit it as it is, and nothing was
// sent.
func (e *Engine) dispatch(ctx context.Context, q *Request) (a Answer, restart bool) {
	s := e.c.Current()
	if s == nil {
		return e.refuse(*q, nil, NoConfig), false
	}
	r, ok := s.Config.Lookup(q.Host, q.Target)
	if !ok {
		return e.refuse(*q, s, NoRoute), false
	}
	c, reason := e.identify(q, s.Config, r)
	if reason != Served {
		return e.refuse(*q, s, reason), false
	}
	x := e.newDispatch(*q, s, r, c)
	e.c.Guard.AddEvidence(x.fingerprint, q.Evidence)
	a, ok = x.takePermit(ctx)
	if ok {
		a = x.run(ctx)
		x.returnPermit(a)
	}
	// Sends whose answers still have to be read refer to x for longer than the client's
	// request lasts, and so does the memory that is counted for its head.
	x.req.Header = nil
	if a.Reason == UnknownKey && x.revoked.Load() {
		return a, true
	}
	x.report(a)
	return a, false
}

// refuse answers a request for which there is no configuration or no route, or whose client is
// not known. s is nil if there is no configuration.
func (e *Engine) refuse(q Request, s *Snapshot, reason Reason) Answer {
	a := refusalFor(reason)
	e.c.Observe("", reason, time.Since(q.Arrived))
	e.logRefusal(q, s, a)
	return a
}

// refusalFor returns the answer to a request that is refused before it is routed to searchers.
func refusalFor(r Reason) Answer {
	switch r {
	case NoRoute:
		return Answer{Status: http.StatusNotFound, Reason: r}
	case UnknownKey:
		return Answer{Status: http.StatusUnauthorized, Reason: r}
	case KeysOutdated:
		return Answer{Status: http.StatusServiceUnavailable, Reason: r, RetryAfter: retryAfterOutdated}
	}
	return Answer{Status: http.StatusServiceUnavailable, Reason: r, RetryAfter: retryAfterUnknown}
}

// randIntN returns a random number in [0,n).
func randIntN(n int) int { return rand.IntN(n) }

// statsFor returns the statistics of a route.
func (e *Engine) statsFor(r *routing.Route) *routeStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	k := e.stats[r.Name]
	if k == nil {
		k = newRouteStats(r)
		e.stats[r.Name] = k
	}
	return k
}

// budgetFor returns the retry budget of a service.
func (e *Engine) budgetFor(service string) *retrybudget.Budget {
	e.mu.Lock()
	defer e.mu.Unlock()
	b := e.budgets[service]
	if b == nil {
		b = retrybudget.New(e.c.Budget)
		if e.groupLevels != nil {
			b.SetGroupLevel(e.groupLevelsAt, e.groupLevels[service])
		}
		e.budgets[service] = b
	}
	return b
}

// Usage returns the first and extra sends to each service within the window of
// the retry budgets. Services without any are left out.
func (e *Engine) Usage(now time.Time) []retrypool.Usage {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]retrypool.Usage, 0, len(e.budgets))
	for name, b := range e.budgets {
		if first, extra := b.Usage(now); first > 0 || extra > 0 {
			out = append(out, retrypool.Usage{Service: name, First: first, Extra: extra})
		}
	}
	return out
}

// SetGroupLevels sets the group's budget level of each service. Services that
// are not in levels get retrypool.Plenty.
func (e *Engine) SetGroupLevels(now time.Time, levels map[string]retrypool.Level) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.groupLevels, e.groupLevelsAt = levels, now
	for name, b := range e.budgets {
		b.SetGroupLevel(now, levels[name])
	}
}

// chooseService returns the service for the next request of a plain route.
func (e *Engine) chooseService(v routing.Version, r *routing.Route) string {
	if len(r.WeightedServices) == 1 {
		return r.WeightedServices[0].Service
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.splitFor(v, r)
	n := s.best()
	s.take(n)
	return s.shares[n].Service
}

// peekService returns the service that chooseService would return, and leaves it for the next
// request.
func (e *Engine) peekService(v routing.Version, r *routing.Route) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.splitFor(v, r)
	return s.shares[s.best()].Service
}

// splitFor returns the split of a plain route. The lock is held.
func (e *Engine) splitFor(v routing.Version, r *routing.Route) *weightedSplit {
	s := e.splits[r.Name]
	if s == nil || s.version != v {
		s = newWeightedSplit(v, r.WeightedServices)
		e.splits[r.Name] = s
	}
	return s
}
