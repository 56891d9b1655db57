// Package forward answers requests by sending them to searchers.
//
// A request on a plain route goes to one searcher, whose answer is returned
// unchanged. A request on a fan-out route goes to one searcher of each shard,
// and the answer holds the greatest records of the parts that came in, with
// the number of those that are missing. Late sends are hedged and failed ones
// repeated where the route allows it, within a budget for each service.
//
// One goroutine, the caller's, holds the state of a request and takes every
// decision. What it decided is logged in one line when the request ends.
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
	"time"

	"egrethaven/internal/back/instance"
	"egrethaven/internal/observe/event"
	"egrethaven/internal/query/retrybudget"
	"egrethaven/internal/query/retrypool"
	"egrethaven/internal/state/routing"
)

// Request is one attempt of a client.
type Request struct {
	// ID is the client's name for this attempt.
	ID     string
	Method string
	// Target is the path and query exactly as the client sent them.
	Target string
	Host   string
	// Header holds the headers that go on to the searcher.
	Header http.Header
	Body   []byte
	// Arrived is when the request's header had been read.
	Arrived time.Time
	// Patience is how long the client waits from then on; 0 if it does not
	// say.
	Patience time.Duration
}

// Answer is what the client gets.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// RetryAfter tells when a refused request could be served; 0 for none.
	RetryAfter time.Duration
	// Reason is why the request was not answered with success.
	Reason Reason
}

// Reason is why a request was not served.
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
	ClientGone      Reason = "client_gone"
)

// Sending is what a send says besides the client's request.
type Sending struct {
	ID string
	// Left is how long the searcher may work.
	Left time.Duration
	// Expect is the ID of the searcher that is meant.
	Expect string
}

// Reply is what the header of a searcher's answer says.
type Reply struct {
	// Stamp is the searcher's signature.
	Stamp string
	// NotRun tells that the searcher did not run the request.
	NotRun bool
	// Misdirected tells that another searcher has the address.
	Misdirected bool
	// Load is what the searcher says of its load, if HasLoad.
	Load    instance.Load
	HasLoad bool
}

// Dialect knows the names of the headers that searchers and clients use.
type Dialect interface {
	// AppendSending appends the header lines of one send.
	AppendSending(b []byte, s Sending) []byte
	// Attempt returns the ID of the attempt that an answer belongs to; empty
	// if it names none.
	Attempt(h http.Header) string
	// Reply reads the rest of an answer's header.
	Reply(status int, h http.Header) Reply
	// Parts writes the header of an answer to a fan-out.
	Parts(h http.Header, stamps []string, missing int)
}

// Snapshot is what requests are decided on.
type Snapshot struct {
	Config *routing.Config
	// Instances holds the usable searchers of each service.
	Instances map[string][]*instance.Instance
	// Built is when the snapshot was made.
	Built time.Time
}

// Policy switches decisions off, to compare with and without them.
type Policy struct {
	// AdmitAll sends requests that queues will make late.
	AdmitAll bool
	// NoHedges sends no request a second time because it is late.
	NoHedges bool
}

// Config sets up an Engine.
type Config struct {
	Dialect Dialect
	// Current returns the snapshot in force; nil before there is one.
	Current func() *Snapshot
	// Domain is this VM's failure domain.
	Domain string
	// Budget of extra sends for each service.
	Budget retrybudget.Config
	Policy Policy
	// Log takes the decisions; nil drops them.
	Log *event.Log
	// Observe is called with the route's name, the reason and the time that
	// each request took; nil for none.
	Observe func(route string, r Reason, elapsed time.Duration)
}

// Engine answers requests. It is safe for concurrent use.
type Engine struct {
	c        Config
	leftover *leftovers

	mu      sync.Mutex
	kinds   map[string]*kind
	budgets map[string]*retrybudget.Budget
	splits  map[string]*split
}

// New returns an engine.
func New(c Config) *Engine {
	if c.Observe == nil {
		c.Observe = func(string, Reason, time.Duration) {}
	}
	return &Engine{
		c: c, leftover: newLeftovers(), kinds: map[string]*kind{},
		budgets: map[string]*retrybudget.Budget{}, splits: map[string]*split{},
	}
}

// Close ends the sends that answered requests left behind.
func (e *Engine) Close() { e.leftover.close() }

// SetBudget changes the bound on extra sends.
func (e *Engine) SetBudget(c retrybudget.Config) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.c.Budget = c
	for _, b := range e.budgets {
		b.Set(c)
	}
}

// Do answers one request.
func (e *Engine) Do(ctx context.Context, q Request) Answer {
	s := e.c.Current()
	if s == nil {
		return e.refuse(q, NoConfig, http.StatusServiceUnavailable)
	}
	r, ok := s.Config.Lookup(q.Host, q.Target)
	if !ok {
		return e.refuse(q, NoRoute, http.StatusNotFound)
	}
	x := e.newRun(q, s, r)
	a := x.answer(ctx)
	x.report(a)
	return a
}

// refuse ends a request that has no route.
func (e *Engine) refuse(q Request, why Reason, status int) Answer {
	a := Answer{Status: status, Reason: why}
	if status == http.StatusServiceUnavailable {
		a.RetryAfter = retryAfterUnknown
	}
	e.c.Observe("", why, time.Since(q.Arrived))
	e.logRefusal(q, a)
	return a
}

// pick returns a random number below n.
func pick(n int) int { return rand.IntN(n) }

// kind returns what is known of a route's requests.
func (e *Engine) kind(r *routing.Route) *kind {
	e.mu.Lock()
	defer e.mu.Unlock()
	k := e.kinds[r.Name]
	if k == nil {
		k = newKind(r)
		e.kinds[r.Name] = k
	}
	return k
}

// budget returns the budget of a service.
func (e *Engine) budget(service string) *retrybudget.Budget {
	e.mu.Lock()
	defer e.mu.Unlock()
	b := e.budgets[service]
	if b == nil {
		b = retrybudget.New(e.c.Budget)
		e.budgets[service] = b
	}
	return b
}

// Used returns what was sent to each service within the window of the budgets.
func (e *Engine) Used(now time.Time) []retrypool.Usage {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]retrypool.Usage, 0, len(e.budgets))
	for name, b := range e.budgets {
		if first, extra := b.Used(now); first > 0 || extra > 0 {
			out = append(out, retrypool.Usage{Service: name, First: first, Extra: extra})
		}
	}
	return out
}

// Pool takes how much the group of VMs has left of its extra sends to each
// service; of those that are not named it has plenty.
func (e *Engine) Pool(now time.Time, levels map[string]retrypool.Level) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for name, b := range e.budgets {
		b.Pool(now, levels[name])
	}
}

// service chooses the service of a plain route.
func (e *Engine) service(v routing.Version, r *routing.Route) string {
	if len(r.WeightedServices) == 1 {
		return r.WeightedServices[0].Service
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.splits[r.Name]
	if s == nil || s.version != v {
		s = newSplit(v, r.WeightedServices)
		e.splits[r.Name] = s
	}
	return s.next()
}
