// Package instance is one running searcher as this VM sees it: its
// connections, the requests under way there, and what their answers told.
//
// Requests go out on kept connections, at most one at a time on each. A
// request that finds none free waits in the order of arrival until one is,
// and can be withdrawn until it was sent.
//
// # Usage
//
//	i := instance.New(instance.Config{Searcher: s, Conns: 2})
//	x := i.Send(instance.Request{Method: "GET", Build: build, Done: done})
//	x.Withdraw() // or x.Abort()
//	i.Close()
package instance

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"egrethaven/internal/back/conn"
	"egrethaven/internal/state/registry"
)

const (
	// redialFirst and redialMost bound the wait between failed attempts to
	// connect, which doubles.
	redialFirst = 50 * time.Millisecond
	redialMost  = time.Second
	// gain is the weight of a new observation in the averages.
	gain = 0.1
	// suspectAfter is how many requests in a row may go unanswered before
	// the searcher is taken to be out of reach.
	suspectAfter = 2
	// suspectFirst and suspectMost bound how long it is then left alone,
	// which doubles with each trial that fails.
	suspectFirst = 300 * time.Millisecond
	suspectMost  = 2 * time.Second
	// warm is how many connections are kept open ahead of need.
	warm = 2
	// queueFactor bounds the requests that wait for a connection, by the
	// number of connections.
	queueFactor = 4
)

// ErrFull ends a request for which too many others wait.
const ErrFull = errors.ConstError("too many requests wait for a connection")

// ErrUnreachable ends a request to a searcher to which no connection is open
// and none could be opened.
const ErrUnreachable = errors.ConstError("no connection to the searcher")

// ErrGone ends a request to a searcher that was closed.
const ErrGone = errors.ConstError("searcher is no longer used")

// Load is what a searcher says of itself in an answer.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// Config sets up an Instance.
type Config struct {
	Searcher registry.Searcher
	// Conns is how many connections this VM may open.
	Conns int
	// Dial opens network connections; nil is conn.DialTCP.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// OnRefused is called when a connection could not be opened or was
	// turned away; nil for none.
	OnRefused func(error)
}

// Request is one send.
type Request struct {
	Method string
	// Build returns the request's bytes as it is sent; nil if it is too late
	// to send it.
	Build func() []byte
	Owns  func(http.Header) bool
	// Done is called once with the result, unless the send was withdrawn.
	Done func(conn.Result)
}

// Send is a request at an instance.
type Send struct {
	i *Instance
	q Request
	// k is the connection, nil while the request waits for one.
	k     *conn.Conn
	began time.Time
	ended bool
}

// Instance is one running searcher. It is safe for concurrent use.
type Instance struct {
	ctx  context.Context
	stop context.CancelFunc
	wg   sync.WaitGroup

	mu       sync.Mutex
	c        Config
	s        registry.Searcher
	idle     []*conn.Conn
	sends    map[*Send]struct{}
	waiting  []*Send
	open     int
	dialing  bool
	redial   time.Duration
	redialAt time.Time
	room     int
	draining bool
	closed   bool
	v        view
}

// view is what the answers told.
type view struct {
	load     Load
	loadAt   time.Time
	factor   float64
	failures float64
	// silent counts requests in a row that went without an answer.
	silent    int
	suspended time.Time
	suspend   time.Duration
	// lastEnd is when the last answer came.
	lastEnd time.Time
	// misdirected is set when another searcher answers at the address.
	misdirected bool
	dialFailed  bool
}

// New returns an instance and begins to open its connections.
func New(c Config) *Instance {
	i := &Instance{c: c, s: c.Searcher, room: max(c.Conns, 1), sends: map[*Send]struct{}{}, v: view{factor: 1}}
	i.ctx, i.stop = context.WithCancel(context.Background())
	i.mu.Lock()
	defer i.mu.Unlock()
	i.fill(time.Now())
	return i
}

// Searcher returns the searcher's entry.
func (i *Instance) Searcher() registry.Searcher {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.s
}

