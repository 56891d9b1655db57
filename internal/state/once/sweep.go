package once

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"egrethaven/internal/observe/event"
	"egrethaven/internal/platform/kv"
	"egrethaven/internal/platform/pause"
)

const (
	// sweepBack is how many hours before the retention are searched.
	sweepBack = 26
	// deleteInterval is the time between two deletions.
	deleteInterval = 200 * time.Millisecond
	// sweepTimeout bounds one call of the sweep.
	sweepTimeout = 10 * time.Second
)

// sweepLoop deletes expired buckets now and then.
func (s *Store) sweepLoop() {
	for {
		i := s.config.SweepInterval
		if !pause.Sleep(s.ctx, i/2+s.jitter(i)) {
			return
		}
		s.sweep(time.Now())
	}
}

// sweep deletes the buckets of the expired hours that this node owns.
func (s *Store) sweep(now time.Time) {
	last := now.Add(-s.config.Retention-s.config.Margin).UnixMilli()/time.Hour.Milliseconds() - 1
	for h := last - sweepBack + 1; h <= last && s.ctx.Err() == nil; h++ {
		if _, other := s.owners.of(prefix(h), now); !other {
			s.sweepHour(h)
		}
	}
}

func (s *Store) sweepHour(hour int64) {
	ctx, cancel := context.WithTimeout(s.ctx, sweepTimeout)
	es, st := s.config.Store.List(ctx, prefix(hour))
	cancel()
	if st != kv.OK || len(es) == 0 {
		return
	}
	n := 0
	for _, e := range es {
		if !pause.Sleep(s.ctx, deleteInterval) {
			return
		}
		ctx, cancel := context.WithTimeout(s.ctx, sweepTimeout)
		st := s.config.Store.Delete(ctx, e.Key, e.Revision)
		cancel()
		if st == kv.Unavailable {
			return
		}
		n++
	}
	s.counts.deleted.Add(int64(n))
	s.config.Events.Emit(event.BucketDeleted, strings.TrimSuffix(prefix(hour), "/"), fmt.Sprint(strconv.Itoa(n), " buckets"))
}
