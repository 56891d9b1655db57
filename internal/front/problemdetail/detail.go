// Package problemdetail writes HTTP error responses as RFC 9457 problem details,
// extended by members for the outcome and its reason.
//
// # Usage
//
//	problemdetail.Write(w, problemdetail.New(outcome.NotRun(outcome.Shed), "the node is busy"))
package problemdetail

import (
	"encoding/json"
	"net/http"
	"strconv"

	"egrethaven/internal/query/coverage"
	"egrethaven/internal/query/outcome"
	"egrethaven/internal/state/problem"
)

// ContentType is the media type of problem details.
const ContentType = "application/problem+json"

// typePrefix is the prefix of a problem type URI; the reason is appended to it.
const typePrefix = "urn:egrethaven:problem:"

// Detail is the problem details object of one response.
type Detail struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	// Detail describes the problem and what the caller can do about it.
	Detail string `json:"detail,omitempty"`
	// Instance is the path of the request.
	Instance  string `json:"instance,omitempty"`
	RequestID string `json:"request_id,omitempty"`
	// Outcome and Reason are machine-readable.
	Outcome outcome.Kind   `json:"outcome"`
	Reason  outcome.Reason `json:"reason"`
	// Repeated reports that the outcome is that of an earlier request with the
	// same idempotency key.
	Repeated bool `json:"repeated,omitempty"`
	// Coverage is the coverage of a query whose answer is withheld.
	Coverage *coverage.Coverage `json:"coverage,omitempty"`
	// Problems lists the errors of a configuration change.
	Problems []problem.Problem `json:"problems,omitempty"`
	// RetryAfter is the value of the Retry-After header in seconds; 0 omits it.
	RetryAfter int `json:"-"`
}

// New returns the problem for an outcome other than ok. An empty detail is
// replaced by the default text for the reason.
func New(o outcome.Outcome, detail string) Detail {
	if detail == "" {
		detail = defaultDetails[o.Reason]
	}
	d := Detail{Type: typePrefix + string(o.Reason), Detail: detail, Outcome: o.Kind, Reason: o.Reason}
	d.Status = status(o)
	d.Title = http.StatusText(d.Status)
	if d.Status == http.StatusServiceUnavailable || d.Status == http.StatusTooManyRequests {
		d.RetryAfter = 1
	}
	return d
}

// BadRequest returns the problem for an invalid request.
func BadRequest(detail string) Detail {
	return New(outcome.NotRun(outcome.BadRequest), detail)
}

// WithStatus returns d with the HTTP status s and its title.
func (d Detail) WithStatus(s int) Detail {
	d.Status, d.Title = s, http.StatusText(s)
	return d
}

// status returns the HTTP status for an outcome.
func status(o outcome.Outcome) int {
	switch o.Reason {
	case outcome.BadRequest, outcome.DeadlinePast, outcome.KeyExpired:
		return http.StatusBadRequest
	case outcome.UnknownSearch:
		return http.StatusNotFound
	case outcome.OverShare, outcome.OverQuota:
		return http.StatusTooManyRequests
	case outcome.UnknownKey:
		return http.StatusUnauthorized
	case outcome.InProgress:
		return http.StatusConflict
	case outcome.KeyReused, outcome.Rejected, outcome.Quarantined:
		return http.StatusUnprocessableEntity
	case outcome.Timeout, outcome.ConnectionSilent:
		return http.StatusGatewayTimeout
	case outcome.ConnectionLost, outcome.BadAnswer:
		return http.StatusBadGateway
	}
	if o.Kind == outcome.KindUnknown {
		return http.StatusGatewayTimeout
	}
	return http.StatusServiceUnavailable
}

// Write sends d as the response.
func Write(w http.ResponseWriter, d Detail) {
	b, err := json.Marshal(d)
	if err != nil {
		http.Error(w, d.Title, d.Status)
		return
	}
	h := w.Header()
	h.Set("Content-Type", ContentType)
	h.Set("Content-Length", strconv.Itoa(len(b)))
	if d.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(d.RetryAfter))
	}
	w.WriteHeader(d.Status)
	_, _ = w.Write(b) // the client has disconnected if this fails
}

// WriteJSON sends v as JSON with the given success status, or a problem if v
// cannot be encoded.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		Write(w, New(outcome.Unknown(outcome.BadAnswer), "the answer cannot be encoded"))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(status)
	_, _ = w.Write(b) // the client has disconnected if this fails
}

// NotFound returns the problem for an unknown path.
func NotFound() Detail {
	return BadRequest("there is nothing at this path; docs/API.md lists the paths").WithStatus(http.StatusNotFound)
}

// MethodNotAllowed returns the problem for a method that the path does not support.
func MethodNotAllowed(method string) Detail {
	return BadRequest("the path does not take the method " + method).WithStatus(http.StatusMethodNotAllowed)
}
