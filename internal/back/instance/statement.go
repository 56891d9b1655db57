package instance

import (
	"fmt"
	"time"

	"egrethaven/internal/observe/event"
)

const (
	// maxWait bounds the time for which a searcher gets no requests because it asked for
	// that.
	maxWait = 10 * time.Minute
	// resumeCheckInterval is the wait that is assumed while the one request after such a
	// time has no answer.
	resumeCheckInterval = 20 * time.Millisecond
	// maxLoggedText is the length in bytes to which the text of a header is cut.
	maxLoggedText = 40
)

// RecordLeaving records that the searcher said that it is about to stop. It gets no new
// requests and connections; requests under way end.
func (i *Instance) RecordLeaving() {
	i.mu.Lock()
	known := i.leaving
	i.leaving = true
	i.mu.Unlock()
	if known {
		return
	}
	i.c.Events.Emit(event.SearcherDraining, i.Searcher().ID, "says in an answer that it is leaving")
	i.Drain()
	i.c.OnLeaving()
}

// RecordWait records that the searcher wants no request from this VM for a while.
func (i *Instance) RecordWait(d time.Duration) {
	now := time.Now()
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.resuming {
		i.c.Events.Emit(event.SearcherWaiting, i.s.ID, fmt.Sprintf("wants no request for %s", d))
	}
	i.resuming = true
	if until := now.Add(min(d, maxWait)); until.After(i.waitUntil) {
		i.waitUntil = until
	}
}

// Waiting reports whether the searcher wants no request from this VM now.
func (i *Instance) Waiting(now time.Time) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return now.Before(i.waitUntil)
}

// endWait records an answer that is no refusal: after the time in which the searcher
// wanted no request, it takes more than one at a time again. The caller holds the lock.
func (i *Instance) endWait(now time.Time) {
	if i.resuming && !now.Before(i.waitUntil) {
		i.resuming = false
		i.c.Events.Emit(event.SearcherReturned, i.s.ID, "takes requests again after the time that it named")
	}
}

// RecordUnreadableWait records that the searcher named a time that is not a number.
func (i *Instance) RecordUnreadableWait(text string) {
	i.c.Events.Emit(event.WaitUnreadable, i.Searcher().ID, fmt.Sprintf("%.*q", maxLoggedText, text))
}
