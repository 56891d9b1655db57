package caller

import (
	"net/http"
	"time"

	"egrethaven/internal/front/problemdetail"
	"egrethaven/internal/query/write"
)

// record registers one record, at most once.
func (h *handler) record(w http.ResponseWriter, r *http.Request) {
	begin := time.Now()
	q, p := h.readRecord(w, r, begin)
	if p != nil {
		refuse(w, r, *p)
		return
	}
	release := h.enter(w, r)
	if release == nil {
		return
	}
	defer release()
	ctx, cancel := remaining(r, q.Deadline)
	defer cancel()
	res := h.c.Engine.Write(ctx, q)
	if h.c.Metrics != nil {
		h.c.Metrics.RecordWrite(q.Search, res, time.Since(begin))
	}
	if res.Outcome.OK() {
		problemdetail.WriteJSON(w, http.StatusCreated, res)
		return
	}
	d := problemdetail.New(res.Outcome, res.Detail)
	d.Repeated = res.Repeated
	refuse(w, r, d)
}

// readRecord reads and checks a write; nothing is dispatched for a problem.
func (h *handler) readRecord(w http.ResponseWriter, r *http.Request, now time.Time) (write.Request, *problemdetail.Detail) {
	d, p := h.definition(r)
	if p != nil {
		return write.Request{}, p
	}
	name, ok := callerName(r)
	if !ok {
		return write.Request{}, bad("the X-Caller header is not a name; allowed: 1 to 63 of a-z 0-9 _ . -")
	}
	b, p := readBody(w, r, h.c.MaxBody)
	if p != nil {
		return write.Request{}, p
	}
	q, p := decodeRecord(b, r.Header.Get(idempotencyKeyHeader), d, now)
	q.Caller = name
	return q, p
}
