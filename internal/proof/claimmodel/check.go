package claimmodel

import (
	"fmt"
	"slices"
)

// label describes a step for the trace of a violation.
type label struct {
	attempt, thread int
	text            string
}

func (l label) String() string {
	return fmt.Sprintf("attempt %d thread %d: %s", l.attempt+1, l.thread, l.text)
}

// visit is a state and the step that first reached it.
type visit struct {
	state state
	// predecessor is the index of the visit before the step.
	predecessor int
	label       label
}

// checker visits states breadth-first, so that the trace of a violation is a
// shortest one.
type checker struct {
	config Config
	seen   map[state]struct{}
	visits []visit
	// current is the index of the visit that is being expanded.
	current int
}

// Check visits every reachable state of the instance and stops at the first
// violation.
func Check(c Config) Result {
	if c.MaxSwaps == 0 {
		c.MaxSwaps = maxMessages
	}
	k := &checker{config: c, seen: map[state]struct{}{}}
	k.addState(label{text: "start"}, state{})
	for ; k.current < len(k.visits); k.current++ {
		s := k.visits[k.current].state
		if v := s.violation(); v != "" {
			return Result{States: len(k.seen), Violation: v, Steps: k.trace(k.current)}
		}
		k.expand(s)
	}
	return Result{States: len(k.seen)}
}

// addState queues the canonical form of a successor state, unless it was visited
// before.
func (k *checker) addState(l label, s state) {
	k.canonicalize(&s)
	if _, ok := k.seen[s]; ok {
		return
	}
	k.seen[s] = struct{}{}
	k.visits = append(k.visits, visit{state: s, predecessor: k.current, label: l})
}

// canonicalize drops what can't affect later steps: verdicts that nobody will
// receive and messages that can no longer take effect.
func (k *checker) canonicalize(s *state) {
	for i := range s.attempts {
		a := &s.attempts[i]
		for j := range a.threads {
			t := &a.threads[j]
			verdictIgnored := a.phase != claiming && k.config.Variant != LateDispatch || j == outcomeThread
			if t.step == finished && (verdictIgnored || t.verdict == refused) {
				*t = thread{messages: t.messages}
			}
			for m := range t.messages {
				awaited := t.step == waiting && int(t.awaited) == m
				if t.messages[m].expected == stale && !awaited && k.config.Variant != NoRevisionCheck {
					t.messages[m] = message{}
				}
			}
		}
	}
}

// trace returns the steps from the start to a visit.
func (k *checker) trace(i int) []string {
	var steps []string
	for ; i > 0; i = k.visits[i].predecessor {
		steps = append(steps, k.visits[i].label.String())
	}
	slices.Reverse(steps)
	return steps
}

// expand adds all successors of a state.
func (k *checker) expand(s state) {
	k.advanceTime(s)
	for i := range k.config.Attempts {
		k.stepClaimer(s, i)
		for j := range threadsPerAttempt {
			k.stepThread(s, i, j)
			for m := range maxMessages {
				k.deliver(s, i, j, m)
			}
		}
	}
}

// advanceTime ages the key, or deletes its bucket once that is allowed.
func (k *checker) advanceTime(s state) {
	if !k.config.WithExpiry {
		return
	}
	if s.age < deletable {
		n := s
		n.age++
		k.addState(label{text: "time passes"}, n)
	}
	if s.age == deletable && s.revision != absent {
		k.invalidateRevisions(&s)
		s.revision, s.entry = absent, entry{}
		k.addState(label{text: "the bucket is deleted"}, s)
	}
}

// invalidateRevisions marks the current revision as stale wherever a thread or a
// message holds it. Without expiry a bucket can't become absent again, so absent
// becomes stale too.
func (k *checker) invalidateRevisions(s *state) {
	invalidate := func(r *revision) {
		if *r == current || !k.config.WithExpiry {
			*r = stale
		}
	}
	for i := range s.attempts {
		for j := range s.attempts[i].threads {
			t := &s.attempts[i].threads[j]
			if t.step == read {
				invalidate(&t.revision)
			}
			for m := range t.messages {
				if t.messages[m].inFlight {
					invalidate(&t.messages[m].expected)
				}
			}
		}
	}
}
