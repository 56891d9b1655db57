// Package gateway is one entry VM that takes its configuration and its
// searchers from the platform's store: it puts together everything that runs
// there and takes it down again.
//
// # Usage
//
//	g, err := gateway.New(gateway.Config{Settings: s, Store: store, Decode: d, Dialect: dialect, ...})
//	if err != nil { ... }
//	err = g.Run(ctx) // until ctx ends, then a graceful stop
package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/phuslu/log"

	"egrethaven/internal/front/httpserver"
	"egrethaven/internal/front/ingress"
	"egrethaven/internal/observe/clock"
	"egrethaven/internal/observe/event"
	"egrethaven/internal/observe/gatewaymetric"
	"egrethaven/internal/observe/logger"
	"egrethaven/internal/observe/logpipe"
	"egrethaven/internal/query/forward"
	"egrethaven/internal/query/retrybudget"
	"egrethaven/internal/state/follow"
	"egrethaven/internal/state/gatewaysettings"
	"egrethaven/internal/state/problem"
	"egrethaven/internal/state/routing"
	"egrethaven/internal/state/vmregistry"
)

const (
	// eventRing is how many events are kept in memory.
	eventRing = 512
	// stopReserve is the part of the time for a stop that is kept for closing
	// connections and for logs.
	stopReserve = 1500 * time.Millisecond
	// allowanceShare is the part of the allowance for extra sends that is
	// divided among the VMs; the rest is for VMs that are not counted yet and
	// for those that start anew within a window.
	allowanceShare = 0.5
	// groupShare is the part of the allowance that groups of VMs divide which tell
	// each other what they send. The rest is for VMs that start anew within a
	// window and have the part of a single VM again.
	groupShare = 0.75
	// watchShare is the part of the time to catch up with the store for which
	// one watch waits; the rest is for the read that may have to follow.
	watchShare = 0.8
	// linger is how long a stopping gateway goes on serving at least: the
	// balancer needs two failed checks, a second apart, to stop sending.
	linger = 3 * time.Second
)

// Dialect knows the headers of clients and searchers.
type Dialect interface {
	forward.Dialect
	ingress.Dialect
}

// Config describes a Gateway.
type Config struct {
	Settings gatewaysettings.Settings
	Store    follow.Store
	Decode   Decoder
	Dialect  Dialect
	// ReadyPath is the path of the readiness check.
	ReadyPath string
	// LogOutput takes the structured log; nil drops it.
	LogOutput io.Writer
	Version   string
}

// Gateway is one entry VM.
type Gateway struct {
	c       Config
	pipe    *logpipe.Pipe
	log     *event.Log
	metrics *gatewaymetric.Metrics
	view    *view
	engine  *forward.Engine
	clients *ingress.Server
	checks  []*httpserver.Server
	peers   *peers

	stopping atomic.Bool
	wg       sync.WaitGroup

	mu sync.Mutex
	// settings are those in force, vms the VMs that share with this one.
	settings gatewaysettings.Settings
	vms      int
}

// New builds a gateway and binds its ports. Nothing is served before Run.
func New(c Config) (*Gateway, error) {
	g := &Gateway{c: c, settings: c.Settings, vms: assumedVMs}
	s := c.Settings
	e := event.Config{Node: s.ID, Stamp: clock.New(clock.Config{}).Stamp, Capacity: eventRing}
	if c.LogOutput != nil {
		g.pipe = logpipe.New(logpipe.Config{Out: c.LogOutput})
		e.Logger = logger.New(logger.Config{Out: g.pipe, Level: string(s.LogLevel), Node: s.ID})
	}
	g.log = event.New(e)
	g.view = newView(viewConfig{
		Self: self(s), Decode: c.Decode, Grace: s.EntryGrace, CatchUp: s.CatchUp, Events: g.log, OnVMs: g.countVMs,
	})
	if err := g.build(); err != nil {
		g.close()
		return nil, errors.Trace(err)
	}
	return g, nil
}

