package claimmodel

// claimer reaches what the claimer of attempt i may do next.
func (k *checker) claimer(s state, i int) {
	a := s.attempts[i]
	switch a.phase {
	case idle:
		k.begin(s, i)
	case asking:
		k.giveUp(s, i)
		k.hear(s, i, local)
		k.hear(s, i, owner)
	case allowed:
		k.act(s, i)
	case toldNotRun:
		if k.config.Variant == LateDispatch {
			k.hearLate(s, i)
		}
	}
}

// begin sends the key to a node. Attempts begin in their order.
func (k *checker) begin(s state, i int) {
	if s.age == deletable || (i > 0 && s.attempts[i-1].phase == idle) {
		return
	}
	a := &s.attempts[i]
	a.phase = asking
	a.threads[local].step = reading
	if k.config.Owner && i == 0 {
		a.threads[owner].step = reading
	}
	k.reach(label{attempt: i, what: "begins"}, s)
}

// giveUp ends the wait: the caller is told not_run, and the key is freed.
func (k *checker) giveUp(s state, i int) {
	a := &s.attempts[i]
	a.phase, a.notRun = toldNotRun, true
	a.threads[after] = thread{action: abandon, step: reading}
	k.reach(label{attempt: i, what: "gives up"}, s)
}

// hear takes the verdict of a thread.
func (k *checker) hear(s state, i, j int) {
	a := &s.attempts[i]
	if a.threads[j].step != ended {
		return
	}
	by := label{attempt: i, thread: j, what: "the claimer hears the verdict"}
	switch a.threads[j].verdict {
	case granted:
		k.hearGrant(s, i, by)
		return
	case repeated:
		a.phase = toldOutcome
	case taken:
		a.phase = toldInProgress
	}
	k.reach(by, s)
}

// hearGrant looks at the clock once more. While clocks may differ, either
// reading is possible.
func (k *checker) hearGrant(s state, i int, by label) {
	a := &s.attempts[i]
	if s.age != deletable || k.config.Variant == NoRecheck {
		n := s
		n.attempts[i].phase = allowed
		k.reach(by, n)
	}
	if s.age != young {
		a.phase, a.notRun = toldNotRun, true
		a.threads[after] = thread{action: abandon, step: reading}
		by.what = "the claimer hears the grant too late"
		k.reach(by, s)
	}
}

// hearLate dispatches on a grant after the caller was told not_run.
func (k *checker) hearLate(s state, i int) {
	a := &s.attempts[i]
	if a.threads[local].step == ended && a.threads[local].verdict == granted && !a.ran {
		a.ran = true
		k.reach(label{attempt: i, what: "dispatches late"}, s)
	}
}

// act dispatches and records the outcome, or decides never to dispatch.
func (k *checker) act(s state, i int) {
	n := s
	b := &n.attempts[i]
	b.phase, b.ran = ran, true
	b.threads[after] = thread{action: record, step: reading}
	k.reach(label{attempt: i, what: "runs"}, n)
	a := &s.attempts[i]
	a.phase, a.notRun = toldNotRun, true
	a.threads[after] = thread{action: abandon, step: reading}
	k.reach(label{attempt: i, what: "decides not to run"}, s)
}
