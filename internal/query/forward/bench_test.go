package forward

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
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
