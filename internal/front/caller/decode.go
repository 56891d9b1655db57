package caller

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"mime"
	"net/http"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"egrethaven/internal/front/problemdetail"
	"egrethaven/internal/infra/readbudget"
	"egrethaven/internal/query/ask"
	"egrethaven/internal/query/outcome"
	"egrethaven/internal/query/record"
	"egrethaven/internal/query/write"
	"egrethaven/internal/state/search"
)

// Limits of a request.
const (
	defaultLimit   = 20   // hits
	maxTextBytes   = 1024 // query text, filter value
	maxNameBytes   = 128  // field name, record key
	maxFilters     = 16   // per query
	maxFields      = 256  // per record
	maxSourceBytes = 64   // record source
)

// queryBody is the JSON body of a query.
type queryBody struct {
	Text    string       `json:"text"`
	Filters []ask.Filter `json:"filters"`
	Limit   *int         `json:"limit"`
	deadlineFields
	AcceptPartial bool `json:"accept_partial"`
	Explain       bool `json:"explain"`
}

// recordBody is the JSON body of a write.
type recordBody struct {
	Key           string        `json:"key"`
	SchemaVersion int           `json:"schema_version"`
	Source        string        `json:"source"`
	Fields        record.Fields `json:"fields"`
	deadlineFields
}

// deadlineFields is the deadline of a request. At most one field may be set.
type deadlineFields struct {
	// DeadlineMS is the timeout in milliseconds.
	DeadlineMS *int64 `json:"deadline_ms"`
	// DeadlineAt is the absolute deadline.
	DeadlineAt *time.Time `json:"deadline_at"`
}

// decodeQuery decodes and validates the body of a query.
func decodeQuery(b []byte, d search.Definition, now time.Time) (ask.Query, *problemdetail.Detail) {
	var q queryBody
	if p := decodeJSON(b, &q); p != nil {
		return ask.Query{}, p
	}
	a := ask.Query{Search: d.Name, Text: q.Text, Filters: q.Filters, AcceptPartial: q.AcceptPartial, Explain: q.Explain}
	a.Limit = min(defaultLimit, d.MaxLimit)
	if q.Limit != nil {
		a.Limit = *q.Limit
	}
	if a.Limit < 1 || a.Limit > d.MaxLimit {
		return a, badRequest("limit is %d; allowed: 1 to %d", a.Limit, d.MaxLimit)
	}
	if len(a.Text) > maxTextBytes {
		return a, badRequest("text has %d bytes; allowed: at most %d", len(a.Text), maxTextBytes)
	}
	if len(a.Filters) > maxFilters {
		return a, badRequest("there are %d filters; allowed: at most %d", len(a.Filters), maxFilters)
	}
	for i, f := range a.Filters {
		if f.Field == "" || len(f.Field) > maxNameBytes || len(f.Value) > maxTextBytes {
			return a, badRequest("filter %d: allowed: a field of 1 to %d bytes and a value of at most %d", i, maxNameBytes, maxTextBytes)
		}
	}
	t, p := q.deadline(d, now)
	a.Deadline = t
	return a, p
}

// decodeRecord decodes and validates the body of a write.
func decodeRecord(b []byte, key string, d search.Definition, now time.Time) (write.Request, *problemdetail.Detail) {
	if !d.Writes {
		return write.Request{}, badRequest("search %s takes no records; its definition has writes = false", d.Name)
	}
	if !validIdempotencyKey(key) {
		return write.Request{}, badRequest("the Idempotency-Key header is %q; allowed: a UUIDv7 such as 0190163d-8694-739b-aea5-966c26f8ad91", truncate(key))
	}
	var q recordBody
	if p := decodeJSON(b, &q); p != nil {
		return write.Request{}, p
	}
	w := write.Request{IdempotencyKey: key, Search: d.Name,
		Record: record.Record{Key: q.Key, SchemaVersion: q.SchemaVersion, Source: q.Source, Fields: q.Fields}}
	if q.Key == "" || len(q.Key) > maxNameBytes {
		return w, badRequest("key has %d bytes; allowed: 1 to %d", len(q.Key), maxNameBytes)
	}
	if !slices.Contains(d.SchemaVersions, q.SchemaVersion) {
		return w, badRequest("schema_version is %d; allowed: one of %v", q.SchemaVersion, d.SchemaVersions)
	}
	if len(q.Source) > maxSourceBytes {
		return w, badRequest("source has %d bytes; allowed: at most %d", len(q.Source), maxSourceBytes)
	}
	if len(q.Fields) == 0 || len(q.Fields) > maxFields {
		return w, badRequest("there are %d fields; allowed: 1 to %d", len(q.Fields), maxFields)
	}
	t, p := q.deadline(d, now)
	w.Deadline = t
	return w, p
}

