package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"egrethaven/internal/observe/event"
	"egrethaven/internal/state/follow"
)

// leaseStore is a store that grants leases and records the puts of one key.
type leaseStore struct {
	follow.Source
	era    follow.Era
	leases map[follow.Lease]bool
	puts   int
}

func (s *leaseStore) Grant(context.Context, time.Duration) (follow.Lease, error) {
	l := follow.Lease{Era: s.era, ID: int64(len(s.leases)) + 1}
	s.leases[l] = true
	return l, nil
}

func (s *leaseStore) KeepAlive(_ context.Context, l follow.Lease) error {
	if !s.leases[l] {
		return follow.ErrNotFound
	}
	return nil
}

func (s *leaseStore) Put(_ context.Context, _ string, _ []byte, l follow.Lease) error {
	s.puts++
	return s.KeepAlive(context.Background(), l)
}

// TestKeyLostByRestore: a VM whose key a restored store had lost wrote it again only when
// its lease was due, up to nine seconds later.
func TestKeyLostByRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, restored := &leaseStore{era: 1, leases: map[follow.Lease]bool{}}, make(chan struct{}, 1)
		ctx, cancel := context.WithCancel(t.Context())
		go newMembership(membershipConfig{Store: s, Restored: restored, Events: event.Discard{}}).Run(ctx)
		time.Sleep(20 * time.Second)
		synctest.Wait()
		if s.puts != 1 {
			t.Fatalf("key written %d times before the restore", s.puts)
		}
		s.era, s.leases = 2, map[follow.Lease]bool{}
		restored <- struct{}{}
		time.Sleep(restoredSpread)
		synctest.Wait()
		if s.puts != 2 || !s.leases[follow.Lease{Era: 2, ID: 1}] {
			t.Errorf("key written %d times, leases %v", s.puts, s.leases)
		}
		time.Sleep(time.Minute)
		cancel()
		synctest.Wait()
		if s.puts != 2 {
			t.Errorf("key written %d times a minute later", s.puts)
		}
	})
}
