// Package demo runs both deployments in one process on loopback ports: a
// stand-in platform each, searchers with the sample records, and one entry
// VM in each failure domain.
//
// # Usage
//
//	code := demo.Run(ctx, demo.Config{Out: os.Stdout, Errs: os.Stderr, Once: true})
package demo

import (
	"context"
	"fmt"
	"io"
	"slices"

	"github.com/juju/errors"

	"egrethaven/examples"
	"egrethaven/internal/standin/deployment"
)

// The exit codes of Run.
const (
	exitOK       = 0
	exitDegraded = 1
	exitFailed   = 3
)

// Config describes a demo.
type Config struct {
	// Once asks one question per search and registers one record per
	// deployment, prints the answers and ends.
	Once bool
	Out  io.Writer
	Errs io.Writer
	// Log takes the logs of the entry VMs; nil drops them.
	Log  io.Writer
	Seed uint64
}

// Run runs the demo and returns its exit code: 0, 1 when an answer was not
// complete and right, 3 when it could not start.
func Run(ctx context.Context, c Config) int {
	cs, err := start(ctx, c)
	defer func() {
		for _, d := range slices.Backward(cs) {
			d.close()
		}
	}()
	if err != nil {
		fmt.Fprintf(c.Errs, "egrethaven: the demo did not start: %v; see that loopback ports are free\n", err)
		return exitFailed
	}
	if c.Once {
		return once(ctx, c, cs)
	}
	for _, d := range cs {
		d.explain(c.Out)
	}
	fmt.Fprintln(c.Out, "Running until interrupted.")
	<-ctx.Done()
	return exitOK
}

// start starts both customers. What was started is returned with an error.
func start(ctx context.Context, c Config) ([]*customer, error) {
	var cs []*customer
	for _, p := range []plan{
		{name: "takasago", fleet: deployment.Takasago, definitions: examples.Takasago, domains: deployment.TakasagoDomains, probes: takasagoProbes, writes: takasagoWrite},
		{name: "moisi", fleet: deployment.Moisi, definitions: examples.Moisi, domains: deployment.MoisiDomains, probes: moisiProbes, writes: moisiWrite},
	} {
		d, err := newCustomer(ctx, p, c)
		if d != nil {
			cs = append(cs, d)
		}
		if err != nil {
			return cs, errors.Annotate(err, p.name)
		}
	}
	return cs, nil
}

// once asks and registers, and prints one JSON object a line.
func once(ctx context.Context, c Config, cs []*customer) int {
	code := exitOK
	for _, d := range cs {
		if !d.once(ctx, c.Out, c.Errs) {
			code = exitDegraded
		}
	}
	return code
}
