package claimmodel

// stepThread adds the states after each possible next step of thread j of
// attempt i. A pause is not a step: others may always step first.
func (k *checker) stepThread(s state, i, j int) {
	t := &s.attempts[i].threads[j]
	labelFor := func(text string) label { return label{i, j, text} }
	switch t.step {
	case reading:
		t.step, t.revision, t.readEntry = read, s.revision, s.entry
		k.addState(labelFor("reads"), s)
	case read:
		k.decide(s, i, j, labelFor)
	case waiting:
		// The answer is lost or the swap was refused: the thread reads the
		// bucket back.
		k.readAgain(s, i, j, labelFor("gets no answer"))
	case swapped:
		n := s
		n.attempts[i].threads[j].finish(granted)
		k.addState(labelFor("gets the answer that the swap took effect"), n)
		k.readAgain(s, i, j, labelFor("loses the answer"))
	case conflicted:
		k.readAgain(s, i, j, labelFor("gets the answer that the swap conflicted"))
	}
}

// finish sets the verdict of a thread and clears its other fields, so that states
// that differ only in those are the same.
func (t *thread) finish(v verdict) {
	t.step, t.verdict = finished, v
	t.swaps, t.revision, t.readEntry, t.awaited = 0, absent, entry{}, 0
}

// readAgain makes a thread read the bucket again.
func (k *checker) readAgain(s state, i, j int, l label) {
	t := &s.attempts[i].threads[j]
	t.step, t.revision, t.readEntry, t.awaited = reading, absent, entry{}, 0
	k.addState(l, s)
}

// decide determines the verdict from the entry read, or sends a swap with a new
// entry.
func (k *checker) decide(s state, i, j int, labelFor func(string) label) {
	t := &s.attempts[i].threads[j]
	e, v, write := k.apply(t.action, t.readEntry, uint8(i+1))
	if !write {
		t.finish(v)
		k.addState(labelFor("finishes"), s)
		return
	}
	if int(t.swaps) >= k.config.MaxSwaps {
		t.finish(refused)
		k.addState(labelFor("has no more swaps"), s)
		return
	}
	for m := range t.messages {
		if t.messages[m].inFlight {
			continue
		}
		t.messages[m] = message{inFlight: true, expected: t.revision, entry: e}
		t.step, t.awaited, t.revision, t.readEntry = waiting, uint8(m), absent, entry{}
		t.swaps++
		k.addState(labelFor("sends a swap"), s)
		return
	}
}

// apply applies an action of attempt a to an entry. It returns the resulting
// entry, the verdict, and whether the entry has to be written.
func (k *checker) apply(c action, old entry, a uint8) (entry, verdict, bool) {
	sameAttempt := old.attempt == a
	switch {
	case c == record:
		return entry{a, done}, refused, sameAttempt && old.state == claimed
	case c == abandon:
		return entry{a, abandoned}, refused, old.state == none || sameAttempt && old.state == claimed
	case sameAttempt && old.state == claimed:
		return old, granted, false
	case sameAttempt && old.state == abandoned:
		return old, refused, false
	case old.state == none, old.state == abandoned, k.config.Variant == Takeover && old.state == claimed:
		return entry{a, claimed}, granted, true
	case old.state == done:
		return old, repeated, false
	default:
		return old, taken, false
	}
}

// deliver lets a message reach the key-value service. A message that is lost or
// refused is never delivered.
func (k *checker) deliver(s state, i, j, m int) {
	t := &s.attempts[i].threads[j]
	msg := t.messages[m]
	if !msg.inFlight {
		return
	}
	t.messages[m] = message{}
	labelFor := func(text string) label { return label{i, j, text} }
	awaited := t.step == waiting && int(t.awaited) == m
	if msg.expected != s.revision && k.config.Variant != NoRevisionCheck {
		if awaited {
			t.step = conflicted
		}
		k.addState(labelFor("the swap conflicts"), s)
		return
	}
	if awaited {
		t.step = swapped
	}
	k.invalidateRevisions(&s)
	s.entry, s.revision = msg.entry, current
	k.addState(labelFor("the swap takes effect"), s)
}
