// Package demo runs both deployments in one process on loopback ports. Each
// has a stand-in platform, stand-in searchers with the sample records, and one
// entry VM in each failure domain.
//
// # Usage
//
//	code := demo.Run(ctx, demo.Config{Out: os.Stdout, ErrOut: os.Stderr, Once: true})
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

// Exit codes of Run.
const (
	exitOK       = 0
	exitDegraded = 1
	exitFailed   = 3
)

// Config configures Run.
type Config struct {
	// Once runs one query per search and registers one record per deployment,
	// prints the results and returns.
	Once   bool
	Out    io.Writer
	ErrOut io.Writer
	// LogOutput receives the logs of the entry VMs; nil discards them.
	LogOutput io.Writer
	Seed      uint64
}

// Run runs the demo and returns its exit code: 0, 1 if an answer was incomplete
// or wrong, 3 if the demo could not start.
func Run(ctx context.Context, c Config) int {
	deployments, err := start(ctx, c)
	defer func() {
		for _, d := range slices.Backward(deployments) {
			d.close()
		}
	}()
	if err != nil {
		fmt.Fprintf(c.ErrOut, "egrethaven: the demo did not start: %v; check that loopback ports are free\n", err)
		return exitFailed
	}
	if c.Once {
		return runOnce(ctx, c, deployments)
	}
	for _, d := range deployments {
		d.printUsage(c.Out)
	}
	fmt.Fprintln(c.Out, "Running until interrupted.")
	<-ctx.Done()
	return exitOK
}

// start starts both deployments. With an error it returns those started so far.
func start(ctx context.Context, c Config) ([]*demoDeployment, error) {
	var deployments []*demoDeployment
	for _, spec := range []deploymentSpec{
		{name: "takasago", newFleet: deployment.Takasago, definitions: examples.Takasago, domains: deployment.TakasagoDomains, queries: takasagoQueries, write: takasagoWrite},
		{name: "moisi", newFleet: deployment.Moisi, definitions: examples.Moisi, domains: deployment.MoisiDomains, queries: moisiQueries, write: moisiWrite},
	} {
		d, err := newDemoDeployment(ctx, spec, c)
		if d != nil {
			deployments = append(deployments, d)
		}
		if err != nil {
			return deployments, errors.Annotate(err, spec.name)
		}
	}
	return deployments, nil
}

// runOnce runs the queries and the write of each deployment and returns the exit
// code.
func runOnce(ctx context.Context, c Config, deployments []*demoDeployment) int {
	code := exitOK
	for _, d := range deployments {
		if !d.runOnce(ctx, c.Out, c.ErrOut) {
			code = exitDegraded
		}
	}
	return code
}
