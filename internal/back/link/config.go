package link

import "time"

// Defaults of a Config.
const (
	// DefaultMaxBody is the largest answer that is read, in bytes.
	DefaultMaxBody = 4 << 20
	// DefaultConnectTimeout bounds the opening of a connection.
	DefaultConnectTimeout = time.Second
	// DefaultUserTimeout is how long sent bytes may stay unacknowledged.
	DefaultUserTimeout = 5 * time.Second
	// DefaultKeepAlive is the time between probes of an idle connection.
	DefaultKeepAlive = 5 * time.Second
)

// Config tells how to open a link.
type Config struct {
	// Addr is the searcher's IP and port.
	Addr string
	// MaxBody is the largest answer that is read, in bytes.
	MaxBody int
	// ConnectTimeout bounds the opening of the connection.
	ConnectTimeout time.Duration
	// UserTimeout is how long sent bytes may stay unacknowledged.
	UserTimeout time.Duration
	// KeepAlive is the time between probes of an idle connection.
	KeepAlive time.Duration
}

// withDefaults fills the fields that are not set.
func (c Config) withDefaults() Config {
	if c.MaxBody <= 0 {
		c.MaxBody = DefaultMaxBody
	}
	if c.ConnectTimeout <= 0 {
		c.ConnectTimeout = DefaultConnectTimeout
	}
	if c.UserTimeout <= 0 {
		c.UserTimeout = DefaultUserTimeout
	}
	if c.KeepAlive <= 0 {
		c.KeepAlive = DefaultKeepAlive
	}
	return c
}
