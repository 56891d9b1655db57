package gateway

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"

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

// keyStore is a store with one key, which is deleted when the lease of its last write ends.
type keyStore struct {
	follow.Source
	// mu guards the fields below.
	mu sync.Mutex
	// ends holds when each lease ends, key the lease of the key, 0 if there is no key.
	ends map[int64]time.Time
	key  int64
	// lateBy is how much later than they were sent the first writes are made, whose answers
	// are lost; lostWrites is their number.
	lateBy     time.Duration
	lostWrites int
	deleted    chan struct{}
}

// errLost means that the answer of the store was lost.
const errLost = errors.ConstError("answer lost")

func (s *keyStore) Grant(_ context.Context, ttl time.Duration) (follow.Lease, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := follow.Lease{Era: 1, ID: int64(len(s.ends)) + 1}
	s.extend(l, ttl)
	return l, nil
}

func (s *keyStore) KeepAlive(_ context.Context, l follow.Lease) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !time.Now().Before(s.ends[l.ID]) {
		return follow.ErrNotFound
	}
	s.extend(l, leaseTTL)
	return nil
}

func (s *keyStore) Put(_ context.Context, _ string, _ []byte, l follow.Lease) error {
	if s.loseWrite() {
		time.AfterFunc(s.lateBy, func() { _ = s.put(l) })
		return errLost
	}
	return s.put(l)
}

// loseWrite reports whether the answer to the next write is lost.
func (s *keyStore) loseWrite() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lostWrites--
	return s.lostWrites >= 0
}

// hasKey reports whether the key is there.
func (s *keyStore) hasKey() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.key != 0
}

// put writes the key.
func (s *keyStore) put(l follow.Lease) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !time.Now().Before(s.ends[l.ID]) {
		return follow.ErrNotFound
	}
	s.key = l.ID
	return nil
}

// extend lets a lease run for ttl from now on. The lock is held.
func (s *keyStore) extend(l follow.Lease, ttl time.Duration) {
	s.ends[l.ID] = time.Now().Add(ttl)
	time.AfterFunc(ttl, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.key == l.ID && !time.Now().Before(s.ends[l.ID]) {
			s.key = 0
			select {
			case s.deleted <- struct{}{}:
			default:
			}
		}
	})
}

// TestLateWriteOfKey: a write of the VM's key that the store made late, under a lease that
// was not renewed any more, took the VM out of the tier for good.
func TestLateWriteOfKey(t *testing.T) {
	for _, lostWrites := range []int{1, 2} {
		synctest.Test(t, func(t *testing.T) {
			s := &keyStore{ends: map[int64]time.Time{}, lateBy: 6 * time.Second, lostWrites: lostWrites}
			ctx, cancel := context.WithCancel(t.Context())
			go newMembership(membershipConfig{Store: s, Events: event.Discard{}}).Run(ctx)
			for n := range 100 {
				time.Sleep(time.Second)
				synctest.Wait()
				if n >= 10 && !s.hasKey() {
					t.Fatalf("%d writes made late: the key is gone after %d s", lostWrites, n+1)
				}
			}
			cancel()
			synctest.Wait()
		})
	}
}

// TestKeyDeleted: a VM whose key was deleted under a lease that it did not renew, such as
// that of its process before, went on renewing its own lease.
func TestKeyDeleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &keyStore{ends: map[int64]time.Time{}, deleted: make(chan struct{}, 1)}
		old, _ := s.Grant(t.Context(), leaseTTL)
		ctx, cancel := context.WithCancel(t.Context())
		go newMembership(membershipConfig{Store: s, KeyLost: s.deleted, Events: event.Discard{}}).Run(ctx)
		time.Sleep(5 * time.Second)
		if err := s.put(old); err != nil {
			t.Fatal(err)
		}
		time.Sleep(leaseTTL)
		synctest.Wait()
		if !s.hasKey() {
			t.Error("the key was not written again")
		}
		cancel()
		synctest.Wait()
	})
}
