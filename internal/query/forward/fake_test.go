package forward

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"egrethaven/internal/back/instance"
	"egrethaven/internal/query/retrybudget"
	"egrethaven/internal/state/registry"
	"egrethaven/internal/state/routing"
)

// testDialect has short names of its own.
type testDialect struct{}

func (testDialect) AppendSending(b []byte, s Sending) []byte {
	return fmt.Appendf(b, "Id: %s\r\nLeft: %d\r\nExpect: %s\r\n", s.ID, s.Left.Milliseconds(), s.Expect)
}

func (testDialect) Attempt(h http.Header) string { return h.Get("Id") }

func (testDialect) Reply(status int, h http.Header) Reply {
	r := Reply{Stamp: h.Get("Stamp"), Misdirected: status == http.StatusMisdirectedRequest}
	r.NotRun = h.Get("Not-Run") != "" || r.Misdirected
	if n, err := strconv.Atoi(h.Get("Waiting")); err == nil {
		r.Load, r.HasLoad = instance.Load{Waiting: n}, true
	}
	return r
}

func (testDialect) Parts(h http.Header, stamps []string, missing int) {
	h["Stamps"] = stamps
	h.Set("Missing", strconv.Itoa(missing))
}

// fakeAnswer is what a fake searcher does with a request.
type fakeAnswer struct {
	after  time.Duration
	status int
	// notRun marks a refusal, noStamp leaves out the signature.
	notRun, noStamp bool
	body            string
	// id answers another request, unnamed names none; cut breaks off without
	// an answer.
	id           string
	unnamed, cut bool
}

// fakeSearcher is a searcher on in-memory connections.
type fakeSearcher struct {
	id     string
	answer func(n int, r *http.Request) fakeAnswer
	// slots bounds the requests that run at a time, and queue those that
	// wait; more are shed. Without slots nothing is bounded.
	slots, queue int

	stop chan struct{}
	mu   sync.Mutex
	got  []*http.Request
	room chan struct{}
	held int
	// brokenOff counts the answers that nobody took.
	brokenOff int
}

// enter takes a slot, or reports false if too many wait for one.
func (s *fakeSearcher) enter() bool {
	if s.slots == 0 {
		return true
	}
	s.mu.Lock()
	full := s.held >= s.slots+s.queue
	if !full {
		s.held++
	}
	s.mu.Unlock()
	if full {
		return false
	}
	s.room <- struct{}{}
	return true
}

// leave gives the slot back.
func (s *fakeSearcher) leave() {
	if s.slots == 0 {
		return
	}
	<-s.room
	s.mu.Lock()
	s.held--
	s.mu.Unlock()
}

// requests returns how many requests arrived.
func (s *fakeSearcher) requests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.got)
}

// serve answers the requests of one connection.
func (s *fakeSearcher) serve(c net.Conn) {
	defer c.Close()
	b := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(b)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, q.Body)
		s.mu.Lock()
		s.got = append(s.got, q)
		a := s.answer(len(s.got), q)
		s.mu.Unlock()
		if !s.enter() {
			a = fakeAnswer{status: http.StatusServiceUnavailable, notRun: true}
		} else {
			t := time.NewTimer(a.after)
			select {
			case <-t.C:
			case <-s.stop:
			}
			t.Stop()
			s.leave()
		}
		if a.cut {
			return
		}
		id := q.Header.Get("Id")
		if a.id != "" {
			id = a.id
		}
		out := fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Length: %d\r\n", a.status, len(a.body))
		if s.slots > 0 {
			s.mu.Lock()
			out += fmt.Sprintf("Waiting: %d\r\n", max(0, s.held-s.slots))
			s.mu.Unlock()
		}
		if !a.unnamed {
			out += "Id: " + id + "\r\n"
		}
		if !a.noStamp {
			out += "Stamp: " + s.id + "\r\n"
		}
		if a.notRun {
			out += "Not-Run: 1\r\n"
		}
		if _, err := io.WriteString(c, out+"\r\n"+a.body); err != nil {
			s.mu.Lock()
			s.brokenOff++
			s.mu.Unlock()
			return
		}
	}
}

// served answers 200 after a time.
func served(after time.Duration, body string) func(int, *http.Request) fakeAnswer {
	return func(int, *http.Request) fakeAnswer {
		return fakeAnswer{after: after, status: http.StatusOK, body: body}
	}
}

// world is an engine among fake searchers.
type world struct {
	e         *Engine
	searchers map[string]*fakeSearcher
	snap      *Snapshot
}

// newWorld builds an engine for routes; searchers are given by service.
func newWorld(t *testing.T, routes []routing.Route, searchers map[string][]*fakeSearcher) *world {
	t.Helper()
	return newWorldWith(t, Policy{}, routes, searchers)
}

// newWorldWith is newWorld with decisions switched off.
func newWorldWith(t *testing.T, policy Policy, routes []routing.Route, searchers map[string][]*fakeSearcher) *world {
	t.Helper()
	c, err := routing.New(1, routes, nil, routing.Limits{})
	if err != nil {
		t.Fatal(err)
	}
	w := &world{searchers: map[string]*fakeSearcher{}, snap: &Snapshot{Config: c, Instances: map[string][]*instance.Instance{}}}
	dial := func(_ context.Context, addr string) (net.Conn, error) {
		s := w.searchers[addr]
		if s == nil {
			return nil, errors.New("connection refused")
		}
		near, far := net.Pipe()
		go s.serve(far)
		return near, nil
	}
	for _, ss := range searchers {
		for _, s := range ss {
			w.searchers[s.id] = s
			s.stop = make(chan struct{})
			s.room = make(chan struct{}, max(s.slots, 1))
		}
	}
	var all []*instance.Instance
	for service, ss := range searchers {
		for _, s := range ss {
			i := instance.New(instance.Config{Conns: instance.ConnLimits{MinOpen: 2, MaxOpen: 2}, Dial: dial,
				Searcher: registry.Searcher{ID: s.id, Service: service, Addr: s.id, Domain: "a", Slots: 2, State: registry.Ready}})
			w.snap.Instances[service] = append(w.snap.Instances[service], i)
			all = append(all, i)
		}
	}
	w.e = New(Config{Dialect: testDialect{}, Domain: "a", Current: func() *Snapshot { return w.snap }, Policy: policy,
		Budget: retrybudget.Config{Ratio: 0.2, Allowance: 10, Window: 10 * time.Second}})
	t.Cleanup(func() {
		w.e.Close()
		for _, i := range all {
			i.Close()
		}
		for _, s := range w.searchers {
			close(s.stop)
		}
		synctest.Wait()
	})
	return w
}

// plain is a route to one service.
func plain(repeat routing.Idempotency) routing.Route {
	return routing.Route{Name: "r", Host: "h", Prefix: "/", Idempotency: repeat, MaxAttempts: 2, LatencyObjective: 100 * time.Millisecond,
		WeightedServices: []routing.WeightedService{{Service: "s", Weight: 1}}}
}

// request is one attempt of a client.
func request(patience time.Duration) Request {
	return Request{ID: "a1", Method: http.MethodGet, Target: "/x", Host: "h", Arrived: time.Now(), Patience: patience}
}