// Update takes a newer entry of the same process, and the number of
// connections that this VM may open.
func (i *Instance) Update(s registry.Searcher, conns int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.s = s
	if conns != i.c.Conns {
		i.c.Conns, i.room = conns, max(conns, 1)
	}
	for i.open > i.room && len(i.idle) > 0 {
		i.drop(i.idle[0])
	}
	i.fill(time.Now())
}

// Drain lets requests under way end, and closes connections as they become
// idle.
func (i *Instance) Drain() {
	i.mu.Lock()
	i.draining = true
	for len(i.idle) > 0 {
		i.drop(i.idle[0])
	}
	waiting := i.waiting
	i.waiting = nil
	i.mu.Unlock()
	for _, x := range waiting {
		x.fail(ErrGone)
	}
}

// Idle tells whether no request is under way.
func (i *Instance) Idle() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return len(i.sends) == 0
}

// Close ends all requests, closes all connections and waits for them.
func (i *Instance) Close() {
	i.mu.Lock()
	i.closed, i.draining = true, true
	i.stop()
	var ks []*conn.Conn
	ks = append(ks, i.idle...)
	for x := range i.sends {
		if x.k != nil {
			ks = append(ks, x.k)
		}
	}
	waiting := i.waiting
	i.waiting = nil
	i.mu.Unlock()
	for _, x := range waiting {
		x.fail(ErrGone)
	}
	for _, k := range ks {
		k.Close()
	}
	i.wg.Wait()
}

// Send sends a request, at once or when a connection is free.
func (i *Instance) Send(q Request) *Send {
	now := time.Now()
	x := &Send{i: i, q: q, began: now}
	i.mu.Lock()
	switch {
	case i.draining:
		i.mu.Unlock()
		x.fail(ErrGone)
		return x
	case i.open == 0 && i.v.dialFailed:
		i.fill(now)
		i.mu.Unlock()
		x.fail(ErrUnreachable)
		return x
	case len(i.waiting) >= queueFactor*i.room:
		i.mu.Unlock()
		x.fail(ErrFull)
		return x
	}
	i.sends[x] = struct{}{}
	i.waiting = append(i.waiting, x)
	i.mu.Unlock()
	i.next()
	return x
}

// Withdraw takes back a request that was not sent. It reports false if it was
// sent, or has ended.
func (x *Send) Withdraw() bool {
	i := x.i
	i.mu.Lock()
	defer i.mu.Unlock()
	n := slices.Index(i.waiting, x)
	if n < 0 {
		return false
	}
	i.waiting = slices.Delete(i.waiting, n, n+1)
	x.ended = true
	delete(i.sends, x)
	return true
}

// Abort closes the connection of a request under way, or withdraws it.
func (x *Send) Abort() {
	if x.Withdraw() {
		return
	}
	x.i.mu.Lock()
	k, ended := x.k, x.ended
	x.i.mu.Unlock()
	if k != nil && !ended {
		k.Close()
	}
}

// fail ends a request that was not sent.
func (x *Send) fail(err error) {
	x.i.mu.Lock()
	x.ended = true
	delete(x.i.sends, x)
	x.i.mu.Unlock()
	x.q.Done(conn.Result{Err: err})
}

// next sends waiting requests on free connections.
func (i *Instance) next() {
	for {
		i.mu.Lock()
		if len(i.waiting) == 0 {
			i.mu.Unlock()
			return
		}
		now := time.Now()
		k := i.take(now)
		if k == nil {
			i.fill(now)
			i.mu.Unlock()
			return
		}
		x := i.waiting[0]
		i.waiting = slices.Delete(i.waiting, 0, 1)
		x.k, x.began = k, now
		i.mu.Unlock()
		x.start()
	}
}

// start sends a request on its connection.
func (x *Send) start() {
	i := x.i
	b := x.q.Build()
	if b == nil {
		i.mu.Lock()
		i.idle = append(i.idle, x.k)
		i.mu.Unlock()
		x.fail(context.DeadlineExceeded)
		return
	}
	ok := x.k.Start(conn.Request{Method: x.q.Method, Bytes: b, Owns: x.q.Owns, Done: x.ends})
	if ok {
		return
	}
	// The connection ended after it was taken; nothing was sent.
	i.mu.Lock()
	x.k = nil
	i.waiting = slices.Insert(i.waiting, 0, x)
	i.mu.Unlock()
}

