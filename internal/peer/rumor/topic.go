package rumor

import (
	"encoding/json"
	"time"

	"github.com/juju/errors"
)

// Message is a rumor with its payload decoded.
type Message[T any] struct {
	Key    string
	Origin string
	// TTL is how long it is still valid.
	TTL   time.Duration
	Value T
}

// Topic is the part of a Set that has one kind, with payloads of one type.
type Topic[T any] struct {
	s *Set
	k Kind
}

// NewTopic returns the topic of a kind.
func NewTopic[T any](s *Set, k Kind) Topic[T] { return Topic[T]{s: s, k: k} }

// Publish makes a fact known here and lets it spread.
func (t Topic[T]) Publish(key string, v T, ttl time.Duration) error {
	b, err := json.Marshal(v)
	if err != nil {
		return errors.Trace(err)
	}
	return t.s.Publish(t.k, key, b, ttl)
}

// Subscribe has f called for each fact that is new here. Payloads that can't
// be decoded are dropped. f must not block.
func (t Topic[T]) Subscribe(f func(Message[T])) {
	t.s.Subscribe(t.k, func(r Rumor) {
		if v, err := decode[T](r); err == nil {
			f(v)
		}
	})
}

// Messages returns the valid facts.
func (t Topic[T]) Messages() []Message[T] {
	var out []Message[T]
	for _, r := range t.s.All() {
		if r.Kind != t.k {
			continue
		}
		if v, err := decode[T](r); err == nil {
			out = append(out, v)
		}
	}
	return out
}

func decode[T any](r Rumor) (Message[T], error) {
	f := Message[T]{Key: r.Key, Origin: r.Origin, TTL: r.TTL}
	return f, errors.Trace(json.Unmarshal(r.Payload, &f.Value))
}
