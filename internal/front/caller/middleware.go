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

// HTTP headers read or set by the API.
const (
	requestIDHeader      = "X-Request-Id"
	callerHeader         = "X-Caller"
	idempotencyKeyHeader = "Idempotency-Key"
)

const (
	// anonymous is the caller name of requests without an X-Caller header.
	anonymous = "anonymous"
	// maxRequestIDBytes limits a caller-supplied request ID.
	maxRequestIDBytes = 128
)

// instrument sets the request ID of the response, which is that of the caller if
// valid, and counts the request by route and status.
func (h *handler) instrument(next http.Handler) http.Handler {
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

// route returns the path template that the request matched, never the raw path,
// or "none" if no route matched.
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

// statusWriter records the response status.
type statusWriter struct {
	http.ResponseWriter
	status int
}

// WriteHeader records and sends the status.
func (s *statusWriter) WriteHeader(status int) {
	s.status = status
	s.ResponseWriter.WriteHeader(status)
}

// Unwrap returns the wrapped writer, for http.ResponseController.
func (s *statusWriter) Unwrap() http.ResponseWriter { return s.ResponseWriter }

// checkGate rejects a request that the gate would not admit, before its body is
// read.
func (h *handler) checkGate(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if o := h.c.Gate.Check(); !o.OK() {
			h.rejectByGate(w, r, o)
			return
		}
		next(w, r)
	}
}

// acquire acquires a slot of the gate. It is called once the body has been read,
// so that slow senders do not occupy slots. A nil release means that the request
// has been rejected.
func (h *handler) acquire(w http.ResponseWriter, r *http.Request) (release func()) {
	release, o := h.c.Gate.Acquire()
	if !o.OK() {
		h.rejectByGate(w, r, o)
		return nil
	}
	return release
}

// rejectByGate answers a request that the gate did not admit.
func (h *handler) rejectByGate(w http.ResponseWriter, r *http.Request, o outcome.Outcome) {
	h.c.Events.Emit(event.QueryRefused, mux.Vars(r)["search"], o.String())
	if o.Reason == outcome.ShuttingDown {
		w.Header().Set("Connection", "close")
	}
	writeProblem(w, r, problemdetail.New(o, "this node takes no new request; send it to another, or again later"))
}

// newID returns a new unique ID for a request or a query.
func newID() string {
	id, err := uuid.NewV7()
	if err != nil {
		return uuid.NewString()
	}
	return id.String()
}

// validRequestID reports whether s is safe to echo and log.
func validRequestID(s string) bool {
	unprintable := strings.ContainsFunc(s, func(r rune) bool { return r <= ' ' || r > '~' })
	return s != "" && len(s) <= maxRequestIDBytes && !unprintable
}

// callerName returns the name of the caller, and false if it is not valid.
func callerName(r *http.Request) (string, bool) {
	s := r.Header.Get(callerHeader)
	if s == "" {
		return anonymous, true
	}
	return s, field.IsName(s)
}
