package once

import (
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"egrethaven/internal/peer/claimrpc"
	"egrethaven/internal/query/outcome"
	"egrethaven/internal/query/write"
)

// Status is what became of a claim.
type Status int

// The statuses of a claim.
const (
	// Refused: this request must not be dispatched; Reason tells why.
	Refused Status = iota
	// Claimed: this request may be dispatched, once.
	Claimed
	// Repeated: an earlier request with the key has the outcome in Record.
	Repeated
	// InProgress: an earlier request with the key may be running.
	InProgress
)

// Request asks for the right to dispatch.
type Request struct {
	// Key is the caller's idempotency key, a UUIDv7.
	Key string
	// Fingerprint of the request; a repeat must have the same.
	Fingerprint uint64
}

// Record is the outcome of a dispatch.
type Record struct {
	Outcome outcome.Outcome
	// Revision that the backend server assigned, if it ran.
	Revision uint64
	// Detail in words; cut to 256 bytes.
	Detail string
}

// Claim is the answer to a Request.
type Claim struct {
	Status Status
	// Reason of a refusal.
	Reason outcome.Reason
	// Record of the earlier request, if Repeated.
	Record Record

	key         key
	attempt     uuid.UUID
	place       place
	fingerprint uint64
}

// Result is the answer to a caller whose request is not dispatched.
func (c Claim) Result(w write.Request) write.Result {
	r := write.Result{IdempotencyKey: w.IdempotencyKey, Search: w.Search}
	switch c.Status {
	case Repeated:
		r.Outcome, r.Revision, r.Detail, r.Repeated = c.Record.Outcome, c.Record.Revision, c.Record.Detail, true
	case InProgress:
		// The earlier request may be running, so not_run would be false.
		r.Outcome, r.Repeated = outcome.Unknown(outcome.InProgress), true
	case Claimed:
		panic("once: result of a claim that is to be dispatched")
	default:
		r.Outcome = outcome.NotRun(c.Reason)
	}
	return r
}

// Fingerprint identifies what w asks for, whoever asks and whenever.
func Fingerprint(w write.Request) uint64 {
	d := xxhash.New()
	put := func(s string) {
		_, _ = d.WriteString(strconv.Itoa(len(s)))
		_, _ = d.WriteString(":" + s)
	}
	put(w.Search)
	put(w.Record.Key)
	put(w.Record.Source)
	put(strconv.Itoa(w.Record.SchemaVersion))
	put(strconv.FormatUint(w.Record.Revision, 10))
	names := make([]string, 0, len(w.Record.Fields))
	for n := range w.Record.Fields {
		names = append(names, n)
	}
	slices.Sort(names)
	for _, n := range names {
		put(n)
		put(w.Record.Fields[n])
	}
	return d.Sum64()
}

// stateOf is the state that an action asks for.
func stateOf(a claimrpc.Action) claimrpc.State {
	switch a {
	case claimrpc.Action_CLAIM:
		return claimrpc.State_CLAIMED
	case claimrpc.Action_RECORD:
		return claimrpc.State_DONE
	case claimrpc.Action_ABANDON:
		return claimrpc.State_ABANDONED
	default:
		return claimrpc.State_STATE_UNSPECIFIED
	}
}

// op is the change that takes c's key into a state.
func (c Claim) op(a claimrpc.Action, r Record) *claimrpc.Op {
	return &claimrpc.Op{Action: a, Entry: &claimrpc.Entry{
		Key:         c.key[:],
		Attempt:     c.attempt[:],
		Fingerprint: c.fingerprint,
		State:       stateOf(a),
		Kind:        string(r.Outcome.Kind),
		Reason:      string(r.Outcome.Reason),
		Revision:    r.Revision,
		Detail:      cut(r.Detail),
	}}
}

// settle fills c in from the verdict on its op.
func (c Claim) settle(r *claimrpc.Result) Claim {
	switch r.Verdict {
	case claimrpc.Verdict_GRANTED:
		c.Status = Claimed
	case claimrpc.Verdict_TAKEN:
		c.Status = InProgress
	case claimrpc.Verdict_REPEATED:
		c.Status = Repeated
		c.Record = Record{
			Outcome:  outcome.Outcome{Kind: outcome.Kind(r.Entry.GetKind()), Reason: outcome.Reason(r.Entry.GetReason())},
			Revision: r.Entry.GetRevision(),
			Detail:   r.Entry.GetDetail(),
		}
	case claimrpc.Verdict_REUSED:
		c.Status, c.Reason = Refused, outcome.KeyReused
	case claimrpc.Verdict_FULL:
		c.Status, c.Reason = Refused, outcome.BucketFull
	case claimrpc.Verdict_SHED:
		c.Status, c.Reason = Refused, outcome.Shed
	default:
		c.Status, c.Reason = Refused, outcome.StoreDown
	}
	return c
}

// cut shortens words to what a bucket keeps of them.
func cut(s string) string {
	return strings.ToValidUTF8(s[:min(len(s), maxDetail)], "")
}
