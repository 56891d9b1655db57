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

// recordTimeout bounds the writing of one outcome.
const recordTimeout = 2 * time.Second

// doneMark ends the value of a key whose request was recorded.
const doneMark = "+"

// single is the baseline: a value for each key, swapped once for the claim
// and once for the outcome. It is as safe as the batched one.
type single struct {
	store kv.Store
	wait  sync.WaitGroup

	mu sync.Mutex
	// held is the key and revision of each claim, by attempt.
	held map[string]kv.Entry
}

func newSingle(s kv.Store) *single {
	return &single{store: s, held: map[string]kv.Entry{}}
}

// Claim swaps the key's value from nothing to the attempt id. The claim that
// it returns carries the attempt id in its record.
func (s *single) Claim(ctx context.Context, r idempotency.Request) idempotency.Claim {
	attempt := uuid.NewString()
	e, st := s.store.Swap(ctx, "naive/"+r.Key, 0, []byte(attempt))
	if st == kv.Unknown {
		e, st = s.store.Get(ctx, "naive/"+r.Key)
	}
	switch {
	case st == kv.OK && string(e.Value) == attempt:
		s.mu.Lock()
		defer s.mu.Unlock()
		s.held[attempt] = e
		return idempotency.Claim{Status: idempotency.Claimed, Record: idempotency.Record{Detail: attempt}}
	case st == kv.Conflict && string(e.Value[len(e.Value)-1:]) == doneMark:
		return idempotency.Claim{Status: idempotency.Repeated, Record: idempotency.Record{Outcome: outcome.OK()}}
	case st == kv.Conflict:
		return idempotency.Claim{Status: idempotency.InProgress}
	default:
		return idempotency.Claim{Status: idempotency.Refused, Reason: outcome.StoreDown}
	}
}

// Record swaps the key's value to the recorded one.
func (s *single) Record(c idempotency.Claim, _ idempotency.Record) {
	s.mu.Lock()
	e := s.held[c.Record.Detail]
	delete(s.held, c.Record.Detail)
	s.mu.Unlock()
	s.wait.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
		defer cancel()
		s.store.Swap(ctx, e.Key, e.Revision, []byte(c.Record.Detail+doneMark))
	})
}

// Close waits for the outcomes that are being written.
func (s *single) Close() error {
	s.wait.Wait()
	return nil
}
