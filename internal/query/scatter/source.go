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
	// Judge returns how a request may run.
	Judge(fingerprint uint64) quarantine.Verdict
	// Passed records that a searcher answered the request.
	Passed(fingerprint uint64)
	// Lost records that the connection to a searcher was lost while the request
	// and inFlight-1 others ran on it.
	Lost(fingerprint uint64, searcher string, inFlight int)
	// LostAgain is Lost for a call that repeated a lost one.
	LostAgain(fingerprint uint64, searcher string, inFlight int)
	// Settle waits until the other nodes know of the lost calls or ctx is done.
	Settle(ctx context.Context, fingerprint uint64)
}

// trustingGuard is a Guard that trusts every request.
type trustingGuard struct{}

func (trustingGuard) Judge(uint64) quarantine.Verdict { return quarantine.Trusted }
func (trustingGuard) Passed(uint64)                   {}
func (trustingGuard) Lost(uint64, string, int)        {}
func (trustingGuard) LostAgain(uint64, string, int)   {}
func (trustingGuard) Settle(context.Context, uint64)  {}
