// Package requestbody reads the bodies of clients' requests into memory of a budget that they
// share with all else that clients hold.
//
// A body takes memory as its bytes arrive, whatever length it announces, in pages that are used
// again. It gives way to others until it has arrived whole: its read ends with
// readbudget.ErrExhausted, so that the request can be refused as not run. From then on it counts
// until it is garbage. Small bodies that have a length are read whatever memory is left.
//
// # Usage
//
//	r := requestbody.New(requestbody.Config{Budget: b})
//	body, err := r.Read(w, q, 256<<10)
package requestbody

import (
	"io"
	"net/http"
	"time"

	"egrethaven/internal/infra/pagepool"
	"egrethaven/internal/infra/readbudget"
)

const (
	// SmallBytes is the size in bytes up to which a body with a length is read whatever memory
	// is left, and does not count any more once it was read.
	SmallBytes = 4 << 10
	// overheadBytes is the memory in bytes that a request takes while its body arrives, beside
	// the body.
	overheadBytes = 12 << 10
	// pageBytes is the size of a page, and maxIdlePages the number of unused ones that are kept.
	pageBytes    = 8 << 10
	maxIdlePages = 64
)

// Config configures a Reader.
type Config struct {
	// Budget bounds the memory of all bodies, beside what else it is used for; nil means no
	// bound.
	Budget *readbudget.Budget
}

// Reader reads bodies. It is safe for concurrent use.
type Reader struct {
	c     Config
	pages *pagepool.Pool
}

// New returns a reader.
func New(c Config) *Reader {
	return &Reader{c: c, pages: pagepool.New(pagepool.Config{PageSize: pageBytes, MaxIdle: maxIdlePages})}
}

// Read reads the body of a request. limit is its maximum size in bytes, 0 for none. The error is
// an *http.MaxBytesError above the limit, readbudget.ErrExhausted if there is no memory, and
// otherwise that of the connection.
func (r *Reader) Read(w http.ResponseWriter, q *http.Request, limit int64) ([]byte, error) {
	body := q.Body
	if limit > 0 {
		body = http.MaxBytesReader(w, q.Body, limit)
	}
	c := http.NewResponseController(w)
	k := r.c.Budget.Open(func() { _ = c.SetReadDeadline(time.Now()) })
	b, err := r.readAll(body, q.ContentLength, k)
	if aborted := k.Keep(b); aborted {
		return nil, readbudget.ErrExhausted
	}
	return b, err
}

// readAll reads a body of n bytes, -1 if that is unknown, into memory of a claim.
func (r *Reader) readAll(body io.Reader, n int64, k *readbudget.Claim) ([]byte, error) {
	if n >= 0 && n <= SmallBytes {
		k.Force(overheadBytes)
		b := make([]byte, n)
		if _, err := io.ReadFull(body, b); err != nil {
			return nil, err
		}
		return b, nil
	}
	if err := k.Grow(overheadBytes); err != nil {
		return nil, err
	}
	return r.pages.ReadAll(body, k.Grow)
}
