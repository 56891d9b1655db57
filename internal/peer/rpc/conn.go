package rpc

import (
	"context"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
)

// silenceTimeout is the duration of a canceled call without a byte read above
// which its connection counts as silent.
const silenceTimeout = 500 * time.Millisecond

// conn is a drpc connection that closes itself if it is silent during a call.
type conn struct {
	*drpcconn.Conn
	transport *countedConn
}

// Invoke runs a unary call.
func (c *conn) Invoke(ctx context.Context, rpc string, e drpc.Encoding, in, out drpc.Message) error {
	w := c.watch()
	err := c.Conn.Invoke(ctx, rpc, e, in, out)
	c.transport.endMessage()
	if err != nil {
		w.closeIfSilent(ctx)
	}
	return err
}

// NewStream starts a streaming call.
func (c *conn) NewStream(ctx context.Context, rpc string, e drpc.Encoding) (drpc.Stream, error) {
	w := c.watch()
	s, err := c.Conn.NewStream(ctx, rpc, e)
	if err != nil {
		w.closeIfSilent(ctx)
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { w.closeIfSilent(ctx) })
	context.AfterFunc(s.Context(), func() { stop() })
	return s, nil
}

func (c *conn) watch() callWatch {
	return callWatch{c: c, startedAt: time.Now(), bytesRead: c.transport.bytesRead.Load()}
}

// callWatch records the state of a connection at the start of a call.
type callWatch struct {
	c         *conn
	startedAt time.Time
	bytesRead uint64
}

// closeIfSilent closes the connection if ctx ended and nothing was read during
// the call. A canceled call must also have lasted longer than silenceTimeout.
func (w callWatch) closeIfSilent(ctx context.Context) {
	if ctx.Err() == nil || w.c.transport.bytesRead.Load() != w.bytesRead {
		return
	}
	if ctx.Err() == context.DeadlineExceeded || time.Since(w.startedAt) > silenceTimeout {
		w.c.Close()
	}
}
