package scatter

import (
	"context"

	"egrethaven/internal/back/backend"
	"egrethaven/internal/back/quarantine"
	"egrethaven/internal/back/searcher"
	"egrethaven/internal/query/keyrange"
	"egrethaven/internal/world/zone"
)

// Replica is one searcher that holds a shard. *backend.Backend is one.
type Replica interface {
	ID() string
	Domain() zone.Domain
	Search(ctx context.Context, q searcher.Query) backend.Reply
	State() backend.State
}

// Shard is one range of a version with the searchers that hold it.
type Shard struct {
	Range    keyrange.Range
	Replicas []Replica
	// Group of shards that it belongs to.
	Group int
	// Holders are the entry VMs that call the searchers of the group, when
	// this one does not; empty when it does.
	Holders []Holder
}

// Index is an immutable view of what the searchers of a service hold.
type Index interface {
	// Versions whose ranges tile the key space, newest first.
	Versions() []uint64
	// Newest is the newest version seen, complete or not; 0 if none.
	Newest() uint64
	// Shards of a version, in order of their ranges.
	Shards(version uint64) []Shard
}

// Source gives the current index of a service.
type Source interface {
	Index(service string) Index
}

// Guard keeps requests that crash backend servers from running again.
// *quarantine.Quarantine is one.
type Guard interface {
	// Judge tells how a request may run.
	Judge(fingerprint uint64) quarantine.Verdict
	// Passed tells that a searcher answered the request.
	Passed(fingerprint uint64)
	// Lost tells that the connection died while the request ran there.
	Lost(fingerprint uint64, searcher string, inFlight int)
	// LostAgain is Lost of a call made in place of one that was lost.
	LostAgain(fingerprint uint64, searcher string, inFlight int)
	// Settle waits until the other nodes know what Lost told, or ctx ends.
	Settle(ctx context.Context, fingerprint uint64)
}

// openGuard trusts every request.
type openGuard struct{}

func (openGuard) Judge(uint64) quarantine.Verdict { return quarantine.Trusted }
func (openGuard) Passed(uint64)                   {}
func (openGuard) Lost(uint64, string, int)        {}
func (openGuard) LostAgain(uint64, string, int)   {}
func (openGuard) Settle(context.Context, uint64)  {}
