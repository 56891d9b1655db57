package rumor

import (
	"cmp"
	"fmt"
	"math/bits"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// DefaultMaxRumors is the default limit for the number of rumors held.
	DefaultMaxRumors = 4096
	// transmitFactor times the bit length of the number of nodes is the number
	// of times a rumor is sent.
	transmitFactor = 2
)

// Config configures a Set.
type Config struct {
	// Node is the origin of rumors published by this node.
	Node string
	// MaxRumors limits the number of rumors held; 0 means DefaultMaxRumors.
	MaxRumors int
}

// rumorID identifies a rumor: a Set holds at most one for each.
type rumorID struct {
	kind Kind
	key  string
}

// heldRumor is a rumor in a Set with its local state.
type heldRumor struct {
	Rumor
	expires time.Time
	// sent is the number of times the rumor was sent.
	sent int
}

// Counts holds the number of rumors published and received since the start.
// Received counts new rumors only, Duplicate those that were known or older,
// Invalid those that failed Validate, and Evicted those removed at MaxRumors.
type Counts struct {
	Published, Received, Duplicate, Invalid, Evicted uint64
}

// Set holds the rumors of one node.
type Set struct {
	c       Config
	mu      sync.Mutex
	rumors  map[rumorID]*heldRumor
	pending []*heldRumor
	subs    map[Kind][]func(Rumor)
	allSubs []func(Rumor)
	counts  Counts
}

// New returns an empty Set.
func New(c Config) *Set {
	if c.MaxRumors == 0 {
		c.MaxRumors = DefaultMaxRumors
	}
	return &Set{c: c, rumors: map[rumorID]*heldRumor{}, subs: map[Kind][]func(Rumor){}}
}

// Counts returns the counters.
func (s *Set) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Subscribe registers f to be called for each new rumor of a kind, published by
// this node or received. f must not block.
func (s *Set) Subscribe(k Kind, f func(Rumor)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subs[k] = append(s.subs[k], f)
}

// SubscribeAll registers f to be called for each new rumor of any kind. f must
// not block.
func (s *Set) SubscribeAll(f func(Rumor)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.allSubs = append(s.allSubs, f)
}

// Publish adds a rumor with this node as its origin, to be sent to peers. It
// replaces the rumor of the same kind and key.
func (s *Set) Publish(k Kind, key string, payload []byte, ttl time.Duration) error {
	r := Rumor{Kind: k, Key: key, Origin: s.c.Node, TTL: ttl, Payload: payload}
	if err := r.Validate(); err != nil {
		return err
	}
	now := time.Now()
	s.mu.Lock()
	r.Sequence = uint64(now.UnixMilli())
	if h, ok := s.rumors[rumorID{k, key}]; ok && h.Sequence >= r.Sequence {
		r.Sequence = h.Sequence + 1
	}
	s.counts.Published++
	fs := s.store(r, now)
	s.mu.Unlock()
	notify(fs, r)
	return nil
}

// Merge adds rumors received from a peer and returns how many were new. Invalid
// and outdated rumors are ignored.
func (s *Set) Merge(rs []Rumor) int {
	now := time.Now()
	count := 0
	for _, r := range rs {
		fs, ok := s.merge(r, now)
		if ok {
			count++
			notify(fs, r)
		}
	}
	return count
}

func (s *Set) merge(r Rumor, now time.Time) ([]func(Rumor), bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Validate() != nil {
		s.counts.Invalid++
		return nil, false
	}
	if h, ok := s.rumors[rumorID{r.Kind, r.Key}]; ok && !r.supersedes(h.Rumor) {
		s.counts.Duplicate++
		return nil, false
	}
	s.counts.Received++
	return s.store(r, now), true
}

// store adds r to the set and returns the subscribers to notify.
func (s *Set) store(r Rumor, now time.Time) []func(Rumor) {
	i := rumorID{r.Kind, r.Key}
	if h, ok := s.rumors[i]; ok {
		s.remove(h)
	}
	if len(s.rumors) >= s.c.MaxRumors {
		s.expire(now)
	}
	if len(s.rumors) >= s.c.MaxRumors {
		s.evict()
	}
	h := &heldRumor{Rumor: r, expires: now.Add(r.TTL)}
	s.rumors[i] = h
	s.pending = append(s.pending, h)
	return append(slices.Clone(s.subs[r.Kind]), s.allSubs...)
}

