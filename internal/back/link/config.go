package link

import (
	"time"

	"egrethaven/internal/infra/readbudget"
)

// Defaults for the fields of Config.
const (
	// DefaultMaxBody is the largest accepted response body, in bytes.
	DefaultMaxBody = 4 << 20
	// DefaultConnectTimeout is the timeout for opening a connection.
	DefaultConnectTimeout = time.Second
	// DefaultUserTimeout is the TCP_USER_TIMEOUT of a connection.
	DefaultUserTimeout = 5 * time.Second
	// DefaultKeepAlive is the TCP keep-alive interval.
	DefaultKeepAlive = 5 * time.Second
)

// Config configures a link. Fields that are not positive get their defaults.
type Config struct {
	// Addr is the searcher's address as IP:port.
	Addr string
	// MaxBody is the largest accepted response body, in bytes.
	MaxBody int
	// Budget bounds the memory for the responses of all links; nil means no bound.
	Budget *readbudget.Budget
	// ConnectTimeout is the timeout for opening the connection.
	ConnectTimeout time.Duration
	// UserTimeout is the TCP_USER_TIMEOUT: how long sent bytes may stay
	// unacknowledged.
	UserTimeout time.Duration
	// KeepAlive is the TCP keep-alive interval.
	KeepAlive time.Duration
}

// withDefaults returns c with defaults in the fields that are not positive.
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
