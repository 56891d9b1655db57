package idempotency

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

// Status is the result of claiming a key.
type Status int

// The statuses of a claim.
const (
	// Refused: this request must not be dispatched; see Claim.Reason.
	Refused Status = iota
	// Claimed: this request may be dispatched, once.
	Claimed
	// Repeated: an earlier request with the key is done; see Claim.Record.
	Repeated
	// InProgress: an earlier request with the key may be running.
	InProgress
)

// Request asks for permission to dispatch a request.
type Request struct {
	// Key is the caller's idempotency key, a UUIDv7.
	Key string
	// Fingerprint of the request; a repeat must have the same.
	Fingerprint uint64
}

// Record is the outcome of a dispatched request.
type Record struct {
	Outcome outcome.Outcome
	// Revision is the revision that the backend server assigned, if the
	// request ran.
	Revision uint64
	// Detail is a description, truncated to 256 bytes when stored.
	Detail string
}

// Claim is the answer to a Request.
type Claim struct {
	Status Status
	// Reason is the reason for a refusal.
	Reason outcome.Reason
	// Record is the outcome of the earlier request if Status is Repeated.
	Record Record

	key         key
	attempt     uuid.UUID
	bucket      bucketID
	fingerprint uint64
}

// Result returns the caller's answer for a request that is not dispatched. It
// panics if the claim was granted.
func (c Claim) Result(w write.Request) write.Result {
	r := write.Result{IdempotencyKey: w.IdempotencyKey, Search: w.Search}
	switch c.Status {
	case Repeated:
		r.Outcome, r.Revision, r.Detail, r.Repeated = c.Record.Outcome, c.Record.Revision, c.Record.Detail, true
	case InProgress:
		// The earlier request may be running, so not_run would be false.
		r.Outcome, r.Repeated = outcome.Unknown(outcome.InProgress), true
	case Claimed:
		panic("idempotency: Claim.Result called on a granted claim")
	default:
		r.Outcome = outcome.NotRun(c.Reason)
	}
	return r
}

// Fingerprint returns a hash of the search and the record of w. It does not
// depend on the sender or the time.
func Fingerprint(w write.Request) uint64 {
	d := xxhash.New()
	add := func(s string) {
		_, _ = d.WriteString(strconv.Itoa(len(s)))
		_, _ = d.WriteString(":" + s)
	}
	add(w.Search)
	add(w.Record.Key)
	add(w.Record.Source)
	add(strconv.Itoa(w.Record.SchemaVersion))
	add(strconv.FormatUint(w.Record.Revision, 10))
	names := make([]string, 0, len(w.Record.Fields))
	for n := range w.Record.Fields {
		names = append(names, n)
	}
	slices.Sort(names)
	for _, n := range names {
		add(n)
		add(w.Record.Fields[n])
	}
	return d.Sum64()
}

// targetState returns the entry state that an action sets.
func targetState(a claimrpc.Action) claimrpc.State {
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

// newOp returns the op that applies an action to the key of c.
func (c Claim) newOp(a claimrpc.Action, r Record) *claimrpc.Op {
	return &claimrpc.Op{Action: a, Entry: &claimrpc.Entry{
		Key:         c.key[:],
		Attempt:     c.attempt[:],
		Fingerprint: c.fingerprint,
		State:       targetState(a),
		Kind:        string(r.Outcome.Kind),
		Reason:      string(r.Outcome.Reason),
		Revision:    r.Revision,
		Detail:      truncateDetail(r.Detail),
	}}
}

// withResult returns c with the status, reason and record of an op's result.
func (c Claim) withResult(r *claimrpc.Result) Claim {
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
	case claimrpc.Verdict_FORGOTTEN:
		c.Status, c.Reason = Refused, outcome.KeyExpired
	case claimrpc.Verdict_SHED:
		c.Status, c.Reason = Refused, outcome.Shed
	default:
		c.Status, c.Reason = Refused, outcome.StoreDown
	}
	return c
}

// truncateDetail shortens a detail text to the length stored in a bucket.
func truncateDetail(s string) string {
	return strings.ToValidUTF8(s[:min(len(s), maxDetailBytes)], "")
}
