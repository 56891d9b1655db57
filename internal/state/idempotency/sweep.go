package idempotency

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
	// sweepHours is the number of hours searched for buckets: those that
	// expired most recently.
	sweepHours = 26
	// deleteInterval is the pause before each deletion.
	deleteInterval = 200 * time.Millisecond
	// sweepCallTimeout bounds each call to the key-value service.
	sweepCallTimeout = 10 * time.Second
)

// sweepLoop runs a sweep after every jittered SweepInterval until the Store is
// closed.
func (s *Store) sweepLoop() {
	for {
		i := s.config.SweepInterval
		if !pause.Sleep(s.ctx, i/2+s.jitter(i)) {
			return
		}
		s.sweep(time.Now())
	}
}

// sweep deletes the buckets of expired hours. Each hour is swept by one node,
// the owner of its prefix.
func (s *Store) sweep(now time.Time) {
	last := now.Add(-s.config.Retention-s.config.ClockMargin).UnixMilli()/time.Hour.Milliseconds() - 1
	for h := last - sweepHours + 1; h <= last && s.ctx.Err() == nil; h++ {
		if _, other := s.owners.find(hourPrefix(h), now); !other {
			s.sweepHour(h)
		}
	}
}

func (s *Store) sweepHour(hour int64) {
	ctx, cancel := context.WithTimeout(s.ctx, sweepCallTimeout)
	es, st := s.config.Store.List(ctx, hourPrefix(hour))
	cancel()
	if st != kv.OK || len(es) == 0 {
		return
	}
	deleted := 0
	for _, e := range es {
		if !pause.Sleep(s.ctx, deleteInterval) {
			return
		}
		ctx, cancel := context.WithTimeout(s.ctx, sweepCallTimeout)
		st := s.config.Store.Delete(ctx, e.Key, e.Revision)
		cancel()
		if st == kv.Unavailable {
			return
		}
		deleted++
	}
	s.counters.deleted.Add(int64(deleted))
	s.config.Events.Emit(event.BucketDeleted, strings.TrimSuffix(hourPrefix(hour), "/"), fmt.Sprint(strconv.Itoa(deleted), " buckets"))
}
