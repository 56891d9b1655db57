// Package platform is a stand-in for the platform's service in tests: a
// key-value store with compare-and-swap, leases and watches, and the VM list,
// over HTTP. It can be delayed, down or throttled, or drop answers; faults
// are set in process or by POST /control.
//
// The store implements the platform's published protocol; GET /vms returns
// the VM list. A call refused with 429 or 503 has no effect.
//
// # Usage
//
//	p, err := platform.New(platform.Config{Addr: "127.0.0.1:0"})
//	defer p.Close()
//	p.SetVMs(list)
//	p.SetFaults(platform.Faults{AnswerLossRate: 0.05})
package platform

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	"egrethaven/internal/infra/vm"
	"egrethaven/internal/platform/kv"
	"egrethaven/internal/platform/tokenbucket"
	"egrethaven/platform/store"
)

// closeTimeout is how long Close lets calls finish.
const closeTimeout = 500 * time.Millisecond

// Config holds the settings of a Platform.
type Config struct {
	// Addr is the TCP address to listen on; port 0 means a free port.
	Addr string
	// Seed seeds the choice of jitter and of lost answers.
	Seed uint64
	// Faults are the initial faults.
	Faults Faults
}

// Platform is a running stand-in for the platform's service.
type Platform struct {
	listener net.Listener
	server   http.Server
	done     chan struct{}
	wg       sync.WaitGroup

	mu       sync.Mutex
	random   *rand.Rand
	faults   Faults
	revision int64
	items    map[string]store.Item
	leases   map[int64]lease
	// era is 1 and rises with each restore.
	era int64
	// history holds the changes after revision compacted, oldest first, and undo how to
	// revert each.
	history   []store.Item
	undo      []undo
	compacted int64
	// external holds what was last written by Put or Delete, without calls.
	external    map[string]externalWrite
	changed     chan struct{}
	vmLists     []vmList
	calls       callCounter
	writeTokens tokenbucket.Bucket
	readTokens  tokenbucket.Bucket
}

// lease holds the time to live of a lease and its expiry time.
type lease struct {
	ttl       time.Duration
	expiresAt time.Time
	grantedAt time.Time
}

// vmList is a VM list and the time at which it was set.
type vmList struct {
	setAt time.Time
	vms   []vm.VM
}

// New starts the service, which runs until Close.
func New(c Config) (*Platform, error) {
	l, err := net.Listen("tcp", c.Addr)
	if err != nil {
		return nil, errors.Annotate(err, "listening")
	}
	p := &Platform{
		listener: l,
		done:     make(chan struct{}),
		random:   rand.New(rand.NewPCG(c.Seed, 1)),
		faults:   c.Faults,
		items:    map[string]store.Item{},
		external: map[string]externalWrite{},
		leases:   map[int64]lease{},
		changed:  make(chan struct{}),
		era:      1,
	}
	p.server.Handler = p.routes()
	p.wg.Go(func() { _ = p.server.Serve(l) })
	return p, nil
}

// Addr returns the IP and port of the listener.
func (p *Platform) Addr() string { return p.listener.Addr().String() }

// Close ends all calls and connections and waits for them.
func (p *Platform) Close() error {
	close(p.done)
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	// Shutdown leaves connections that never carried a call to Close.
	_ = p.server.Shutdown(ctx)
	err := p.server.Close()
	p.wg.Wait()
	return errors.Trace(err)
}

// SetVMs replaces the VM list. The change becomes visible after
// Faults.ListLagMS.
func (p *Platform) SetVMs(vms []vm.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vmLists = append(p.vmLists, vmList{setAt: time.Now(), vms: vms})
}

// Put writes a key unconditionally, without faults, and returns the new
// revision.
func (p *Platform) Put(key string, b []byte) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.external[key] = externalWrite{value: b}
	return uint64(p.setLocked(store.Item{Key: key, Value: b}).Rev)
}

// Delete removes a key unconditionally, without faults.
func (p *Platform) Delete(key string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.external[key] = externalWrite{deleted: true}
	p.deleteLocked(key)
}

// Get returns a key's entry, without faults, and whether the key exists.
func (p *Platform) Get(key string) (kv.Entry, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.removeExpiredLocked()
	v, ok := p.items[key]
	return kv.Entry{Key: key, Value: v.Value, Revision: uint64(v.Rev)}, ok
}

// sleep waits for d, or until ctx is done or the service is closed.
func (p *Platform) sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	case <-p.done:
	}
}
