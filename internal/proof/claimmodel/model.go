// Package claimmodel checks the claim protocol of state/idempotency by visiting every
// interleaving of a small instance of it.
//
// The instance has one idempotency key, a caller that sends it several times,
// and for each send an attempt with up to three threads: the committer on the
// node that the caller asked, the committer on the owner of the bucket, and
// the later writing of the outcome or of the abandonment. Every read and swap
// is a step of its own. A swap is a message that reaches the service at any
// later time or never; its answer may be lost; a claimer may give up at any
// time; the key may expire and its bucket be deleted. Any thread, claimer or
// message may rest at any point while the others go on, for ever if need be:
// that covers pauses, nodes that vanish or restart, refusals and outages,
// since none of these lets anything happen that a rest does not.
//
// Checked in every state: the request ran at most once; an attempt whose
// caller was told not_run never ran; an outcome is only told of a request
// that ran. A Variant breaks one rule of the protocol, to show that the check
// would notice.
//
// # Usage
//
//	r := claimmodel.Check(claimmodel.Config{Attempts: 2, Owner: true})
//	fmt.Println(r.States, r.Violation)
package claimmodel

// Variant is a rule of the protocol that is left out.
type Variant int

// The variants.
const (
	// Faithful is the protocol as it is.
	Faithful Variant = iota
	// NoGuard swaps whatever the revision is.
	NoGuard
	// Takeover lets an attempt take the claim of another, as after a lease.
	Takeover
	// LateDispatch lets a claimer that gave up dispatch on a late grant.
	LateDispatch
	// NoRecheck leaves out the look at the clock after the swap.
	NoRecheck
)

// Config is the size of the instance.
type Config struct {
	// Attempts is how often the caller sends the key, at most maxAttempts.
	Attempts int
	// Owner adds the committer on the owner of the bucket to the first send.
	Owner bool
	// Expiry lets the key expire and its bucket be deleted.
	Expiry bool
	// Swaps bounds how often a thread swaps.
	Swaps int
	Variant
}

// Result is what a check found.
type Result struct {
	// States is the number of different states that were visited.
	States int
	// Violation names the broken invariant, or is empty.
	Violation string
	// Steps lead to the violation.
	Steps []string
}

const (
	maxAttempts = 3
	// The threads of an attempt.
	local, owner, after = 0, 1, 2
	threads             = 3
	// maxMessages of one thread may be on their way at a time.
	maxMessages = 2
)

// mark is the state of the key in the bucket.
type mark uint8

const (
	none mark = iota
	claimed
	abandoned
	done
)

// entry is what the bucket says of the key. Attempt 0 is none.
type entry struct {
	attempt uint8
	mark    mark
}

// action is what a thread wants of the bucket.
type action uint8

const (
	claim action = iota
	record
	abandon
)

// revision is a revision as far as it matters: it only ever gets compared
// with the current one, and only that of an absent bucket comes back.
type revision uint8

const (
	absent revision = iota
	current
	stale
)

// message is a swap on its way to the service.
type message struct {
	live   bool
	expect revision
	entry  entry
}

// step is where a thread stands; the zero step is at rest for good.
type step uint8

const (
	_ step = iota
	// reading: it has to read the bucket.
	reading
	// read: it has read the bucket and may have been paused since.
	read
	// waiting: its last message has no answer so far.
	waiting
	// swapped: the answer is that the swap took effect.
	swapped
	// beaten: the answer is a conflict.
	beaten
	// ended: it has a verdict.
	ended
)

// verdict is what a thread found out.
type verdict uint8

const (
	refused verdict = iota
	granted
	taken
	repeated
)

// thread carries out one action for an attempt.
type thread struct {
	action   action
	step     step
	verdict  verdict
	swaps    uint8
	revision revision
	seen     entry
	// sent is the message that it waits for.
	sent     uint8
	messages [maxMessages]message
}

// phase is what a claimer does.
type phase uint8

const (
	idle phase = iota
	asking
	// allowed: it was granted the key and may pause before it dispatches.
	allowed
	ran
	toldNotRun
	toldOutcome
	toldInProgress
)

// attempt is one send of the caller.
type attempt struct {
	phase   phase
	ran     bool
	notRun  bool
	threads [threads]thread
}

// age is how old the key is. Between expired and deletable, clocks may differ.
type age uint8

const (
	young age = iota
	expired
	deletable
)

// state is the whole instance.
type state struct {
	age      age
	revision revision
	entry    entry
	attempts [maxAttempts]attempt
}

// runs is how often the request ran.
func (s *state) runs() int {
	n := 0
	for i := range s.attempts {
		if s.attempts[i].ran {
			n++
		}
	}
	return n
}

// broken names the invariant that does not hold, if any.
func (s *state) broken() string {
	if s.runs() > 1 {
		return "ran twice"
	}
	for i := range s.attempts {
		a := &s.attempts[i]
		if a.ran && a.notRun {
			return "not_run was told of a run"
		}
		if a.phase == toldOutcome && s.runs() == 0 {
			return "an outcome was told of no run"
		}
	}
	return ""
}
