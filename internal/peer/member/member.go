package member

import (
	"net/netip"
	"time"

	"github.com/juju/errors"

	"egrethaven/internal/infra/vm"
)

// State is the state of a member according to this node.
type State uint32

// The states, in the order in which they override each other within one
// incarnation.
const (
	Alive State = iota
	Suspect
	Dead
	Left
)

// String returns the lower-case name of s.
func (s State) String() string {
	return [...]string{"alive", "suspect", "dead", "left"}[min(s, Left)]
}

// live reports whether a member in this state counts as live.
func (s State) live() bool { return s == Alive || s == Suspect }

// Digest identifies the configuration that a node has in force.
type Digest struct {
	Revision uint64
	// AgeKnown is true if Age is set.
	AgeKnown bool
	// Age is the time since the platform's service last confirmed Revision.
	Age time.Duration
}

// Member is one entry VM as this node sees it.
type Member struct {
	VM          vm.VM
	State       State
	Incarnation uint64
	// Since is when the member entered this state.
	Since time.Time
	// LastHeard is when this node last received a heartbeat from the member;
	// zero means never.
	LastHeard time.Time
	// Digest is the digest in that heartbeat.
	Digest Digest
}

// Age returns the time since the member's last heartbeat to this node, or -1
// if there was none.
func (m Member) Age(now time.Time) time.Duration {
	if m.LastHeard.IsZero() {
		return -1
	}
	return now.Sub(m.LastHeard)
}

// Update is the state of one member as sent between nodes.
type Update struct {
	VM          vm.VM
	Incarnation uint64
	State       State
}

const (
	// maxNameBytes bounds the ID and the failure domain of a VM.
	maxNameBytes = 100
	// updateOverheadBytes is the maximum encoded size of an update without its
	// strings.
	updateOverheadBytes = 20
)

// Validate returns an error if a field exceeds its limit or does not parse.
func (u Update) Validate() error {
	if u.VM.ID == "" || len(u.VM.ID) > maxNameBytes || len(u.VM.Domain) > maxNameBytes {
		return errors.NotValidf("VM ID of %d bytes or failure domain of %d bytes", len(u.VM.ID), len(u.VM.Domain))
	}
	if u.State > Left {
		return errors.NotValidf("member state %d", u.State)
	}
	_, err := netip.ParseAddrPort(u.VM.Addr)
	return errors.Trace(err)
}

// size returns the maximum encoded size of u in bytes.
func (u Update) size() int {
	return updateOverheadBytes + len(u.VM.ID) + len(u.VM.Domain) + len(u.VM.Addr)
}

// overrides reports whether u replaces o: it has a higher incarnation, or the
// same one and a higher state.
func (u Update) overrides(o Update) bool {
	if u.Incarnation != o.Incarnation {
		return u.Incarnation > o.Incarnation
	}
	return u.State > o.State
}
