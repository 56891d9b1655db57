package entry

import (
	"context"
	"time"

	"github.com/juju/errors"

	"egrethaven/internal/observe/event"
)

const (
	// readyPollInterval is the interval of readiness checks.
	readyPollInterval = 50 * time.Millisecond
	// discoveryTimeout limits how long a ready node waits for the discovery of
	// searchers before it starts to report health.
	discoveryTimeout = 2 * time.Second
	// leaveTimeout limits the time for notifying other nodes of a shutdown.
	leaveTimeout = time.Second
)

// Run serves until ctx is done, then shuts down gracefully: it notifies the other
// nodes, fails /ready for the balancer lag, and waits up to the drain limit for
// requests in flight. It returns an error if any of these are interrupted.
func (n *Node) Run(ctx context.Context) error {
	defer n.Close()
	if err := n.servePeers(); err != nil {
		return errors.Trace(err)
	}
	n.callerServer.Serve()
	n.operatorServer.Serve()
	n.log.Emit(event.NodeStarted, n.self.ID, n.CallerAddr())
	n.awaitReady(ctx)
	n.awaitSearchers(ctx)
	n.health.Start()
	<-ctx.Done()
	return n.drain()
}

// awaitReady marks the node as ready once a configuration is in force and the VM
// list has been received.
func (n *Node) awaitReady(ctx context.Context) {
	t := time.NewTicker(readyPollInterval)
	defer t.Stop()
	for {
		reason := n.unreadyReason()
		if reason == "" {
			n.gate.SetReady()
			return
		}
		n.gate.SetNotReady(reason)
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// awaitSearchers waits until the searchers of every search are found, for at most
// discoveryTimeout. Missing searchers are evidence of an outage only after that.
func (n *Node) awaitSearchers(ctx context.Context) {
	c, cancel := context.WithTimeout(ctx, discoveryTimeout)
	defer cancel()
	t := time.NewTicker(readyPollInterval)
	defer t.Stop()
	for n.RevisionUnreadyReason(0) != "" {
		select {
		case <-t.C:
		case <-c.Done():
			return
		}
	}
}

// unreadyReason returns why the node is not ready, or an empty string if it is.
func (n *Node) unreadyReason() string {
	if ok, reason := n.configSync.Ready(); !ok {
		return reason
	}
	select {
	case <-n.vms.Ready():
	default:
		return "no list of VMs from the platform"
	}
	if n.accounts != nil && n.accounts.Current() == nil {
		return "no client accounts: " + n.c.Settings.Accounts.File + " was not read"
	}
	return ""
}

// drain notifies the other nodes and waits for requests in flight. It returns an
// error if any are left.
func (n *Node) drain() error {
	s := n.c.Settings.Limits
	c, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	n.membership.Leave(c)
	cancel()
	if left := n.gate.Shutdown(context.Background(), s.BalancerLag, s.DrainLimit); left > 0 {
		return errors.Errorf("stopped with %d requests in progress after the drain limit of %v", left, s.DrainLimit)
	}
	return nil
}

// Close stops the node without draining it and waits for all goroutines.
func (n *Node) Close() {
	for _, closePart := range []func(){
		n.closeAPIs, n.closeHealth, n.closeQueries, n.closePeers, n.closePlatform,
	} {
		closePart()
	}
	n.log.Emit(event.NodeStopped, n.self.ID, "")
}

func (n *Node) closeAPIs() {
	if n.callerServer != nil {
		_ = n.callerServer.Close()
	}
	if n.operatorServer != nil {
		_ = n.operatorServer.Close()
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
	if n.planner != nil {
		n.planner.Close()
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
	n.closeQuota()
	if n.configSync != nil {
		_ = n.configSync.Close()
	}
	if n.membership != nil {
		_ = n.membership.Close()
	}
	if n.peerServer != nil {
		_ = n.peerServer.Close()
	}
	if n.dialer != nil {
		_ = n.dialer.Close()
	}
}

func (n *Node) closePlatform() {
	if n.accounts != nil {
		n.accounts.Close()
	}
	if n.configs != nil {
		_ = n.configs.Close()
	}
	if n.vms != nil {
		_ = n.vms.Close()
	}
	if n.store != nil {
		_ = n.store.Close()
	}
}
