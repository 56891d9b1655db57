// Package worker runs short tasks on a pool of reusable goroutines.
//
// A new goroutine starts with a small stack. An HTTP call grows the stack
// several times, which costs a tenth of the call. A reused goroutine keeps its
// stack.
//
// # Usage
//
//	p := worker.New()
//	p.Go(func() { ... })
//	p.Close()
package worker

import (
	"sync"
	"sync/atomic"
	"time"
)

// trimInterval is the time between two checks for unneeded idle goroutines.
const trimInterval = 5 * time.Second

// Pool runs tasks. Its size is not limited: a task never waits for another. It
// is safe for concurrent use.
type Pool struct {
	tasks chan func()
	stop  chan struct{}
	once  sync.Once
	wg    sync.WaitGroup
	idle  atomic.Int64
	// minIdle is the minimum of idle since the last check.
	minIdle atomic.Int64
}

// New returns a pool without idle goroutines.
func New() *Pool {
	p := &Pool{tasks: make(chan func()), stop: make(chan struct{})}
	p.wg.Go(p.trim)
	return p
}

// Go runs f on an idle goroutine, or on a new one.
func (p *Pool) Go(f func()) {
	select {
	case p.tasks <- f:
	default:
		p.wg.Go(func() { p.work(f) })
	}
	if n := p.idle.Load(); n < p.minIdle.Load() {
		p.minIdle.Store(n)
	}
}

// Close waits for all tasks to end. Go must not be called after Close.
func (p *Pool) Close() {
	p.once.Do(func() { close(p.stop) })
	p.wg.Wait()
}

// work runs f and further tasks until the pool is closed or trimmed.
func (p *Pool) work(f func()) {
	for f != nil {
		f()
		p.idle.Add(1)
		select {
		case f = <-p.tasks:
		case <-p.stop:
			f = nil
		}
		p.idle.Add(-1)
	}
}

// trim periodically ends the goroutines that were idle since the last check. A
// nil task ends a goroutine.
func (p *Pool) trim() {
	t := time.NewTicker(trimInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-p.stop:
			return
		}
		for range p.minIdle.Load() {
			select {
			case p.tasks <- nil:
			default:
			}
		}
		p.minIdle.Store(p.idle.Load())
	}
}
