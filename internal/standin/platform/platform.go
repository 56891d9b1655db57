// Package platform stands in for the platform's service in tests: a
// key-value store with compare-and-swap, leases and watches, and the list of
// VMs, over HTTP. It can be made slow, down, throttled or forgetful of its
// answers, in process or by POST /control.
//
// The store speaks the platform's published protocol; GET /vms answers with the
// list of VMs. A call that is refused with 429 or 503 had no effect.
//
// # Usage
//
//	p, err := platform.New(platform.Config{Addr: "127.0.0.1:0"})
//	defer p.Close()
//	p.SetVMs(list)
//	p.SetFaults(platform.Faults{LoseAnswers: 0.05})
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

// closeTimeout bounds how long Close waits for calls to end by themselves.
const closeTimeout = 500 * time.Millisecond

// Config is what a Platform is made from.
type Config struct {
	// Addr to listen on; 127.0.0.1:0 picks a port.
	Addr string
	// Seed drives jitter and the choice of lost answers.
	Seed uint64
	// Faults at the start.
	Faults Faults
}

// Platform is the stand-in.
type Platform struct {
	listener net.Listener
	server   http.Server
	done     chan struct{}
	wait     sync.WaitGroup

	mu       sync.Mutex
	random   *rand.Rand
	faults   Faults
	revision int64
	items    map[string]store.Item
	leases   map[int64]lease
	// history holds the changes after the revision dropped.
	history []store.Item
	dropped int64
	changed chan struct{}
	lists   []dated
	meter   meter
	writes  tokenbucket.Bucket
	reads   tokenbucket.Bucket
}

// lease is a grant and when it lapses.
type lease struct {
	ttl  time.Duration
	ends time.Time
}

// dated is a list of VMs and when it was set.
type dated struct {
	at  time.Time
	vms []vm.VM
}

// New listens and serves until Close.
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
		leases:   map[int64]lease{},
		changed:  make(chan struct{}),
	}
	p.server.Handler = p.routes()
	p.wait.Go(func() { _ = p.server.Serve(l) })
	return p, nil
}

// Addr is the IP and port that it listens on.
func (p *Platform) Addr() string { return p.listener.Addr().String() }

// Close ends every call and connection and waits for them.
func (p *Platform) Close() error {
	close(p.done)
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	// Connections that never carried a call are cut by Close.
	_ = p.server.Shutdown(ctx)
	err := p.server.Close()
	p.wait.Wait()
	return errors.Trace(err)
}

// SetVMs replaces the list of VMs; readers see it after the list's lag.
func (p *Platform) SetVMs(vms []vm.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lists = append(p.lists, dated{at: time.Now(), vms: vms})
}

// Put writes a key whatever its revision, without faults, and returns the
// new revision.
func (p *Platform) Put(key string, b []byte) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return uint64(p.set(store.Item{Key: key, Value: b}).Rev)
}

// Delete removes a key whatever its revision, without faults.
func (p *Platform) Delete(key string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unset(key)
}

// Get reads a key without faults.
func (p *Platform) Get(key string) (kv.Entry, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lapse()
	v, ok := p.items[key]
	return kv.Entry{Key: key, Value: v.Value, Revision: uint64(v.Rev)}, ok
}

// pause waits for d, or until the caller or the stand-in goes.
func (p *Platform) pause(ctx context.Context, d time.Duration) {
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
