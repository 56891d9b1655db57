package pagepool_test

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/iotest"

	"github.com/juju/errors"
	"pgregory.net/rapid"

	"egrethaven/internal/infra/pagepool"
	_ "egrethaven/internal/proof/fixedseed"
)

// TestReadAll compares what is read with what was sent, and checks that memory is asked for
// before it is taken and that all pages come back.
func TestReadAll(t *testing.T) {
	p := pagepool.New(pagepool.Config{PageSize: 8, MaxIdle: 2})
	rapid.Check(t, func(t *rapid.T) {
		sent := rapid.SliceOfN(rapid.Byte(), 0, 100).Draw(t, "body")
		limit := rapid.IntRange(0, 300).Draw(t, "memory")
		asked := 0
		got, err := p.ReadAll(iotest.HalfReader(bytes.NewReader(sent)), func(n int64) error {
			if asked += int(n); asked > limit {
				return errors.New("no memory")
			}
			return nil
		})
		need := (len(sent)/8+1)*8 + len(sent)
		switch {
		case err == nil && !bytes.Equal(got, sent):
			t.Fatalf("got %q of %q", got, sent)
		case (err == nil) != (need <= limit):
			t.Fatalf("got %v with %d bytes of memory, %d needed", err, limit, need)
		case p.InUse() != 0 || p.Idle() > 2:
			t.Fatalf("%d pages in use, %d idle", p.InUse(), p.Idle())
		}
	})
}

// TestReadError returns the error of the reader.
func TestReadError(t *testing.T) {
	p := pagepool.New(pagepool.Config{PageSize: 8, MaxIdle: 2})
	r := io.MultiReader(strings.NewReader("0123456789"), iotest.ErrReader(io.ErrUnexpectedEOF))
	if b, err := p.ReadAll(r, func(int64) error { return nil }); b != nil || !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("got %q, %v", b, err)
	}
}

// TestPagesAreNotShared reads many bodies at a time.
func TestPagesAreNotShared(t *testing.T) {
	p := pagepool.New(pagepool.Config{PageSize: 8, MaxIdle: 2})
	var wg sync.WaitGroup
	for n := range 16 {
		wg.Go(func() {
			want := bytes.Repeat([]byte{byte(n)}, 100)
			for range 100 {
				if got, err := p.ReadAll(iotest.OneByteReader(bytes.NewReader(want)), func(int64) error { return nil }); err != nil || !bytes.Equal(got, want) {
					t.Errorf("body %d: %q, %v", n, got, err)
				}
			}
		})
	}
	wg.Wait()
}
