package caller

import (
	"net/http"
	"time"

	"egrethaven/internal/front/problemdetail"
	"egrethaven/internal/query/write"
)

// record serves the registration of one record, with at-most-once semantics.
func (h *handler) record(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	q, p := h.readRecord(w, r, start)
	if p != nil {
		writeProblem(w, r, *p)
		return
	}
	release := h.acquire(w, r)
	if release == nil {
		return
	}
	defer release()
	ctx, cancel := withDeadline(r, q.Deadline)
	defer cancel()
	if !h.takePermit(ctx, w, r, q.Deadline) {
		return
	}
	res := h.c.Engine.Write(ctx, q)
	h.returnPermit(r, res.Outcome)
	if h.c.Metrics != nil {
		h.c.Metrics.RecordWrite(q.Search, res, time.Since(start))
	}
	if res.Outcome.OK() {
		problemdetail.WriteJSON(w, http.StatusCreated, res)
		return
	}
	d := problemdetail.New(res.Outcome, res.Detail)
	d.Repeated = res.Repeated
	writeProblem(w, r, d)
}

// readRecord reads and validates a write.
func (h *handler) readRecord(w http.ResponseWriter, r *http.Request, now time.Time) (write.Request, *problemdetail.Detail) {
	d, p := h.definition(r)
	if p != nil {
		return write.Request{}, p
	}
	name, ok := callerName(r)
	if !ok {
		return write.Request{}, badRequest("the X-Caller header is not a valid name; allowed: 1 to 63 of a-z 0-9 _ . -")
	}
	b, p := h.readBody(w, r)
	if p != nil {
		return write.Request{}, p
	}
	q, p := decodeRecord(b, r.Header.Get(idempotencyKeyHeader), d, now)
	q.Caller = name
	return q, p
}
