// Package fleet queries all nodes on behalf of an operator: their events, their
// health reports and the revisions of the configuration in force.
//
// Nodes exchange this data only on request. Requests and replies are limited in
// size. A node that does not answer in time is listed as not reached.
//
// # Usage
//
//	f := fleet.New(fleet.Config{Node: id, Domain: d, Clock: c, Log: l, Health: collector.LocalReport, Revision: rev, Peers: peers, Dial: dialer.Conn})
//	err := f.Register(server.Mux())
//	line := f.Timeline(ctx, event.Stamp{}, 1000)
package fleet

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"
	"storj.io/drpc"

	"egrethaven/internal/infra/failuredomain"
	"egrethaven/internal/observe/clock"
	"egrethaven/internal/observe/event"
	"egrethaven/internal/observe/health"
	"egrethaven/internal/observe/timeline"
	"egrethaven/internal/peer/observerpc"
	"egrethaven/internal/state/config"
)

const (
	// callTimeout limits one call to another node.
	callTimeout = time.Second
	// maxParallelCalls limits the number of simultaneous calls to other nodes.
	maxParallelCalls = 64
	// maxEvents limits the events in one reply.
	maxEvents = 4096
	// maxStates limits the searches in one reply, and maxGaps the gaps of each search.
	maxStates = 4096
	maxGaps   = 64
	// maxTextBytes limits each text in a reply, for example the detail of an event.
	maxTextBytes = 400
	// revisionPollInterval is the polling interval of Wait.
	revisionPollInterval = 100 * time.Millisecond
)

// Config configures a Fleet.
type Config struct {
	Node   string
	Domain failuredomain.Domain
	Clock  *clock.Clock
	Log    *event.Log
	// Health returns the health report based on this node's evidence.
	Health func() health.Report
	// Revision returns the revision of the configuration in force on this node.
	Revision func() uint64
	// Peers returns the other live entry VMs.
	Peers func() []health.Peer
	// Dial returns a connection to another node.
	Dial func(ctx context.Context, addr string) (drpc.Conn, error)
}

// Fleet queries other nodes and answers their queries.
type Fleet struct {
	c Config
}

// New returns a Fleet.
func New(c Config) *Fleet {
	return &Fleet{c: c}
}

// Register registers the service that answers other nodes.
func (f *Fleet) Register(m drpc.Mux) error {
	return errors.Trace(observerpc.DRPCRegisterObserve(m, &service{c: f.c}))
}

// FetchReport returns the health report based on the evidence of node p.
func (f *Fleet) FetchReport(ctx context.Context, p health.Peer) (health.Report, error) {
	r, err := call(ctx, f, p, func(ctx context.Context, c observerpc.DRPCObserveClient) (*observerpc.HealthReply, error) {
		return c.Health(ctx, &observerpc.HealthRequest{})
	})
	if err != nil {
		return health.Report{}, errors.Trace(err)
	}
	return decodeReport(r, time.Now()), nil
}

// Status returns the revision in force on each node, starting with this node. A node
// that does not answer has Reached false.
func (f *Fleet) Status(ctx context.Context) []config.NodeStatus {
	own := config.NodeStatus{Node: f.c.Node, Domain: string(f.c.Domain), Revision: f.c.Revision(), Reached: true}
	return append([]config.NodeStatus{own}, forEachPeer(f.c.Peers(), func(p health.Peer) config.NodeStatus { return f.status(ctx, p) })...)
}

// status returns the revision in force on one node.
func (f *Fleet) status(ctx context.Context, p health.Peer) config.NodeStatus {
	s := config.NodeStatus{Node: p.ID, Domain: string(p.Domain)}
	start := time.Now()
	r, err := call(ctx, f, p, func(ctx context.Context, c observerpc.DRPCObserveClient) (*observerpc.StatusReply, error) {
		return c.Status(ctx, &observerpc.StatusRequest{})
	})
	if err != nil || r.Node != p.ID {
		return s
	}
	s.Revision, s.Reached, s.AgeMS = r.Revision, true, time.Since(start).Milliseconds()
	return s
}

// Wait waits until revision or a later one is in force on all live nodes, and then
// returns nil. If ctx ends first, it returns the nodes that have not confirmed this,
// each with its last answer if the end of ctx cut off a query.
func (f *Fleet) Wait(ctx context.Context, revision uint64) []config.NodeStatus {
	w := waitState{upToDate: map[string]bool{}, answers: map[string]answer{}}
	for {
		behind := f.behind(ctx, revision, w)
		if len(behind) == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return behind
		case <-time.After(revisionPollInterval):
		}
	}
}

