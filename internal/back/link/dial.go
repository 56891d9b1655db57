package link

import (
	"context"

	"github.com/juju/errors"

	"egrethaven/internal/infra/tcpdial"
)

// keepAliveProbes is the number of unanswered keep-alive probes after which the
// connection is closed.
const keepAliveProbes = 3

// Dial opens a connection to c.Addr and returns a link over it.
func Dial(ctx context.Context, c Config) (*Link, error) {
	c = c.withDefaults()
	d := tcpdial.New(tcpdial.Config{Timeout: c.ConnectTimeout, KeepAlive: c.KeepAlive, Probes: keepAliveProbes, UserTimeout: c.UserTimeout})
	conn, err := d.DialContext(ctx, "tcp", c.Addr)
	if err != nil {
		return nil, errors.Annotatef(err, "open link to %s", c.Addr)
	}
	return New(conn, c), nil
}
