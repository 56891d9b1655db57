package readlimit_test

import (
	"io"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/juju/errors"

	"egrethaven/internal/infra/readbudget"
	"egrethaven/internal/infra/readlimit"
)

// TestRead reads in two allowances, with more bytes available than allowed.
func TestRead(t *testing.T) {
	r := readlimit.New(strings.NewReader("abcdefgh"))
	for _, want := range []string{"abc", "de"} {
		r.Allow(len(want), 1)
		got, err := io.ReadAll(r)
		if string(got) != want || !errors.Is(err, readlimit.ErrExceeded) {
			t.Errorf("read %q, %v, want %q and ErrExceeded", got, err, want)
		}
	}
	r.Allow(10, 1)
	if got, err := io.ReadAll(r); string(got) != "fgh" || err != nil {
		t.Errorf("read %q, %v, want the rest", got, err)
	}
}

// readerFunc is a reader that is a function.
type readerFunc func(p []byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// TestEndOfAborted: a body without a length ends with its connection, and the end of a
// connection that was aborted for lack of memory passed for the end of the body.
func TestEndOfAborted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit = 1 << 20
		b := readbudget.New(readbudget.Config{Limit: limit})
		o, ended := b.Open(nil), false
		l := readlimit.New(readerFunc(func(p []byte) (int, error) {
			if b.Used() == 0 {
				return len(p), nil
			}
			go func() { _ = o.Grow(limit) }()
			synctest.Wait()
			return 0, io.EOF
		}))
		l.Account(b.Open(func() { ended = true }))
		l.Allow(limit, readlimit.BodyCost)
		body, err := io.ReadAll(l)
		if !ended || !errors.Is(err, readbudget.ErrExhausted) {
			t.Errorf("%d bytes, %v; aborted: %t", len(body), err, ended)
		}
		if aborted, err := l.End(nil, err); !aborted || err == nil {
			t.Errorf("got %t, %v", aborted, err)
		}
		synctest.Wait()
		o.Release()
	})
}

// TestShortError checks that a short error keeps its identity and a long one is cut.
func TestShortError(t *testing.T) {
	if err := readlimit.ShortError(io.ErrUnexpectedEOF); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("got %v, want the same error", err)
	}
	if err := readlimit.ShortError(errors.New(strings.Repeat("a", 1<<20))); len(err.Error()) > 1000 {
		t.Errorf("%d bytes of an error", len(err.Error()))
	}
	if err := readlimit.ShortError(nil); err != nil {
		t.Errorf("got %v for no error", err)
	}
}
