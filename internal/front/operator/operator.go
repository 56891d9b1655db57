// Package operator is the HTTP API for operators under /admin/v1, on a port
// of its own. docs/API.md describes it; the command line is its client.
//
// Where a token is set, each request must bear it. Where none is, the settings
// hold the port to loopback addresses.
//
// # Usage
//
//	h := operator.New(operator.Config{Token: t, Configs: manager, Fleet: f, Health: collector.Fleet, Caller: callers, ...})
//	s, err := httpserver.New(httpserver.Config{Addr: addr, Handler: h})
package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"net"
	"net/http"
	"strings"

	"github.com/gorilla/mux"

	"egrethaven/internal/front/problemdetail"
	"egrethaven/internal/observe/event"
	"egrethaven/internal/observe/health"
	"egrethaven/internal/observe/timeline"
	"egrethaven/internal/state/config"
)

// Prefix leads every path of the API.
const Prefix = "/admin/v1"

// Configs changes and shows the configuration; a *config.Manager is one.
type Configs interface {
	Apply(context.Context, config.Change) config.Result
	Current() *config.Snapshot
	History(context.Context) ([]config.HistoryEntry, error)
}

// Fleet sees the other nodes; a *fleet.Fleet is one.
type Fleet interface {
	Status(context.Context) []config.NodeStatus
	Wait(context.Context, uint64) []config.NodeStatus
	Timeline(context.Context, event.Stamp, int) timeline.Timeline
}

// Config sets up the API.
type Config struct {
	Node string
	// Version of this build.
	Version string
	// Token is the bearer token; empty asks for none.
	Token   string
	Configs Configs
	Fleet   Fleet
	// Health judges the whole fleet.
	Health func(context.Context) health.Report
	// Caller is the caller API, for queries and records of operators.
	Caller http.Handler
	Events event.Sink
}

// handler holds what the handlers share.
type handler struct {
	c     Config
	token [sha256.Size]byte
}

// New returns the API as a handler.
func New(c Config) http.Handler {
	if c.Events == nil {
		c.Events = event.Discard{}
	}
	h := &handler{c: c, token: sha256.Sum256([]byte(c.Token))}
	r := mux.NewRouter()
	s := r.PathPrefix(Prefix).Subrouter()
	s.HandleFunc("/version", h.version).Methods(http.MethodGet)
	s.HandleFunc("/searches", h.list).Methods(http.MethodGet)
	s.HandleFunc("/searches/{search}", h.get).Methods(http.MethodGet)
	s.HandleFunc("/searches/{search}", h.remove).Methods(http.MethodDelete)
	s.HandleFunc("/changes", h.change).Methods(http.MethodPost)
	s.HandleFunc("/history", h.history).Methods(http.MethodGet)
	s.HandleFunc("/config/status", h.status).Methods(http.MethodGet)
	s.HandleFunc("/health", h.health).Methods(http.MethodGet)
	s.HandleFunc("/timeline", h.timeline).Methods(http.MethodGet)
	// Operators ask and register by the same rules as callers.
	same := http.StripPrefix("/admin", c.Caller)
	s.Handle("/searches/{search}/query", same).Methods(http.MethodPost)
	s.Handle("/searches/{search}/records", same).Methods(http.MethodPost)
	r.NotFoundHandler = http.HandlerFunc(notFound)
	r.MethodNotAllowedHandler = http.HandlerFunc(wrongMethod)
	return h.authorize(r)
}

// authorize lets requests through that bear the token. Where there is none,
// the port is on loopback, and a request has to name it by address: the page
// of another site in an operator's browser could not.
func (h *handler) authorize(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if h.c.Token == "" && !local(r.Host) {
			h.c.Events.Emit(event.OperatorRefused, r.RemoteAddr, "host is not an address")
			refuse(w, r, problemdetail.BadRequest("name the node by its address, or set a token").WithStatus(http.StatusForbidden))
			return
		}
		if h.c.Token != "" && !h.bears(r) {
			h.c.Events.Emit(event.OperatorRefused, r.RemoteAddr, "no valid token")
			w.Header().Set("WWW-Authenticate", `Bearer realm="egrethaven"`)
			refuse(w, r, problemdetail.BadRequest("the request bears no valid token; send Authorization: Bearer TOKEN with the [operator] token of the settings").WithStatus(http.StatusUnauthorized))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// local tells whether a Host header is an address or localhost.
func local(host string) bool {
	name, _, err := net.SplitHostPort(host)
	if err != nil {
		name = host
	}
	return name == "localhost" || net.ParseIP(name) != nil
}

// bears compares digests, which have one length, in constant time.
func (h *handler) bears(r *http.Request) bool {
	scheme, token, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	sum := sha256.Sum256([]byte(token))
	return subtle.ConstantTimeCompare(sum[:], h.token[:]) == 1 && strings.EqualFold(scheme, "Bearer")
}

func notFound(w http.ResponseWriter, r *http.Request) {
	refuse(w, r, problemdetail.NotFound())
}

func wrongMethod(w http.ResponseWriter, r *http.Request) {
	refuse(w, r, problemdetail.WrongMethod(r.Method))
}

// refuse answers with a problem that names the path.
func refuse(w http.ResponseWriter, r *http.Request, d problemdetail.Detail) {
	d.Instance = r.URL.Path
	problemdetail.Write(w, d)
}
