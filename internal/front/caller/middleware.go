package caller

import (
	"net/http"
	"strings"

	"github.com/google/uuid"
	"github.com/gorilla/mux"

	"egrethaven/internal/front/problemdetail"
	"egrethaven/internal/observe/event"
	"egrethaven/internal/query/outcome"
	"egrethaven/internal/state/field"
)

// The headers that the API reads and sets.
const (
	requestIDHeader      = "X-Request-Id"
	callerHeader         = "X-Caller"
	idempotencyKeyHeader = "Idempotency-Key"
)

const (
	// anonymous is the caller's name when none is given.
	anonymous = "anonymous"
	// longestRequestID bounds a caller's own request id, in bytes.
	longestRequestID = 128
)

// identify echoes the caller's request id, or sets a new one.
func (h *handler) identify(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(requestIDHeader)
		if !validRequestID(id) {
			id = newID()
		}
		w.Header().Set(requestIDHeader, id)
		if h.c.Metrics == nil {
			next.ServeHTTP(w, r)
			return
		}
		s := &statusWriter{ResponseWriter: w, status: http.StatusOK}
		next.ServeHTTP(s, r)
		h.c.Metrics.RecordRequest(route(r), s.status)
	})
}

// route is the pattern that the request matched, never its raw path.
func route(r *http.Request) string {
	m := mux.CurrentRoute(r)
	if m == nil {
		return "none"
	}
	t, err := m.GetPathTemplate()
	if err != nil {
		return "none"
	}
	return t
}

// statusWriter remembers the status of an answer.
type statusWriter struct {
	http.ResponseWriter
	status int
}

// WriteHeader notes the status.
func (s *statusWriter) WriteHeader(status int) {
	s.status = status
	s.ResponseWriter.WriteHeader(status)
}

// Unwrap gives http.ResponseController the writer beneath.
func (s *statusWriter) Unwrap() http.ResponseWriter { return s.ResponseWriter }

// admit runs a handler only while the gate would let its request in, so that
// a body is not read in vain.
func (h *handler) admit(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if o := h.c.Gate.Check(); !o.OK() {
			h.refuseNew(w, r, o)
			return
		}
		next(w, r)
	}
}

// enter lets a request in once its body is here: a caller who sends slowly
// holds no place. Without a release the request has been refused.
func (h *handler) enter(w http.ResponseWriter, r *http.Request) (release func()) {
	release, o := h.c.Gate.Enter()
	if !o.OK() {
		h.refuseNew(w, r, o)
		return nil
	}
	return release
}

// refuseNew answers a request that the gate does not let in.
func (h *handler) refuseNew(w http.ResponseWriter, r *http.Request, o outcome.Outcome) {
	h.c.Events.Emit(event.QueryRefused, mux.Vars(r)["search"], o.String())
	if o.Reason == outcome.ShuttingDown {
		w.Header().Set("Connection", "close")
	}
	refuse(w, r, problemdetail.New(o, "this node takes no new request; send it to another, or again later"))
}

// newID returns an id that no other request has.
func newID() string {
	id, err := uuid.NewV7()
	if err != nil {
		return uuid.NewString()
	}
	return id.String()
}

// validRequestID tells whether a caller's id can be echoed and logged.
func validRequestID(s string) bool {
	odd := strings.ContainsFunc(s, func(r rune) bool { return r <= ' ' || r > '~' })
	return s != "" && len(s) <= longestRequestID && !odd
}

// callerName returns who asks, false when the name is not allowed.
func callerName(r *http.Request) (string, bool) {
	s := r.Header.Get(callerHeader)
	if s == "" {
		return anonymous, true
	}
	return s, field.IsName(s)
}