// build makes the parts that can fail.
func (g *Gateway) build() error {
	s := g.c.Settings
	var err error
	if g.metrics, err = gatewaymetric.New(gatewaymetric.Config{Node: s.ID, Domain: s.Domain}); err != nil {
		return errors.Trace(err)
	}
	g.engine = forward.New(forward.Config{
		Dialect: g.c.Dialect, Current: g.view.Current, Domain: s.Domain, Log: g.log,
		Budget: budget(s, g.vms),
		Observe: func(route string, r forward.Reason, d time.Duration) {
			g.metrics.Request(route, string(r), d)
		},
	})
	if g.clients, err = ingress.New(ingress.Config{
		Addr: s.Clients, Dialect: g.c.Dialect, Do: g.engine.Do, Limits: g.limits, Events: g.log,
	}); err != nil {
		return errors.Trace(err)
	}
	if g.peers, err = newPeers(peersConfig{Listen: s.Peers, Seeds: s.Seeds, Store: g.c.Store, WatchWait: watchWait(s), View: g.view,
		Engine: g.engine, Bound: g.groupBound, Events: g.log}); err != nil {
		return errors.Trace(err)
	}
	ready := http.NewServeMux()
	ready.HandleFunc(g.c.ReadyPath, g.answerReady)
	pages := http.NewServeMux()
	pages.Handle("/metrics", g.metrics)
	for addr, h := range map[string]http.Handler{s.Ready: ready, s.Metrics: pages} {
		srv, err := httpserver.New(httpserver.Config{Addr: addr, Handler: h, Events: g.log})
		if err != nil {
			return errors.Trace(err)
		}
		g.checks = append(g.checks, srv)
	}
	return errors.Trace(g.gauges())
}

