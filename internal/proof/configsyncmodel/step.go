package configsyncmodel

import "fmt"

// expand reaches every state that one step leads to from s.
func (k *checker) expand(s state) {
	for op := range s.ops {
		k.operate(s, op)
	}
	k.deliver(s)
	for n := range k.config.Nodes {
		k.spread(s, n)
	}
}

// operate takes a step of an operator.
func (k *checker) operate(s state, op int) {
	switch s.ops[op].phase {
	case idle:
		for v := range s.revision + 1 {
			k.read(s, op, v)
		}
	case ready:
		s.ops[op].phase = sent
		s.flight |= bit(s.ops[op].base, op)
		k.reach(fmt.Sprintf("operator %d sends a swap at %d", op+1, s.ops[op].base), s)
	case sent:
		k.answer(s, op)
	case checking:
		for v := range s.revision + 1 {
			k.check(s, op, v)
		}
	}
}

// read is an operator's first look at the root, as it was at a revision.
func (k *checker) read(s state, op int, v uint8) {
	what := fmt.Sprintf("operator %d reads revision %d", op+1, v)
	if v < s.force[node(op)] && !k.config.NoOrderCheck {
		return
	}
	if k.found(s, op, v, what) {
		return
	}
	if m, ok := k.config.meant(op); ok && v != m {
		// A read below what was meant is stale and answers nothing.
		if v > m || k.config.NoFreshnessCheck {
			s.ops[op].phase = refused
			k.reach(what+" and is refused", s)
		}
		return
	}
	s.ops[op] = operator{phase: ready, base: v}
	k.reach(what, s)
}

// found accepts a change that a read shows to be applied.
func (k *checker) found(s state, op int, v uint8, what string) bool {
	at := s.find(op, v)
	if at == 0 || k.config.NoChangeID {
		return false
	}
	s.ops[op] = operator{phase: accepted, at: at}
	s.adopt(k.config, node(op), v)
	k.reach(what+" and finds its change", s)
	return true
}

// answer lets the swap of an operator end in one of the ways that it can.
func (k *checker) answer(s state, op int) {
	base := s.ops[op].base
	done := s
	if done.effect(k.config, base, op) {
		lost := done
		k.reach(fmt.Sprintf("operator %d: effect at %d, answer lost", op+1, base), lost)
		done.ops[op] = operator{phase: accepted, at: base + 1}
		done.adopt(k.config, node(op), base+1)
		k.reach(fmt.Sprintf("operator %d: accepted as %d", op+1, base+1), done)
	} else {
		conflict := s
		conflict.ops[op].phase = checking
		k.reach(fmt.Sprintf("operator %d: conflict at %d", op+1, base), conflict)
	}
	s.ops[op] = operator{}
	k.reach(fmt.Sprintf("operator %d is unsure", op+1), s)
}

// check is an operator's look at the root after a conflict.
func (k *checker) check(s state, op int, v uint8) {
	what := fmt.Sprintf("operator %d checks revision %d", op+1, v)
	base := s.ops[op].base
	if v <= base && !k.config.NoFreshnessCheck {
		s.ops[op] = operator{}
		k.reach(what+", which is stale, and is unsure", s)
		return
	}
	if k.found(s, op, v, what) {
		return
	}
	if _, ok := k.config.meant(op); ok {
		s.ops[op].phase = refused
		k.reach(what+" and is refused", s)
		return
	}
	s.ops[op] = operator{}
	k.reach(what+" and tries again", s)
}

// deliver lets a swap that was given up take effect.
func (k *checker) deliver(s state) {
	for op := range s.ops {
		for base := range uint8(maxRevision) {
			late := s
			if s.flight&bit(base, op) != 0 && late.effect(k.config, base, op) {
				k.reach(fmt.Sprintf("a late swap of operator %d takes effect at %d", op+1, base), late)
			}
		}
	}
}

// spread lets a node read the store, hear from a peer, or restart.
func (k *checker) spread(s state, n int) {
	for v := range s.revision + 1 {
		read := s
		read.adopt(k.config, n, v)
		k.reach(fmt.Sprintf("node %d reads revision %d", n+1, v), read)
	}
	for p := range k.config.Nodes {
		told := s
		told.adopt(k.config, n, s.force[p])
		k.reach(fmt.Sprintf("node %d hears from node %d", n+1, p+1), told)
	}
	if s.life[n] >= k.config.Restarts {
		return
	}
	s.life[n]++
	s.force[n] = 0
	for op := range s.ops {
		if o := s.ops[op].phase; node(op) == n && o != accepted && o != refused {
			s.ops[op] = operator{}
		}
	}
	k.reach(fmt.Sprintf("node %d restarts", n+1), s)
}
