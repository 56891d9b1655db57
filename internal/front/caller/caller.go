// Package caller is the HTTP API for callers: query a search, register a
// record, ask for a search's health. docs/API.md describes it.
//
// A request that is not valid is answered with problem details and a 4xx
// status before anything is dispatched. A partial answer has a success status
// only when its caller accepted partial answers.
//
// # Usage
//
//	h := caller.New(caller.Config{Engine: e, Searches: store.Current, Gate: g, MaxBody: 65536, Metrics: m})
//	s, err := httpserver.New(httpserver.Config{Addr: addr, Handler: h})
package caller

import (
	"context"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"egrethaven/internal/front/balancer"
	"egrethaven/internal/front/problemdetail"
	"egrethaven/internal/observe/event"
	"egrethaven/internal/observe/health"
	"egrethaven/internal/observe/metric"
	"egrethaven/internal/query/ask"
	"egrethaven/internal/query/outcome"
	"egrethaven/internal/query/write"
	"egrethaven/internal/state/config"
)

// Engine answers what callers ask.
type Engine interface {
	Ask(ctx context.Context, a ask.Query) ask.Answer
	Write(ctx context.Context, w write.Request) write.Result
	// Health reports on one search, as this node knows it.
	Health(search string) health.Report
}

// Config sets up the API.
type Config struct {
	Engine Engine
	// Searches returns the configuration in force; nil before there is one.
	Searches func() *config.Snapshot
	// Gate lets requests in and answers /ready and /live.
	Gate *balancer.Gate
	// MaxBody is the largest request body, in bytes.
	MaxBody int64
	Events  event.Sink
	// Metrics counts requests and answers /metrics. nil: neither.
	Metrics *metric.Metrics
}

// handler holds what the handlers share.
type handler struct {
	c Config
}

// New returns the API as a handler.
func New(c Config) http.Handler {
	if c.Events == nil {
		c.Events = event.Discard{}
	}
	h := &handler{c: c}
	r := mux.NewRouter()
	r.Use(h.identify)
	r.HandleFunc("/v1/searches", h.list).Methods(http.MethodGet)
	r.HandleFunc("/v1/searches/{search}/query", h.admit(h.query)).Methods(http.MethodPost)
	r.HandleFunc("/v1/searches/{search}/records", h.admit(h.record)).Methods(http.MethodPost)
	r.HandleFunc("/v1/searches/{search}/health", h.health).Methods(http.MethodGet)
	r.HandleFunc("/ready", c.Gate.ServeReady).Methods(http.MethodGet, http.MethodHead)
	r.HandleFunc("/live", c.Gate.ServeLive).Methods(http.MethodGet, http.MethodHead)
	if c.Metrics != nil {
		r.Handle("/metrics", c.Metrics).Methods(http.MethodGet)
	}
	// The router runs its middleware only for routes that match.
	r.NotFoundHandler = h.identify(http.HandlerFunc(notFound))
	r.MethodNotAllowedHandler = h.identify(http.HandlerFunc(wrongMethod))
	return r
}

func notFound(w http.ResponseWriter, r *http.Request) {
	refuse(w, r, problemdetail.NotFound())
}

func wrongMethod(w http.ResponseWriter, r *http.Request) {
	refuse(w, r, problemdetail.WrongMethod(r.Method))
}

// refuse answers with a problem that names the request.
func refuse(w http.ResponseWriter, r *http.Request, d problemdetail.Detail) {
	d.Instance = r.URL.Path
	d.RequestID = w.Header().Get(requestIDHeader)
	problemdetail.Write(w, d)
}

// unknownSearch is the problem of a name that no search has.
func unknownSearch(name string) problemdetail.Detail {
	return problemdetail.New(outcome.NotRun(outcome.UnknownSearch), "no search is named "+name+"; GET /v1/searches lists them")
}

// remaining is the time until a deadline, as a context.
func remaining(r *http.Request, deadline time.Time) (context.Context, context.CancelFunc) {
	return context.WithDeadline(r.Context(), deadline)
}