// gauges shows what the parts count for themselves.
func (g *Gateway) gauges() error {
	for _, v := range []struct {
		name, unit, help string
		read             func() float64
	}{
		{"egrethaven_config_version", "{version}", "version of the configuration in force", g.view.version},
		{"egrethaven_store_age", "s", "time since the store last confirmed the view", g.view.age},
		{"egrethaven_searchers", "{searcher}", "searchers in use", g.view.searchers},
		{"egrethaven_vms", "{vm}", "VMs of the tier that are counted", g.view.vmCount},
		{"egrethaven_log_lines_dropped", "{line}", "log lines that found no room", g.dropped},
	} {
		if err := g.metrics.Gauge(v.name, v.unit, v.help, v.read); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// dropped counts the log lines that found no room.
func (g *Gateway) dropped() float64 {
	if g.pipe == nil {
		return 0
	}
	n, _ := g.pipe.Dropped()
	return float64(n)
}

// limits returns the limits on clients that are in force.
func (g *Gateway) limits() routing.Limits {
	if s := g.view.Current(); s != nil {
		return s.Config.Limits
	}
	return routing.Limits{}
}

// budget is one VM's part of the bound on extra sends. Half of the allowance
// is left out, for VMs that are not counted yet and for those that start again
// within a window.
func budget(s gatewaysettings.Settings, vms int) retrybudget.Config {
	return retrybudget.Config{Ratio: s.RetryRatio, Window: s.RetryWindow, Allowance: allowanceShare * s.RetryAllowance / float64(vms)}
}

// groupBound is how many extra sends to a service some of the VMs may make
// together for a number of requests within a window.
func (g *Gateway) groupBound(vms, first int) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.settings
	return s.RetryRatio*float64(first) + groupShare*s.RetryAllowance*float64(vms)/float64(max(g.vms, 1))
}

// countVMs takes the number of VMs that share the allowance.
func (g *Gateway) countVMs(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.vms = n
	g.engine.SetBudget(budget(g.settings, n))
}

// Reload takes the settings that can change while the gateway runs.
func (g *Gateway) Reload(s gatewaysettings.Settings) {
	// The view calls countVMs with its lock held, so it comes first.
	g.view.SetGrace(s.EntryGrace)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.settings = s
	g.engine.SetBudget(budget(s, g.vms))
	g.log.SetLevel(log.ParseLevel(string(s.LogLevel)))
	g.log.Emit(event.SettingsChanged, s.ID, fmt.Sprintf("log level %s, retry ratio %g, window %s, allowance %g, entry grace %s",
		s.LogLevel, s.RetryRatio, s.RetryWindow, s.RetryAllowance, s.EntryGrace))
}

// RefuseReload logs why settings were not taken.
func (g *Gateway) RefuseReload(ps []problem.Problem) {
	for _, p := range problem.Strings(ps) {
		g.log.Emit(event.SettingsRefused, g.c.Settings.ID, p)
	}
}

// answerReady tells the balancer whether this VM takes requests.
func (g *Gateway) answerReady(w http.ResponseWriter, _ *http.Request) {
	if g.stopping.Load() || g.view.Current() == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Run serves until ctx ends, and then stops gracefully.
func (g *Gateway) Run(ctx context.Context) error {
	g.log.Emit(event.NodeStarted, g.c.Settings.ID, "version "+g.c.Version)
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	for _, s := range g.checks {
		s.Serve()
	}
	g.clients.Serve()
	g.peers.serve()
	f := follow.New(follow.Config{Source: g.peers.upstream, Handler: g.view, Events: g.log,
		WatchTimeout: watchWait(g.c.Settings),
		BatchDelay:   func() time.Duration { return g.view.gather(g.peers.upstream.Through() == "") }})
	g.wg.Go(func() { f.Run(background) })
	g.wg.Go(func() { g.register(background) })
	g.wg.Go(func() { g.peers.sharing.Run(background) })
	<-ctx.Done()
	err := g.stop()
	cancel()
	g.wg.Wait()
	g.close()
	return err
}

// register registers this VM and keeps it registered. Its own key, if the first
// read finds it, is one from before.
func (g *Gateway) register(ctx context.Context) {
	select {
	case <-g.view.FirstRead():
	case <-ctx.Done():
		return
	}
	v := self(g.c.Settings)
	newMembership(membershipConfig{
		Store: g.c.Store, Key: g.c.Decode.VMPrefix + v.ID, Value: v.Encode(), Lease: g.view.Lease(), Events: g.log,
	}).Run(ctx)
}

// self is how a VM with the given settings registers.
func self(s gatewaysettings.Settings) vmregistry.VM {
	return vmregistry.VM{ID: s.ID, Domain: s.Domain, PeerAddr: s.Peers, LinkMbps: s.LinkMbps}
}

// watchWait is how long one watch waits at the store.
func watchWait(s gatewaysettings.Settings) time.Duration {
	return time.Duration(watchShare * float64(s.CatchUp))
}

// stop serves what is under way and what still comes, until the balancer has
// noticed, and at most for the time that there is.
func (g *Gateway) stop() error {
	now := time.Now()
	g.stopping.Store(true)
	g.log.Emit(event.NodeDraining, g.c.Settings.ID, "told to stop")
	limit := max(g.c.Settings.StopWithin-stopReserve, 0)
	return errors.Trace(g.clients.Stop(now.Add(min(linger, limit)), now.Add(limit)))
}

// close takes down what was built.
func (g *Gateway) close() {
	if g.engine != nil {
		g.engine.Close()
	}
	g.view.Close()
	for _, s := range g.checks {
		if err := s.Close(); err != nil {
			g.log.Emit(event.ListenerFailed, s.Addr(), err.Error())
		}
	}
	if g.peers != nil {
		if err := g.peers.close(); err != nil {
			g.log.Emit(event.ListenerFailed, g.c.Settings.Peers, err.Error())
		}
	}
	if g.metrics != nil {
		if err := g.metrics.Close(); err != nil {
			g.log.Emit(event.InvariantBroken, "metrics", err.Error())
		}
	}
	g.log.Emit(event.NodeStopped, g.c.Settings.ID, "")
	if g.pipe != nil {
		g.pipe.Close()
	}
}
