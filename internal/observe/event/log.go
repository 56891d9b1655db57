package event

import (
	"sync"

	"github.com/phuslu/log"
)

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
}

// New returns an empty log.
func New(c Config) *Log {
	c.Size = max(c.Size, 1)
	return &Log{c: c, counts: make(map[Number]uint64)}
}

// Emit records one event.
func (l *Log) Emit(n Number, subject, detail string) {
	e := Event{Number: n, Name: n.Name(), Node: l.c.Node, Subject: subject, Detail: detail}
	l.add(&e)
	if l.c.Logger == nil {
		return
	}
	entry := l.c.Logger.WithLevel(level(n)).Int("event", int(n)).Str("name", e.Name)
	entry.Int64("wall_ms", e.Stamp.WallMS).Uint32("logical", e.Stamp.Logical)
	if subject != "" {
		entry = entry.Str("subject", subject)
	}
	entry.Msg(detail)
}

// add stamps e and puts it into the ring. Stamping under the lock keeps the
// ring in the order of stamps.
func (l *Log) add(e *Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e.Stamp = l.c.Stamp()
	l.counts[e.Number]++
	if len(l.ring) < l.c.Size {
		l.ring = append(l.ring, *e)
		return
	}
	l.ring[l.next] = *e
	l.next = (l.next + 1) % l.c.Size
	l.lost++
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
