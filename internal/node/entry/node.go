// Package entry assembles and runs one entry VM: the caller and operator APIs, the
// query engine, the configuration and the peer services.
//
// # Usage
//
//	n, err := entry.New(entry.Config{Settings: s, LogOutput: os.Stderr})
//	if err != nil { ... }
//	err = n.Run(ctx) // serves until ctx is done, then shuts down gracefully
package entry

import (
	"fmt"
	"hash/maphash"
	"io"
	"os"
	"sync"

	"github.com/juju/errors"

	"egrethaven/internal/back/directory"
	"egrethaven/internal/front/httpserver"
	"egrethaven/internal/front/readiness"
	"egrethaven/internal/infra/readbudget"
	"egrethaven/internal/infra/vm"
	"egrethaven/internal/node/contracts"
	"egrethaven/internal/observe/clock"
	"egrethaven/internal/observe/event"
	"egrethaven/internal/observe/fleet"
	"egrethaven/internal/observe/health"
	"egrethaven/internal/observe/logger"
	"egrethaven/internal/observe/metric"
	"egrethaven/internal/peer/member"
	"egrethaven/internal/peer/quotapool"
	"egrethaven/internal/peer/rpc"
	"egrethaven/internal/peer/rumor"
	"egrethaven/internal/platform/kv"
	"egrethaven/internal/platform/vmlist"
	"egrethaven/internal/query/register"
	"egrethaven/internal/query/scatter"
	"egrethaven/internal/state/accountfile"
	"egrethaven/internal/state/config"
	"egrethaven/internal/state/configsync"
	"egrethaven/internal/state/idempotency"
	"egrethaven/internal/state/settings"
)

// Config configures a Node.
type Config struct {
	Settings settings.Settings
	// LogOutput receives the structured log; nil discards it.
	LogOutput io.Writer
	// Policy is the query policy; the zero value selects scatter.DefaultPolicy.
	Policy scatter.Policy
	// Version is the program version shown to operators.
	Version string
	// Seed is the random seed; 0 selects a random one.
	Seed uint64
	// Hangup has the file of client accounts read again; nil for none.
	Hangup <-chan os.Signal
}

// Node is one entry VM. The fields are in the order of construction; they are
// closed in reverse order.
type Node struct {
	c       Config
	clock   *clock.Clock
	log     *event.Log
	metrics *metric.Metrics
	gate    *readiness.Gate
	// accounts are the client accounts; nil if the settings name none.
	accounts *accountfile.Source
	// quota limits the accounts' requests, in calls of quotaRun; nil if there are no accounts.
	quota    *quotapool.Limiter
	quotaRun sync.WaitGroup

	store   *kv.Client
	vms     *vmlist.Poller
	configs *config.Manager

	// budget bounds the memory for responses; nil if the settings name none.
	budget *readbudget.Budget

	self       vm.VM
	peerServer *rpc.Server
	dialer     *rpc.Dialer
	rumors     *rumor.Set
	membership *member.Membership
	configSync *configsync.Syncer
	claims     *idempotency.Store

	directory *directory.Directory
	planner   *contracts.Planner
	engine    *scatter.Engine
	registrar *register.Registrar
	health    *health.Collector
	fleet     *fleet.Fleet

	callerServer   *httpserver.Server
	operatorServer *httpserver.Server
}

// New builds a node and binds its ports. Nothing is served before Run. A node that
// is never run must be closed with Close.
func New(c Config) (*Node, error) {
	if c.Seed == 0 {
		c.Seed = maphash.String(maphash.MakeSeed(), c.Settings.Node.ID)
	}
	if c.Policy.Name == "" {
		c.Policy = scatter.DefaultPolicy()
	}
	n := &Node{c: c, clock: clock.New(clock.Config{})}
	n.log = n.newLog()
	if mb := c.Settings.Limits.ResponseMemoryMB; mb > 0 {
		n.budget = readbudget.New(readbudget.Config{Limit: int64(mb) << 20})
	}
	n.budget.OnAbort(func(size int64) { n.log.Emit(event.ResponseAborted, "", fmt.Sprintf("%d bytes", size)) })
	n.gate = readiness.New(readiness.Config{MaxInFlight: c.Settings.Limits.MaxInFlight, Events: n.log})
	if file := c.Settings.Accounts.File; file != "" {
		n.accounts = accountfile.New(accountfile.Config{File: file, Signal: c.Hangup, Events: n.log})
	}
	if err := n.build(); err != nil {
		n.Close()
		return nil, errors.Trace(err)
	}
	return n, nil
}

// build creates the components in order.
func (n *Node) build() error {
	if err := n.newMetrics(); err != nil {
		return errors.Trace(err)
	}
	n.connectPlatform()
	if err := n.bindPeers(); err != nil {
		return errors.Trace(err)
	}
	n.buildQueries()
	n.buildHealth()
	if err := n.registerMetrics(); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(n.bindAPIs())
}

// newLog returns the event log, which also writes the structured log if there is
// an output for it.
func (n *Node) newLog() *event.Log {
	s := n.c.Settings
	e := event.Config{Node: s.Node.ID, Stamp: n.clock.Stamp, Capacity: s.Observe.Events}
	if n.c.LogOutput != nil {
		e.Logger = logger.New(logger.Config{Out: n.c.LogOutput, Level: string(s.Observe.LogLevel), Node: s.Node.ID})
	}
	return event.New(e)
}

// CallerAddr returns the address of the caller API.
func (n *Node) CallerAddr() string { return n.callerServer.Addr() }

// OperatorAddr returns the address of the operator API.
func (n *Node) OperatorAddr() string { return n.operatorServer.Addr() }

// VM returns this node's entry for the platform's VM list.
func (n *Node) VM() vm.VM { return n.self }
