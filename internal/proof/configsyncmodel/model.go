// Package configsyncmodel checks the rules by which the configuration is changed
// and spread, by visiting every state that a small instance can get into.
//
// Two operators each make one change, through a node, on one root in a store.
// Any read may be stale. A swap may be refused, lose its answer, or take
// effect long after it was given up; an operator who is left unsure sends the
// same change again. Nodes take the root from the store or from each other in
// any order, and restart empty. The second operator names the revision that
// the change is meant for, the first does not.
//
// Checked in every state: a node in one life never goes back; an accepted
// change stays where it was accepted; a change is applied at most once; one
// that was answered with a conflict was not and never will be applied.
//
// # Usage
//
//	r := configsyncmodel.Check(configsyncmodel.Config{Nodes: 3, Restarts: 1})
//	fmt.Println(r.States, r.Violation, r.Steps)
package configsyncmodel

import "fmt"

const (
	// operators is how many changes there are.
	operators = 2
	// maxNodes and maxRevision bound an instance.
	maxNodes    = 3
	maxRevision = 4
)

// Config chooses an instance, and which guards it goes without.
type Config struct {
	// Nodes is between 2 and 3.
	Nodes int
	// Restarts is how often each node may restart.
	Restarts uint8
	// ExpectRevision is the revision that the second operator names.
	ExpectRevision uint8
	// NoOrderCheck lets nodes take lower revisions.
	NoOrderCheck bool
	// NoCompareAndSwap lets a swap take effect whatever the root is.
	NoCompareAndSwap bool
	// NoChangeID applies a change that is sent again once more.
	NoChangeID bool
	// NoFreshnessCheck takes any read after a conflict for the current root.
	NoFreshnessCheck bool
}

// phase is how far an operator's change is.
type phase uint8

const (
	idle phase = iota
	ready
	sent
	checking
	accepted
	refused
)

// operator is one change on its way.
type operator struct {
	phase phase
	// base is the revision that it was read at.
	base uint8
	// at is the revision at which it was accepted.
	at uint8
}

// state is one state of the instance.
type state struct {
	// log holds the change of each revision; revision is its length.
	log      [maxRevision]uint8
	revision uint8
	ops      [operators]operator
	// flight has a bit for each swap that may yet take effect, by its base and
	// its operator.
	flight uint16
	// force is the revision in force on each node, life the restarts so far.
	force, life [maxNodes]uint8
	// back is true once a node went back.
	back bool
}

// node is where an operator's change is taken.
func node(op int) int { return op }

// meant is the revision that an operator names; the first names none.
func (c Config) meant(op int) (uint8, bool) { return c.ExpectRevision, op == 1 }

// bit is that of a swap in flight.
func bit(base uint8, op int) uint16 { return 1 << (int(base)*operators + op) }

// find returns the revision that applied a change, as of a revision.
func (s *state) find(op int, revision uint8) uint8 {
	for i := range revision {
		if s.log[i] == uint8(op+1) {
			return i + 1
		}
	}
	return 0
}

// effect lets a swap take effect if it may, and tells whether it did.
func (s *state) effect(c Config, base uint8, op int) bool {
	if s.revision != base && !c.NoCompareAndSwap || base >= maxRevision {
		return false
	}
	s.revision = base + 1
	s.log[base] = uint8(op + 1)
	for i := s.revision; i < maxRevision; i++ {
		s.log[i] = 0
	}
	return true
}

// adopt puts a revision in force on a node.
func (s *state) adopt(c Config, n int, revision uint8) {
	if revision < s.force[n] && !c.NoOrderCheck {
		return
	}
	s.back = s.back || revision < s.force[n]
	s.force[n] = revision
}

// broken names what does not hold, or is empty.
func (s *state) broken() string {
	if s.back {
		return "a node went back to a lower revision"
	}
	for op, o := range s.ops {
		switch {
		case o.phase == accepted && (o.at > s.revision || s.log[o.at-1] != uint8(op+1)):
			return fmt.Sprintf("accepted change %d is lost", op+1)
		case o.phase == refused && s.find(op, s.revision) > 0:
			return fmt.Sprintf("change %d was answered with a conflict and applied", op+1)
		}
		first := s.find(op, s.revision)
		for i := first; first > 0 && i < s.revision; i++ {
			if s.log[i] == uint8(op+1) {
				return fmt.Sprintf("change %d is applied twice", op+1)
			}
		}
	}
	return ""
}
