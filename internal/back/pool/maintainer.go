package pool

import (
	"context"
	"sync"
	"time"
)

// watchInterval is the time between two looks at all pools.
const watchInterval = 20 * time.Millisecond

// Maintainer looks after pools with one goroutine: it opens links once a wait is
// over, drops idle ones that were closed, and searches for silent ones.
type Maintainer struct {
	stop  context.CancelFunc
	wg    sync.WaitGroup
	mu    sync.Mutex
	pools map[*Pool]struct{}
}

// NewMaintainer returns a watcher without pools.
func NewMaintainer() *Maintainer {
	w := &Maintainer{pools: map[*Pool]struct{}{}}
	ctx, cancel := context.WithCancel(context.Background())
	w.stop = cancel
	w.wg.Go(func() { w.run(ctx) })
	return w
}

// Close stops the watcher and waits for its goroutine.
func (w *Maintainer) Close() {
	w.stop()
	w.wg.Wait()
}

// add has a pool looked after.
func (w *Maintainer) add(p *Pool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pools[p] = struct{}{}
}

// remove ends that.
func (w *Maintainer) remove(p *Pool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.pools, p)
}

// run looks at all pools until ctx ends.
func (w *Maintainer) run(ctx context.Context) {
	t := time.NewTicker(watchInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			w.look(now)
		}
	}
}

// look looks at each pool for which it is time.
func (w *Maintainer) look(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for p := range w.pools {
		p.look(now)
	}
}
