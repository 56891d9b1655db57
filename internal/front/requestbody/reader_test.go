package requestbody_test

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/juju/errors"

	"egrethaven/internal/front/requestbody"
	"egrethaven/internal/infra/readbudget"
)

// read reads a body, with its length if sized is set.
func read(r *requestbody.Reader, body string, sized bool, limit int64) ([]byte, error) {
	q := httptest.NewRequest(http.MethodPost, "/", io.NopCloser(strings.NewReader(body)))
	q.ContentLength = -1
	if sized {
		q.ContentLength = int64(len(body))
	}
	return r.Read(httptest.NewRecorder(), q, limit)
}

// TestRead reads bodies around the sizes at which the way changes.
func TestRead(t *testing.T) {
	b := readbudget.New(readbudget.Config{Limit: 4 << 20, ByAge: true})
	r := requestbody.New(requestbody.Config{Budget: b})
	for _, size := range []int{0, 1, 4095, 4096, 4097, 8191, 8192, 8193, 262144} {
		want := bytes.Repeat([]byte("abc"), size)[:size]
		for _, sized := range []bool{false, true} {
			if got, err := read(r, string(want), sized, 262144); err != nil || !bytes.Equal(got, want) {
				t.Errorf("%d bytes, sized %t: got %d bytes, %v", size, sized, len(got), err)
			}
		}
	}
	for _, sized := range []bool{false, true} {
		var large *http.MaxBytesError
		if _, err := read(r, strings.Repeat("a", 10001), sized, 10000); !errors.As(err, &large) {
			t.Errorf("above the limit, sized %t: got %v", sized, err)
		}
	}
	if got, err := read(r, strings.Repeat("a", 10000), false, 0); len(got) != 10000 || err != nil {
		t.Errorf("without a limit: got %d bytes, %v", len(got), err)
	}
}

// TestCutShort: a body that ends early is not one that is shorter.
func TestCutShort(t *testing.T) {
	r := requestbody.New(requestbody.Config{})
	q := httptest.NewRequest(http.MethodPost, "/", strings.NewReader("ab"))
	q.ContentLength = 3
	if got, err := r.Read(httptest.NewRecorder(), q, 100); got != nil || err == nil {
		t.Errorf("got %q, %v", got, err)
	}
}

// TestNoMemory: small bodies are read whatever memory is left, and long ones are refused.
func TestNoMemory(t *testing.T) {
	b := readbudget.New(readbudget.Config{Limit: 100 << 10, ByAge: true})
	b.Open(nil).Force(100 << 10)
	r := requestbody.New(requestbody.Config{Budget: b})
	if got, err := read(r, "hi", true, 0); string(got) != "hi" || err != nil {
		t.Errorf("a small body: got %q, %v", got, err)
	}
	for _, sized := range []bool{false, true} {
		if _, err := read(r, strings.Repeat("a", 5000), sized, 0); !errors.Is(err, readbudget.ErrExhausted) {
			t.Errorf("a long body, sized %t: got %v", sized, err)
		}
	}
	if b.Used() != 100<<10 {
		t.Errorf("%d bytes in use", b.Used())
	}
}
