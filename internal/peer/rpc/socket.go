package rpc

import (
	"net"
	"time"

	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcstream"
	"storj.io/drpc/drpcwire"
)

const (
	// userTimeout is the TCP_USER_TIMEOUT: how long sent bytes may remain
	// unacknowledged.
	userTimeout = 5 * time.Second
	// maxKeptBufferBytes is the largest message buffer that a connection keeps
	// between calls.
	maxKeptBufferBytes = 64 << 10
	// softCancelGrace is how long a canceled call may take to finish a send
	// before its connection is closed.
	softCancelGrace = 2 * time.Millisecond
)

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 15 * time.Second, Interval: 5 * time.Second, Count: 3}

// managerOptions returns the drpc options for messages of at most
// maxMessageBytes.
func managerOptions(maxMessageBytes int) drpcmanager.Options {
	return drpcmanager.Options{
		WriterBufferSize: 1 << 10,
		Reader:           drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes},
		Stream:           drpcstream.Options{MaximumBufferSize: maxKeptBufferBytes},
		SoftCancel:       true,
		SoftCancelGrace:  softCancelGrace,
	}
}
