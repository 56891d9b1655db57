// Package entry is one entry VM of the tier: it puts together everything
// that runs there and takes it down again.
//
// # Usage
//
//	n, err := entry.New(entry.Config{Settings: s, LogOutput: os.Stderr})
//	if err != nil { ... }
//	err = n.Run(ctx) // until ctx ends, then a graceful stop
package entry

import (
	"hash/maphash"
	"io"

	"github.com/juju/errors"

	"egrethaven/internal/back/directory"
	"egrethaven/internal/front/balancer"
	"egrethaven/internal/front/httpserver"
	"egrethaven/internal/infra/vm"
	"egrethaven/internal/node/contracts"
	"egrethaven/internal/observe/clock"
	"egrethaven/internal/observe/event"
	"egrethaven/internal/observe/fleet"
	"egrethaven/internal/observe/health"
	"egrethaven/internal/observe/logger"
	"egrethaven/internal/observe/metric"
	"egrethaven/internal/peer/member"
	"egrethaven/internal/peer/rpc"
	"egrethaven/internal/peer/rumor"
	"egrethaven/internal/platform/kv"
	"egrethaven/internal/platform/vmlist"
	"egrethaven/internal/query/register"
	"egrethaven/internal/query/scatter"
	"egrethaven/internal/state/config"
	"egrethaven/internal/state/configsync"
	"egrethaven/internal/state/idempotency"
	"egrethaven/internal/state/settings"
)

// Config describes a Node.
type Config struct {
	Settings settings.Settings
	// LogOutput takes the structured log; nil drops it.
	LogOutput io.Writer
	// Policy of queries; the zero value is scatter.DefaultPolicy.
	Policy scatter.Policy
	// Version of the program, for operators.
	Version string
	// Seed of random choices; 0 draws one.
	Seed uint64
}

// Node is one entry VM. The fields are in the order in which they are built;
// they are taken down in the reverse order.
type Node struct {
	c       Config
	clock   *clock.Clock
	log     *event.Log
	metrics *metric.Metrics
	gate    *balancer.Gate

	store    *kv.Client
	vms      *vmlist.Poller
	searches *config.Manager

	self    vm.VM
	server  *rpc.Server
	dialer  *rpc.Dialer
	rumors  *rumor.Set
	members *member.Membership
	spread  *configsync.Syncer
	claims  *idempotency.Store

	directory *directory.Directory
	contracts *contracts.Keeper
	engine    *scatter.Engine
	writes    *register.Registrar
	health    *health.Collector
	fleet     *fleet.Fleet

	callers   *httpserver.Server
	operators *httpserver.Server
}

// New builds a node and binds its ports. Nothing is served before Run. A node
// that is not run has to be closed.
func New(c Config) (*Node, error) {
	if c.Seed == 0 {
		c.Seed = maphash.String(maphash.MakeSeed(), c.Settings.Node.ID)
	}
	if c.Policy.Name == "" {
		c.Policy = scatter.DefaultPolicy()
	}
	n := &Node{c: c, clock: clock.New(clock.Config{})}
	n.log = n.newLog()
	n.gate = balancer.New(balancer.Config{MaxInFlight: c.Settings.Limits.MaxInFlight, Events: n.log})
	if err := n.build(); err != nil {
		n.Close()
		return nil, errors.Trace(err)
	}
	return n, nil
}

// build makes the parts in order.
func (n *Node) build() error {
	if err := n.measure(); err != nil {
		return errors.Trace(err)
	}
	n.reachPlatform()
	if err := n.bindPeers(); err != nil {
		return errors.Trace(err)
	}
	n.answerQueries()
	n.watchHealth()
	if err := n.watchMetrics(); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(n.bindFronts())
}

// newLog returns the ring of events, which also writes the structured log.
func (n *Node) newLog() *event.Log {
	s := n.c.Settings
	e := event.Config{Node: s.Node.ID, Stamp: n.clock.Stamp, Capacity: s.Observe.Events}
	if n.c.LogOutput != nil {
		e.Logger = logger.New(logger.Config{Out: n.c.LogOutput, Level: string(s.Observe.LogLevel), Node: s.Node.ID})
	}
	return event.New(e)
}

// CallerAddr is the address of the caller API.
func (n *Node) CallerAddr() string { return n.callers.Addr() }

// OperatorAddr is the address of the operator API.
func (n *Node) OperatorAddr() string { return n.operators.Addr() }

// VM is this node as the platform should list it.
func (n *Node) VM() vm.VM { return n.self }
