package rumor

import (
	"time"

	"github.com/juju/errors"
)

// Kind is what a rumor is about.
type Kind uint32

// The kinds. A number is never reused.
const (
	SearcherDrain Kind = 1
	Quarantine    Kind = 2
)

const (
	// MaxPayloadBytes bounds the payload of one rumor, in bytes.
	MaxPayloadBytes = 400
	// MaxNameBytes bounds its key and its origin, in bytes.
	MaxNameBytes = 100
	// MaxTTL bounds how long a rumor lasts.
	MaxTTL = time.Hour
	// overhead is what a rumor takes on the wire beside its strings and its
	// payload, at most, in bytes.
	overhead = 24
	// MaxRumorBytes bounds what a rumor takes on the wire, in bytes.
	MaxRumorBytes = overhead + 2*MaxNameBytes + MaxPayloadBytes
)

// Rumor is one fact as it travels.
type Rumor struct {
	Kind Kind
	// Key names what it is about, such as a searcher.
	Key string
	// Origin is the node that published it.
	Origin string
	// Sequence orders the rumors of one kind and key.
	Sequence uint64
	// TTL is how long it is still valid.
	TTL     time.Duration
	Payload []byte
}

// Valid returns an error when a bound is broken.
func (r Rumor) Valid() error {
	switch {
	case r.Kind == 0:
		return errors.NotValidf("kind 0")
	case r.Key == "" || len(r.Key) > MaxNameBytes || len(r.Origin) > MaxNameBytes:
		return errors.NotValidf("key or origin")
	case len(r.Payload) > MaxPayloadBytes:
		return errors.NotValidf("payload of %d bytes", len(r.Payload))
	case r.TTL <= 0 || r.TTL > MaxTTL:
		return errors.NotValidf("time to live %v", r.TTL)
	}
	return nil
}

// Size is what r takes on the wire at most, in bytes.
func (r Rumor) Size() int { return overhead + len(r.Key) + len(r.Origin) + len(r.Payload) }

// newer tells whether r replaces o.
func (r Rumor) newer(o Rumor) bool {
	if r.Sequence != o.Sequence {
		return r.Sequence > o.Sequence
	}
	return r.Origin > o.Origin
}
