package rumor

import (
	"cmp"
	"math/bits"
	"slices"
	"sync"
	"time"
)

const (
	// DefaultMaxRumors bounds the number of rumors held.
	DefaultMaxRumors = 4096
	// repeat times the logarithm of the number of nodes is how often a rumor
	// is handed out.
	repeat = 2
)

// Config configures a Set.
type Config struct {
	// Node is the origin of what is published here.
	Node string
	// MaxRumors bounds the number of rumors held; 0 means DefaultMax.
	MaxRumors int
}

// id is what there is one rumor of.
type id struct {
	kind Kind
	key  string
}

// held is a rumor with its local state.
type held struct {
	Rumor
	expires time.Time
	// sent is how often it was handed out.
	sent int
}

// Counts tells what happened since the start.
type Counts struct {
	Published, Received, Duplicate, Invalid, Evicted uint64
}

// Set holds the rumors of one node.
type Set struct {
	c     Config
	mu    sync.Mutex
	all   map[id]*held
	fresh []*held
	subs  map[Kind][]func(Rumor)
	any   []func(Rumor)
	n     Counts
}

// New returns an empty Set.
func New(c Config) *Set {
	if c.MaxRumors == 0 {
		c.MaxRumors = DefaultMaxRumors
	}
	return &Set{c: c, all: map[id]*held{}, subs: map[Kind][]func(Rumor){}}
}

// Counts returns the counters.
func (s *Set) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.n
}

// Subscribe has f called for each rumor of a kind that is new here, published
// here or received. f must not block.
func (s *Set) Subscribe(k Kind, f func(Rumor)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subs[k] = append(s.subs[k], f)
}

// SubscribeAll is Subscribe for every kind.
func (s *Set) SubscribeAll(f func(Rumor)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.any = append(s.any, f)
}

// Publish makes a rumor known here and lets it spread. It replaces whatever
// was held for its kind and key.
func (s *Set) Publish(k Kind, key string, payload []byte, ttl time.Duration) error {
	r := Rumor{Kind: k, Key: key, Origin: s.c.Node, TTL: ttl, Payload: payload}
	if err := r.Valid(); err != nil {
		return err
	}
	now := time.Now()
	s.mu.Lock()
	r.Sequence = uint64(now.UnixMilli())
	if h, ok := s.all[id{k, key}]; ok && h.Sequence >= r.Sequence {
		r.Sequence = h.Sequence + 1
	}
	s.n.Published++
	fs := s.store(r, now)
	s.mu.Unlock()
	call(fs, r)
	return nil
}

// Merge takes in rumors from a peer. It returns how many were new.
func (s *Set) Merge(rs []Rumor) int {
	now := time.Now()
	fresh := 0
	for _, r := range rs {
		fs, ok := s.merge(r, now)
		if ok {
			fresh++
			call(fs, r)
		}
	}
	return fresh
}

func (s *Set) merge(r Rumor, now time.Time) ([]func(Rumor), bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Valid() != nil {
		s.n.Invalid++
		return nil, false
	}
	if h, ok := s.all[id{r.Kind, r.Key}]; ok && !r.newer(h.Rumor) {
		s.n.Duplicate++
		return nil, false
	}
	s.n.Received++
	return s.store(r, now), true
}

// store puts r in the set and returns who is to be told.
func (s *Set) store(r Rumor, now time.Time) []func(Rumor) {
	i := id{r.Kind, r.Key}
	if h, ok := s.all[i]; ok {
		s.drop(h)
	}
	if len(s.all) >= s.c.MaxRumors {
		s.expire(now)
	}
	if len(s.all) >= s.c.MaxRumors {
		s.evict()
	}
	h := &held{Rumor: r, expires: now.Add(r.TTL)}
	s.all[i] = h
	s.fresh = append(s.fresh, h)
	return append(slices.Clone(s.subs[r.Kind]), s.any...)
}

func call(fs []func(Rumor), r Rumor) {
	for _, f := range fs {
		f(r)
	}
}

// drop removes h.
func (s *Set) drop(h *held) {
	delete(s.all, id{h.Kind, h.Key})
	s.fresh = slices.DeleteFunc(s.fresh, func(x *held) bool { return x == h })
}

// expire removes what is no longer valid.
func (s *Set) expire(now time.Time) {
	for _, h := range s.all {
		if !h.expires.After(now) {
			s.drop(h)
		}
	}
}

// evict removes the rumor that would expire first.
func (s *Set) evict() {
	var first *held
	for _, h := range s.all {
		if first == nil || h.expires.Before(first.expires) {
			first = h
		}
	}
	if first != nil {
		s.drop(first)
		s.n.Evicted++
	}
}

// Take hands out rumors for one message, those sent least often first, up to a
// number of bytes, and each at most so many times. See Transmissions for how
// often is enough; where many peers are told at the same moment, as many more.
func (s *Set) Take(budget, most int) []Rumor {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.fresh) == 0 {
		return nil
	}
	s.retire(most, now)
	slices.SortStableFunc(s.fresh, func(a, b *held) int { return cmp.Compare(a.sent, b.sent) })
	var out []Rumor
	for _, h := range s.fresh {
		if h.Size() > budget {
			continue
		}
		budget -= h.Size()
		h.sent++
		r := h.Rumor
		r.TTL = h.expires.Sub(now)
		out = append(out, r)
	}
	s.retire(most, now)
	return out
}

// retire keeps what was handed out most times, or has expired, from being
// handed out again.
func (s *Set) retire(most int, now time.Time) {
	s.fresh = slices.DeleteFunc(s.fresh, func(h *held) bool { return h.sent >= most || !h.expires.After(now) })
}

// Requeue takes back rumors that were handed out for a message that nobody
// answered, so that they are handed out again.
func (s *Set) Requeue(rs []Rumor) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range rs {
		h, ok := s.all[id{r.Kind, r.Key}]
		if !ok || h.Sequence != r.Sequence || h.Origin != r.Origin {
			continue
		}
		h.sent--
		if !slices.Contains(s.fresh, h) {
			s.fresh = append(s.fresh, h)
		}
	}
}

// OwnRumors returns what was published here and is still valid, the newest first, up
// to a number of bytes, however often it was handed out before.
func (s *Set) OwnRumors(budget int) []Rumor {
	var out []Rumor
	own := slices.DeleteFunc(s.All(), func(r Rumor) bool { return r.Origin != s.c.Node })
	slices.SortStableFunc(own, func(a, b Rumor) int { return cmp.Compare(b.Sequence, a.Sequence) })
	for _, r := range own {
		if r.Size() <= budget {
			budget -= r.Size()
			out = append(out, r)
		}
	}
	return out
}

// Transmissions is how often something is handed out in a fleet of n nodes.
func Transmissions(n int) int { return repeat * bits.Len(uint(n)) }

// All returns every valid rumor, for a node that has none yet.
func (s *Set) All() []Rumor {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	out := make([]Rumor, 0, len(s.all))
	for _, h := range s.all {
		r := h.Rumor
		r.TTL = h.expires.Sub(now)
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b Rumor) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Key, b.Key))
	})
	return out
}

// HasPending tells whether there is something to hand out.
func (s *Set) HasPending() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.fresh) > 0
}
