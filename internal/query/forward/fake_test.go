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
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"egrethaven/internal/back/instance"
	"egrethaven/internal/back/limitshare"
	"egrethaven/internal/query/retrybudget"
	"egrethaven/internal/state/registry"
	"egrethaven/internal/state/routing"
)

// testDialect implements Dialect with short header names.
type testDialect struct{}

func (testDialect) AppendSendHeader(b []byte, s SendHeader) []byte {
	b = fmt.Appendf(b, "Id: %s\r\nLeft: %d\r\nExpect: %s\r\n", s.ID, s.Timeout.Milliseconds(), s.ExpectedSearcher)
	if s.Account != "" {
		b = fmt.Appendf(b, "Account: %s\r\n", s.Account)
	}
	return b
}

func (testDialect) TakeKey(h http.Header) string {
	k := h.Get("Key")
	h.Del("Key")
	return k
}

func (testDialect) AttemptID(h http.Header) string { return h.Get("Id") }

func (testDialect) CheckReply(h http.Header) error {
	if len(h["Stamp"]) > 1 || len(h["Id"]) > 1 {
		return errors.New("contradiction")
	}
	return nil
}

func (testDialect) ParseReply(status int, h http.Header) ReplyHeader {
	r := ReplyHeader{Stamp: h.Get("Stamp"), Misdirected: status == http.StatusMisdirectedRequest}
	r.NotRun = h.Get("Not-Run") != "" || r.Misdirected
	if n, err := strconv.Atoi(h.Get("Waiting")); err == nil {
		r.Load, r.HasLoad = instance.Load{Waiting: n}, true
	}
	if n, err := strconv.ParseFloat(h.Get("Limit"), 64); err == nil {
		r.Limit, r.HasLimit = n, true
	}
	r.Leaving = h.Get("Leaving") != ""
	if d, err := time.ParseDuration(h.Get("Wait")); err == nil {
		r.Wait, r.HasWait = d, true
	}
	return r
}

func (testDialect) WriteFanOutHeader(h http.Header, stamps []string, missing int) {
	h["Stamps"] = stamps
	h.Set("Missing", strconv.Itoa(missing))
}

// fakeAnswer describes how a fake searcher answers a request.
type fakeAnswer struct {
	delay  time.Duration
	status int
	// notRun marks the request as not run, noStamp omits the signature.
	notRun, noStamp bool
	body            string
	// id replaces the attempt ID and noID omits it; disconnect closes the
	// connection without an answer.
	id               string
	noID, disconnect bool
	// leaving marks the answer of a searcher that is about to stop, and wait names a time
	// in which it wants no request.
	leaving bool
	wait    time.Duration
	// raw replaces the status line, and the length and the body if it does not end there.
	raw string
	// copied sends the answer once more when the next request on its connection has come.
	copied bool
}

// fakeSearcher is a searcher served over in-memory connections.
type fakeSearcher struct {
	id     string
	answer func(n int, r *http.Request) fakeAnswer
	// slots limits the requests that run concurrently and queue those that
	// wait; more are shed. With 0 slots there are no limits.
	slots, queue int
	// limit is the number of requests a second that the searcher names in its
	// answers; 0 for none.
	limit atomic.Int64

	stop     chan struct{}
	mu       sync.Mutex
	received []*http.Request
	// receivedAt holds the time of each request.
	receivedAt []time.Time
	slotSem    chan struct{}
	occupancy  int
	// unreadAnswers counts the answers that failed to be written because the
	// connection was closed.
	unreadAnswers int
}

// acquireSlot waits for a slot. It returns false if the queue is full.
func (s *fakeSearcher) acquireSlot() bool {
	if s.slots == 0 {
		return true
	}
	s.mu.Lock()
	full := s.occupancy >= s.slots+s.queue
	if !full {
		s.occupancy++
	}
	s.mu.Unlock()
	if full {
		return false
	}
	s.slotSem <- struct{}{}
	return true
}

// releaseSlot releases the slot.
func (s *fakeSearcher) releaseSlot() {
	if s.slots == 0 {
		return
	}
	<-s.slotSem
	s.mu.Lock()
	s.occupancy--
	s.mu.Unlock()
}

// requests returns the number of requests received.
func (s *fakeSearcher) requests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.received)
}

