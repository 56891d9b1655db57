package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// cutInterval is the time between two moments at which the store cuts the watches that wait.
	cutInterval = 600 * time.Millisecond
	drainTime   = 3 * time.Second
	// cutBefore and cutAfter are how long the store cuts watches before and after the entry of a
	// searcher is removed.
	cutBefore = 2 * time.Second
	cutAfter  = 6 * time.Second
	// servesOn is how long a searcher serves after its entry was removed: drain_ms, and some
	// seconds more.
	servesOn = 9 * time.Second
)

// watchCutter is between the gateways and the store. It passes all calls on. While on is set, it
// cuts the watches that wait each cutInterval.
type watchCutter struct {
	on   atomic.Bool
	cuts atomic.Int64
	addr string
	to   string
	t    *http.Transport

	mu sync.Mutex
	// tick is closed and replaced each cutInterval.
	tick chan struct{}
}

// newWatchCutter starts a watchCutter in front of the store.
func newWatchCutter(to string) *watchCutter {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		unable(err)
	}
	w := &watchCutter{addr: l.Addr().String(), to: to, t: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}, tick: make(chan struct{})}
	go func() { _ = http.Serve(l, w) }()
	go func() {
		for range time.Tick(cutInterval) {
			w.mu.Lock()
			close(w.tick)
			w.tick = make(chan struct{})
			w.mu.Unlock()
		}
	}()
	return w
}

// ServeHTTP passes a call on.
func (w *watchCutter) ServeHTTP(rw http.ResponseWriter, q *http.Request) {
	ctx, cancel := context.WithCancel(q.Context())
	defer cancel()
	var cut atomic.Bool
	if w.on.Load() && q.URL.Path == "/api/kv-watch" {
		w.mu.Lock()
		tick := w.tick
		w.mu.Unlock()
		go func() {
			select {
			case <-tick:
				cut.Store(true)
				cancel()
			case <-ctx.Done():
			}
		}()
	}
	out, err := http.NewRequestWithContext(ctx, q.Method, "http://"+w.to+q.URL.RequestURI(), q.Body)
	if err != nil {
		unable(err)
	}
	out.Header, out.ContentLength = q.Header, q.ContentLength
	r, err := w.t.RoundTrip(out)
	if err != nil {
		if cut.Load() {
			w.cuts.Add(1)
		}
		panic(http.ErrAbortHandler)
	}
	defer r.Body.Close()
	for k, vs := range r.Header {
		rw.Header()[k] = vs
	}
	rw.WriteHeader(r.StatusCode)
	_, _ = io.Copy(rw, r.Body)
}

// cutWatch has the store cut watches that wait, while a searcher leaves whose entry is removed.
func cutWatch(d *deployment, trouble bool) []string {
	const host, prefix = "hufi27.example", "/goka902/"
	var rs runs
	var ss []*searcher
	for n, z := range zones {
		s := &searcher{id: fmt.Sprintf("i-7f3a91c%d", n), service: "return-intake", zone: z, slots: 4, queue: 16, d: d, runs: &rs,
			work: func() time.Duration { return time.Duration(20+rand.IntN(40)) * time.Millisecond }}
		s.start()
		ss = append(ss, s)
	}
	d.putConfig(map[string]any{"version": 7, "limits": limits,
		"services": []map[string]any{{"name": "return-intake", "health_path": "/health", "max_conns": 45, "protocol": "h1", "tls": false}},
		"routes": []map[string]any{{"name": "r-xmibw6k", "host": host, "prefix": prefix, "kind": "non_idempotent", "timeout_ms": 4000,
			"latency_goal_ms": 250, "priority": 2, "service": "return-intake", "max_attempts": 2}}})
	w := newWatchCutter(d.store.Addr())
	for n := range len(zones) {
		d.addGateway(zones[n%len(zones)], w.addr, nil)
	}
	d.awaitReady()
	time.Sleep(4 * time.Second)
	var a answers
	var wg sync.WaitGroup
	end := time.Now().Add(20 * time.Second)
	for _, g := range d.gateways {
		t := newTransport()
		wg.Go(func() {
			for time.Now().Before(end) {
				d.send(t, g, &a, "POST", host, prefix+"2f", "meter=17&return=1", 4*time.Second)
				time.Sleep(time.Duration(rand.IntN(100)) * time.Millisecond)
			}
		})
	}
	time.Sleep(6 * time.Second)
	if trouble {
		w.on.Store(true)
		d.record.add("store: cuts the watches that wait each %s, from now on", cutInterval)
		time.AfterFunc(cutBefore+cutAfter, func() {
			w.on.Store(false)
			d.record.add("store: cuts no more watches")
		})
	}
	time.Sleep(cutBefore)
	leaving := ss[0]
	close(leaving.stop)
	d.store.Delete("servers/" + leaving.id)
	gone := time.Now()
	d.record.add("store: the entry of %s is removed; it serves for %s", leaving.id, servesOn)
	time.Sleep(servesOn)
	leaving.close()
	d.record.add("%s has ended", leaving.id)
	wg.Wait()
	d.record.add("watches cut: %d", w.cuts.Load())
	late, last := 0, time.Duration(0)
	rs.mu.Lock()
	defer rs.mu.Unlock()
	for _, x := range rs.all {
		if since := x.at.Sub(gone); x.searcher == leaving.id && since > drainTime {
			late++
			last = max(last, since)
		}
	}
	statuses := map[int]int{}
	for _, s := range a.list() {
		statuses[s.status]++
	}
	d.record.add("answers by status (0: none): %v", statuses)
	fmt.Println("answers by status:", statuses, "watches cut:", w.cuts.Load())
	if late == 0 {
		return nil
	}
	return []string{fmt.Sprintf("DRAIN: %d requests reached %s later than %s after the store had acknowledged that it is gone, the last one %.3f s after it", late, leaving.id, drainTime, last.Seconds())}
}
