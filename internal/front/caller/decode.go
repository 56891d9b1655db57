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
	"egrethaven/internal/query/ask"
	"egrethaven/internal/query/outcome"
	"egrethaven/internal/query/record"
	"egrethaven/internal/query/write"
	"egrethaven/internal/state/search"
)

// The bounds of a request.
const (
	defaultLimit  = 20   // hits
	longestText   = 1024 // bytes of text, of a filter's value
	longestName   = 128  // bytes of a field's name, of a record's key
	mostFilters   = 16   // filters
	mostFields    = 256  // fields of a record
	longestSource = 64   // bytes of a record's source
)

// queryBody is what a caller sends to query a search.
type queryBody struct {
	Text    string       `json:"text"`
	Filters []ask.Filter `json:"filters"`
	Limit   *int         `json:"limit"`
	deadlineBody
	AcceptPartial bool `json:"accept_partial"`
	Explain       bool `json:"explain"`
}

// recordBody is what a caller sends to register a record.
type recordBody struct {
	Key           string        `json:"key"`
	SchemaVersion int           `json:"schema_version"`
	Source        string        `json:"source"`
	Fields        record.Fields `json:"fields"`
	deadlineBody
}

// deadlineBody is the deadline of a request, in one of two forms.
type deadlineBody struct {
	// DeadlineMS is the time that the caller gives, in milliseconds.
	DeadlineMS *int64 `json:"deadline_ms"`
	// DeadlineAt is the deadline as a time.
	DeadlineAt *time.Time `json:"deadline_at"`
}

// decodeQuery reads and checks the body of a query.
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
		return a, bad("limit is %d; allowed: 1 to %d", a.Limit, d.MaxLimit)
	}
	if len(a.Text) > longestText {
		return a, bad("text has %d bytes; allowed: at most %d", len(a.Text), longestText)
	}
	if len(a.Filters) > mostFilters {
		return a, bad("there are %d filters; allowed: at most %d", len(a.Filters), mostFilters)
	}
	for i, f := range a.Filters {
		if f.Field == "" || len(f.Field) > longestName || len(f.Value) > longestText {
			return a, bad("filter %d: allowed: a field of 1 to %d bytes and a value of at most %d", i, longestName, longestText)
		}
	}
	t, p := q.deadline(d, now)
	a.Deadline = t
	return a, p
}

// decodeRecord reads and checks the body of a write.
func decodeRecord(b []byte, key string, d search.Definition, now time.Time) (write.Request, *problemdetail.Detail) {
	if !d.Writes {
		return write.Request{}, bad("search %s takes no records; its definition has writes = false", d.Name)
	}
	if !validKey(key) {
		return write.Request{}, bad("the Idempotency-Key header is %q; allowed: a UUIDv7 such as 0190163d-8694-739b-aea5-966c26f8ad91", clip(key))
	}
	var q recordBody
	if p := decodeJSON(b, &q); p != nil {
		return write.Request{}, p
	}
	w := write.Request{IdempotencyKey: key, Search: d.Name,
		Record: record.Record{Key: q.Key, SchemaVersion: q.SchemaVersion, Source: q.Source, Fields: q.Fields}}
	if q.Key == "" || len(q.Key) > longestName {
		return w, bad("key has %d bytes; allowed: 1 to %d", len(q.Key), longestName)
	}
	if !slices.Contains(d.SchemaVersions, q.SchemaVersion) {
		return w, bad("schema_version is %d; allowed: one of %v", q.SchemaVersion, d.SchemaVersions)
	}
	if len(q.Source) > longestSource {
		return w, bad("source has %d bytes; allowed: at most %d", len(q.Source), longestSource)
	}
	if len(q.Fields) == 0 || len(q.Fields) > mostFields {
		return w, bad("there are %d fields; allowed: 1 to %d", len(q.Fields), mostFields)
	}
	t, p := q.deadline(d, now)
	w.Deadline = t
	return w, p
}

// deadline returns when the answer must have been sent.
func (q deadlineBody) deadline(d search.Definition, now time.Time) (time.Time, *problemdetail.Detail) {
	left := d.Deadline
	switch {
	case q.DeadlineMS != nil && q.DeadlineAt != nil:
		return now, bad("deadline_ms and deadline_at are both given; allowed: one of them")
	case q.DeadlineMS != nil && *q.DeadlineMS > d.Deadline.Milliseconds():
		return now, bad("deadline_ms is %d; allowed: at most %d", *q.DeadlineMS, d.Deadline.Milliseconds())
	case q.DeadlineMS != nil:
		left = time.Duration(max(*q.DeadlineMS, 0)) * time.Millisecond
	case q.DeadlineAt != nil:
		// A time beyond the search's own deadline asks for no more than that.
		left = min(q.DeadlineAt.Sub(now), d.Deadline)
	}
	if left <= 0 {
		p := problemdetail.New(outcome.NotRun(outcome.DeadlinePast), "the deadline is already past; nothing was run")
		return now, &p
	}
	return now.Add(left), nil
}

// decodeJSON reads exactly one JSON object without unknown members.
func decodeJSON(b []byte, v any) *problemdetail.Detail {
	if t := bytes.TrimLeft(b, " \t\r\n"); len(t) == 0 || t[0] != '{' {
		return bad("the body is not a JSON object")
	}
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	err := d.Decode(v)
	if typ := (*json.UnmarshalTypeError)(nil); errors.As(err, &typ) {
		return bad("member %s has a JSON %s; allowed: %s", typ.Field, typ.Value, typ.Type)
	}
	if err != nil {
		return bad("the body cannot be read: %v", err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return bad("the body has more after its JSON object")
	}
	return nil
}

// readBody reads the body of a request within the limit.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *problemdetail.Detail) {
	if m, _, err := mime.ParseMediaType(r.Header.Get("Content-Type")); err != nil || m != "application/json" {
		p := bad("the Content-Type is %q; allowed: application/json", clip(r.Header.Get("Content-Type"))).WithStatus(http.StatusUnsupportedMediaType)
		return nil, &p
	}
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if large := (*http.MaxBytesError)(nil); errors.As(err, &large) {
		p := bad("the body is too large; allowed: at most %d bytes", limit).WithStatus(http.StatusRequestEntityTooLarge)
		return nil, &p
	}
	if err != nil {
		return nil, bad("the body did not arrive whole")
	}
	return b, nil
}

// validKey tells whether s is a UUIDv7 in its usual form.
func validKey(s string) bool {
	const length = 36 // bytes
	id, err := uuid.Parse(s)
	return err == nil && len(s) == length && id.Version() == 7 && id.Variant() == uuid.RFC4122
}

// bad is the problem of a request that is not valid.
func bad(format string, args ...any) *problemdetail.Detail {
	p := problemdetail.BadRequest(fmt.Sprintf(format, args...))
	return &p
}

// clip shortens what a caller sent for a message.
func clip(s string) string {
	const limit = 64
	return s[:min(len(s), limit)]
}
