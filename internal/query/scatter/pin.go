package scatter

import (
	"context"
	"time"

	"egrethaven/internal/platform/pause"
	"egrethaven/internal/query/outcome"
)

const (
	// maxVersionWait is the longest wait for a complete version of the index.
	maxVersionWait = time.Second
	// versionPollInterval is the time between two checks for such a version.
	versionPollInterval = 5 * time.Millisecond
)

// waitForVersion pins a version and reports whether it succeeded. There may be
// no complete version for a moment while searchers switch to a new one, so it
// polls for up to half of the time left.
func (r *run) waitForVersion(ctx context.Context) bool {
	now := time.Now()
	end := now.Add(min(maxVersionWait, r.query.Deadline.Sub(now)/2))
	for !r.pinVersion() {
		if r.e.c.Source.Index(r.def.Service).Newest() == 0 || time.Now().After(end) || ctx.Err() != nil {
			return false
		}
		pause.Sleep(ctx, versionPollInterval)
	}
	r.versionWait += time.Since(now)
	return true
}

// pinVersion selects the newest complete version or, if there is none and the
// caller accepts a partial answer, the newest version. After a restart the
// version has to be newer than the previous one. It returns false if there is
// no such version.
func (r *run) pinVersion() bool {
	x := r.e.c.Source.Index(r.def.Service)
	vs := x.Versions()
	v := x.Newest()
	if len(vs) > 0 {
		v = vs[0]
	} else if !r.query.AcceptPartial {
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
	r.openShards = len(shards)
	r.gaveUp = false
	r.firstGap = outcome.None
	r.restart = false
	return true
}

// hasNewerVersion reports whether a complete version is newer than that of the query.
func (r *run) hasNewerVersion() bool {
	vs := r.e.c.Source.Index(r.def.Service).Versions()
	return len(vs) > 0 && vs[0] > r.version
}
