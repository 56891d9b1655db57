package claimmodel

// thread reaches what thread j of attempt i may do next. That it may do
// nothing for any time is its pause.
func (k *checker) thread(s state, i, j int) {
	t := &s.attempts[i].threads[j]
	by := func(what string) label { return label{i, j, what} }
	switch t.step {
	case reading:
		t.step, t.revision, t.seen = read, s.revision, s.entry
		k.reach(by("reads"), s)
	case read:
		k.decide(s, i, j, by)
	case waiting:
		// The answer is lost, or the swap was refused: it reads back.
		k.again(s, i, j, by("hears nothing"))
	case swapped:
		n := s
		n.attempts[i].threads[j].end(granted)
		k.reach(by("hears that it swapped"), n)
		k.again(s, i, j, by("loses the answer"))
	case beaten:
		k.again(s, i, j, by("hears of a conflict"))
	}
}

// end gives a thread its verdict. What it knew is forgotten, so that states
// which differ by that only are one.
func (t *thread) end(v verdict) {
	t.step, t.verdict = ended, v
	t.swaps, t.revision, t.seen, t.sent = 0, absent, entry{}, 0
}

// again reads the bucket anew.
func (k *checker) again(s state, i, j int, by label) {
	t := &s.attempts[i].threads[j]
	t.step, t.revision, t.seen, t.sent = reading, absent, entry{}, 0
	k.reach(by, s)
}

// decide works out the entry to write from what was read, and sends it.
func (k *checker) decide(s state, i, j int, by func(string) label) {
	t := &s.attempts[i].threads[j]
	e, v, write := k.apply(t.action, t.seen, uint8(i+1))
	if !write {
		t.end(v)
		k.reach(by("decides"), s)
		return
	}
	if int(t.swaps) >= k.config.Swaps {
		t.end(refused)
		k.reach(by("has no more tries"), s)
		return
	}
	for m := range t.messages {
		if t.messages[m].live {
			continue
		}
		t.messages[m] = message{live: true, expect: t.revision, entry: e}
		t.step, t.sent, t.revision, t.seen = waiting, uint8(m), absent, entry{}
		t.swaps++
		k.reach(by("sends its swap"), s)
		return
	}
}

// apply is the rule of the bucket for one action of attempt a.
func (k *checker) apply(c action, old entry, a uint8) (entry, verdict, bool) {
	mine := old.attempt == a
	switch {
	case c == record:
		return entry{a, done}, refused, mine && old.mark == claimed
	case c == abandon:
		return entry{a, abandoned}, refused, old.mark == none || mine && old.mark == claimed
	case mine && old.mark == claimed:
		return old, granted, false
	case mine && old.mark == abandoned:
		return old, refused, false
	case old.mark == none, old.mark == abandoned, k.config.Variant == Takeover && old.mark == claimed:
		return entry{a, claimed}, granted, true
	case old.mark == done:
		return old, repeated, false
	default:
		return old, taken, false
	}
}

// deliver lets a message reach the service. One that is lost or refused is
// never delivered.
func (k *checker) deliver(s state, i, j, m int) {
	t := &s.attempts[i].threads[j]
	g := t.messages[m]
	if !g.live {
		return
	}
	t.messages[m] = message{}
	by := func(what string) label { return label{i, j, what} }
	heard := t.step == waiting && int(t.sent) == m
	if g.expect != s.revision && k.config.Variant != NoGuard {
		if heard {
			t.step = beaten
		}
		k.reach(by("the swap conflicts"), s)
		return
	}
	if heard {
		t.step = swapped
	}
	k.move(&s)
	s.entry, s.revision = g.entry, current
	k.reach(by("the swap takes effect"), s)
}
