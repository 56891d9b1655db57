package claimmodel

// stepClaimer adds the states after each possible next step of the claimer of
// attempt i.
func (k *checker) stepClaimer(s state, i int) {
	a := s.attempts[i]
	switch a.phase {
	case idle:
		k.beginAttempt(s, i)
	case claiming:
		k.giveUp(s, i)
		k.receiveVerdict(s, i, localThread)
		k.receiveVerdict(s, i, ownerThread)
	case mayDispatch:
		k.dispatchOrAbandon(s, i)
	case reportedNotRun:
		if k.config.Variant == LateDispatch {
			k.dispatchLate(s, i)
		}
	}
}

// beginAttempt sends the key to a node. Attempts begin in the order of their
// numbers.
func (k *checker) beginAttempt(s state, i int) {
	if s.age == deletable || (i > 0 && s.attempts[i-1].phase == idle) {
		return
	}
	a := &s.attempts[i]
	a.phase = claiming
	a.threads[localThread].step = reading
	if k.config.WithOwner && i == 0 {
		a.threads[ownerThread].step = reading
	}
	k.addState(label{attempt: i, text: "begins"}, s)
}

// giveUp ends the wait: the caller is told not_run, and the claim is abandoned.
func (k *checker) giveUp(s state, i int) {
	a := &s.attempts[i]
	a.phase, a.notRunReported = reportedNotRun, true
	a.threads[outcomeThread] = thread{action: abandon, step: reading}
	k.addState(label{attempt: i, text: "gives up"}, s)
}

// receiveVerdict passes the verdict of thread j to the claimer.
func (k *checker) receiveVerdict(s state, i, j int) {
	a := &s.attempts[i]
	if a.threads[j].step != finished {
		return
	}
	l := label{attempt: i, thread: j, text: "the claimer receives the verdict"}
	switch a.threads[j].verdict {
	case granted:
		k.receiveGrant(s, i, l)
		return
	case repeated:
		a.phase = reportedOutcome
	case taken:
		a.phase = reportedInProgress
	}
	k.addState(l, s)
}

// receiveGrant checks once more whether the key has expired. While clocks may
// differ, both results are possible.
func (k *checker) receiveGrant(s state, i int, l label) {
	a := &s.attempts[i]
	if s.age != deletable || k.config.Variant == NoExpiryRecheck {
		n := s
		n.attempts[i].phase = mayDispatch
		k.addState(l, n)
	}
	if s.age != unexpired {
		a.phase, a.notRunReported = reportedNotRun, true
		a.threads[outcomeThread] = thread{action: abandon, step: reading}
		l.text = "the claimer receives the grant after the key expired"
		k.addState(l, s)
	}
}

// dispatchLate dispatches on a grant after the caller was told not_run.
func (k *checker) dispatchLate(s state, i int) {
	a := &s.attempts[i]
	if a.threads[localThread].step == finished && a.threads[localThread].verdict == granted && !a.ran {
		a.ran = true
		k.addState(label{attempt: i, text: "dispatches late"}, s)
	}
}

// dispatchOrAbandon dispatches the request and records the outcome, or abandons the
// claim.
func (k *checker) dispatchOrAbandon(s state, i int) {
	n := s
	b := &n.attempts[i]
	b.phase, b.ran = dispatched, true
	b.threads[outcomeThread] = thread{action: record, step: reading}
	k.addState(label{attempt: i, text: "dispatches the request"}, n)
	a := &s.attempts[i]
	a.phase, a.notRunReported = reportedNotRun, true
	a.threads[outcomeThread] = thread{action: abandon, step: reading}
	k.addState(label{attempt: i, text: "abandons the claim"}, s)
}
