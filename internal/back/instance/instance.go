// Package instance manages one running searcher process: its connection pool,
// its requests in flight, and health statistics from its answers.
//
// Requests are sent over persistent connections, one at a time on each. When no
// connection is idle, requests are queued, and those of the highest value are sent
// first (package shedding); a queued request can be canceled.
//
// # Usage
//
//	i := instance.New(instance.Config{Searcher: s, Conns: instance.ConnLimits{MinOpen: 1, MaxOpen: 2}})
//	x := i.Send(instance.Request{Method: "GET", Build: build, Matches: matches, Done: done})
//	x.CancelQueued() // or x.Abort()
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
	"egrethaven/internal/back/sendlimit"
	"egrethaven/internal/back/windowlimit"
	"egrethaven/internal/infra/readbudget"
	"egrethaven/internal/observe/event"
	"egrethaven/internal/platform/pause"
	"egrethaven/internal/query/shedding"
	"egrethaven/internal/state/registry"
)

const (
	// minRedialBackoff and maxRedialBackoff bound the exponential backoff
	// between failed connection attempts.
	minRedialBackoff = 50 * time.Millisecond
	maxRedialBackoff = time.Second
	// minEWMAWeight is the minimum weight of a new observation in the averages.
	// After a gap of ewmaTimeConstant an observation has a weight of 1-1/e.
	minEWMAWeight    = 0.1
	ewmaTimeConstant = time.Second
	// A request in flight for longer than overdueLatencyRatio times the usual
	// service time is reported as overdue.
	overdueLatencyRatio = 3
	// maxLatencyRatio caps the effect of one slow answer.
	maxLatencyRatio = 20
	// slowdownDecay and failureRateDecay are the times since the last answer
	// after which the slowdown factor and the failure rate have half their
	// weight. Failures persist longer than queues.
	slowdownDecay    = 500 * time.Millisecond
	failureRateDecay = 5 * time.Second
	// maxLoadReportAge is how long a load report is used; a queue that receives
	// no more requests drains within this time.
	maxLoadReportAge = 250 * time.Millisecond
	// ownObservationDecay is the exponential decay time of this VM's own
	// observations while VMs share scores: a single slow answer may be due to a
	// pause of the searcher. maxSharedScoreAge is the time after receipt for
	// which a shared score is used.
	ownObservationDecay = 300 * time.Millisecond
	maxSharedScoreAge   = 1500 * time.Millisecond
	// minSharedScoreDecay and maxSharedScoreDecay bound the time since the last
	// observation after which a shared score has half its weight. Each VM picks
	// a random value, so that few VMs at a time retry a slow searcher.
	minSharedScoreDecay = 300 * time.Millisecond
	maxSharedScoreDecay = 3 * time.Second
	// A searcher with requests in flight is suspected to be unreachable after
	// stallLatencyRatio times the usual service time without an answer, but not
	// before minStallTimeout, because searchers pause for 100 ms.
	stallLatencyRatio = 20
	minStallTimeout   = 250 * time.Millisecond
	// minSuspension and maxSuspension bound how long a searcher gets no requests
	// after a timeout; the time doubles with each consecutive timeout.
	minSuspension = 300 * time.Millisecond
	maxSuspension = 2 * time.Second
	// maxSurplusIdle is how long a connection beyond ConnLimits.MinOpen may be
	// idle.
	maxSurplusIdle = 2 * time.Second
	// limitHold is how long after a refusal a searcher counts as being at its
	// connection limit, where that is less than one for each VM: after a power
	// loss it drops the old connections only after some seconds. maxIdleAtLimit is
	// how long a connection to it may be idle then.
	limitHold      = 4 * time.Second
	maxIdleAtLimit = 300 * time.Millisecond
	// newConnDelay is how long a new connection stays unused after a refusal, or
	// while connections of a previous process may still be open: a searcher at
	// its connection limit resets a new connection within a round trip, and a
	// request on it would be lost.
	newConnDelay = 8 * time.Millisecond
	// refusalWindow is the age below which closing a connection that carried no
	// request counts as a refusal; an older one was closed by the idle timeout. For as long
	// after a refusal, new connections wait for newConnDelay.
	refusalWindow = time.Second
	// maxQueuedPerConn limits the queued requests, as a multiple of
	// ConnLimits.MaxOpen.
	maxQueuedPerConn = 4
)

// ErrQueueFull is passed to Request.Done when too many requests are queued.
const ErrQueueFull = errors.ConstError("too many requests are waiting for a connection to the searcher")

// ErrUnreachable is passed to Request.Done when no connection is open and the last
// attempt to open one failed.
const ErrUnreachable = errors.ConstError("no connection to the searcher")

