// Package vmlist keeps the platform's list of VMs.
//
// The list lags and the platform has outages, so the last list is kept
// together with its age, and whoever uses it weighs fresher evidence higher.
//
// # Usage
//
//	p := vmlist.New(vmlist.Config{Addr: "127.0.0.1:7100", Events: sink})
//	defer p.Close()
//	vms, age := p.List()
package vmlist

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"egrethaven/internal/observe/event"
	"egrethaven/internal/world/vm"
)

const (
	defaultInterval = 2 * time.Second
	defaultTimeout  = 2 * time.Second
	// staleIntervals is the number of intervals without a list after which
	// it is called stale.
	staleIntervals = 5
	// maxList bounds what is read of a list, in bytes.
	maxList = 8 << 20
)

// Config is what a Poller is made from.
type Config struct {
	// Addr is the IP and port of the platform's service.
	Addr string
	// Interval between polls; each is drawn between half and one and a half.
	Interval time.Duration
	// Timeout of one poll.
	Timeout time.Duration
	// Events takes VMListStale; nil discards it.
	Events event.Sink
	// Seed drives the jitter.
	Seed uint64
}

// Poller fetches the list again and again.
type Poller struct {
	config    Config
	transport *http.Transport
	random    *rand.Rand
	cancel    context.CancelFunc
	wait      sync.WaitGroup
	first     chan struct{}

	mu       sync.Mutex
	vms      []vm.VM
	fetched  time.Time
	revision uint64
	stale    bool
}

// New starts polling.
func New(c Config) *Poller {
	if c.Interval == 0 {
		c.Interval = defaultInterval
	}
	if c.Timeout == 0 {
		c.Timeout = defaultTimeout
	}
	if c.Events == nil {
		c.Events = event.Discard{}
	}
	ctx, cancel := context.WithCancel(context.Background())
	p := &Poller{
		config:    c,
		transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: 30 * time.Second},
		random:    rand.New(rand.NewPCG(c.Seed, 3)),
		cancel:    cancel,
		first:     make(chan struct{}),
		fetched:   time.Now(),
	}
	p.wait.Go(func() { p.run(ctx) })
	return p
}

// Close stops polling and waits for it.
func (p *Poller) Close() error {
	p.cancel()
	p.wait.Wait()
	p.transport.CloseIdleConnections()
	return nil
}

// List returns the last list and how long ago it was fetched. Before the
// first fetch the list is nil and the age counts from New. The list must not
// be changed.
func (p *Poller) List() ([]vm.VM, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.vms, time.Since(p.fetched)
}

// Refresh fetches the list now and returns it; the last one if that fails.
func (p *Poller) Refresh(ctx context.Context) []vm.VM {
	vms, err := p.fetch(ctx)
	if err != nil {
		p.miss(err)
		vms, _ = p.List()
		return vms
	}
	p.keep(vms)
	return vms
}

// Revision grows by one whenever the list differs from the one before; 0
// means that none was fetched yet.
func (p *Poller) Revision() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.revision
}

// First closes when the first list is there.
func (p *Poller) First() <-chan struct{} { return p.first }

func (p *Poller) run(ctx context.Context) {
	for ctx.Err() == nil {
		vms, err := p.fetch(ctx)
		if err == nil {
			p.keep(vms)
		} else {
			p.miss(err)
		}
		d := p.config.Interval/2 + time.Duration(p.random.Int64N(int64(p.config.Interval)))
		select {
		case <-time.After(d):
		case <-ctx.Done():
		}
	}
}

// fetch gets the list once.
func (p *Poller) fetch(ctx context.Context) ([]vm.VM, error) {
	ctx, cancel := context.WithTimeout(ctx, p.config.Timeout)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.config.Addr+"/vms", nil)
	if err != nil {
		return nil, errors.Trace(err)
	}
	r, err := p.transport.RoundTrip(q)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer func() { _ = r.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(r.Body, maxList))
	if err != nil {
		return nil, errors.Trace(err)
	}
	if r.StatusCode != http.StatusOK {
		return nil, errors.Errorf("status %d", r.StatusCode)
	}
	var vms []vm.VM
	return vms, errors.Trace(json.Unmarshal(b, &vms))
}

// keep takes a list that was fetched.
func (p *Poller) keep(vms []vm.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.revision == 0 {
		close(p.first)
	}
	if p.revision == 0 || !slices.Equal(vms, p.vms) {
		p.revision++
		p.vms = vms
	}
	p.fetched = time.Now()
	p.stale = false
}

// miss notes a poll that failed, and says once that the list is stale.
func (p *Poller) miss(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stale || time.Since(p.fetched) < staleIntervals*p.config.Interval {
		return
	}
	p.stale = true
	p.config.Events.Emit(event.VMListStale, p.config.Addr, err.Error())
}
