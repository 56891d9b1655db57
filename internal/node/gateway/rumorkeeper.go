package gateway

import (
	"cmp"
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"egrethaven/internal/observe/event"
	"egrethaven/internal/peer/rumor"
	"egrethaven/internal/platform/pause"
	"egrethaven/internal/state/follow"
)

const (
	// keepInterval is the time between two checks.
	keepInterval = time.Second
	// retryInterval is the time after a failed write.
	retryInterval = 2 * time.Second
	// writeInterval is the least time between two writes of a VM.
	writeInterval = 3 * time.Second
	// keepSpread is the time over which VMs spread their writes, so that most find in the
	// store what another one has written.
	keepSpread = 500 * time.Millisecond
	// maxKeptBytes limits the rumors in an entry of the store, which goes to all VMs.
	maxKeptBytes = 2 << 10
	// minKeepTTL and maxKeepTTL bound the lifetime of an entry.
	minKeepTTL = time.Second
	maxKeepTTL = 10 * time.Minute
)

// rumorKeeperConfig holds the settings and dependencies of a rumorKeeper.
type rumorKeeperConfig struct {
	Rumors *rumor.Set
	Store  follow.Store
	// Key is the key to write.
	Key string
	// Needed reports whether there are VMs that this one cannot tell its rumors.
	Needed func() bool
	// Watches reports whether this VM watches the store itself. Only such VMs write.
	Watches func() bool
	Events  event.Sink
}

// rumorKeeper passes rumors on through the store, to VMs that reach the store and not this
// VM. It writes only while there are such VMs and rumors that the store does not have.
type rumorKeeper struct {
	c  rumorKeeperConfig
	mu sync.Mutex
	// stored holds the sequence numbers of the rumors in each entry of the store.
	stored map[string]map[rumorName]uint64
}

// rumorName identifies a rumor.
type rumorName struct {
	kind rumor.Kind
	key  string
}

// keptRumor is a rumor in an entry of the store.
type keptRumor struct {
	Kind     rumor.Kind `json:"kind"`
	Key      string     `json:"key"`
	Origin   string     `json:"origin"`
	Sequence uint64     `json:"sequence"`
	TTLMS    int64      `json:"ttl_ms"`
	Payload  []byte     `json:"payload"`
}

// newRumorKeeper returns a keeper that writes nothing before Run.
func newRumorKeeper(c rumorKeeperConfig) *rumorKeeper {
	return &rumorKeeper{c: c, stored: map[string]map[rumorName]uint64{}}
}

// replace forgets all entries, before a full read.
func (k *rumorKeeper) replace() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.stored = map[string]map[rumorName]uint64{}
}

// apply takes in a change of an entry.
func (k *rumorKeeper) apply(c follow.Change) {
	var rs []keptRumor
	if !c.Deleted {
		if err := json.Unmarshal(c.Value, &rs); err != nil {
			k.c.Events.Emit(event.EntryUnreadable, c.Key, err.Error())
		}
	}
	names := make(map[rumorName]uint64, len(rs))
	for _, r := range rs {
		names[rumorName{r.Kind, r.Key}] = r.Sequence
		ttl := time.Duration(min(r.TTLMS, rumor.MaxTTL.Milliseconds())) * time.Millisecond
		k.c.Rumors.Merge([]rumor.Rumor{{Kind: r.Kind, Key: r.Key, Origin: r.Origin, Sequence: r.Sequence, TTL: ttl, Payload: r.Payload}})
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.stored[c.Key] = names
	if c.Deleted {
		delete(k.stored, c.Key)
	}
}

// newest returns the newest rumors, as far as there is room in an entry.
func (k *rumorKeeper) newest() []rumor.Rumor {
	all := k.c.Rumors.All()
	slices.SortStableFunc(all, func(a, b rumor.Rumor) int { return cmp.Compare(b.TTL, a.TTL) })
	size := 0
	for n, r := range all {
		if size += r.Size(); size > maxKeptBytes {
			return all[:n]
		}
	}
	return all
}

// missing reports whether the store lacks a rumor that this VM would write.
func (k *rumorKeeper) missing() bool {
	newest := k.newest()
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, r := range newest {
		found := false
		for _, names := range k.stored {
			found = found || names[rumorName{r.Kind, r.Key}] >= r.Sequence
		}
		if !found {
			return true
		}
	}
	return false
}

// Run writes rumors to the store when needed, until ctx ends.
func (k *rumorKeeper) Run(ctx context.Context) {
	needed := func() bool { return k.c.Rumors.Len() > 0 && k.c.Watches() && k.c.Needed() && k.missing() }
	interval := keepInterval
	for pause.Sleep(ctx, interval) {
		interval = keepInterval
		if !needed() || !pause.Sleep(ctx, rand.N(keepSpread)) || !needed() {
			continue
		}
		err := k.write(ctx)
		interval = retryInterval
		if err == nil {
			interval = writeInterval
			continue
		}
		if ctx.Err() == nil {
			k.c.Events.Emit(event.SharingFailed, k.c.Key, errors.Annotate(err, "writing rumors to the store").Error())
		}
	}
}

// write writes the newest rumors for as long as they are valid.
func (k *rumorKeeper) write(ctx context.Context) error {
	var rs []keptRumor
	ttl := minKeepTTL
	for _, r := range k.newest() {
		ttl = max(ttl, r.TTL)
		rs = append(rs, keptRumor{Kind: r.Kind, Key: r.Key, Origin: r.Origin, Sequence: r.Sequence, TTLMS: r.TTL.Milliseconds(), Payload: r.Payload})
	}
	b, err := json.Marshal(rs)
	if err != nil {
		return errors.Trace(err)
	}
	l, err := k.c.Store.Grant(ctx, min(ttl, maxKeepTTL))
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(k.c.Store.Put(ctx, k.c.Key, b, l))
}
