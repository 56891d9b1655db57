package instance

import (
	"fmt"
	"math"
	"time"

	"egrethaven/internal/observe/event"
)

// loggedLimitChange is the relative change of a limit from which on it is logged.
const loggedLimitChange = 0.2

// sendLimit is what is known of the limit that the searcher named.
type sendLimit struct {
	// perSecond is the number of requests that the searcher accepts from all VMs
	// together; valid if named.
	perSecond float64
	named     bool
	// namedAt is when the last answer with a limit arrived.
	namedAt time.Time
	// logged is the last limit in the log.
	logged float64
}

// RecordLimit records that the searcher accepts a number of requests a second from all
// VMs together.
func (i *Instance) RecordLimit(perSecond float64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	l := &i.limit
	if !l.named || math.Abs(perSecond-l.logged) > loggedLimitChange*l.logged {
		l.logged = perSecond
		i.c.Events.Emit(event.SearcherLimited, i.s.ID, fmt.Sprintf("accepts %g requests/s from all VMs together", perSecond))
	}
	l.perSecond, l.named, l.namedAt = perSecond, true, time.Now()
}

// RecordNoLimit records that the searcher named no limit in the answer to a request.
// It ends a limit that was named before the request was sent.
func (i *Instance) RecordNoLimit(sentAt time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.limit.named || sentAt.Before(i.limit.namedAt) {
		return
	}
	i.limit = sendLimit{}
	i.c.Events.Emit(event.SearcherUnlimited, i.s.ID, "")
}

// RecordUnreadableLimit records that the searcher named a limit that is not a number.
func (i *Instance) RecordUnreadableLimit(text string) {
	const maxLogged = 40
	i.c.Events.Emit(event.LimitUnreadable, i.Searcher().ID, fmt.Sprintf("%.*q", maxLogged, text))
}
