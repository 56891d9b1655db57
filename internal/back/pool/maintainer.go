package pool

import (
	"context"
	"sync"
	"time"
)

// maintainInterval is the time between two maintenance runs.
const maintainInterval = 20 * time.Millisecond

// Maintainer runs the background maintenance of many pools in one goroutine: it
// opens links after a backoff, drops idle links that the searcher closed, and
// detects silent connections.
type Maintainer struct {
	stop  context.CancelFunc
	wg    sync.WaitGroup
	mu    sync.Mutex
	pools map[*Pool]struct{}
}

// NewMaintainer starts a maintainer without pools. It must be closed.
func NewMaintainer() *Maintainer {
	w := &Maintainer{pools: map[*Pool]struct{}{}}
	ctx, cancel := context.WithCancel(context.Background())
	w.stop = cancel
	w.wg.Go(func() { w.run(ctx) })
	return w
}

// Close stops the maintainer and waits for its goroutine.
func (w *Maintainer) Close() {
	w.stop()
	w.wg.Wait()
}

// add adds a pool.
func (w *Maintainer) add(p *Pool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pools[p] = struct{}{}
}

// remove removes a pool.
func (w *Maintainer) remove(p *Pool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.pools, p)
}

// run maintains all pools until ctx ends.
func (w *Maintainer) run(ctx context.Context) {
	t := time.NewTicker(maintainInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			w.maintain(now)
		}
	}
}

// maintain runs the maintenance that is due in each pool.
func (w *Maintainer) maintain(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for p := range w.pools {
		p.maintain(now)
	}
}
