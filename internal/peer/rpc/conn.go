package rpc

import (
	"context"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
)

// silentAfter is how long a cancelled call may have gone without a byte
// before its connection counts as silent.
const silentAfter = 500 * time.Millisecond

// conn is one TCP connection that closes itself when it has gone silent.
type conn struct {
	*drpcconn.Conn
	tr *counted
}

// Invoke runs one call.
func (c *conn) Invoke(ctx context.Context, rpc string, e drpc.Encoding, in, out drpc.Message) error {
	w := c.watch()
	err := c.Conn.Invoke(ctx, rpc, e, in, out)
	if err != nil {
		w.closeSilent(ctx)
	}
	return err
}

// NewStream begins a call with streams.
func (c *conn) NewStream(ctx context.Context, rpc string, e drpc.Encoding) (drpc.Stream, error) {
	w := c.watch()
	s, err := c.Conn.NewStream(ctx, rpc, e)
	if err != nil {
		w.closeSilent(ctx)
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { w.closeSilent(ctx) })
	context.AfterFunc(s.Context(), func() { stop() })
	return s, nil
}

func (c *conn) watch() watch {
	return watch{c: c, begin: time.Now(), read: c.tr.read.Load()}
}

// watch remembers a connection as it was when a call began.
type watch struct {
	c     *conn
	begin time.Time
	read  uint64
}

// closeSilent closes the connection when ctx ended the call and nothing was
// read during it.
func (w watch) closeSilent(ctx context.Context) {
	if ctx.Err() == nil || w.c.tr.read.Load() != w.read {
		return
	}
	if ctx.Err() == context.DeadlineExceeded || time.Since(w.begin) > silentAfter {
		w.c.Close()
	}
}
