package instance

import (
	"fmt"
	"math"
	"time"

	"egrethaven/internal/observe/event"
)

// loggedLimitChange is the relative change of a limit from which on it is logged.
const loggedLimitChange = 0.2

// RecordLimit records that the searcher accepts a number of requests a second from all
// VMs together.
func (i *Instance) RecordLimit(perSecond float64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := time.Now()
	_, named := i.limiter.Named()
	if i.limiter.Name(now, perSecond); !named || math.Abs(perSecond-i.loggedLimit) > loggedLimitChange*i.loggedLimit {
		i.loggedLimit = perSecond
		i.c.Events.Emit(event.SearcherLimited, i.s.ID, fmt.Sprintf("accepts %g requests/s from all VMs together, %.2f from this one", perSecond, i.c.LimitShare(i.s.ID, perSecond)))
	}
}

// RecordNoLimit records that the searcher named no limit in the answer to a request.
// It ends a limit that was named before the request was sent.
func (i *Instance) RecordNoLimit(sentAt time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.limiter.End(sentAt) {
		i.c.Events.Emit(event.SearcherUnlimited, i.s.ID, "")
	}
}

// RecordUnreadableLimit records that the searcher named a limit that is not a number.
func (i *Instance) RecordUnreadableLimit(text string) {
	const maxLogged = 40
	i.c.Events.Emit(event.LimitUnreadable, i.Searcher().ID, fmt.Sprintf("%.*q", maxLogged, text))
}

// sendWait returns the time until a request may be sent if others are queued ahead of it,
// by what the searcher said; 0 for at once. The caller holds the lock.
func (i *Instance) sendWait(now time.Time, ahead int) time.Duration {
	wait := max(i.limiter.Wait(now, ahead), i.waitUntil.Sub(now), i.coldWait(now, ahead))
	if i.resuming && len(i.calls) > len(i.queue) {
		wait = max(wait, resumeCheckInterval)
	}
	return max(wait, 0)
}

// awaitLimit reports whether the searcher takes no request now, by what it said. It then
// schedules another run of dispatchQueued. The caller holds the lock.
func (i *Instance) awaitLimit(now time.Time) bool {
	wait := i.sendWait(now, 0)
	if wait == 0 {
		return false
	}
	if i.limitTimer != nil {
		i.limitTimer.Stop()
	}
	if i.ctx.Err() == nil {
		i.limitTimer = time.AfterFunc(wait, i.dispatchQueued)
	}
	return true
}