// waitState is what Wait knows of other nodes, by ID.
type waitState struct {
	upToDate map[string]bool
	// answers holds the last answer of each node that answered its last query.
	answers map[string]answer
}

// answer is a node's answer and when it arrived.
type answer struct {
	status config.NodeStatus
	at     time.Time
}

// record records the result of a query and returns it. A query that was cut off by
// the end of ctx does not tell whether the node can be reached, so the result of
// the one before it is returned, with its age.
func (w waitState) record(ctx context.Context, s config.NodeStatus, now time.Time) config.NodeStatus {
	last, ok := w.answers[s.Node]
	switch {
	case s.Reached:
		w.answers[s.Node] = answer{s, now}
	case ctx.Err() == nil:
		delete(w.answers, s.Node)
	case ok:
		s = last.status
		s.AgeMS += now.Sub(last.at).Milliseconds()
	}
	return s
}

// behind queries the nodes that are not known to be up to date, adds those that are
// to w.upToDate, and returns the others.
func (f *Fleet) behind(ctx context.Context, revision uint64, w waitState) []config.NodeStatus {
	peers := slices.DeleteFunc(slices.Clone(f.c.Peers()), func(p health.Peer) bool { return w.upToDate[p.ID] })
	ss := forEachPeer(peers, func(p health.Peer) config.NodeStatus { return f.status(ctx, p) })
	for n, s := range ss {
		ss[n] = w.record(ctx, s, time.Now())
	}
	if r := f.c.Revision(); r < revision {
		ss = append(ss, config.NodeStatus{Node: f.c.Node, Domain: string(f.c.Domain), Revision: r, Reached: true})
	}
	return slices.DeleteFunc(ss, func(s config.NodeStatus) bool {
		w.upToDate[s.Node] = s.Reached && s.Revision >= revision
		return w.upToDate[s.Node]
	})
}

// Timeline merges the events of all nodes that are stamped later than after, up to
// limit events per node.
func (f *Fleet) Timeline(ctx context.Context, after event.Stamp, limit int) timeline.Timeline {
	limit = min(max(limit, 1), maxEvents)
	own := timeline.NodeEvents{Node: f.c.Node, Reached: true}
	own.Events, own.Overwritten = f.c.Log.Since(after, limit)
	parts := forEachPeer(f.c.Peers(), func(p health.Peer) timeline.NodeEvents { return f.nodeEvents(ctx, p, after, limit) })
	return timeline.Merge(append([]timeline.NodeEvents{own}, parts...))
}

// nodeEvents fetches the events of one node.
func (f *Fleet) nodeEvents(ctx context.Context, p health.Peer, after event.Stamp, limit int) timeline.NodeEvents {
	ne := timeline.NodeEvents{Node: p.ID}
	r, err := call(ctx, f, p, func(ctx context.Context, c observerpc.DRPCObserveClient) (*observerpc.EventsReply, error) {
		return c.Events(ctx, &observerpc.EventsRequest{Now: encodeStamp(f.c.Clock.Stamp()), After: encodeStamp(after), Limit: uint32(limit)})
	})
	if err != nil || r.Node != p.ID || len(r.Events) > limit {
		return ne
	}
	f.c.Clock.Observe(decodeStamp(r.Now))
	ne.Reached, ne.Overwritten = true, r.Lost
	for _, e := range r.Events {
		ne.Events = append(ne.Events, decodeEvent(e, p.ID))
	}
	return ne
}

// call connects to node p and calls do with a client for it, within callTimeout.
func call[R any](ctx context.Context, f *Fleet, p health.Peer, do func(context.Context, observerpc.DRPCObserveClient) (R, error)) (R, error) {
	var zero R
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	conn, err := f.c.Dial(ctx, p.Addr)
	if err != nil {
		return zero, errors.Annotatef(err, "connecting to node %s", p.ID)
	}
	r, err := do(ctx, observerpc.NewDRPCObserveClient(conn))
	if err != nil {
		return zero, errors.Annotatef(err, "calling node %s", p.ID)
	}
	return r, nil
}

// forEachPeer calls f for all peers, with up to maxParallelCalls calls in parallel,
// and returns the results sorted by peer ID.
func forEachPeer[R any](ps []health.Peer, f func(health.Peer) R) []R {
	ps = slices.SortedFunc(slices.Values(ps), func(a, b health.Peer) int { return strings.Compare(a.ID, b.ID) })
	out := make([]R, len(ps))
	slots := make(chan struct{}, maxParallelCalls)
	var wg sync.WaitGroup
	for i, p := range ps {
		slots <- struct{}{}
		wg.Go(func() {
			out[i] = f(p)
			<-slots
		})
	}
	wg.Wait()
	return out
}
