package configsyncmodel

import "fmt"

// expand adds every successor of s.
func (k *checker) expand(s state) {
	for op := range s.ops {
		k.stepOperator(s, op)
	}
	k.stepLateSwap(s)
	for n := range k.config.Nodes {
		k.stepNode(s, n)
	}
}

// stepOperator adds the successors in which an operator takes a step.
func (k *checker) stepOperator(s state, op int) {
	switch s.ops[op].phase {
	case idle:
		for v := range s.revision + 1 {
			k.read(s, op, v)
		}
	case ready:
		s.ops[op].phase = sent
		s.inFlight |= swapBit(s.ops[op].readAt, op)
		k.add(fmt.Sprintf("operator %d sends a swap at %d", op+1, s.ops[op].readAt), s)
	case sent:
		k.completeSwap(s, op)
	case checking:
		for v := range s.revision + 1 {
			k.recheck(s, op, v)
		}
	}
}

// read adds the successor in which an operator first reads the root at revision
// v.
func (k *checker) read(s state, op int, v uint8) {
	step := fmt.Sprintf("operator %d reads revision %d", op+1, v)
	if v < s.inForce[nodeOf(op)] && !k.config.NoOrderCheck {
		return
	}
	if k.acceptIfApplied(s, op, v, step) {
		return
	}
	if expected, ok := k.config.expectedRevision(op); ok && v != expected {
		// A read below the expected revision is stale and decides nothing.
		if v > expected || k.config.NoFreshnessCheck {
			s.ops[op].phase = refused
			k.add(step+" and is refused", s)
		}
		return
	}
	s.ops[op] = operator{phase: ready, readAt: v}
	k.add(step, s)
}

// acceptIfApplied accepts a change that the log up to revision v contains, and
// reports whether it does.
func (k *checker) acceptIfApplied(s state, op int, v uint8, step string) bool {
	at := s.find(op, v)
	if at == 0 || k.config.NoChangeID {
		return false
	}
	s.ops[op] = operator{phase: accepted, acceptedAt: at}
	s.adopt(k.config, nodeOf(op), v)
	k.add(step+" and finds its change", s)
	return true
}

// completeSwap adds the successors for each way in which an operator's swap can
// end.
func (k *checker) completeSwap(s state, op int) {
	base := s.ops[op].readAt
	applied := s
	if applied.applySwap(k.config, base, op) {
		answerLost := applied
		k.add(fmt.Sprintf("operator %d: effect at %d, answer lost", op+1, base), answerLost)
		applied.ops[op] = operator{phase: accepted, acceptedAt: base + 1}
		applied.adopt(k.config, nodeOf(op), base+1)
		k.add(fmt.Sprintf("operator %d: accepted as %d", op+1, base+1), applied)
	} else {
		conflict := s
		conflict.ops[op].phase = checking
		k.add(fmt.Sprintf("operator %d: conflict at %d", op+1, base), conflict)
	}
	s.ops[op] = operator{}
	k.add(fmt.Sprintf("operator %d is unsure", op+1), s)
}

// recheck adds the successor in which an operator reads the root at revision v
// after a conflict.
func (k *checker) recheck(s state, op int, v uint8) {
	step := fmt.Sprintf("operator %d checks revision %d", op+1, v)
	readAt := s.ops[op].readAt
	if v <= readAt && !k.config.NoFreshnessCheck {
		s.ops[op] = operator{}
		k.add(step+", which is stale, and is unsure", s)
		return
	}
	if k.acceptIfApplied(s, op, v, step) {
		return
	}
	if _, ok := k.config.expectedRevision(op); ok {
		s.ops[op].phase = refused
		k.add(step+" and is refused", s)
		return
	}
	s.ops[op] = operator{}
	k.add(step+" and tries again", s)
}

// stepLateSwap adds the successors in which a swap in flight takes effect after
// its operator gave it up.
func (k *checker) stepLateSwap(s state) {
	for op := range s.ops {
		for base := range uint8(maxRevision) {
			late := s
			if s.inFlight&swapBit(base, op) != 0 && late.applySwap(k.config, base, op) {
				k.add(fmt.Sprintf("a late swap of operator %d takes effect at %d", op+1, base), late)
			}
		}
	}
}

// stepNode adds the successors in which a node reads the store, receives a
// revision from a peer, or restarts.
func (k *checker) stepNode(s state, n int) {
	for v := range s.revision + 1 {
		read := s
		read.adopt(k.config, n, v)
		k.add(fmt.Sprintf("node %d reads revision %d", n+1, v), read)
	}
	for p := range k.config.Nodes {
		received := s
		received.adopt(k.config, n, s.inForce[p])
		k.add(fmt.Sprintf("node %d hears from node %d", n+1, p+1), received)
	}
	if s.restarts[n] >= k.config.Restarts {
		return
	}
	s.restarts[n]++
	s.inForce[n] = 0
	for op := range s.ops {
		if o := s.ops[op].phase; nodeOf(op) == n && o != accepted && o != refused {
			s.ops[op] = operator{}
		}
	}
	k.add(fmt.Sprintf("node %d restarts", n+1), s)
}
