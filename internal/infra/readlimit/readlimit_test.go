package readlimit_test

import (
	"io"
	"strings"
	"testing"

	"github.com/juju/errors"

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
