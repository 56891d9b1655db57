package rumor

import (
	"encoding/json"
	"time"

	"github.com/juju/errors"
)

// Fact is a rumor with its payload decoded.
type Fact[T any] struct {
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
func (t Topic[T]) Subscribe(f func(Fact[T])) {
	t.s.Subscribe(t.k, func(r Rumor) {
		if v, err := decode[T](r); err == nil {
			f(v)
		}
	})
}

// Facts returns the valid facts.
func (t Topic[T]) Facts() []Fact[T] {
	var out []Fact[T]
	for _, r := range t.s.Held() {
		if r.Kind != t.k {
			continue
		}
		if v, err := decode[T](r); err == nil {
			out = append(out, v)
		}
	}
	return out
}

func decode[T any](r Rumor) (Fact[T], error) {
	f := Fact[T]{Key: r.Key, Origin: r.Origin, TTL: r.TTL}
	return f, errors.Trace(json.Unmarshal(r.Payload, &f.Value))
}
