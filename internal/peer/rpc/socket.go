package rpc

import (
	"net"
	"time"

	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcstream"
	"storj.io/drpc/drpcwire"
)

const (
	// userTimeout is how long sent bytes may stay without acknowledgement.
	userTimeout = 5 * time.Second
	// keepBuffer is the largest message buffer that a connection keeps
	// between calls, in bytes.
	keepBuffer = 64 << 10
	// softCancelGrace is how long a cancelled call may take to finish a send
	// before its connection is closed.
	softCancelGrace = 2 * time.Millisecond
)

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 15 * time.Second, Interval: 5 * time.Second, Count: 3}

// manager returns drpc's options for messages of at most limit bytes.
func manager(limit int) drpcmanager.Options {
	return drpcmanager.Options{
		WriterBufferSize: 1 << 10,
		Reader:           drpcwire.ReaderOptions{MaximumBufferSize: limit},
		Stream:           drpcstream.Options{MaximumBufferSize: keepBuffer},
		SoftCancel:       true,
		SoftCancelGrace:  softCancelGrace,
	}
}
