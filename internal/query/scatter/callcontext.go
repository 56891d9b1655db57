package scatter

import (
	"context"
	"sync"
)

// callContext is the context of one call. It isn't registered with its parent,
// because the up to 140 calls of a query would contend for the parent's lock.
// The query's goroutine cancels every call before it returns instead.
type callContext struct {
	context.Context
	m     sync.Mutex
	done  chan struct{}
	err   error
	after func()
}

// Done returns a channel that is closed when the call is canceled.
func (c *callContext) Done() <-chan struct{} {
	c.m.Lock()
	defer c.m.Unlock()
	if c.done == nil {
		c.done = make(chan struct{})
		if c.err != nil {
			close(c.done)
		}
	}
	return c.done
}

// Err returns context.Canceled once the call is canceled, or the error of the
// query's context.
func (c *callContext) Err() error {
	c.m.Lock()
	err := c.err
	c.m.Unlock()
	if err != nil {
		return err
	}
	return c.Context.Err()
}

// AfterFunc runs f in a goroutine once the call is canceled. Package context
// uses this method. stop removes f, except when another function was
// registered before it.
func (c *callContext) AfterFunc(f func()) (stop func() bool) {
	c.m.Lock()
	defer c.m.Unlock()
	if c.err != nil {
		go f()
		return func() bool { return false }
	}
	if c.after != nil {
		first := c.after
		c.after = func() { first(); f() }
		return func() bool { return false }
	}
	c.after = f
	return c.forget
}

// forget removes the registered function. It returns false if there is none.
func (c *callContext) forget() bool {
	c.m.Lock()
	defer c.m.Unlock()
	if c.after == nil {
		return false
	}
	c.after = nil
	return true
}

// cancel cancels the call. Further calls of cancel have no effect.
func (c *callContext) cancel() {
	c.m.Lock()
	if c.err != nil {
		c.m.Unlock()
		return
	}
	c.err = context.Canceled
	if c.done != nil {
		close(c.done)
	}
	f := c.after
	c.after = nil
	c.m.Unlock()
	if f != nil {
		go f()
	}
}
