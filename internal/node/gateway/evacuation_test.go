package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"egrethaven/internal/back/conn"
	"egrethaven/internal/back/instance"
	"egrethaven/internal/observe/event"
	"egrethaven/internal/state/follow"
	"egrethaven/internal/state/registry"
	"egrethaven/internal/state/routing"
	"egrethaven/internal/state/vmregistry"
)

// TestEvacuatedDomain: the searchers of an evacuated failure domain got requests. Those under
// way there must go on, and the domain must return when the key is deleted.
func TestEvacuatedDomain(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	arrived, release := make(chan bool, 2), make(chan bool)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				for r := bufio.NewReader(c); ; {
					if _, err := http.ReadRequest(r); err != nil {
						return
					}
					arrived <- true
					<-release
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi")
				}
			}()
		}
	}()
	v := newStoreView(storeViewConfig{Self: vmregistry.VM{ID: "a"}, Events: event.Discard{}, OnVMCount: func(int) {},
		Decode: Decoder{ConfigKey: "op/config", VMPrefix: "vms/", SearcherPrefix: "servers/", EvacuationPrefix: "op/evacuate/",
			Config: func([]byte) (*routing.Config, error) { return &routing.Config{Version: 1}, nil },
			Searcher: func(key string, b []byte, _ time.Time) (registry.Searcher, error) {
				return registry.Searcher{ID: strings.TrimPrefix(key, "servers/"), Service: "s", Addr: l.Addr().String(), Domain: string(b), Slots: 1, State: registry.Ready}, nil
			}}})
	t.Cleanup(v.Close)
	config, here := follow.Change{Key: "op/config"}, follow.Change{Key: "servers/i", Value: []byte("d1")}
	key, deleted := follow.Change{Key: "op/evacuate/d1", Value: []byte("\x00 any")}, follow.Change{Key: "op/evacuate/d1", Deleted: true}
	v.Replace(time.Now(), []follow.Change{config, here, {Key: "servers/j", Value: []byte("d10")}})
	var i *instance.Instance
	for _, k := range v.Current().Instances["s"] {
		if k.Searcher().Domain == "d1" {
			i = k
		}
	}
	results := make(chan conn.Result, 2)
	send := func() {
		i.Send(instance.Request{Method: http.MethodGet, Build: func() []byte { return []byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n") },
			Matches: func(http.Header) bool { return true }, Done: func(r conn.Result) { results <- r }})
	}
	send()
	<-arrived
	v.Apply(time.Now(), []follow.Change{key})
	if is := v.Current().Instances["s"]; len(is) != 1 || is[0].Searcher().Domain != "d10" {
		t.Errorf("%d searchers in use, want the one of d10", len(is))
	}
	// A request of the snapshot from before.
	if send(); (<-results).Sent {
		t.Error("a request was sent to an evacuated searcher")
	}
	release <- true
	if r := <-results; r.Err != nil || string(r.Body) != "hi" {
		t.Errorf("the request under way ended with %q, %v", r.Body, r.Err)
	}
	for name, c := range map[string]struct {
		change func(now time.Time)
		want   int
	}{
		"read again":               {func(now time.Time) { v.Replace(now, []follow.Change{config, here, key}) }, 0},
		"store unreachable":        {func(now time.Time) { v.Outage(now); v.Confirmed(now) }, 0},
		"restored without the key": {func(now time.Time) { v.Restored(now); v.Replace(now, []follow.Change{config, here}) }, 0},
		"written again, deleted":   {func(now time.Time) { v.Apply(now, []follow.Change{key, deleted}) }, 1},
	} {
		v.Apply(time.Now(), []follow.Change{key, {Key: "servers/j", Deleted: true}})
		if c.change(time.Now()); v.inUse() != c.want {
			t.Errorf("%s: %d searchers in use, want %d", name, v.inUse(), c.want)
		}
	}
}
