// Package relay serves VMs that follow the platform's store through this VM, and
// aggregates their observations of searchers and their retry usage.
//
// # Usage
//
//	r := relay.New(relay.Config{Log: log, HealthScores: scores, RetryPool: pool})
//	err := relayrpc.DRPCRegisterRelay(server.Mux(), r)
package relay

import (
	"context"
	"time"

	"github.com/juju/errors"

	"egrethaven/internal/back/healthscore"
	"egrethaven/internal/infra/boottime"
	"egrethaven/internal/peer/relayrpc"
	"egrethaven/internal/query/retrypool"
	"egrethaven/internal/state/changelog"
	"egrethaven/internal/state/follow"
)

// maxWait limits how long a call to Follow waits for changes.
const maxWait = 10 * time.Second

// Config configures a Relay.
type Config struct {
	// Log holds the changes that this VM has read from the store.
	Log *changelog.Log
	// HealthScores aggregates the observations of searchers.
	HealthScores *healthscore.Aggregator
	// RetryPool aggregates the numbers of first and extra sends to services.
	RetryPool *retrypool.Pool
	// Quota answers the calls of VMs whose quotas this VM coordinates; nil for none.
	Quota func(vm string, in *relayrpc.QuotaCall) (*relayrpc.QuotaReply, error)
}

// Relay implements the Relay service of relay.proto. Its methods are called by drpc.
type Relay struct{ c Config }

// New returns a relay.
func New(c Config) *Relay { return &Relay{c: c} }

// Follow returns the changes after a position, or none after the requested wait. The
// outcome is UNAVAILABLE if this VM does not watch the store itself or cannot reach
// it, COMPACTED if the changes are no longer known, and RESTORED if the store was
// restored since.
func (r *Relay) Follow(ctx context.Context, in *relayrpc.FollowRequest) (*relayrpc.FollowReply, error) {
	wait := min(max(time.Duration(in.GetWaitMs())*time.Millisecond, 0), maxWait)
	arrivedAt := boottime.Now()
	u, err := r.c.Log.Wait(ctx, follow.Position{Era: follow.Era(in.GetEra()), Revision: follow.Revision(in.GetAfter())}, wait)
	switch {
	case errors.Is(err, changelog.ErrUnavailable):
		return &relayrpc.FollowReply{Outcome: relayrpc.FollowReply_UNAVAILABLE}, nil
	case errors.Is(err, follow.ErrCompacted):
		return &relayrpc.FollowReply{Outcome: relayrpc.FollowReply_COMPACTED}, nil
	case errors.Is(err, follow.ErrRestored):
		return &relayrpc.FollowReply{Outcome: relayrpc.FollowReply_RESTORED}, nil
	case err != nil:
		return nil, errors.Trace(err)
	}
	return &relayrpc.FollowReply{Revision: int64(u.Position.Revision), Era: int64(u.Position.Era), Changes: encode(u.Changes), KnownMs: u.KnownAt.Sub(arrivedAt).Milliseconds()}, nil
}

// Snapshot returns all entries of the store, even if it cannot be reached. The outcome
// is UNAVAILABLE if this VM does not know all entries.
func (r *Relay) Snapshot(context.Context, *relayrpc.SnapshotRequest) (*relayrpc.SnapshotReply, error) {
	all, at, ok := r.c.Log.Entries()
	if !ok {
		return &relayrpc.SnapshotReply{Outcome: relayrpc.FollowReply_UNAVAILABLE}, nil
	}
	return &relayrpc.SnapshotReply{Revision: int64(at.Revision), Era: int64(at.Era), Entries: encode(all)}, nil
}

// encode converts changes to messages.
func encode(cs []follow.Change) []*relayrpc.Change {
	out := make([]*relayrpc.Change, len(cs))
	for i, c := range cs {
		out[i] = &relayrpc.Change{Key: c.Key, Value: c.Value, Revision: int64(c.Revision), Deleted: c.Deleted}
	}
	return out
}

// Share adds a VM's observations and retry usage to the aggregate of all VMs, and
// returns it. A call about quotas has only that part, and so has the reply.
func (r *Relay) Share(_ context.Context, in *relayrpc.ShareRequest) (*relayrpc.ShareReply, error) {
	if c := in.GetQuota(); c != nil && r.c.Quota != nil {
		q, err := r.c.Quota(in.GetVm(), c)
		return &relayrpc.ShareReply{Quota: q}, errors.Trace(err)
	}
	now := time.Now()
	for _, o := range in.GetObservations() {
		r.c.HealthScores.Add(now, healthscore.Observation{Searcher: healthscore.Process{ID: o.GetSearcher(), StartedMs: o.GetBorn()},
			Requests: int(o.GetAnswers()), LatencyRatioSum: o.GetRatios(), Failures: int(o.GetFailures())})
	}
	usage := make([]retrypool.Usage, 0, len(in.GetUsage()))
	for _, u := range in.GetUsage() {
		usage = append(usage, retrypool.Usage{Service: u.GetService(), First: int(u.GetFirst()), Extra: int(u.GetExtra())})
	}
	r.c.RetryPool.Report(now, in.GetVm(), usage)
	out := &relayrpc.ShareReply{}
	for service, l := range r.c.RetryPool.Levels(now) {
		if l == retrypool.Spent {
			out.Spent = append(out.Spent, service)
		} else {
			out.Scarce = append(out.Scarce, service)
		}
	}
	for _, s := range r.c.HealthScores.Scores(now) {
		out.Scores = append(out.Scores, &relayrpc.Score{Searcher: s.Searcher.ID, Born: s.Searcher.StartedMs,
			Factor: s.SlowdownFactor, Failures: s.FailureRate, AgeMs: s.Age.Milliseconds()})
	}
	return out, nil
}
