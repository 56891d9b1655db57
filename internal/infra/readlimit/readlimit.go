// Package readlimit limits the bytes read from a connection.
//
// A peer in trouble may send a header or body without end. The parsers of
// net/http buffer a header until it ends, so the limit has to be below them. What
// all connections of a process read at a time is limited by a readbudget.Budget.
//
// # Usage
//
//	r := readlimit.New(conn)
//	r.Account(budget.Open(closeConn))
//	r.Allow(64<<10, readlimit.HeadCost) // for the next header
//	resp, err := http.ReadResponse(bufio.NewReader(r), nil)
//	...
//	aborted, err := r.End(body, err)
package readlimit

import (
	"io"

	"github.com/juju/errors"

	"egrethaven/internal/infra/readbudget"
)

const (
	// HeadCost is the bytes of memory for each byte of a header, which is parsed into a map.
	HeadCost = 8
	// BodyCost is the same for a body, whose buffer grows as its bytes arrive.
	BodyCost = 2
	// FreeBytes of each message are not accounted for, so that ordinary ones cost nothing.
	FreeBytes = 4 << 10
	// accountStep is the number of bytes accounted for at a time.
	accountStep = 16 << 10
)

// ErrExceeded is returned by Read after the allowed number of bytes.
const ErrExceeded = errors.ConstError("the peer sent more bytes than allowed")

// Reader reads an allowed number of bytes. It must not be used concurrently.
type Reader struct {
	r     io.Reader
	left  int
	claim *readbudget.Claim
	cost  int
	// covered is the number of bytes that may be read before the claim has to grow.
	covered int
}

// New returns a reader that allows no bytes yet.
func New(r io.Reader) *Reader { return &Reader{r: r, cost: 1, covered: FreeBytes} }

// Account accounts for the memory of what is read from now on.
func (l *Reader) Account(c *readbudget.Claim) { l.claim = c }

// Allow sets the number of bytes that may be read from now on, and the bytes of memory
// that each of them takes.
func (l *Reader) Allow(n, cost int) { l.left, l.cost = n, cost }

// Read reads up to the allowed number of bytes, and then fails with ErrExceeded. The error
// is readbudget.ErrExhausted if there is no memory for them.
func (l *Reader) Read(p []byte) (int, error) {
	if l.left <= 0 {
		return 0, ErrExceeded
	}
	p = p[:min(len(p), l.left)]
	if l.claim != nil {
		if l.covered <= 0 {
			if err := l.claim.Grow(int64(accountStep * l.cost)); err != nil {
				return 0, err
			}
			l.covered = accountStep
		}
		p = p[:min(len(p), l.covered)]
	}
	n, err := l.r.Read(p)
	l.left -= n
	l.covered -= n
	// A body may end with its connection. The end of one that was aborted here is no such end.
	if err == io.EOF && l.claim.Aborted() {
		err = readbudget.ErrExhausted
	}
	return n, err
}

// Cover accounts for n bytes that are to be read into memory of that size.
func (l *Reader) Cover(n int) error {
	if l.claim == nil || n <= l.covered {
		return nil
	}
	if err := l.claim.Grow(int64(n - l.covered)); err != nil {
		return err
	}
	l.covered = n
	return nil
}

// End ends a message, of which body was read, which may stay in use, or which failed with err.
// It reports whether the connection was aborted meanwhile to make room for others, which is
// then the reason of the failure.
func (l *Reader) End(body []byte, err error) (aborted bool, _ error) {
	l.covered = FreeBytes
	aborted = l.claim.Keep(body)
	if aborted && err != nil {
		err = errors.Annotate(readbudget.ErrExhausted, "reading the answer")
	}
	return aborted, err
}

// maxErrorSize is the maximum length in bytes of the text of an error.
const maxErrorSize = 200

// ShortError returns err, or an error with the start of its text if that is long:
// a parser's error may quote all that the peer sent.
func ShortError(err error) error {
	if err == nil || len(err.Error()) <= maxErrorSize {
		return err
	}
	return errors.New(err.Error()[:maxErrorSize])
}
