package rumor

import (
	"time"

	"github.com/juju/errors"
)

// Kind is the type of a rumor; it determines the payload.
type Kind uint32

// The kinds. A number is never reused.
const (
	SearcherDrain Kind = 1
	Quarantine    Kind = 2
	// Answered tells that a request which is suspected of crashing searchers was answered.
	Answered Kind = 3
)

const (
	// MaxPayloadBytes bounds the payload of one rumor.
	MaxPayloadBytes = 400
	// MaxNameBytes bounds the key and the origin of a rumor, each.
	MaxNameBytes = 100
	// MaxTTL bounds the TTL of a rumor.
	MaxTTL = time.Hour
	// overheadBytes is the maximum encoded size of a rumor without its strings
	// and its payload.
	overheadBytes = 24
	// MaxRumorBytes bounds the encoded size of a rumor.
	MaxRumorBytes = overheadBytes + 2*MaxNameBytes + MaxPayloadBytes
)

// Rumor is one message as sent between nodes.
type Rumor struct {
	Kind Kind
	// Key identifies the subject, such as a searcher.
	Key string
	// Origin is the node that published it.
	Origin string
	// Sequence orders the rumors of one kind and key.
	Sequence uint64
	// TTL is the remaining time for which the rumor is valid.
	TTL     time.Duration
	Payload []byte
}

// Validate returns an error if the kind is 0 or a field exceeds its limit.
func (r Rumor) Validate() error {
	switch {
	case r.Kind == 0:
		return errors.NotValidf("rumor kind 0")
	case r.Key == "" || len(r.Key) > MaxNameBytes || len(r.Origin) > MaxNameBytes:
		return errors.NotValidf("rumor key of %d bytes or origin of %d bytes", len(r.Key), len(r.Origin))
	case len(r.Payload) > MaxPayloadBytes:
		return errors.NotValidf("rumor payload of %d bytes", len(r.Payload))
	case r.TTL <= 0 || r.TTL > MaxTTL:
		return errors.NotValidf("rumor TTL %v", r.TTL)
	}
	return nil
}

// Size returns the maximum encoded size of r in bytes.
func (r Rumor) Size() int { return overheadBytes + len(r.Key) + len(r.Origin) + len(r.Payload) }

// supersedes reports whether r replaces o: it has a higher sequence number, or
// the same one and a higher origin.
func (r Rumor) supersedes(o Rumor) bool {
	if r.Sequence != o.Sequence {
		return r.Sequence > o.Sequence
	}
	return r.Origin > o.Origin
}
