// Package instance is one running searcher as this VM sees it: its
// connections, the requests under way there, and what their answers told.
//
// Requests go out on kept connections, at most one at a time on each. A
// request that finds none free waits in the order of arrival until one is,
// and can be withdrawn until it was sent.
//
// # Usage
//
//	i := instance.New(instance.Config{Searcher: s, Conns: instance.Conns{Keep: 1, Most: 2}})
//	x := i.Send(instance.Request{Method: "GET", Build: build, Done: done})
//	x.Withdraw() // or x.Abort()
//	i.Close()
package instance

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	"egrethaven/internal/back/conn"
	"egrethaven/internal/back/healthscore"
	"egrethaven/internal/observe/event"
	"egrethaven/internal/state/registry"
)

const (
	// redialFirst and redialMost bound the wait between failed attempts to
	// connect, which doubles.
	redialFirst = 50 * time.Millisecond
	redialMost  = time.Second
	// gain is the least weight of a new observation in the averages, and
	// learnTime how long after the last one it counts for two thirds.
	gain      = 0.1
	learnTime = time.Second
	// overdueFactor, times the usual service time, is when a request that is
	// still under way is told of.
	overdueFactor = 3
	// mostFactor bounds how much one slow answer counts.
	mostFactor = 20
	// fadeTime is how long after the last answer the learnt speed counts half,
	// failuresFade the same for failures, which last longer than a queue, and
	// reportAge how long a load report counts: queues that are not added
	// to drain within it.
	fadeTime     = 500 * time.Millisecond
	failuresFade = 5 * time.Second
	reportAge    = 250 * time.Millisecond
	// While VMs tell each other what they see, each own answer says little, as
	// it may have met a pause: ownFade is the time in which it fades to a third.
	// sharedFresh is how long after it was heard what others see counts.
	ownFade     = 300 * time.Millisecond
	sharedFresh = 1500 * time.Millisecond
	// patienceLeast and patienceMost bound how long after the last observation
	// what others saw counts half. It differs between VMs, so that few of them
	// try a searcher first that was slow.
	patienceLeast = 300 * time.Millisecond
	patienceMost  = 3 * time.Second
	// suspectFactor, in usual service times, and suspectLeast bound how long
	// a searcher may answer nothing while requests are under way before it is
	// taken to be out of reach. Searchers pause for a tenth of a second.
	suspectFactor = 20
	suspectLeast  = 250 * time.Millisecond
	// suspectFirst and suspectMost bound how long a searcher is left alone
	// after a request that it did not answer, which doubles with each trial
	// that fails.
	suspectFirst = 300 * time.Millisecond
	suspectMost  = 2 * time.Second
	// surplusIdle is how long a connection beyond the kept ones may be idle.
	surplusIdle = 2 * time.Second
	// proveTime is how long a new connection is left alone when the last one
	// was turned away, or while the connections of a process before this one may
	// still be open: a searcher that has too many resets it within a round trip,
	// and a request on it would be lost.
	proveTime = 8 * time.Millisecond
	// refusedWithin is the age up to which the end of a connection that had no
	// request counts as a refusal; later it was closed for being idle.
	refusedWithin = time.Second
	// queueFactor bounds the requests that wait for a connection, by the
	// number of connections.
	queueFactor = 4
)

// ErrQueueFull ends a request for which too many others wait.
const ErrQueueFull = errors.ConstError("too many requests wait for a connection")

// ErrUnreachable ends a request to a searcher to which no connection is open
// and none could be opened.
const ErrUnreachable = errors.ConstError("no connection to the searcher")

// ErrClosed ends a request to a searcher that was closed.
const ErrClosed = errors.ConstError("searcher is no longer used")

// Load is what a searcher says of itself in an answer.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// ConnLimits is how many connections this VM opens to a searcher.
type ConnLimits struct {
	// MinOpen is how many are kept open ahead of need. If all VMs lose power,
	// the searcher still holds their connections when they come back, so the
	// kept ones of all VMs take less than half of what it accepts.
	MinOpen int
	// MaxOpen is how many may be open when requests need them.
	MaxOpen int
}

// Config sets up an Instance.
type Config struct {
	Searcher registry.Searcher
	Conns    ConnLimits
	// AtConnLimit tells whether searchers may have too many connections, so that new
	// ones may be reset; nil for never.
	AtConnLimit func(now time.Time) bool
	// Observe is told how many times as long as usual each request took, and
	// whether it failed; nil for none.
	Observe func(ratio float64, failed bool)
	// Events takes what becomes of connections; nil drops it.
	Events event.Sink
	// Dial opens network connections; nil is conn.DialTCP.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
}

// Request is one send.
type Request struct {
	Method string
	// Build returns the request's bytes as it is sent; nil if it is too late
	// to send it.
	Build   func() []byte
	Matches func(http.Header) bool
	// Done is called once with the result, unless the send was withdrawn.
	Done func(conn.Result)
}

// Call is a request at an instance.
type Call struct {
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

	mu      sync.Mutex
	c       Config
	s       registry.Searcher
	idle    []*conn.Conn
	sends   map[*Call]struct{}
	waiting []*Call
	// open counts the connections, but for one that is being opened.
	open    int
	dialing bool
	// trimming is set while a later look at surplus connections is planned.
	trimming bool
	redial   time.Duration
	redialAt time.Time
	draining bool
	// patience is between patienceLeast and patienceMost.
	patience time.Duration
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
	// shared is what other VMs have seen, sharedAt when it was heard and seenAt
	// when they saw it last.
	shared           healthscore.Score
	sharedAt, seenAt time.Time
	// misdirected is set when another searcher answers at the address.
	misdirected bool
	dialFailed  bool
}

// New returns an instance and begins to open its connections.
func New(c Config) *Instance {
	if c.Events == nil {
		c.Events = event.Discard{}
	}
	if c.AtConnLimit == nil {
		c.AtConnLimit = func(time.Time) bool { return false }
	}
	if c.Observe == nil {
		c.Observe = func(float64, bool) {}
	}
	i := &Instance{c: c, s: c.Searcher, sends: map[*Call]struct{}{}, v: view{factor: 1},
		patience: patienceLeast + rand.N(patienceMost-patienceLeast)}
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
func (i *Instance) Update(s registry.Searcher, conns ConnLimits) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.s, i.c.Conns = s, conns
	now := time.Now()
	i.trim(now)
	i.fill(now)
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
		x.fail(ErrClosed)
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
	i.draining = true
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
		x.fail(ErrClosed)
	}
	for _, k := range ks {
		k.Close()
	}
	i.wg.Wait()
}
