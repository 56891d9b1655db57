// Package operator implements the HTTP API for operators under /admin/v1, on a
// separate port. docs/API.md describes it; the command line tool is its client.
//
// If a token is configured, every request must carry it. Without a token, the
// settings only allow a loopback address for the port.
//
// # Usage
//
//	h := operator.New(operator.Config{Token: t, Configs: manager, Fleet: f, Health: collector.Fleet, CallerAPI: api, ...})
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

// Prefix is the path prefix of the API.
const Prefix = "/admin/v1"

// Configs reads and changes the configuration. *config.Manager implements it.
type Configs interface {
	Apply(context.Context, config.Change) config.Result
	Current() *config.Snapshot
	History(context.Context) ([]config.HistoryEntry, error)
}

// Fleet queries the other nodes. *fleet.Fleet implements it.
type Fleet interface {
	Status(context.Context) []config.NodeStatus
	Wait(context.Context, uint64) []config.NodeStatus
	Timeline(context.Context, event.Stamp, int) timeline.Timeline
}

// Config configures the API.
type Config struct {
	Node string
	// Version is the version of this build.
	Version string
	// Token is the required bearer token; empty disables authentication.
	Token   string
	Configs Configs
	Fleet   Fleet
	// Health returns the health report of the whole fleet.
	Health func(context.Context) health.Report
	// CallerAPI is the caller API, which serves queries and records of operators.
	CallerAPI http.Handler
	Events    event.Sink
}

// handler serves the routes of the API.
type handler struct {
	c     Config
	token [sha256.Size]byte
}

// New returns the handler of the API.
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
	// Queries and records of operators follow the same rules as those of callers.
	callerAPI := http.StripPrefix("/admin", c.CallerAPI)
	s.Handle("/searches/{search}/query", callerAPI).Methods(http.MethodPost)
	s.Handle("/searches/{search}/records", callerAPI).Methods(http.MethodPost)
	r.NotFoundHandler = http.HandlerFunc(notFound)
	r.MethodNotAllowedHandler = http.HandlerFunc(methodNotAllowed)
	return h.authorize(r)
}

// authorize rejects requests without the configured token. Without a token the
// port is on loopback, and the Host header must be an IP address or localhost: this
// blocks DNS rebinding by a page of another site in an operator's browser.
func (h *handler) authorize(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if h.c.Token == "" && !isAddress(r.Host) {
			h.c.Events.Emit(event.OperatorRefused, r.RemoteAddr, "host is not an address")
			writeProblem(w, r, problemdetail.BadRequest("name the node by its address, or set a token").WithStatus(http.StatusForbidden))
			return
		}
		if h.c.Token != "" && !h.hasToken(r) {
			h.c.Events.Emit(event.OperatorRefused, r.RemoteAddr, "no valid token")
			w.Header().Set("WWW-Authenticate", `Bearer realm="egrethaven"`)
			writeProblem(w, r, problemdetail.BadRequest("the request bears no valid token; send Authorization: Bearer TOKEN with the [operator] token of the settings").WithStatus(http.StatusUnauthorized))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// isAddress reports whether a Host header is an IP address or localhost, with or
// without a port.
func isAddress(host string) bool {
	name, _, err := net.SplitHostPort(host)
	if err != nil {
		name = host
	}
	return name == "localhost" || net.ParseIP(name) != nil
}

// hasToken reports whether r carries the configured bearer token. It compares
// digests, which have equal lengths, in constant time.
func (h *handler) hasToken(r *http.Request) bool {
	scheme, token, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	sum := sha256.Sum256([]byte(token))
	return subtle.ConstantTimeCompare(sum[:], h.token[:]) == 1 && strings.EqualFold(scheme, "Bearer")
}

func notFound(w http.ResponseWriter, r *http.Request) {
	writeProblem(w, r, problemdetail.NotFound())
}

func methodNotAllowed(w http.ResponseWriter, r *http.Request) {
	writeProblem(w, r, problemdetail.MethodNotAllowed(r.Method))
}

// writeProblem sends d with the path of the request filled in.
func writeProblem(w http.ResponseWriter, r *http.Request, d problemdetail.Detail) {
	d.Instance = r.URL.Path
	problemdetail.Write(w, d)
}
