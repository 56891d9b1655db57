package member

import (
	"net/netip"
	"time"

	"github.com/juju/errors"

	"egrethaven/internal/infra/vm"
)

// State is what is believed of a member.
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

// live tells whether a member in this state counts as live.
func (s State) live() bool { return s == Alive || s == Suspect }

// Digest tells which configuration a node has in force.
type Digest struct {
	Revision uint64
	// Known is true when the age is known.
	Known bool
	// Age of the last word of the platform's service on the configuration.
	Age time.Duration
}

// Member is one entry VM as this node sees it.
type Member struct {
	VM          vm.VM
	State       State
	Incarnation uint64
	// Since is when it came into this state.
	Since time.Time
	// Heard is when this node last heard from it directly; zero means never.
	Heard time.Time
	// Digest is what it said then.
	Digest Digest
}

// Age is how long ago the member was heard from directly; it is negative when
// it never was.
func (m Member) Age(now time.Time) time.Duration {
	if m.Heard.IsZero() {
		return -1
	}
	return now.Sub(m.Heard)
}

// Update is a change of one member as it travels.
type Update struct {
	VM          vm.VM
	Incarnation uint64
	State       State
}

const (
	// maxName bounds the id and the failure domain of a VM, in bytes.
	maxName = 100
	// updateOverhead is what an update takes on the wire beside its strings,
	// at most, in bytes.
	updateOverhead = 20
)

// Valid returns an error when a bound is broken.
func (u Update) Valid() error {
	if u.VM.ID == "" || len(u.VM.ID) > maxName || len(u.VM.Domain) > maxName {
		return errors.NotValidf("id or failure domain")
	}
	if u.State > Left {
		return errors.NotValidf("state %d", u.State)
	}
	_, err := netip.ParseAddrPort(u.VM.Addr)
	return errors.Trace(err)
}

// size is what u takes on the wire at most, in bytes.
func (u Update) size() int {
	return updateOverhead + len(u.VM.ID) + len(u.VM.Domain) + len(u.VM.Addr)
}

// overrides tells whether u replaces o.
func (u Update) overrides(o Update) bool {
	if u.Incarnation != o.Incarnation {
		return u.Incarnation > o.Incarnation
	}
	return u.State > o.State
}
