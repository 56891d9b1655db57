// Package outcome defines the outcomes that a request can have.
//
// An outcome is ok, not_run, unknown or failed. not_run guarantees that the
// request did not run, so it is safe to repeat. unknown means that some of the
// request may have reached a backend server and no valid answer was received.
// failed means that the request ran and the backend server reported a failure.
// All outcomes except ok have a Reason.
//
// # Usage
//
//	o := outcome.NotRun(outcome.Shed)
//	if o.Kind == outcome.KindNotRun { ... }
package outcome

// Kind is the class of an Outcome.
type Kind string

// The kinds of outcome.
const (
	KindOK      Kind = "ok"
	KindNotRun  Kind = "not_run"
	KindUnknown Kind = "unknown"
	KindFailed  Kind = "failed"
)

// Reason is the reason why an outcome is not ok or a range is missing.
type Reason string

// The reasons, shared by outcomes and by the missing ranges of a coverage.
const (
	None               Reason = ""
	Timeout            Reason = "timeout"
	Shed               Reason = "shed"
	NoReplica          Reason = "no_replica"
	VersionGone        Reason = "version_gone"
	Quarantined        Reason = "quarantined"
	UnreachableDomain  Reason = "unreachable_domain"
	Draining           Reason = "draining"
	Canceled           Reason = "canceled"
	DeadlinePast       Reason = "deadline_past"
	ConnectionRefused  Reason = "connection_refused"
	ConnectionLost     Reason = "connection_lost"
	ConnectionSilent   Reason = "connection_silent"
	BadAnswer          Reason = "bad_answer"
	BadRequest         Reason = "bad_request"
	UnknownSearch      Reason = "unknown_search"
	OverShare          Reason = "over_share"
	ShuttingDown       Reason = "shutting_down"
	StoreDown          Reason = "store_down"
	InProgress         Reason = "in_progress"
	KeyExpired         Reason = "key_expired"
	KeyReused          Reason = "key_reused"
	BucketFull         Reason = "bucket_full"
	NotReady           Reason = "not_ready"
	Rejected           Reason = "rejected"
	IncompleteCoverage Reason = "incomplete_coverage"
	UnknownKey         Reason = "unknown_key"
	OverQuota          Reason = "over_quota"
)

// Outcome is the result of a request.
type Outcome struct {
	Kind   Kind   `json:"kind"`
	Reason Reason `json:"reason,omitempty"`
}

// OK is the outcome of a request that ran and succeeded.
func OK() Outcome { return Outcome{Kind: KindOK} }

// NotRun is the outcome of a request that is known not to have run.
func NotRun(r Reason) Outcome { return Outcome{Kind: KindNotRun, Reason: r} }

// Unknown is the outcome of a request that may have run.
func Unknown(r Reason) Outcome { return Outcome{Kind: KindUnknown, Reason: r} }

// Failed is the outcome of a request that ran and did not succeed.
func Failed(r Reason) Outcome { return Outcome{Kind: KindFailed, Reason: r} }

// OK reports whether the request ran and succeeded.
func (o Outcome) OK() bool { return o.Kind == KindOK }

// String returns the kind, followed by the reason in parentheses if there is one.
func (o Outcome) String() string {
	if o.Reason == None {
		return string(o.Kind)
	}
	return string(o.Kind) + "(" + string(o.Reason) + ")"
}
