// Package fleet lets one node see all others for its operators: their events,
// their evidence of health, and the configuration that each has in force.
//
// Nothing is exchanged until it is asked for. Requests and replies are bounded
// in size, and a node that does not answer in time is named, not left out.
//
// # Usage
//
//	f := fleet.New(fleet.Config{Node: id, Domain: d, Clock: c, Log: l, Health: collector.Local, Revision: rev, Peers: peers, Dial: dialer.Conn})
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

	"egrethaven/internal/observe/clock"
	"egrethaven/internal/observe/event"
	"egrethaven/internal/observe/health"
	"egrethaven/internal/observe/timeline"
	"egrethaven/internal/peer/observerpc"
	"egrethaven/internal/state/config"
	"egrethaven/internal/world/zone"
)

const (
	// callTimeout bounds one call to another node.
	callTimeout = time.Second
	// parallel is how many nodes are asked at a time.
	parallel = 64
	// maxEvents bounds the events in one reply.
	maxEvents = 4096
	// maxStates bounds the searches in one reply, and maxGaps the gaps of each.
	maxStates = 4096
	maxGaps   = 64
	// maxText bounds the subject and the detail of an event, in bytes.
	maxText = 400
	// waitPause is the time between two looks at nodes that lag behind.
	waitPause = 100 * time.Millisecond
)

// Config sets up a Fleet.
type Config struct {
	Node   string
	Domain zone.Domain
	Clock  *clock.Clock
	Log    *event.Log
	// Health returns the report by this node's own evidence.
	Health func() health.Report
	// Revision returns the revision of the configuration in force here.
	Revision func() uint64
	// Peers returns the other entry VMs that count as live.
	Peers func() []health.Peer
	// Dial returns a connection to another node.
	Dial func(ctx context.Context, addr string) (drpc.Conn, error)
}

// Fleet asks other nodes and answers them.
type Fleet struct {
	c Config
}

// New returns a Fleet.
func New(c Config) *Fleet {
	return &Fleet{c: c}
}

// Register makes the node answer others on a server's mux.
func (f *Fleet) Register(m drpc.Mux) error {
	return errors.Trace(observerpc.DRPCRegisterObserve(m, &service{c: f.c}))
}

// Fetch asks a node for its own report.
func (f *Fleet) Fetch(ctx context.Context, p health.Peer) (health.Report, error) {
	r, err := call(ctx, f, p, func(ctx context.Context, c observerpc.DRPCObserveClient) (*observerpc.HealthReply, error) {
		return c.Health(ctx, &observerpc.HealthRequest{})
	})
	if err != nil {
		return health.Report{}, errors.Trace(err)
	}
	return reportOf(r, time.Now()), nil
}

// Status returns the configuration in force on each node, this one first.
func (f *Fleet) Status(ctx context.Context) []config.NodeStatus {
	own := config.NodeStatus{Node: f.c.Node, Domain: string(f.c.Domain), Revision: f.c.Revision(), Reached: true}
	return append([]config.NodeStatus{own}, each(f.c.Peers(), func(p health.Peer) config.NodeStatus { return f.status(ctx, p) })...)
}

// status asks one node for its configuration.
func (f *Fleet) status(ctx context.Context, p health.Peer) config.NodeStatus {
	s := config.NodeStatus{Node: p.ID, Domain: string(p.Domain)}
	begin := time.Now()
	r, err := call(ctx, f, p, func(ctx context.Context, c observerpc.DRPCObserveClient) (*observerpc.StatusReply, error) {
		return c.Status(ctx, &observerpc.StatusRequest{})
	})
	if err != nil || r.Node != p.ID {
		return s
	}
	s.Revision, s.Reached, s.AgeMS = r.Revision, true, time.Since(begin).Milliseconds()
	return s
}

// Wait returns once all live nodes have a configuration of at least revision
// in force, or at the end of ctx the nodes that were not seen to.
func (f *Fleet) Wait(ctx context.Context, revision uint64) []config.NodeStatus {
	done := make(map[string]bool)
	for {
		behind := f.behind(ctx, revision, done)
		if len(behind) == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return behind
		case <-time.After(waitPause):
		}
	}
}

// behind asks the nodes that are not done and returns those still behind.
func (f *Fleet) behind(ctx context.Context, revision uint64, done map[string]bool) []config.NodeStatus {
	peers := slices.DeleteFunc(slices.Clone(f.c.Peers()), func(p health.Peer) bool { return done[p.ID] })
	ss := each(peers, func(p health.Peer) config.NodeStatus { return f.status(ctx, p) })
	if r := f.c.Revision(); r < revision {
		ss = append(ss, config.NodeStatus{Node: f.c.Node, Domain: string(f.c.Domain), Revision: r, Reached: true})
	}
	return slices.DeleteFunc(ss, func(s config.NodeStatus) bool {
		done[s.Node] = s.Reached && s.Revision >= revision
		return done[s.Node]
	})
}

// Timeline merges the events after a stamp over all nodes; of each node at
// most limit.
func (f *Fleet) Timeline(ctx context.Context, after event.Stamp, limit int) timeline.Line {
	limit = min(max(limit, 1), maxEvents)
	own := timeline.Part{Node: f.c.Node, Reached: true}
	own.Events, own.Lost = f.c.Log.Since(after, limit)
	parts := each(f.c.Peers(), func(p health.Peer) timeline.Part { return f.part(ctx, p, after, limit) })
	return timeline.Merge(append([]timeline.Part{own}, parts...))
}

// part asks one node for its events.
func (f *Fleet) part(ctx context.Context, p health.Peer, after event.Stamp, limit int) timeline.Part {
	part := timeline.Part{Node: p.ID}
	r, err := call(ctx, f, p, func(ctx context.Context, c observerpc.DRPCObserveClient) (*observerpc.EventsReply, error) {
		return c.Events(ctx, &observerpc.EventsRequest{Now: stampTo(f.c.Clock.Stamp()), After: stampTo(after), Limit: uint32(limit)})
	})
	if err != nil || r.Node != p.ID || len(r.Events) > limit {
		return part
	}
	f.c.Clock.Observe(stampOf(r.Now))
	part.Reached, part.Lost = true, r.Lost
	for _, e := range r.Events {
		part.Events = append(part.Events, eventOf(e, p.ID))
	}
	return part
}

// call makes one call to a node.
func call[R any](ctx context.Context, f *Fleet, p health.Peer, do func(context.Context, observerpc.DRPCObserveClient) (R, error)) (R, error) {
	var zero R
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	conn, err := f.c.Dial(ctx, p.Addr)
	if err != nil {
		return zero, errors.Annotatef(err, "asking %s", p.ID)
	}
	r, err := do(ctx, observerpc.NewDRPCObserveClient(conn))
	if err != nil {
		return zero, errors.Annotatef(err, "asking %s", p.ID)
	}
	return r, nil
}

// each runs ask for all peers, some at a time, and keeps their order by id.
func each[R any](ps []health.Peer, ask func(health.Peer) R) []R {
	ps = slices.SortedFunc(slices.Values(ps), func(a, b health.Peer) int { return strings.Compare(a.ID, b.ID) })
	out := make([]R, len(ps))
	slots := make(chan struct{}, parallel)
	var wg sync.WaitGroup
	for i, p := range ps {
		slots <- struct{}{}
		wg.Go(func() {
			out[i] = ask(p)
			<-slots
		})
	}
	wg.Wait()
	return out
}