// deadline returns the time by which the answer must have been sent: the
// requested deadline, or that of the search definition if none is requested. A
// deadline that is too long or has passed is a problem.
func (q deadlineFields) deadline(d search.Definition, now time.Time) (time.Time, *problemdetail.Detail) {
	timeout := d.Deadline
	switch {
	case q.DeadlineMS != nil && q.DeadlineAt != nil:
		return now, badRequest("deadline_ms and deadline_at are both given; allowed: one of them")
	case q.DeadlineMS != nil && *q.DeadlineMS > d.Deadline.Milliseconds():
		return now, badRequest("deadline_ms is %d; allowed: at most %d", *q.DeadlineMS, d.Deadline.Milliseconds())
	case q.DeadlineMS != nil:
		timeout = time.Duration(max(*q.DeadlineMS, 0)) * time.Millisecond
	case q.DeadlineAt != nil:
		// An absolute deadline is capped at that of the search definition.
		timeout = min(q.DeadlineAt.Sub(now), d.Deadline)
	}
	if timeout <= 0 {
		p := problemdetail.New(outcome.NotRun(outcome.DeadlinePast), "the deadline is already past; nothing was run")
		return now, &p
	}
	return now.Add(timeout), nil
}

// decodeJSON decodes exactly one JSON object into v and rejects unknown members.
func decodeJSON(b []byte, v any) *problemdetail.Detail {
	if t := bytes.TrimLeft(b, " \t\r\n"); len(t) == 0 || t[0] != '{' {
		return badRequest("the body is not a JSON object")
	}
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	err := d.Decode(v)
	if typeErr := (*json.UnmarshalTypeError)(nil); errors.As(err, &typeErr) {
		return badRequest("member %s has a JSON %s; allowed: %s", typeErr.Field, typeErr.Value, typeErr.Type)
	}
	if err != nil {
		return badRequest("the body cannot be read: %v", err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return badRequest("the body has more after its JSON object")
	}
	return nil
}

// readBody reads a JSON body of at most Config.MaxBodyBytes.
func (h *handler) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *problemdetail.Detail) {
	if m, _, err := mime.ParseMediaType(r.Header.Get("Content-Type")); err != nil || m != "application/json" {
		p := badRequest("the Content-Type is %q; allowed: application/json", truncate(r.Header.Get("Content-Type"))).WithStatus(http.StatusUnsupportedMediaType)
		return nil, &p
	}
	limit := h.c.MaxBodyBytes
	b, err := h.bodies.Read(w, r, limit)
	if errors.Is(err, readbudget.ErrExhausted) {
		p := problemdetail.New(outcome.NotRun(outcome.Shed), "too much memory is in use for bodies of requests; nothing was run, try again")
		return nil, &p
	}
	if tooLarge := (*http.MaxBytesError)(nil); errors.As(err, &tooLarge) {
		p := badRequest("the body is too large; allowed: at most %d bytes", limit).WithStatus(http.StatusRequestEntityTooLarge)
		return nil, &p
	}
	if err != nil {
		return nil, badRequest("the body did not arrive whole")
	}
	return b, nil
}

// validIdempotencyKey reports whether s is a UUIDv7 in its canonical form.
func validIdempotencyKey(s string) bool {
	const uuidBytes = 36
	id, err := uuid.Parse(s)
	return err == nil && len(s) == uuidBytes && id.Version() == 7 && id.Variant() == uuid.RFC4122
}

// badRequest returns the problem details of an invalid request.
func badRequest(format string, args ...any) *problemdetail.Detail {
	p := problemdetail.BadRequest(fmt.Sprintf(format, args...))
	return &p
}

// truncate shortens caller input for use in an error message.
func truncate(s string) string {
	const maxBytes = 64
	return s[:min(len(s), maxBytes)]
}
