// Package claimmodel is a model checker for the claim protocol of
// internal/state/idempotency. It visits every reachable state of a small instance
// of the protocol.
//
// The instance has one idempotency key and a caller that sends it several times.
// Each send is an attempt with up to three threads: the committer on the node that
// received the request, the committer on the owner of the bucket, and the later
// write of the outcome or the abandonment. Every read and every swap is a separate
// step. A swap is a message that reaches the key-value service at any later time or
// never, and its answer may be lost. A claimer may give up at any time. The key may
// expire and its bucket be deleted. Any thread, claimer or message may stop at any
// point, for any time or forever, while the others continue. This covers pauses,
// crashes and restarts of nodes, refusals and outages, since none of them allows
// anything that such a stop does not.
//
// The checker verifies three invariants in every state: the request ran at most
// once; an attempt that was reported to the caller as not_run did not run; an
// outcome is reported only if the request ran. A Variant breaks one rule of the
// protocol, to show that the checker detects it.
//
// # Usage
//
//	r := claimmodel.Check(claimmodel.Config{Attempts: 2, WithOwner: true})
//	fmt.Println(r.States, r.Violation)
package claimmodel

// Variant selects a rule of the protocol to break.
type Variant int

// The variants.
const (
	// Unmodified is the protocol without a broken rule.
	Unmodified Variant = iota
	// NoRevisionCheck swaps without comparing the revision.
	NoRevisionCheck
	// Takeover lets an attempt take over the claim of another, as with an expired
	// lease.
	Takeover
	// LateDispatch lets a claimer that gave up dispatch when a late grant arrives.
	LateDispatch
	// NoExpiryRecheck omits the expiry check after the swap.
	NoExpiryRecheck
)

// Config sets the size of the instance.
type Config struct {
	// Attempts is the number of times the caller sends the key, at most
	// maxAttempts.
	Attempts int
	// WithOwner adds the committer on the owner of the bucket to the first
	// attempt.
	WithOwner bool
	// WithExpiry lets the key expire and its bucket be deleted.
	WithExpiry bool
	// MaxSwaps bounds the number of swaps of each thread; 0 means maxMessages.
	MaxSwaps int
	Variant
}

// Result is the result of a check.
type Result struct {
	// States is the number of distinct states visited.
	States int
	// Violation describes the violated invariant. It is empty if there is none.
	Violation string
	// Steps is a shortest sequence of steps that leads to the violation.
	Steps []string
}

const (
	maxAttempts = 3
	// The indexes of the threads of an attempt.
	localThread, ownerThread, outcomeThread = 0, 1, 2
	threadsPerAttempt                       = 3
	// maxMessages is the number of messages of one thread that may be in flight.
	maxMessages = 2
)

// keyState is the state of the key in the bucket.
type keyState uint8

const (
	none keyState = iota
	claimed
	abandoned
	done
)

// entry is the entry of the key in the bucket. Attempts are numbered from 1;
// 0 means that there is no entry.
type entry struct {
	attempt uint8
	state   keyState
}

// action is the operation that a thread applies to the bucket.
type action uint8

const (
	claim action = iota
	record
	abandon
)

// revision abstracts a revision of the bucket. Revisions are only compared with
// the current one, and only that of an absent bucket can recur.
type revision uint8

const (
	absent revision = iota
	current
	stale
)

// message is a swap in flight to the key-value service.
type message struct {
	inFlight bool
	expected revision
	entry    entry
}

// step is the program counter of a thread. A thread at step 0 never runs.
type step uint8

const (
	_ step = iota
	// reading: the thread has to read the bucket.
	reading
	// read: it has read the bucket, possibly long ago.
	read
	// waiting: its last swap has no answer yet.
	waiting
	// swapped: the swap took effect; the answer may still be lost.
	swapped
	// conflicted: the answer is a conflict.
	conflicted
	// finished: it has a verdict.
	finished
)

// verdict is the result of a thread.
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
	// readEntry is the entry last read, at revision.
	readEntry entry
	// awaited is the index of the message whose answer it waits for.
	awaited  uint8
	messages [maxMessages]message
}

// phase is the state of a claimer.
type phase uint8

const (
	idle phase = iota
	claiming
	// mayDispatch: it was granted the key and has not dispatched yet.
	mayDispatch
	dispatched
	// The caller was told not_run, the outcome, or that the request is in
	// progress.
	reportedNotRun
	reportedOutcome
	reportedInProgress
)

// attempt is one send of the key by the caller.
type attempt struct {
	phase phase
	ran   bool
	// notRunReported is true once the caller was told not_run.
	notRunReported bool
	threads        [threadsPerAttempt]thread
}

// age is the age of the key. At expired, clocks may differ: some nodes consider the
// key expired and others do not.
type age uint8

const (
	unexpired age = iota
	expired
	deletable
)

// state is the state of the instance.
type state struct {
	age      age
	revision revision
	entry    entry
	attempts [maxAttempts]attempt
}

// countRuns returns how often the request ran.
func (s *state) countRuns() int {
	n := 0
	for i := range s.attempts {
		if s.attempts[i].ran {
			n++
		}
	}
	return n
}

// violation describes the violated invariant, or returns "".
func (s *state) violation() string {
	if s.countRuns() > 1 {
		return "the request ran twice"
	}
	for i := range s.attempts {
		a := &s.attempts[i]
		if a.ran && a.notRunReported {
			return "a request reported as not_run ran"
		}
		if a.phase == reportedOutcome && s.countRuns() == 0 {
			return "an outcome was reported, but no request ran"
		}
	}
	return ""
}