func notify(fs []func(Rumor), r Rumor) {
	for _, f := range fs {
		f(r)
	}
}

// remove removes h from the set.
func (s *Set) remove(h *heldRumor) {
	delete(s.rumors, rumorID{h.Kind, h.Key})
	s.pending = slices.DeleteFunc(s.pending, func(x *heldRumor) bool { return x == h })
}

// expire removes the rumors whose TTL has expired.
func (s *Set) expire(now time.Time) {
	for _, h := range s.rumors {
		if !h.expires.After(now) {
			s.remove(h)
		}
	}
}

// evict removes the rumor that expires next.
func (s *Set) evict() {
	var next *heldRumor
	for _, h := range s.rumors {
		if next == nil || h.expires.Before(next.expires) {
			next = h
		}
	}
	if next != nil {
		s.remove(next)
		s.counts.Evicted++
	}
}

// Take returns rumors of at most maxBytes for one message, the least often sent
// first, and counts them as sent. A rumor is returned at most maxSends times;
// Transmissions returns a sufficient number, to which the sender of several
// messages at the same time adds the number of messages.
func (s *Set) Take(maxBytes, maxSends int) []Rumor {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pending) == 0 {
		return nil
	}
	s.dropSent(maxSends, now)
	slices.SortStableFunc(s.pending, func(a, b *heldRumor) int { return cmp.Compare(a.sent, b.sent) })
	var out []Rumor
	for _, h := range s.pending {
		if h.Size() > maxBytes {
			continue
		}
		maxBytes -= h.Size()
		h.sent++
		r := h.Rumor
		r.TTL = h.expires.Sub(now)
		out = append(out, r)
	}
	s.dropSent(maxSends, now)
	return out
}

// dropSent removes rumors from pending that were sent maxSends times or have
// expired.
func (s *Set) dropSent(maxSends int, now time.Time) {
	s.pending = slices.DeleteFunc(s.pending, func(h *heldRumor) bool { return h.sent >= maxSends || !h.expires.After(now) })
}

// Requeue undoes the Take of rumors whose message was not answered, so that
// they are sent again.
func (s *Set) Requeue(rs []Rumor) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range rs {
		h, ok := s.rumors[rumorID{r.Kind, r.Key}]
		if !ok || h.Sequence != r.Sequence || h.Origin != r.Origin {
			continue
		}
		h.sent--
		if !slices.Contains(s.pending, h) {
			s.pending = append(s.pending, h)
		}
	}
}

// OwnRumors returns valid rumors published by this node, newest first, of at
// most maxBytes, regardless of how often they were sent.
func (s *Set) OwnRumors(maxBytes int) []Rumor {
	var out []Rumor
	own := slices.DeleteFunc(s.All(), func(r Rumor) bool { return r.Origin != s.c.Node })
	slices.SortStableFunc(own, func(a, b Rumor) int { return cmp.Compare(b.Sequence, a.Sequence) })
	for _, r := range own {
		if r.Size() <= maxBytes {
			maxBytes -= r.Size()
			out = append(out, r)
		}
	}
	return out
}

// Transmissions returns the number of times a rumor is sent by each node in a
// fleet of n nodes.
func Transmissions(n int) int { return transmitFactor * bits.Len(uint(n)) }

// All returns every valid rumor, sorted by kind and key.
func (s *Set) All() []Rumor {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	out := make([]Rumor, 0, len(s.rumors))
	for _, h := range s.rumors {
		r := h.Rumor
		r.TTL = h.expires.Sub(now)
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b Rumor) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Key, b.Key))
	})
	return out
}

// Has reports whether there is a valid rumor of a kind and key.
func (s *Set) Has(k Kind, key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	h, ok := s.rumors[rumorID{k, key}]
	return ok && h.expires.After(time.Now())
}

// Len returns the number of valid rumors.
func (s *Set) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	return len(s.rumors)
}

// Digest returns a hash of the valid rumors, the same at all nodes that have the same; 0
// if there are none.
func (s *Set) Digest() uint64 {
	var sum uint64
	for _, r := range s.All() {
		sum ^= xxhash.Sum64String(fmt.Sprintf("%d\x00%s\x00%s\x00%d", r.Kind, r.Key, r.Origin, r.Sequence))
	}
	return sum
}

// HasPending reports whether there are rumors left to send.
func (s *Set) HasPending() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.pending) > 0
}
