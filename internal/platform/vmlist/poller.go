// Package vmlist polls the platform's list of VMs.
//
// Since the list lags behind and the platform has outages, the last list is kept together
// with its age. Users should prefer more recent information from other sources.
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

	"egrethaven/internal/infra/vm"
	"egrethaven/internal/observe/event"
)

const (
	defaultInterval = 2 * time.Second
	defaultTimeout  = 2 * time.Second
	// staleIntervals is the age in poll intervals from which on the list is
	// reported as stale.
	staleIntervals = 5
	// maxListBytes limits the size of the response.
	maxListBytes = 8 << 20
	// maxHeadBytes limits the header of the response.
	maxHeadBytes = 64 << 10
)

// Config configures a Poller.
type Config struct {
	// Addr is the IP:port of the platform's VM list.
	Addr string
	// Interval is the mean interval between polls, 2 s by default. Each interval
	// is chosen at random from 0.5 to 1.5 times this value.
	Interval time.Duration
	// Timeout is the timeout of a poll, 2 s by default.
	Timeout time.Duration
	// Events receives the event VMListStale. If nil, it is dropped.
	Events event.Sink
	// Seed is the seed of the jitter.
	Seed uint64
}

// Poller fetches the list periodically. It is safe for concurrent use.
type Poller struct {
	config    Config
	transport *http.Transport
	random    *rand.Rand
	cancel    context.CancelFunc
	wg        sync.WaitGroup
	ready     chan struct{}

	mu        sync.Mutex
	vms       []vm.VM
	fetchedAt time.Time
	revision  uint64
	// stale is true once VMListStale has been emitted, until the next fetch.
	stale bool
}

// New returns a Poller and starts polling.
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
		transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: 30 * time.Second, MaxResponseHeaderBytes: maxHeadBytes},
		random:    rand.New(rand.NewPCG(c.Seed, 3)),
		cancel:    cancel,
		ready:     make(chan struct{}),
		fetchedAt: time.Now(),
	}
	p.wg.Go(func() { p.run(ctx) })
	return p
}

// Close stops polling and waits for a running poll to end.
func (p *Poller) Close() error {
	p.cancel()
	p.wg.Wait()
	p.transport.CloseIdleConnections()
	return nil
}

// List returns the last fetched list and its age. Before the first fetch, it returns nil
// and the time since New. The list must not be modified.
func (p *Poller) List() ([]vm.VM, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.vms, time.Since(p.fetchedAt)
}

// Refresh fetches the list immediately and returns it. If this fails, it returns the
// last list.
func (p *Poller) Refresh(ctx context.Context) []vm.VM {
	vms, err := p.fetch(ctx)
	if err != nil {
		p.handleFailure(err)
		vms, _ = p.List()
		return vms
	}
	p.setList(vms)
	return vms
}

// Revision returns the number of times that the list has changed, including the first
// fetch. It is 0 before the first fetch.
func (p *Poller) Revision() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.revision
}

// Ready returns a channel that is closed when the first list has been fetched.
func (p *Poller) Ready() <-chan struct{} { return p.ready }

// run polls until ctx ends.
func (p *Poller) run(ctx context.Context) {
	for ctx.Err() == nil {
		vms, err := p.fetch(ctx)
		if err == nil {
			p.setList(vms)
		} else {
			p.handleFailure(err)
		}
		d := p.config.Interval/2 + time.Duration(p.random.Int64N(int64(p.config.Interval)))
		select {
		case <-time.After(d):
		case <-ctx.Done():
		}
	}
}

// fetch requests the list once.
func (p *Poller) fetch(ctx context.Context) ([]vm.VM, error) {
	ctx, cancel := context.WithTimeout(ctx, p.config.Timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.config.Addr+"/vms", nil)
	if err != nil {
		return nil, errors.Trace(err)
	}
	resp, err := p.transport.RoundTrip(req)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxListBytes))
	if err != nil {
		return nil, errors.Trace(err)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("fetching the VM list: HTTP status %d", resp.StatusCode)
	}
	var vms []vm.VM
	return vms, errors.Trace(json.Unmarshal(body, &vms))
}

// setList stores a fetched list.
func (p *Poller) setList(vms []vm.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.revision == 0 {
		close(p.ready)
	}
	if p.revision == 0 || !slices.Equal(vms, p.vms) {
		p.revision++
		p.vms = vms
	}
	p.fetchedAt = time.Now()
	p.stale = false
}

// handleFailure handles a failed poll. If the list has become stale, it emits an event
// once.
func (p *Poller) handleFailure(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stale || time.Since(p.fetchedAt) < staleIntervals*p.config.Interval {
		return
	}
	p.stale = true
	p.config.Events.Emit(event.VMListStale, p.config.Addr, err.Error())
}
