package forward

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"egrethaven/internal/back/instance"
	"egrethaven/internal/query/retrybudget"
	"egrethaven/internal/state/account"
	"egrethaven/internal/state/registry"
	"egrethaven/internal/state/routing"
)

// dialBenchSearcher connects to a searcher that answers each request at once.
func dialBenchSearcher(context.Context, string) (net.Conn, error) {
	near, far := net.Pipe()
	go func() {
		defer far.Close()
		b := bufio.NewReader(far)
		for {
			if _, err := http.ReadRequest(b); err != nil {
				return
			}
			if _, err := io.WriteString(far, "HTTP/1.1 200 OK\r\nId: a1\r\nStamp: s\r\nContent-Length: 2\r\n\r\nok"); err != nil {
				return
			}
		}
	}()
	return near, nil
}

// BenchmarkRequest measures a plain request, searcher included, in deployments with and
// without client accounts.
func BenchmarkRequest(b *testing.B) {
	const key = "key-04711-3-0123456789abcdef"
	x, err := account.NewIndex([]account.Entry{{Account: account.Account{Name: "a"}, Keys: []string{key}}})
	if err != nil {
		b.Fatal(err)
	}
	for name, accounts := range map[string]*account.Index{"none": nil, "accounts": x} {
		b.Run(name, func(b *testing.B) {
			c, _ := routing.New(1, []routing.Route{plainRoute(routing.AtMostOnce)}, nil, routing.Limits{})
			c.Accounts = accounts
			i := instance.New(instance.Config{Conns: instance.ConnLimits{MinOpen: 1, MaxOpen: 1}, Dial: dialBenchSearcher,
				Searcher: registry.Searcher{ID: "s", Service: "s", Addr: "s", Domain: "a", Slots: 2, State: registry.Ready}})
			defer i.Close()
			s := &Snapshot{Config: c, Instances: map[string][]*instance.Instance{"s": {i}}}
			e := New(Config{Dialect: testDialect{}, Domain: "a", Current: func() *Snapshot { return s }, Policy: Policy{AdmitAll: true},
				Budget: retrybudget.Config{Window: time.Second}})
			defer e.Close()
			for b.Loop() {
				q := newRequest(time.Second)
				q.Header = http.Header{"Key": {key}, "Accept": {"*/*"}}
				if a := e.Do(b.Context(), q); a.Status != http.StatusOK {
					b.Fatal(a)
				}
			}
		})
	}
}

// TestLargeHeadEncodedOnce: the buffer of an encoded head grew in steps that together took
// four times the head's size, and was made for requests that were never sent.
func TestLargeHeadEncodedOnce(t *testing.T) {
	q := newRequest(time.Second)
	q.Header = http.Header{"A": {strings.Repeat("a", 7<<10), strings.Repeat("b", 7<<10)}, "B": {"c"}}
	x := &dispatch{req: q}
	b := x.encodeRequestHead()
	if cap(b) != len(b) {
		t.Errorf("a buffer of %d bytes for %d", cap(b), len(b))
	}
	if n := testing.AllocsPerRun(100, func() { x.encodeRequestHead() }); n != 1 {
		t.Errorf("%v allocations for a head, want one", n)
	}
	r, err := http.ReadRequest(bufio.NewReader(io.MultiReader(bytes.NewReader(b), strings.NewReader("\r\n"))))
	if err != nil || r.Host != q.Host || r.RequestURI != q.Target || !maps.EqualFunc(r.Header, q.Header, slices.Equal) {
		t.Errorf("read %+v, %v", r, err)
	}
}
