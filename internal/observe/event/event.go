package event

// Number identifies a kind of event. docs/EVENTS.md is the catalogue.
type Number int

// Stamp is a hybrid logical clock reading: it never runs behind an event
// that it follows, on any process.
type Stamp struct {
	// WallMS is the wall time in milliseconds since 1970.
	WallMS int64 `json:"wall_ms"`
	// Logical orders events of the same millisecond.
	Logical uint32 `json:"logical"`
}

// Event is one thing that happened on one process.
type Event struct {
	Number Number `json:"number"`
	// Name is the catalogue's snake-case name of the number.
	Name  string `json:"name"`
	Stamp Stamp  `json:"stamp"`
	// Node is the VM that it happened on.
	Node string `json:"node"`
	// Subject is the searcher, peer, search or key that it concerns.
	Subject string `json:"subject,omitempty"`
	// Detail says more in words.
	Detail string `json:"detail,omitempty"`
}

// Sink takes events. A *Log is one; tests may use Discard.
type Sink interface {
	Emit(n Number, subject, detail string)
}

// Discard is a Sink that keeps nothing.
type Discard struct{}

// Emit does nothing.
func (Discard) Emit(Number, string, string) {}