// ends takes the result of a request that was sent.
func (x *Send) ends(r conn.Result) {
	i := x.i
	now := time.Now()
	i.mu.Lock()
	x.ended = true
	delete(i.sends, x)
	if x.k.Readiness(now) != conn.Spent {
		if i.draining || i.open > i.room {
			i.drop(x.k)
		} else {
			i.idle = append(i.idle, x.k)
		}
	}
	i.v.dialFailed = i.v.dialFailed && r.Err != nil
	i.mu.Unlock()
	x.q.Done(r)
	i.next()
}

// take returns the free connection that has been idle longest, so that none
// runs into the searcher's idle timeout. The lock is held.
func (i *Instance) take(now time.Time) *conn.Conn {
	for n := 0; n < len(i.idle); {
		k := i.idle[n]
		switch k.Readiness(now) {
		case conn.Usable:
			i.idle = slices.Delete(i.idle, n, n+1)
			return k
		case conn.Busy:
			n++
		default:
			i.drop(k)
		}
	}
	return nil
}

// drop closes an idle connection. The lock is held.
func (i *Instance) drop(k *conn.Conn) {
	if n := slices.Index(i.idle, k); n >= 0 {
		i.idle = slices.Delete(i.idle, n, n+1)
	}
	k.Close()
}

// fill opens the connections that are missing, one at a time, as each costs
// the searcher a moment of a slot. The lock is held.
func (i *Instance) fill(now time.Time) {
	want := min(max(warm, len(i.sends)), i.room)
	if i.draining || i.dialing || i.open >= want {
		return
	}
	i.dialing = true
	i.open++
	wait := i.redialAt.Sub(now)
	i.wg.Go(func() { i.dial(wait) })
}

// dial opens one connection after a wait.
func (i *Instance) dial(wait time.Duration) {
	if wait > 0 {
		t := time.NewTimer(wait)
		defer t.Stop()
		select {
		case <-t.C:
		case <-i.ctx.Done():
		}
	}
	k, err := conn.Dial(i.ctx, conn.Config{Addr: i.c.Searcher.Addr, Dial: i.c.Dial, Down: i.down})
	i.mu.Lock()
	i.dialing = false
	if err != nil {
		i.open--
		failed := i.failedDial()
		i.mu.Unlock()
		for _, x := range failed {
			x.fail(ErrUnreachable)
		}
		if i.c.OnRefused != nil && i.ctx.Err() == nil {
			i.c.OnRefused(err)
		}
		return
	}
	i.wg.Go(k.Wait)
	i.v.dialFailed = false
	if i.draining {
		k.Close()
	} else {
		i.idle = append(i.idle, k)
	}
	i.fill(time.Now())
	i.mu.Unlock()
	i.next()
}

// failedDial notes that no connection could be opened, and returns the
// requests that have none to wait for. The lock is held.
func (i *Instance) failedDial() []*Send {
	i.redial = min(max(2*i.redial, redialFirst), redialMost)
	now := time.Now()
	i.redialAt = now.Add(i.redial)
	if i.open > 0 {
		i.fill(now)
		return nil
	}
	i.v.dialFailed = true
	waiting := i.waiting
	i.waiting = nil
	i.fill(now)
	return waiting
}

// down takes the end of a connection.
func (i *Instance) down(k *conn.Conn) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.open--
	if n := slices.Index(i.idle, k); n >= 0 {
		i.idle = slices.Delete(i.idle, n, n+1)
	}
	now := time.Now()
	if k.Exchanges() == 0 && !i.draining {
		// The searcher accepts fewer connections than expected.
		i.room = max(min(i.room, i.open), 1)
		i.redial = min(max(2*i.redial, redialFirst), redialMost)
		i.redialAt = now.Add(i.redial)
	} else {
		i.redial = 0
	}
	i.fill(now)
}
