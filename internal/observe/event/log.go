package event

import (
	"fmt"
	"sync"

	"github.com/phuslu/log"
)

// maxPerSecond limits the events of one number that are recorded per second, so that
// one kind of event cannot displace the others from the ring buffer. The detail of
// the next recorded event contains the number of suppressed events.
const maxPerSecond = 100

// Config configures a Log.
type Config struct {
	// Node is the ID of the VM on which the process runs.
	Node string
	// Stamp returns a new timestamp of the process's hybrid logical clock.
	Stamp func() Stamp
	// Capacity is the capacity of the ring buffer in events. Values below 1 count
	// as 1.
	Capacity int
	// Logger receives each recorded event. If nil, events are not logged.
	Logger *log.Logger
}

// Log is a Sink that keeps the latest events in a ring buffer and writes each to a
// structured log. It is safe for concurrent use.
type Log struct {
	c  Config
	mu sync.Mutex
	// ring is the ring buffer. Once it is full, oldest is the index of its
	// oldest event.
	ring   []Event
	oldest int
	// overwritten is the number of events overwritten in the ring buffer.
	overwritten uint64
	counts      map[Number]uint64
	rates       map[Number]rate
}

// rate counts the events of one number in the current second of the clock.
type rate struct {
	second int64
	count  int
	// suppressed is the number of events suppressed since the last recorded one.
	suppressed int
}

// New returns an empty log.
func New(c Config) *Log {
	c.Capacity = max(c.Capacity, 1)
	return &Log{c: c, counts: make(map[Number]uint64), rates: make(map[Number]rate)}
}

// SetLevel sets the lowest severity that is logged.
func (l *Log) SetLevel(v log.Level) {
	if l.c.Logger != nil {
		l.c.Logger.SetLevel(v)
	}
}

// Emit records an event and logs it, unless the events of its number exceed the rate
// limit.
func (l *Log) Emit(n Number, subject, detail string) {
	e := Event{Number: n, Name: n.Name(), Node: l.c.Node, Subject: subject, Detail: detail}
	if !l.add(&e) || l.c.Logger == nil {
		return
	}
	entry := l.c.Logger.WithLevel(severity(n)).Int("event", int(n)).Str("name", e.Name)
	entry.Int64("wall_ms", e.Stamp.WallMS).Uint32("logical", e.Stamp.Logical)
	if subject != "" {
		entry = entry.Str("subject", subject)
	}
	entry.Msg(e.Detail)
}

// EmitFields is like Emit, but fields adds further fields to the log line. The ring
// buffer contains only the subject. fields is not called for suppressed events.
func (l *Log) EmitFields(n Number, subject string, fields func(*log.Entry)) {
	e := Event{Number: n, Name: n.Name(), Node: l.c.Node, Subject: subject}
	if !l.add(&e) || l.c.Logger == nil {
		return
	}
	entry := l.c.Logger.WithLevel(severity(n))
	if entry == nil {
		return
	}
	entry = entry.Int("event", int(n)).Str("name", e.Name).Int64("wall_ms", e.Stamp.WallMS).Str("subject", subject)
	fields(entry)
	entry.Msg(e.Detail)
}

// add sets the timestamp of e and appends e to the ring buffer. It returns false if
// e is suppressed. Creating the timestamp under the lock keeps the ring buffer sorted.
func (l *Log) add(e *Event) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	e.Stamp = l.c.Stamp()
	l.counts[e.Number]++
	if !l.allow(e) {
		return false
	}
	if len(l.ring) < l.c.Capacity {
		l.ring = append(l.ring, *e)
		return true
	}
	l.ring[l.oldest] = *e
	l.oldest = (l.oldest + 1) % l.c.Capacity
	l.overwritten++
	return true
}

// allow reports whether e is within the rate limit of its number. If so, it adds the
// number of events suppressed before e to the detail.
func (l *Log) allow(e *Event) bool {
	r := l.rates[e.Number]
	if second := e.Stamp.WallMS / 1000; second != r.second {
		r.second, r.count = second, 0
	}
	ok := r.count < maxPerSecond
	switch {
	case !ok:
		r.suppressed++
	case r.suppressed > 0:
		e.Detail = fmt.Sprintf("%s (%d earlier events suppressed)", e.Detail, r.suppressed)
		r.suppressed = 0
	}
	r.count++
	l.rates[e.Number] = r
	return ok
}

// Since returns up to limit events with a timestamp later than s, the oldest first,
// and the total number of events overwritten in the ring buffer.
func (l *Log) Since(s Stamp, limit int) (es []Event, overwritten uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.ring {
		e := l.ring[(l.oldest+i)%len(l.ring)]
		if len(es) == limit {
			break
		}
		if e.Stamp.After(s) {
			es = append(es, e)
		}
	}
	return es, l.overwritten
}

// Counts returns the number of emitted events by event number, including suppressed
// ones.
func (l *Log) Counts() map[Number]uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[Number]uint64, len(l.counts))
	for n, c := range l.counts {
		out[n] = c
	}
	return out
}

// After reports whether s is later than o.
func (s Stamp) After(o Stamp) bool {
	if s.WallMS != o.WallMS {
		return s.WallMS > o.WallMS
	}
	return s.Logical > o.Logical
}
