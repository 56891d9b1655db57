package claimmodel

import (
	"fmt"
	"slices"
)

// label says what a step was.
type label struct {
	attempt, thread int
	what            string
}

func (l label) String() string {
	return fmt.Sprintf("attempt %d thread %d: %s", l.attempt+1, l.thread, l.what)
}

// visit is a state and how it was first reached.
type visit struct {
	state state
	// from is the index of the state before.
	from int
	by   label
}

// checker visits states breadth first, so that the steps to a violation are
// as few as can be.
type checker struct {
	config Config
	seen   map[state]struct{}
	visits []visit
	// from is the index of the state whose successors are being worked out.
	from int
}

// Check visits every state of the instance, or stops at the first violation.
func Check(c Config) Result {
	if c.Swaps == 0 {
		c.Swaps = maxMessages
	}
	k := &checker{config: c, seen: map[state]struct{}{}}
	k.reach(label{what: "start"}, state{})
	for ; k.from < len(k.visits); k.from++ {
		s := k.visits[k.from].state
		if b := s.broken(); b != "" {
			return Result{States: len(k.seen), Violation: b, Steps: k.steps(k.from)}
		}
		k.expand(s)
	}
	return Result{States: len(k.seen)}
}

// reach notes a state that one step leads to.
func (k *checker) reach(by label, s state) {
	k.reduce(&s)
	if _, ok := k.seen[s]; ok {
		return
	}
	k.seen[s] = struct{}{}
	k.visits = append(k.visits, visit{state: s, from: k.from, by: by})
}

// reduce makes states that can't be told apart any more one.
func (k *checker) reduce(s *state) {
	for i := range s.attempts {
		a := &s.attempts[i]
		for j := range a.threads {
			t := &a.threads[j]
			deaf := a.phase != asking && k.config.Variant != LateDispatch || j == after
			if t.step == ended && (deaf || t.verdict == refused) {
				*t = thread{messages: t.messages}
			}
			for m := range t.messages {
				heard := t.step == waiting && int(t.sent) == m
				if t.messages[m].expect == stale && !heard && k.config.Variant != NoGuard {
					t.messages[m] = message{}
				}
			}
		}
	}
}

// steps leads from the start to a visit.
func (k *checker) steps(i int) []string {
	var by []string
	for ; i > 0; i = k.visits[i].from {
		by = append(by, k.visits[i].by.String())
	}
	slices.Reverse(by)
	return by
}

// expand reaches everything that one step leads to.
func (k *checker) expand(s state) {
	k.passTime(s)
	for i := range k.config.Attempts {
		k.claimer(s, i)
		for j := range threads {
			k.thread(s, i, j)
			for m := range maxMessages {
				k.deliver(s, i, j, m)
			}
		}
	}
}

// passTime lets the key grow old and its bucket be deleted.
func (k *checker) passTime(s state) {
	if !k.config.Expiry {
		return
	}
	if s.age < deletable {
		n := s
		n.age++
		k.reach(label{what: "time passes"}, n)
	}
	if s.age == deletable && s.revision != absent {
		k.move(&s)
		s.revision, s.entry = absent, entry{}
		k.reach(label{what: "the bucket is deleted"}, s)
	}
}

// move makes what knows the current revision stale. Without expiry the
// absence of a bucket never comes back, so it grows stale too.
func (k *checker) move(s *state) {
	old := func(r *revision) {
		if *r == current || !k.config.Expiry {
			*r = stale
		}
	}
	for i := range s.attempts {
		for j := range s.attempts[i].threads {
			t := &s.attempts[i].threads[j]
			if t.step == read {
				old(&t.revision)
			}
			for m := range t.messages {
				if t.messages[m].live {
					old(&t.messages[m].expect)
				}
			}
		}
	}
}
