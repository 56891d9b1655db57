package event

import (
	"fmt"
	"sync"

	"github.com/phuslu/log"
)

// maxPerSecond is how many events of one number are kept and logged in a
// second, so that one kind cannot push out the others. What is left out is
// counted in the detail of the next one.
const maxPerSecond = 100

// Config sets up a Log.
type Config struct {
	// Node is the VM that the events happen on.
	Node string
	// Stamp reads the process's hybrid logical clock.
	Stamp func() Stamp
	// Size is how many events the ring holds; at least 1.
	Size int
	// Logger takes each event as a structured line; none when nil.
	Logger *log.Logger
}

// Log is a Sink that keeps the latest events in a ring and logs each. It is
// safe for concurrent use.
type Log struct {
	c  Config
	mu sync.Mutex
	// ring is filled in order; next is where the next event goes.
	ring []Event
	next int
	// lost counts events that were overwritten.
	lost   uint64
	counts map[Number]uint64
	rates  map[Number]rate
}

// rate is how many events of a number came in a second of the clock.
type rate struct {
	second int64
	kept   int
	// left counts those left out since the last that was kept.
	left int
}

// New returns an empty log.
func New(c Config) *Log {
	c.Size = max(c.Size, 1)
	return &Log{c: c, counts: make(map[Number]uint64), rates: make(map[Number]rate)}
}

// SetLevel changes the least severe level that is logged.
func (l *Log) SetLevel(v log.Level) {
	if l.c.Logger != nil {
		l.c.Logger.SetLevel(v)
	}
}

// Emit records one event.
func (l *Log) Emit(n Number, subject, detail string) {
	e := Event{Number: n, Name: n.Name(), Node: l.c.Node, Subject: subject, Detail: detail}
	if !l.add(&e) || l.c.Logger == nil {
		return
	}
	entry := l.c.Logger.WithLevel(level(n)).Int("event", int(n)).Str("name", e.Name)
	entry.Int64("wall_ms", e.Stamp.WallMS).Uint32("logical", e.Stamp.Logical)
	if subject != "" {
		entry = entry.Str("subject", subject)
	}
	entry.Msg(e.Detail)
}

// Record is Emit of an event whose inputs are logged as fields of their own.
// The ring keeps only the subject. fields is not called for an event that is
// left out.
func (l *Log) Record(n Number, subject string, fields func(*log.Entry)) {
	e := Event{Number: n, Name: n.Name(), Node: l.c.Node, Subject: subject}
	if !l.add(&e) || l.c.Logger == nil {
		return
	}
	entry := l.c.Logger.WithLevel(level(n))
	if entry == nil {
		return
	}
	entry = entry.Int("event", int(n)).Str("name", e.Name).Int64("wall_ms", e.Stamp.WallMS).Str("subject", subject)
	fields(entry)
	entry.Msg(e.Detail)
}

// add stamps e and puts it into the ring, unless too many of its number came.
// Stamping under the lock keeps the ring in the order of stamps.
func (l *Log) add(e *Event) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	e.Stamp = l.c.Stamp()
	l.counts[e.Number]++
	if !l.keep(e) {
		return false
	}
	if len(l.ring) < l.c.Size {
		l.ring = append(l.ring, *e)
		return true
	}
	l.ring[l.next] = *e
	l.next = (l.next + 1) % l.c.Size
	l.lost++
	return true
}

// keep tells whether e is within the rate of its number, and notes in its
// detail how many before it were not.
func (l *Log) keep(e *Event) bool {
	r := l.rates[e.Number]
	if second := e.Stamp.WallMS / 1000; second != r.second {
		r.second, r.kept = second, 0
	}
	ok := r.kept < maxPerSecond
	switch {
	case !ok:
		r.left++
	case r.left > 0:
		e.Detail = fmt.Sprintf("%s (%d more before were left out)", e.Detail, r.left)
		r.left = 0
	}
	r.kept++
	l.rates[e.Number] = r
	return ok
}

// Since returns up to limit events stamped after s, the oldest first, and how
// many events the ring has overwritten so far.
func (l *Log) Since(s Stamp, limit int) (es []Event, lost uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.ring {
		e := l.ring[(l.next+i)%len(l.ring)]
		if len(es) == limit {
			break
		}
		if e.Stamp.After(s) {
			es = append(es, e)
		}
	}
	return es, l.lost
}

// Counts returns how often each event was emitted.
func (l *Log) Counts() map[Number]uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[Number]uint64, len(l.counts))
	for n, c := range l.counts {
		out[n] = c
	}
	return out
}

// After tells whether s comes after o.
func (s Stamp) After(o Stamp) bool {
	if s.WallMS != o.WallMS {
		return s.WallMS > o.WallMS
	}
	return s.Logical > o.Logical
}
