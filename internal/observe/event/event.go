package event

// Number identifies a kind of event. docs/EVENTS.md describes each number.
type Number int

// Stamp is a timestamp of a hybrid logical clock. An effect always has a later Stamp
// than its cause, even on another process.
type Stamp struct {
	// WallMS is the wall-clock time in milliseconds since the Unix epoch.
	WallMS int64 `json:"wall_ms"`
	// Logical orders events with the same WallMS.
	Logical uint32 `json:"logical"`
}

// Event is one recorded event of one process.
type Event struct {
	Number Number `json:"number"`
	// Name is the name of Number in snake case.
	Name  string `json:"name"`
	Stamp Stamp  `json:"stamp"`
	// Node is the ID of the VM on which the event occurred.
	Node string `json:"node"`
	// Subject is the searcher, peer, search or key that the event is about.
	Subject string `json:"subject,omitempty"`
	// Detail is an explanation for operators.
	Detail string `json:"detail,omitempty"`
}

// Sink receives events. Log and Discard implement it.
type Sink interface {
	Emit(n Number, subject, detail string)
}

// Discard is a Sink that drops all events.
type Discard struct{}

// Emit does nothing.
func (Discard) Emit(Number, string, string) {}
