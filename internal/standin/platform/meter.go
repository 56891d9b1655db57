package platform

import (
	"time"

	"egrethaven/internal/platform/tokenbucket"
)

// Stats counts the calls that arrived. A waiting watch is one call.
type Stats struct {
	Reads   int `json:"reads"`
	Writes  int `json:"writes"`
	Watches int `json:"watches"`
	Lists   int `json:"lists"`
	// Waiting is the number of watches that wait now.
	Waiting int `json:"waiting"`
	// Refused calls had no effect; they count as reads or writes too.
	Refused int `json:"refused"`
	// Lost answers belong to calls that took effect.
	Lost int `json:"lost"`
	// PeakReads and PeakWrites are the most in any one second; PeakReads
	// includes watches.
	PeakReads  int `json:"peak_reads"`
	PeakWrites int `json:"peak_writes"`
}

// kind is what a call counts as.
type kind int

const (
	readCall kind = iota
	writeCall
	watchCall
	listCall
)

// meter counts calls in total and in the current second.
type meter struct {
	total         Stats
	second        int64
	reads, writes int
}

// count notes one call.
func (m *meter) count(k kind, now time.Time) {
	if s := now.Unix(); s != m.second {
		m.second, m.reads, m.writes = s, 0, 0
	}
	switch k {
	case readCall:
		m.total.Reads++
		m.reads++
	case watchCall:
		m.total.Watches++
		m.reads++
	case writeCall:
		m.total.Writes++
		m.writes++
	case listCall:
		m.total.Lists++
	}
	m.total.PeakReads = max(m.total.PeakReads, m.reads)
	m.total.PeakWrites = max(m.total.PeakWrites, m.writes)
}

// take tells whether a call is within a ceiling of calls a second, which may
// be saved up for one second; 0 is no ceiling.
func take(b *tokenbucket.Bucket, ceiling float64, now time.Time) bool {
	return ceiling <= 0 || b.Allow(now, tokenbucket.Rate{PerSecond: ceiling, Burst: ceiling})
}

// Stats returns the counts so far.
func (p *Platform) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.meter.total
}

// ResetStats starts the counts anew.
func (p *Platform) ResetStats() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.meter = meter{total: Stats{Waiting: p.meter.total.Waiting}}
}

// admit counts a call and returns 0, or the HTTP status that refuses it.
func (p *Platform) admit(k kind) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.meter.count(k, now)
	ok := true
	switch k {
	case writeCall:
		ok = take(&p.writes, p.faults.WritesPerSecond, now)
	case readCall, watchCall:
		ok = take(&p.reads, p.faults.ReadsPerSecond, now)
	}
	if p.faults.Down {
		p.meter.total.Refused++
		return statusDown
	}
	if !ok {
		p.meter.total.Refused++
		return statusThrottled
	}
	return 0
}
