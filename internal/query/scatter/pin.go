package scatter

import (
	"context"
	"time"

	"egrethaven/internal/platform/pause"
	"egrethaven/internal/query/outcome"
)

const (
	// mostPinWait bounds the wait for a complete version of the index.
	mostPinWait = time.Second
	// pinPause is the time between two looks for one.
	pinPause = 5 * time.Millisecond
)

// pinInTime pins a version. While searchers take up a new version there may
// be a moment without a complete one: it waits for the end of it, for a part
// of the time left.
func (r *run) pinInTime(ctx context.Context) bool {
	now := time.Now()
	end := now.Add(min(mostPinWait, r.ask.Deadline.Sub(now)/2))
	for !r.pin() {
		if r.e.c.Source.Index(r.def.Service).Newest() == 0 || time.Now().After(end) || ctx.Err() != nil {
			return false
		}
		pause.Sleep(ctx, pinPause)
	}
	r.pinWait += time.Since(now)
	return true
}

// pin chooses the version: the newest complete one, or for a caller who
// accepts a partial answer the newest of all. After a restart only a newer
// version than before will do.
func (r *run) pin() bool {
	x := r.e.c.Source.Index(r.def.Service)
	vs := x.Versions()
	v := x.Newest()
	if len(vs) > 0 {
		v = vs[0]
	} else if !r.ask.AcceptPartial {
		v = 0
	}
	if v == 0 || v <= r.version {
		return false
	}
	r.version = v
	shards := x.Shards(v)
	r.shards = make([]shardState, len(shards))
	for i, s := range shards {
		r.shards[i] = shardState{Shard: s}
	}
	r.open = len(shards)
	r.gaveUp = false
	r.why = outcome.None
	r.restart = false
	return true
}
