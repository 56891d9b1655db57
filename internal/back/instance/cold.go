package instance

import (
	"time"

	"egrethaven/internal/back/windowlimit"
	"egrethaven/internal/state/registry"
)

// ColdWindow is the window in which requests to a cold searcher are counted. Their
// number in any second at the searcher is limited. The rest is for differences in the time
// that requests take to arrive there, such as during its pauses.
const ColdWindow = 1500 * time.Millisecond

// maxColdTime bounds the time for which a searcher may say that it is cold.
const maxColdTime = 10 * time.Minute

// SetColdShare sets the number of requests that this VM may send to the searcher in any
// ColdWindow while the searcher is cold; a negative number means no limit.
func (i *Instance) SetColdShare(requests int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if requests < 0 {
		i.coldLimiter = nil
		return
	}
	if i.coldLimiter == nil {
		i.coldLimiter = windowlimit.New(time.Now(), ColdWindow)
	}
	i.coldLimiter.SetMax(requests)
}

// RecordCold records that the searcher said in the answer to a request that it will be cold
// for a time. It replaces what was known before the request was sent.
func (i *Instance) RecordCold(sentAt time.Time, d time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := time.Now()
	until := now.Add(min(d, maxColdTime))
	if sentAt.Before(i.coldSaidAt) && until.Before(i.coldUntil) {
		return
	}
	i.coldUntil, i.coldByEntry = until, false
	if d > 0 {
		i.coldSaidAt = now
	}
}

// noteColdEntry records what a registry entry says of coldness. An entry that is read again
// says nothing new: its time counts from when it was written, so that the first reading is
// the most accurate. A new entry may have been written before the last answer, and only
// prolongs what that said. The caller holds the lock.
func (i *Instance) noteColdEntry(now time.Time, s registry.Searcher) {
	switch {
	case s.StartedMs != 0 && s.Seq == i.s.Seq && !i.coldSaidAt.IsZero():
	case s.ColdUntil.After(i.coldUntil):
		i.coldUntil, i.coldSaidAt, i.coldByEntry = s.ColdUntil, now, true
	case i.coldByEntry && s.StartedMs != 0:
		i.coldUntil = s.ColdUntil
	}
}

// coldFor returns how long the searcher will be cold; 0 if it is not. The caller holds the
// lock.
func (i *Instance) coldFor(now time.Time) time.Duration {
	return max(i.coldUntil.Sub(now), 0)
}

// coldWait returns the time until a request may be sent if others are queued ahead of it, by
// the limit on cold searchers; 0 for at once. The caller holds the lock.
func (i *Instance) coldWait(now time.Time, ahead int) time.Duration {
	if i.coldLimiter == nil {
		return 0
	}
	left := i.coldFor(now)
	if left == 0 {
		return 0
	}
	if wait, ok := i.coldLimiter.Wait(now, ahead); ok {
		return min(wait, left)
	}
	return left
}

// coldSpare returns the share of the requests that the limit on cold searchers permits at
// once, 0 to 1; 1 without a limit. The caller holds the lock.
func (i *Instance) coldSpare(now time.Time, queued int) float64 {
	if i.coldLimiter == nil || i.coldFor(now) == 0 {
		return 1
	}
	return i.coldLimiter.Spare(now, queued)
}

// takePermit takes the permission to send a request now. The caller holds the lock.
func (i *Instance) takePermit(now time.Time) {
	i.limiter.Take(now)
	if i.coldLimiter != nil {
		i.coldLimiter.Take(now)
	}
}

// returnPermit returns the permission taken at a time for a request that was not sent. The
// caller holds the lock.
func (i *Instance) returnPermit(at time.Time) {
	i.limiter.Return()
	if i.coldLimiter != nil {
		i.coldLimiter.Return(at)
	}
}
