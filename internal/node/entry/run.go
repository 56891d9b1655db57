package entry

import (
	"context"
	"time"

	"github.com/juju/errors"

	"egrethaven/internal/observe/event"
)

const (
	// readyPoll is the time between two looks at whether the node is ready.
	readyPoll = 50 * time.Millisecond
	// settleTime is how long a node that is ready may look for searchers
	// before it judges health without them.
	settleTime = 2 * time.Second
	// leaveTimeout bounds how long the other nodes are told of a stop.
	leaveTimeout = time.Second
)

// Run serves until ctx ends, then stops gracefully: /ready fails, the
// balancer gets its lag, the other nodes are told, and requests in progress
// may end within the drain limit. It returns an error when some were cut.
func (n *Node) Run(ctx context.Context) error {
	defer n.Close()
	if err := n.servePeers(); err != nil {
		return errors.Trace(err)
	}
	n.callers.Serve()
	n.operators.Serve()
	n.log.Emit(event.NodeStarted, n.self.ID, n.CallerAddr())
	n.becomeReady(ctx)
	n.settle(ctx)
	n.health.Start()
	<-ctx.Done()
	return n.drain()
}

// becomeReady waits until the node can answer: a configuration is in force
// and the VM list has been seen.
func (n *Node) becomeReady(ctx context.Context) {
	t := time.NewTicker(readyPoll)
	defer t.Stop()
	for {
		why := n.missing()
		if why == "" {
			n.gate.SetReady()
			return
		}
		n.gate.SetNotReady(why)
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// settle waits until the searchers of every search are found, for a while:
// what was not looked for long enough is no evidence of an outage.
func (n *Node) settle(ctx context.Context) {
	c, cancel := context.WithTimeout(ctx, settleTime)
	defer cancel()
	t := time.NewTicker(readyPoll)
	defer t.Stop()
	for n.Missing(0) != "" {
		select {
		case <-t.C:
		case <-c.Done():
			return
		}
	}
}

// missing returns what the node lacks to be ready, or nothing.
func (n *Node) missing() string {
	if ok, why := n.spread.Ready(); !ok {
		return why
	}
	select {
	case <-n.vms.Ready():
	default:
		return "no list of VMs from the platform"
	}
	return ""
}

// drain is the graceful part of a stop.
func (n *Node) drain() error {
	s := n.c.Settings.Limits
	c, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	n.members.Leave(c)
	cancel()
	if left := n.gate.Shutdown(context.Background(), s.BalancerLag, s.DrainLimit); left > 0 {
		return errors.Errorf("stopped with %d requests in progress after the drain limit of %v", left, s.DrainLimit)
	}
	return nil
}

// Close takes the node down at once and waits for every goroutine.
func (n *Node) Close() {
	for _, close := range []func(){
		n.closeFronts, n.closeHealth, n.closeQueries, n.closePeers, n.closePlatform,
	} {
		close()
	}
	n.log.Emit(event.NodeStopped, n.self.ID, "")
}

func (n *Node) closeFronts() {
	if n.callers != nil {
		_ = n.callers.Close()
	}
	if n.operators != nil {
		_ = n.operators.Close()
	}
}

func (n *Node) closeHealth() {
	if n.health != nil {
		n.health.Close()
	}
	if n.metrics != nil {
		_ = n.metrics.Close()
	}
}

func (n *Node) closeQueries() {
	if n.contracts != nil {
		n.contracts.Close()
	}
	if n.directory != nil {
		n.directory.Close()
	}
	if n.engine != nil {
		n.engine.Close()
	}
	if n.claims != nil {
		_ = n.claims.Close()
	}
}

func (n *Node) closePeers() {
	if n.spread != nil {
		_ = n.spread.Close()
	}
	if n.members != nil {
		_ = n.members.Close()
	}
	if n.server != nil {
		_ = n.server.Close()
	}
	if n.dialer != nil {
		_ = n.dialer.Close()
	}
}

func (n *Node) closePlatform() {
	if n.searches != nil {
		_ = n.searches.Close()
	}
	if n.vms != nil {
		_ = n.vms.Close()
	}
	if n.store != nil {
		_ = n.store.Close()
	}
}