// serve answers the requests of one connection.
func (s *fakeSearcher) serve(c net.Conn) {
	defer c.Close()
	b := bufio.NewReader(c)
	late := ""
	for {
		q, err := http.ReadRequest(b)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, q.Body)
		if _, err := io.WriteString(c, late); err != nil {
			return
		}
		late = ""
		s.mu.Lock()
		s.received = append(s.received, q)
		s.receivedAt = append(s.receivedAt, time.Now())
		a := s.answer(len(s.received), q)
		s.mu.Unlock()
		if !s.acquireSlot() {
			a = fakeAnswer{status: http.StatusServiceUnavailable, notRun: true}
		} else {
			t := time.NewTimer(a.delay)
			select {
			case <-t.C:
			case <-s.stop:
			}
			t.Stop()
			s.releaseSlot()
		}
		if a.disconnect {
			return
		}
		id := q.Header.Get("Id")
		if a.id != "" {
			id = a.id
		}
		out := fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Length: %d\r\n", a.status, len(a.body))
		if a.raw != "" {
			out = a.raw + "\r\n"
		}
		if s.slots > 0 {
			s.mu.Lock()
			out += fmt.Sprintf("Waiting: %d\r\n", max(0, s.occupancy-s.slots))
			s.mu.Unlock()
		}
		if !a.noID {
			out += "Id: " + id + "\r\n"
		}
		if !a.noStamp {
			out += "Stamp: " + s.id + "\r\n"
		}
		if n := s.limit.Load(); n > 0 {
			out += fmt.Sprintf("Limit: %d\r\n", n)
		}
		if a.notRun {
			out += "Not-Run: 1\r\n"
		}
		if a.leaving {
			out += "Leaving: 1\r\n"
		}
		if a.wait > 0 {
			out += fmt.Sprintf("Wait: %s\r\n", a.wait)
		}
		out += "\r\n" + a.body
		if a.copied {
			late = out
		}
		if _, err := io.WriteString(c, out); err != nil {
			s.mu.Lock()
			s.unreadAnswers++
			s.mu.Unlock()
			return
		}
	}
}

// answerAfter returns a function that answers 200 after a delay.
func answerAfter(delay time.Duration, body string) func(int, *http.Request) fakeAnswer {
	return func(int, *http.Request) fakeAnswer {
		return fakeAnswer{delay: delay, status: http.StatusOK, body: body}
	}
}

// fixture is an engine with fake searchers.
type fixture struct {
	engine    *Engine
	searchers map[string]*fakeSearcher
	snapshot  *Snapshot
	// dial connects to the searcher with the ID addr.
	dial func(ctx context.Context, addr string) (net.Conn, error)
	// vms holds the names of the VMs that share the limits of searchers.
	vms []string
}

// connect returns the connections of a VM to a searcher.
func (fx *fixture) connect(vm string, s registry.Searcher) *instance.Instance {
	return instance.New(instance.Config{Conns: instance.ConnLimits{MinOpen: 2, MaxOpen: 2}, Dial: fx.dial, Searcher: s,
		LimitShare: func(searcher string, perSecond float64) float64 {
			return limitshare.Divider{VM: vm, VMs: fx.vms}.Rate(searcher, perSecond)
		}})
}

// newFixture returns an engine for the given routes and searchers, the latter
// by service.
func newFixture(t *testing.T, routes []routing.Route, searchers map[string][]*fakeSearcher) *fixture {
	t.Helper()
	return newFixtureWithPolicy(t, Policy{}, routes, searchers)
}

// newFixtureWithPolicy is like newFixture, with a policy.
func newFixtureWithPolicy(t *testing.T, policy Policy, routes []routing.Route, searchers map[string][]*fakeSearcher) *fixture {
	t.Helper()
	c, err := routing.New(1, routes, nil, routing.Limits{})
	if err != nil {
		t.Fatal(err)
	}
	fx := &fixture{vms: []string{"vm-0"}, searchers: map[string]*fakeSearcher{}, snapshot: &Snapshot{Config: c, Instances: map[string][]*instance.Instance{}}}
	fx.dial = func(_ context.Context, addr string) (net.Conn, error) {
		s := fx.searchers[addr]
		if s == nil {
			return nil, errors.New("connection refused")
		}
		near, far := net.Pipe()
		go s.serve(far)
		return near, nil
	}
	for _, ss := range searchers {
		for _, s := range ss {
			fx.searchers[s.id] = s
			s.stop = make(chan struct{})
			s.slotSem = make(chan struct{}, max(s.slots, 1))
		}
	}
	var all []*instance.Instance
	for service, ss := range searchers {
		for _, s := range ss {
			i := fx.connect(fx.vms[0], registry.Searcher{ID: s.id, Service: service, Addr: s.id, Domain: "a", Slots: 2, State: registry.Ready})
			fx.snapshot.Instances[service] = append(fx.snapshot.Instances[service], i)
			all = append(all, i)
		}
	}
	fx.engine = New(Config{Dialect: testDialect{}, Domain: "a", Current: func() *Snapshot { return fx.snapshot }, Policy: policy,
		Budget: retrybudget.Config{Ratio: 0.2, Allowance: 10, Window: 10 * time.Second}})
	t.Cleanup(func() {
		fx.engine.Close()
		for _, i := range all {
			i.Close()
		}
		for _, s := range fx.searchers {
			close(s.stop)
		}
		synctest.Wait()
	})
	return fx
}

// plainRoute returns a route to one service.
func plainRoute(repeat routing.Idempotency) routing.Route {
	return routing.Route{Name: "r", Host: "h", Prefix: "/", Idempotency: repeat, MaxAttempts: 2, LatencyObjective: 100 * time.Millisecond,
		WeightedServices: []routing.WeightedService{{Service: "s", Weight: 1}}}
}

// attempts numbers the requests, as each attempt of a client has an ID of its own.
var attempts atomic.Int64

// newRequest returns a request with the given timeout.
func newRequest(timeout time.Duration) Request {
	return Request{ID: fmt.Sprint("a", attempts.Add(1)), Method: http.MethodGet, Target: "/x", Host: "h", Arrived: time.Now(), Timeout: timeout}
}
