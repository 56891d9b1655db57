package scatter

import (
	"context"

	"egrethaven/internal/back/backend"
	"egrethaven/internal/back/quarantine"
	"egrethaven/internal/back/searcher"
	"egrethaven/internal/infra/failuredomain"
	"egrethaven/internal/query/keyrange"
)

// Replica is a searcher that holds a shard. *backend.Backend implements it.
type Replica interface {
	ID() string
	Domain() failuredomain.Domain
	Search(ctx context.Context, q searcher.Query) backend.Reply
	State() backend.State
}

// Shard is a range of one version with the searchers that hold it.
type Shard struct {
	Range    keyrange.Range
	Replicas []Replica
	// Group is the number of the group that the shard belongs to.
	Group int
	// Holders are the entry VMs that call the searchers of the group. It is
	// empty if this VM calls them itself.
	Holders []Holder
}

// Index is an immutable view of the shards that a service's searchers hold.
type Index interface {
	// Versions returns the complete versions, whose ranges tile the key space,
	// newest first.
	Versions() []uint64
	// Newest returns the newest version seen, complete or not; 0 if none.
	Newest() uint64
	// Shards returns the shards of a version in order of their ranges.
	Shards(version uint64) []Shard
}

// Source returns the current index of a service.
type Source interface {
	Index(service string) Index
}

// Guard quarantines requests that crash backend servers.
// *quarantine.Quarantine implements it.
type Guard interface {
	// Classify returns how a request may run.
	Classify(fingerprint uint64) quarantine.Class
	// RecordAnswer records that a searcher answered the request.
	RecordAnswer(fingerprint uint64)
	// RecordLoss records that the connection to a searcher was lost while the
	// request and inFlight-1 others ran on it.
	RecordLoss(fingerprint uint64, searcher string, inFlight int)
	// RecordRetryLoss is RecordLoss for a call that repeated a lost one.
	RecordRetryLoss(fingerprint uint64, searcher string, inFlight int)
	// AwaitPropagation waits until the other nodes know of the lost calls or ctx
	// is done.
	AwaitPropagation(ctx context.Context, fingerprint uint64)
}

// trustingGuard is a Guard that trusts every request.
type trustingGuard struct{}

func (trustingGuard) Classify(uint64) quarantine.Class         { return quarantine.Trusted }
func (trustingGuard) RecordAnswer(uint64)                      {}
func (trustingGuard) RecordLoss(uint64, string, int)           {}
func (trustingGuard) RecordRetryLoss(uint64, string, int)      {}
func (trustingGuard) AwaitPropagation(context.Context, uint64) {}