// ErrClosed is passed to Request.Done when the instance is draining or closed.
const ErrClosed = errors.ConstError("searcher instance is draining or closed")

// Load is the load that a searcher reports in an answer, in requests.
type Load struct {
	Running int
	Waiting int
	// Slots is the number of requests that run concurrently.
	Slots int
}

// ConnLimits bounds the connections from this VM to one searcher.
type ConnLimits struct {
	// MinOpen is the number of connections that stay open without requests.
	// After a power loss of all VMs, the searcher still holds their old
	// connections, so the sum over all VMs must be less than half of what it
	// accepts.
	MinOpen int
	// MaxOpen is the maximum number of open connections.
	MaxOpen int
}

// Config configures an Instance.
type Config struct {
	Searcher registry.Searcher
	Conns    ConnLimits
	// AtConnLimit reports whether searchers may be at their connection limit and
	// reset new connections; nil means never.
	AtConnLimit func(now time.Time) bool
	// OpenDelay is how long after New the connections of ConnLimits.MinOpen are
	// opened. Requests open the connections that they need at once.
	OpenDelay time.Duration
	// Observe is called for each completed or overdue request with its latency
	// divided by the usual service time, and whether it failed; may be nil.
	Observe func(ratio float64, failed bool)
	// OnLeaving is called once when the searcher says that it is about to stop; nil for
	// none. The instance sends it nothing from then on.
	OnLeaving func()
	// OnEnded is called when the searcher's process seems to have ended: calls in flight
	// were lost, and no new connection can be opened; nil for none.
	OnEnded func()
	// LimitShare returns this VM's part of the requests a second that a searcher
	// accepts from all VMs together; nil means all of them.
	LimitShare func(searcher string, perSecond float64) float64
	// RunningSince returns the end of the last pause of this process before a time, zero if
	// there was none; nil means that pauses are not known. A searcher is not silent for longer.
	RunningSince func(now time.Time) time.Time
	// Budget bounds the memory for the answers of all searchers; nil means no bound.
	Budget *readbudget.Budget
	// Events receives connection events; nil discards them.
	Events event.Sink
	// Dial opens network connections; nil means conn.DialTCP.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
}

// Request describes a request to a searcher.
type Request struct {
	// ID is the attempt ID, with which the searcher answers; empty if it has none. No
	// connection carries two requests with the same ID before Deadline, after which none of
	// them is sent.
	ID       string
	Deadline time.Time
	Method   string
	// Build returns the bytes to send, up to Body if that is not empty. It is called just
	// before sending, and returns nil if the request's deadline no longer allows it. Body
	// must not change.
	Build func() []byte
	Body  []byte
	// Matches reports whether an answer with this header belongs to the request.
	Matches func(http.Header) bool
	// Check returns an error if an answer with this header contradicts itself; nil accepts
	// all.
	Check func(http.Header) error
	// Shed describes the request for the order of the queue. Requests without it are sent
	// in order of arrival.
	Shed shedding.Request
	// Done is called once with the result, unless the call was canceled while
	// queued.
	Done func(conn.Result)
}

// Call is a request that is queued, in flight or finished.
type Call struct {
	i   *Instance
	req Request
	// attempt is a hash of the request's ID; 0 if it has none.
	attempt uint64
	// conn is nil while the call is queued.
	conn      *conn.Conn
	startedAt time.Time
	finished  bool
}

// Instance is the client side of one running searcher process. It is safe for
// concurrent use.
type Instance struct {
	ctx  context.Context
	stop context.CancelFunc
	wg   sync.WaitGroup

	mu    sync.Mutex
	c     Config
	s     registry.Searcher
	idle  []*conn.Conn
	calls map[*Call]struct{}
	queue []*Call
	// picker orders queue.
	picker shedding.Picker
	// openConns does not include a connection that is being opened.
	openConns int
	dialing   bool
	// replacing is set from when a connection is closed to make room for one that has not
	// carried a queued attempt until the next one was opened, or failed to open.
	replacing bool
	// mayOpen is set once Config.OpenDelay has passed.
	mayOpen bool
	// cleanupScheduled is set while a run of closeSurplusConns is scheduled.
	cleanupScheduled bool
	redialBackoff    time.Duration
	redialAt         time.Time
	// refusedAt is when a connection could last not be opened, or was closed before its first
	// request.
	refusedAt time.Time
	// atLimitUntil is when a searcher that refused a connection is no longer taken
	// to be at its connection limit.
	atLimitUntil time.Time
	draining     bool
	// sharedScoreDecay is between minSharedScoreDecay and maxSharedScoreDecay.
	sharedScoreDecay time.Duration
	stats            stats
	limiter          *sendlimit.Limiter
	// coldLimiter limits the requests while the searcher is cold; nil means no limit.
	// coldUntil is until when it is, and coldSaidAt when that was last said. coldByEntry is
	// set if the registry entry said it, and not an answer.
	coldLimiter           *windowlimit.Limiter
	coldUntil, coldSaidAt time.Time
	coldByEntry           bool
	// limitTimer runs dispatchQueued when the limit permits the next request.
	limitTimer *time.Timer
	// loggedLimit is the last limit in the log, in requests/s.
	loggedLimit float64
	// waitUntil is until when the searcher wants no request. resuming is set from then on
	// until it has answered one, and allows one request at a time.
	waitUntil time.Time
	resuming  bool
	// lostCall is set from when a call was lost until the searcher answers one, or its
	// process seems to have ended.
	lostCall bool
	// leaving is set once the searcher said that it is about to stop.
	leaving bool
}

