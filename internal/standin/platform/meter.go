package platform

import (
	"time"

	"egrethaven/internal/platform/tokenbucket"
)

// Stats counts the calls received. A watch counts once, however long it
// waits.
type Stats struct {
	Reads   int `json:"reads"`
	Writes  int `json:"writes"`
	Watches int `json:"watches"`
	Lists   int `json:"lists"`
	// WaitingWatches is the number of watches waiting now.
	WaitingWatches int `json:"waiting"`
	// Refused is the number of calls refused without effect; they are also
	// counted by kind.
	Refused int `json:"refused"`
	// LostAnswers is the number of calls that took effect but whose answer was
	// dropped.
	LostAnswers int `json:"lost"`
	// PeakReads and PeakWrites are the maximum calls in one second of the
	// clock; PeakReads includes watches.
	PeakReads  int `json:"peak_reads"`
	PeakWrites int `json:"peak_writes"`
}

// callKind classifies calls for the counters and rate limits.
type callKind int

const (
	readCall callKind = iota
	writeCall
	watchCall
	listCall
)

// callCounter counts calls in total and in the current second.
type callCounter struct {
	total         Stats
	second        int64
	reads, writes int
}

// count records one call.
func (c *callCounter) count(k callKind, now time.Time) {
	if s := now.Unix(); s != c.second {
		c.second, c.reads, c.writes = s, 0, 0
	}
	switch k {
	case readCall:
		c.total.Reads++
		c.reads++
	case watchCall:
		c.total.Watches++
		c.reads++
	case writeCall:
		c.total.Writes++
		c.writes++
	case listCall:
		c.total.Lists++
	}
	c.total.PeakReads = max(c.total.PeakReads, c.reads)
	c.total.PeakWrites = max(c.total.PeakWrites, c.writes)
}

// allow reports whether a token bucket with a burst of one second allows a
// call; a perSecond of 0 means no limit.
func allow(b *tokenbucket.Bucket, perSecond float64, now time.Time) bool {
	return perSecond <= 0 || b.Allow(now, tokenbucket.Rate{PerSecond: perSecond, Burst: perSecond})
}

// Stats returns the counters since the start or the last ResetStats.
func (p *Platform) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls.total
}

// ResetStats resets all counters except WaitingWatches.
func (p *Platform) ResetStats() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls = callCounter{total: Stats{WaitingWatches: p.calls.total.WaitingWatches}}
}

// admit counts a call. It returns 0, or the HTTP status with which the call
// is refused.
func (p *Platform) admit(k callKind) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.calls.count(k, now)
	ok := true
	switch k {
	case writeCall:
		ok = allow(&p.writeTokens, p.faults.WritesPerSecond, now)
	case readCall, watchCall:
		ok = allow(&p.readTokens, p.faults.ReadsPerSecond, now)
	}
	if p.faults.Down {
		p.calls.total.Refused++
		return statusDown
	}
	if !ok {
		p.calls.total.Refused++
		return statusThrottled
	}
	return 0
}
