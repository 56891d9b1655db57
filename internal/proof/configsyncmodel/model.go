// Package configsyncmodel is a model checker for the protocol that changes and
// distributes the configuration. It visits every reachable state of a small
// instance.
//
// Two operators each make one change, through a node, to one root in a store.
// Any read may be stale. A compare-and-swap may be refused, lose its answer, or
// take effect long after its timeout; an operator who is left unsure sends the
// same change again. Nodes read the root from the store or from each other in
// any order, and lose their state when they restart. The second operator
// specifies the revision that the change applies to, the first does not.
//
// These invariants are checked in every state: a node never reverts to a lower
// revision between restarts; an accepted change stays at the revision where it
// was accepted; a change is applied at most once; a change that was answered
// with a conflict is never applied.
//
// # Usage
//
//	r := configsyncmodel.Check(configsyncmodel.Config{Nodes: 3, Restarts: 1})
//	fmt.Println(r.States, r.Violation, r.Steps)
package configsyncmodel

import "fmt"

const (
	// operators is the number of operators, who make one change each.
	operators = 2
	// maxNodes and maxRevision bound the size of an instance.
	maxNodes    = 3
	maxRevision = 4
)

// Config selects an instance and the guards to disable in it.
type Config struct {
	// Nodes is the number of nodes, 2 or 3.
	Nodes int
	// Restarts is the number of times each node may restart.
	Restarts uint8
	// ExpectRevision is the revision that the second operator specifies.
	ExpectRevision uint8
	// NoOrderCheck lets nodes adopt lower revisions.
	NoOrderCheck bool
	// NoCompareAndSwap lets a swap take effect on any root.
	NoCompareAndSwap bool
	// NoChangeID applies a change again if it is sent again.
	NoChangeID bool
	// NoFreshnessCheck treats any read after a conflict as current.
	NoFreshnessCheck bool
}

// phase is the progress of an operator's change.
type phase uint8

const (
	idle phase = iota
	ready
	sent
	checking
	accepted
	refused
)

// operator is the state of one operator's change.
type operator struct {
	phase phase
	// readAt is the revision that the operator read before the swap.
	readAt uint8
	// acceptedAt is the revision at which the change was accepted.
	acceptedAt uint8
}

// state is one state of the instance.
type state struct {
	// log holds the change of each revision, as the operator's index plus 1;
	// revision is the current one and the length of the log.
	log      [maxRevision]uint8
	revision uint8
	ops      [operators]operator
	// inFlight has a bit for each swap that may still take effect, see swapBit.
	inFlight uint16
	// inForce is the revision in force on each node, and restarts the number
	// of its restarts.
	inForce, restarts [maxNodes]uint8
	// reverted is true after a node adopted a lower revision.
	reverted bool
}

// nodeOf returns the node that handles an operator's change.
func nodeOf(op int) int { return op }

// expectedRevision returns the revision that an operator specifies, and false
// for the first operator, who specifies none.
func (c Config) expectedRevision(op int) (uint8, bool) { return c.ExpectRevision, op == 1 }

// swapBit returns the bit for inFlight of a swap by op from the revision base.
func swapBit(base uint8, op int) uint16 { return 1 << (int(base)*operators + op) }

// find returns the revision that applied the change of op, or 0 if the log up
// to the given revision does not contain it.
func (s *state) find(op int, revision uint8) uint8 {
	for i := range revision {
		if s.log[i] == uint8(op+1) {
			return i + 1
		}
	}
	return 0
}

// applySwap applies the swap of op if the current revision is base, and reports
// whether it did.
func (s *state) applySwap(c Config, base uint8, op int) bool {
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

// adopt puts a revision in force on a node unless it is lower than the one
// there.
func (s *state) adopt(c Config, n int, revision uint8) {
	if revision < s.inForce[n] && !c.NoOrderCheck {
		return
	}
	s.reverted = s.reverted || revision < s.inForce[n]
	s.inForce[n] = revision
}

// violation describes the violated invariant, or returns "" if all hold.
func (s *state) violation() string {
	if s.reverted {
		return "a node reverted to a lower revision"
	}
	for op, o := range s.ops {
		switch {
		case o.phase == accepted && (o.acceptedAt > s.revision || s.log[o.acceptedAt-1] != uint8(op+1)):
			return fmt.Sprintf("accepted change %d is lost", op+1)
		case o.phase == refused && s.find(op, s.revision) > 0:
			return fmt.Sprintf("change %d was answered with a conflict but is applied", op+1)
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
