// Package problemdetail answers HTTP requests with problem details as RFC
// 9457 defines them, with the outcome and reason in members of their own.
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

// typePrefix leads the problem type; the reason follows.
const typePrefix = "urn:egrethaven:problem:"

// Detail is one problem.
type Detail struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	// Detail says in words what is wrong and what to do.
	Detail string `json:"detail,omitempty"`
	// Instance is the path that was asked.
	Instance  string `json:"instance,omitempty"`
	RequestID string `json:"request_id,omitempty"`
	// Outcome and Reason are machine-readable.
	Outcome outcome.Kind   `json:"outcome"`
	Reason  outcome.Reason `json:"reason"`
	// Repeated tells that the outcome is that of an earlier request.
	Repeated bool `json:"repeated,omitempty"`
	// Coverage of an answer that was withheld for being incomplete.
	Coverage *coverage.Coverage `json:"coverage,omitempty"`
	// Problems names each fault of a configuration.
	Problems []problem.Problem `json:"problems,omitempty"`
	// RetryAfter, in seconds, goes into the header of that name; 0: none.
	RetryAfter int `json:"-"`
}

// New returns the problem of an outcome that is not ok. Without a detail it
// has the words for the reason.
func New(o outcome.Outcome, detail string) Detail {
	if detail == "" {
		detail = words[o.Reason]
	}
	d := Detail{Type: typePrefix + string(o.Reason), Detail: detail, Outcome: o.Kind, Reason: o.Reason}
	d.Status = status(o)
	d.Title = http.StatusText(d.Status)
	if d.Status == http.StatusServiceUnavailable || d.Status == http.StatusTooManyRequests {
		d.RetryAfter = 1
	}
	return d
}

// BadRequest returns the problem of a request that is not valid.
func BadRequest(detail string) Detail {
	return New(outcome.NotRun(outcome.BadRequest), detail)
}

// WithStatus replaces the HTTP status.
func (d Detail) WithStatus(s int) Detail {
	d.Status, d.Title = s, http.StatusText(s)
	return d
}

// status is the HTTP status of an outcome.
func status(o outcome.Outcome) int {
	switch o.Reason {
	case outcome.BadRequest, outcome.DeadlinePast, outcome.KeyExpired:
		return http.StatusBadRequest
	case outcome.UnknownSearch:
		return http.StatusNotFound
	case outcome.OverShare:
		return http.StatusTooManyRequests
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

// Write answers with d.
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
	_, _ = w.Write(b) // a caller who is gone needs no answer
}

// WriteJSON sends v with a status of success, or a problem when v cannot be
// encoded.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		Write(w, New(outcome.Unknown(outcome.BadAnswer), "the answer cannot be encoded"))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(status)
	_, _ = w.Write(b) // a client who is gone needs no answer
}

// NotFound is the problem of a path that there is nothing at.
func NotFound() Detail {
	return BadRequest("there is nothing at this path; docs/API.md lists the paths").WithStatus(http.StatusNotFound)
}

// WrongMethod is the problem of a method that a path does not take.
func WrongMethod(method string) Detail {
	return BadRequest("the path does not take the method " + method).WithStatus(http.StatusMethodNotAllowed)
}
