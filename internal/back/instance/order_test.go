package instance_test

import (
	"context"
	"net"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"egrethaven/internal/back/conn"
	"egrethaven/internal/back/instance"
	"egrethaven/internal/query/shedding"
	"egrethaven/internal/state/registry"
)

// TestQueueOrder queues requests of two ranks while the only connection is being opened.
// Those of the higher rank go first and find room that the others must leave; requests
// without a description are sent in order of arrival, as before.
func TestQueueOrder(t *testing.T) {
	const ms = time.Millisecond
	for name, c := range map[string]struct {
		// ranks holds the rank of each request, -1 for one without a description.
		ranks []int
		// sent holds the indices of the requests in the order in which they are sent.
		sent []int
	}{
		"higher rank first":   {[]int{1, 1, 0, 0}, []int{2, 3, 0, 1}},
		"no description":      {[]int{-1, -1, -1, -1}, []int{0, 1, 2, 3}},
		"room for the higher": {[]int{1, 1, 1, 1, 0}, []int{4, 0, 1, 2}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := &fakeSearcher{}
				i := instance.New(instance.Config{Searcher: registry.Searcher{ID: "s"}, Conns: instance.ConnLimits{MaxOpen: 1},
					Dial: func(ctx context.Context, addr string) (net.Conn, error) {
						time.Sleep(10 * ms)
						return p.dial(ctx, addr)
					}})
				defer i.Close()
				synctest.Wait()
				var sent []int
				var refused []error
				for n, rank := range c.ranks {
					var r shedding.Request
					if now := time.Now(); rank >= 0 {
						r = shedding.Request{Standing: shedding.Standing{Rank: rank}, Arrived: now, Objective: now.Add(100 * ms),
							Deadline: now.Add(time.Second), Service: 10 * ms, Sends: 10}
					}
					i.Send(instance.Request{Method: http.MethodGet, Shed: r, Matches: func(http.Header) bool { return true },
						Build: func() []byte {
							sent = append(sent, n)
							return []byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
						},
						Done: func(r conn.Result) {
							if r.Err != nil {
								refused = append(refused, r.Err)
							}
						}})
				}
				time.Sleep(time.Second)
				synctest.Wait()
				if !slices.Equal(sent, c.sent) || len(refused) != len(c.ranks)-len(c.sent) {
					t.Errorf("sent in the order %v, want %v; refused %v", sent, c.sent, refused)
				}
			})
		})
	}
}
