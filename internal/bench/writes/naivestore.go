package writes

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"

	"egrethaven/internal/platform/kv"
	"egrethaven/internal/query/outcome"
	"egrethaven/internal/state/idempotency"
)

// recordTimeout bounds one write of an outcome.
const recordTimeout = 2 * time.Second

// doneSuffix ends the value of a key whose outcome is recorded.
const doneSuffix = "+"

// naiveStore is the baseline: it writes each key once for the claim and once for
// the outcome. It is as safe as idempotency.Store, which batches writes.
type naiveStore struct {
	store   kv.Store
	writers sync.WaitGroup

	mu sync.Mutex
	// claimed holds the key and the revision of each open claim, by attempt ID.
	claimed map[string]kv.Entry
}

func newNaiveStore(s kv.Store) *naiveStore {
	return &naiveStore{store: s, claimed: map[string]kv.Entry{}}
}

// Claim creates the key with a new attempt ID, which it returns in Record.Detail.
func (s *naiveStore) Claim(ctx context.Context, r idempotency.Request) idempotency.Claim {
	attempt := uuid.NewString()
	e, st := s.store.Swap(ctx, "naive/"+r.Key, 0, []byte(attempt))
	if st == kv.Unknown {
		e, st = s.store.Get(ctx, "naive/"+r.Key)
	}
	switch {
	case st == kv.OK && string(e.Value) == attempt:
		s.mu.Lock()
		defer s.mu.Unlock()
		s.claimed[attempt] = e
		return idempotency.Claim{Status: idempotency.Claimed, Record: idempotency.Record{Detail: attempt}}
	case st == kv.Conflict && string(e.Value[len(e.Value)-1:]) == doneSuffix:
		return idempotency.Claim{Status: idempotency.Repeated, Record: idempotency.Record{Outcome: outcome.OK()}}
	case st == kv.Conflict:
		return idempotency.Claim{Status: idempotency.InProgress}
	default:
		return idempotency.Claim{Status: idempotency.Refused, Reason: outcome.StoreDown}
	}
}

// Record marks the key as done in the background.
func (s *naiveStore) Record(c idempotency.Claim, _ idempotency.Record) {
	s.mu.Lock()
	e := s.claimed[c.Record.Detail]
	delete(s.claimed, c.Record.Detail)
	s.mu.Unlock()
	s.writers.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
		defer cancel()
		s.store.Swap(ctx, e.Key, e.Revision, []byte(c.Record.Detail+doneSuffix))
	})
}

// Close waits for the outcome writes in flight.
func (s *naiveStore) Close() error {
	s.writers.Wait()
	return nil
}
