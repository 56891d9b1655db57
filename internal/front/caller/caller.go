// Package caller implements the HTTP API for callers: querying a search,
// registering a record and reading a search's health. docs/API.md describes it.
//
// An invalid request gets problem details and a 4xx status before anything is
// dispatched. A partial answer gets a success status only if the caller
// accepts partial answers.
//
// # Usage
//
//	h := caller.New(caller.Config{Engine: e, Snapshot: manager.Current, Gate: g, MaxBodyBytes: 65536, Metrics: m})
//	s, err := httpserver.New(httpserver.Config{Addr: addr, Handler: h})
package caller

import (
	"context"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"egrethaven/internal/front/problemdetail"
	"egrethaven/internal/front/readiness"
	"egrethaven/internal/front/requestbody"
	"egrethaven/internal/infra/readbudget"
	"egrethaven/internal/observe/event"
	"egrethaven/internal/observe/health"
	"egrethaven/internal/observe/metric"
	"egrethaven/internal/query/ask"
	"egrethaven/internal/query/outcome"
	"egrethaven/internal/query/write"
	"egrethaven/internal/state/account"
	"egrethaven/internal/state/config"
)

// Engine executes the requests of callers.
type Engine interface {
	Ask(ctx context.Context, a ask.Query) ask.Answer
	Write(ctx context.Context, w write.Request) write.Result
	// Health returns this node's health report for one search.
	Health(search string) health.Report
}

// Quota limits the requests of client accounts. *quotapool.Limiter implements it.
type Quota interface {
	// Take takes a permit for one request of an account. It may wait until the given time. If it
	// returns false, retryAfter is the time after which one fits.
	Take(ctx context.Context, a *account.Account, until time.Time) (ok bool, retryAfter time.Duration)
	// Return gives a permit back whose request has not run.
	Return(a *account.Account)
}

// Config configures the API.
type Config struct {
	Engine Engine
	// Snapshot returns the configuration in force, or nil if there is none yet.
	Snapshot func() *config.Snapshot
	// Accounts returns the client accounts in force, one of whose keys each request under /v1
	// has to bear, or nil if they are not known yet. If Accounts itself is nil, there are none.
	Accounts func() *account.Index
	// TakeKey removes the key of a client account from a request's header and returns it; empty
	// if there is none, or not exactly one. It is not used without Accounts.
	TakeKey func(http.Header) string
	// Quota limits the queries and records of client accounts. It is not used without Accounts.
	Quota Quota
	// Gate admits requests and serves /ready and /live.
	Gate *readiness.Gate
	// MaxBodyBytes is the maximum size of a request body, in bytes.
	MaxBodyBytes int64
	// Budget bounds the memory for the bodies of all requests, beside what else it is used for;
	// nil means no bound.
	Budget *readbudget.Budget
	Events event.Sink
	// Metrics counts requests and serves /metrics; nil disables both.
	Metrics *metric.Metrics
}

// handler serves the routes of the API.
type handler struct {
	c      Config
	bodies *requestbody.Reader
}

// New returns the handler of the API.
func New(c Config) http.Handler {
	if c.Events == nil {
		c.Events = event.Discard{}
	}
	h := &handler{c: c, bodies: requestbody.New(requestbody.Config{Budget: c.Budget})}
	r := mux.NewRouter()
	r.Use(h.instrument)
	r.HandleFunc("/v1/searches", h.authenticate(h.list)).Methods(http.MethodGet)
	r.HandleFunc("/v1/searches/{search}/query", h.authenticate(h.checkGate(h.query))).Methods(http.MethodPost)
	r.HandleFunc("/v1/searches/{search}/records", h.authenticate(h.checkGate(h.record))).Methods(http.MethodPost)
	r.HandleFunc("/v1/searches/{search}/health", h.authenticate(h.health)).Methods(http.MethodGet)
	r.HandleFunc("/ready", c.Gate.ServeReady).Methods(http.MethodGet, http.MethodHead)
	r.HandleFunc("/live", c.Gate.ServeLive).Methods(http.MethodGet, http.MethodHead)
	if c.Metrics != nil {
		r.Handle("/metrics", c.Metrics).Methods(http.MethodGet)
	}
	// mux runs middleware only for matched routes.
	r.NotFoundHandler = h.instrument(http.HandlerFunc(notFound))
	r.MethodNotAllowedHandler = h.instrument(http.HandlerFunc(methodNotAllowed))
	return r
}

func notFound(w http.ResponseWriter, r *http.Request) {
	writeProblem(w, r, problemdetail.NotFound())
}

func methodNotAllowed(w http.ResponseWriter, r *http.Request) {
	writeProblem(w, r, problemdetail.MethodNotAllowed(r.Method))
}

// writeProblem sends d with the path and the ID of the request filled in.
func writeProblem(w http.ResponseWriter, r *http.Request, d problemdetail.Detail) {
	d.Instance = r.URL.Path
	d.RequestID = w.Header().Get(requestIDHeader)
	problemdetail.Write(w, d)
}

// unknownSearchProblem reports that no search has the name.
func unknownSearchProblem(name string) problemdetail.Detail {
	return problemdetail.New(outcome.NotRun(outcome.UnknownSearch), "no search is named "+name+"; GET /v1/searches lists them")
}

// withDeadline returns the context of r with a deadline.
func withDeadline(r *http.Request, deadline time.Time) (context.Context, context.CancelFunc) {
	return context.WithDeadline(r.Context(), deadline)
}
