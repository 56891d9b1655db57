// Package worker runs short tasks on goroutines that are kept for the next
// task.
//
// A new goroutine begins with a small stack. A call over HTTP grows it several
// times, and the growth costs a tenth of the call. A goroutine that is used
// again has its stack already.
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

// trimInterval is the time between two looks for goroutines that are not
// needed.
const trimInterval = 5 * time.Second

// Pool runs tasks. It has no limit: a task never waits for another. It is
// safe for concurrent use.
type Pool struct {
	tasks chan func()
	stop  chan struct{}
	once  sync.Once
	wg    sync.WaitGroup
	idle  atomic.Int64
	// spare is the least number of idle goroutines since the last look.
	spare atomic.Int64
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
	if n := p.idle.Load(); n < p.spare.Load() {
		p.spare.Store(n)
	}
}

// Close waits for all tasks to end. No task may be added after it.
func (p *Pool) Close() {
	p.once.Do(func() { close(p.stop) })
	p.wg.Wait()
}

// work runs f and what follows, until it is not needed.
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

// trim ends the goroutines that had no task for a while.
func (p *Pool) trim() {
	t := time.NewTicker(trimInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-p.stop:
			return
		}
		for range p.spare.Load() {
			select {
			case p.tasks <- nil:
			default:
			}
		}
		p.spare.Store(p.idle.Load())
	}
}
