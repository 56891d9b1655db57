package rumor

import (
	"encoding/json"
	"time"

	"github.com/juju/errors"
)

// Message is a rumor with a decoded payload.
type Message[T any] struct {
	Key    string
	Origin string
	// TTL is the remaining time for which the message is valid.
	TTL   time.Duration
	Value T
}

// Topic gives typed access to the rumors of one kind in a Set. Payloads are
// JSON.
type Topic[T any] struct {
	set  *Set
	kind Kind
}

// NewTopic returns the topic of a kind in s.
func NewTopic[T any](s *Set, k Kind) Topic[T] { return Topic[T]{set: s, kind: k} }

// Publish publishes a rumor with the payload v.
func (t Topic[T]) Publish(key string, v T, ttl time.Duration) error {
	b, err := json.Marshal(v)
	if err != nil {
		return errors.Trace(err)
	}
	return t.set.Publish(t.kind, key, b, ttl)
}

// Subscribe registers f to be called for each new message. Rumors whose payload
// can't be decoded are dropped. f must not block.
func (t Topic[T]) Subscribe(f func(Message[T])) {
	t.set.Subscribe(t.kind, func(r Rumor) {
		if m, err := decode[T](r); err == nil {
			f(m)
		}
	})
}

// Messages returns the valid messages of the topic, sorted by key.
func (t Topic[T]) Messages() []Message[T] {
	var out []Message[T]
	for _, r := range t.set.All() {
		if r.Kind != t.kind {
			continue
		}
		if m, err := decode[T](r); err == nil {
			out = append(out, m)
		}
	}
	return out
}

func decode[T any](r Rumor) (Message[T], error) {
	m := Message[T]{Key: r.Key, Origin: r.Origin, TTL: r.TTL}
	return m, errors.Trace(json.Unmarshal(r.Payload, &m.Value))
}