// stats holds what is known about the searcher from outcomes and shared scores.
type stats struct {
	load   Load
	loadAt time.Time
	// slowdown and failureRate are EWMAs over this VM's requests.
	slowdown    float64
	failureRate float64
	// timeouts counts consecutive requests without an answer.
	timeouts       int
	suspendedUntil time.Time
	suspension     time.Duration
	// lastAnswer is the time of the last answer.
	lastAnswer time.Time
	// lastContact is when the searcher last answered or accepted a connection. A
	// refused connection is no contact, as a partition may refuse them. askedAt is
	// the time of the first request since then, zero if there was none.
	lastContact, askedAt time.Time
	// sharedScore is aggregated over all VMs. It was received at sharedScoreAt
	// and is based on observations up to lastSharedObservation.
	sharedScore                          healthscore.Score
	sharedScoreAt, lastSharedObservation time.Time
	// wrongSearcher is set when another searcher answers at the address.
	wrongSearcher bool
	dialFailed    bool
}

// New returns an instance and starts opening its connections.
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
	if c.OnLeaving == nil {
		c.OnLeaving = func() {}
	}
	if c.OnEnded == nil {
		c.OnEnded = func() {}
	}
	if c.LimitShare == nil {
		c.LimitShare = func(_ string, perSecond float64) float64 { return perSecond }
	}
	if c.RunningSince == nil {
		c.RunningSince = func(time.Time) time.Time { return time.Time{} }
	}
	limiter := sendlimit.New(func(perSecond float64) float64 { return c.LimitShare(c.Searcher.ID, perSecond) })
	i := &Instance{c: c, s: c.Searcher, limiter: limiter, calls: map[*Call]struct{}{}, stats: stats{slowdown: 1},
		sharedScoreDecay: minSharedScoreDecay + rand.N(maxSharedScoreDecay-minSharedScoreDecay)}
	i.noteColdEntry(time.Now(), c.Searcher)
	i.ctx, i.stop = context.WithCancel(context.Background())
	i.wg.Go(func() {
		if c.OpenDelay > 0 && !pause.Sleep(i.ctx, c.OpenDelay) {
			return
		}
		i.mu.Lock()
		defer i.mu.Unlock()
		i.mayOpen = true
		i.openMissingConn(time.Now())
	})
	return i
}

// Searcher returns the current registry entry.
func (i *Instance) Searcher() registry.Searcher {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.s
}

// Update replaces the registry entry, which must be of the same process, and
// the connection limits.
func (i *Instance) Update(s registry.Searcher, conns ConnLimits) {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := time.Now()
	i.noteColdEntry(now, s)
	i.s, i.c.Conns = s, conns
	i.limiter.Refresh(now)
	i.closeSurplusConns(now)
	i.openMissingConn(now)
}

// Drain fails queued calls with ErrClosed, lets requests in flight finish, and
// closes connections as they become idle.
func (i *Instance) Drain() {
	i.mu.Lock()
	i.draining = true
	for len(i.idle) > 0 {
		i.closeIdleConn(i.idle[0])
	}
	queued := i.queue
	i.queue = nil
	i.mu.Unlock()
	for _, x := range queued {
		x.fail(ErrClosed)
	}
}

// Idle reports whether no request is queued or in flight.
func (i *Instance) Idle() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return len(i.calls) == 0
}

// Close fails all calls, closes all connections and waits until they have ended.
func (i *Instance) Close() {
	i.mu.Lock()
	i.draining = true
	i.stop()
	if i.limitTimer != nil {
		i.limitTimer.Stop()
	}
	var ks []*conn.Conn
	ks = append(ks, i.idle...)
	for x := range i.calls {
		if x.conn != nil {
			ks = append(ks, x.conn)
		}
	}
	queued := i.queue
	i.queue = nil
	i.mu.Unlock()
	for _, x := range queued {
		x.fail(ErrClosed)
	}
	for _, k := range ks {
		k.Close()
	}
	i.wg.Wait()
}
