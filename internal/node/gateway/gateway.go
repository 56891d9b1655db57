// Package gateway implements an entry VM that reads its configuration and its
// searchers from the platform's store. It starts and stops all components of the
// VM.
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

	"egrethaven/internal/back/crashguard"
	"egrethaven/internal/back/quarantine"
	"egrethaven/internal/front/httpserver"
	"egrethaven/internal/front/ingress"
	"egrethaven/internal/infra/procpause"
	"egrethaven/internal/infra/readbudget"
	"egrethaven/internal/observe/clock"
	"egrethaven/internal/observe/event"
	"egrethaven/internal/observe/gatewaymetric"
	"egrethaven/internal/observe/logger"
	"egrethaven/internal/observe/logpipe"
	"egrethaven/internal/peer/quotapool"
	"egrethaven/internal/peer/rumor"
	"egrethaven/internal/peer/suspects"
	"egrethaven/internal/peer/upstream"
	"egrethaven/internal/query/forward"
	"egrethaven/internal/query/retrybudget"
	"egrethaven/internal/state/follow"
	"egrethaven/internal/state/gatewaysettings"
	"egrethaven/internal/state/problem"
	"egrethaven/internal/state/routing"
	"egrethaven/internal/state/vmregistry"
)

const (
	// eventRingSize is the number of events kept in memory.
	eventRingSize = 512
	// shutdownReserveShare is the share of the shutdown time that is reserved for
	// closing connections and flushing logs. Requests have to be answered until a sixth
	// of that time is left.
	shutdownReserveShare = 0.15
	// vmAllowanceShare is the share of the allowance for extra sends that is
	// divided among single VMs. The rest covers VMs that are not counted yet and
	// VMs that restart within a window.
	vmAllowanceShare = 0.5
	// groupAllowanceShare is the share of the allowance that is divided among
	// groups of VMs that pool their budgets. The rest covers VMs that restart
	// within a window and get the share of a single VM again.
	groupAllowanceShare = 0.75
	// watchWaitShare is the share of the catch-up time for which one watch waits.
	// The rest is for a full read that may have to follow.
	watchWaitShare = 0.8
	// minDrainTime is the minimum time that a stopping gateway keeps serving. The
	// balancer stops sending after two failed checks, a second apart.
	minDrainTime = 3 * time.Second
	// suspectDelay is how long a VM waits before it tells the others of a searcher that was
	// lost with a request. Most requests are answered by their retry meanwhile.
	suspectDelay = 200 * time.Millisecond
	// stepRefused is the step of a quarantined request that is refused, for metrics.
	stepRefused = "refused"
)

// Dialect encodes and parses the headers of clients and searchers.
type Dialect interface {
	forward.Dialect
	ingress.Dialect
}

// Config holds the settings and dependencies of a Gateway.
type Config struct {
	Settings gatewaysettings.Settings
	Store    follow.Store
	Decode   Decoder
	Dialect  Dialect
	// Budget bounds the memory for what searchers and other VMs send; nil means no bound.
	Budget *readbudget.Budget
	// CallerBudget bounds the memory that callers hold: connections, heads and bodies of
	// requests, and responses that they have not read; nil means no bound.
	CallerBudget *readbudget.Budget
	// ReadyPath is the path of the readiness check.
	ReadyPath string
	// LogOutput receives the structured log; nil disables it.
	LogOutput io.Writer
	Version   string
}

// Gateway is one entry VM.
type Gateway struct {
	c              Config
	pipe           *logpipe.Writer
	log            *event.Log
	metrics        *gatewaymetric.Metrics
	storeView      *storeView
	engine         *forward.Engine
	ingress        *ingress.Server
	httpServers    []*httpserver.Server
	peerComponents *peerComponents
	isolation      *isolationMonitor
	pauses         *procpause.Detector
	suspects       *suspects.Sharing
	quota          *quotapool.Limiter

	stopping  atomic.Bool
	wg        sync.WaitGroup
	startedAt time.Time

	mu sync.Mutex
	// settings holds the current settings.
	settings gatewaysettings.Settings
	// vms is the number of VMs that the allowance is divided by.
	vms int
}

// New builds a gateway and binds its ports. Nothing is served before Run.
func New(c Config) (*Gateway, error) {
	g := &Gateway{c: c, settings: c.Settings, vms: minVMCount, startedAt: time.Now(), pauses: procpause.New()}
	s := c.Settings
	e := event.Config{Node: s.ID, Stamp: clock.New(clock.Config{}).Stamp, Capacity: eventRingSize}
	if c.LogOutput != nil {
		g.pipe = logpipe.New(logpipe.Config{Out: c.LogOutput})
		e.Logger = logger.New(logger.Config{Out: g.pipe, Level: string(s.LogLevel), Node: s.ID})
	}
	g.log = event.New(e)
	c.Budget.OnAbort(func(size int64) {
		g.log.Emit(event.ResponseAborted, "", fmt.Sprintf("%d bytes", size))
	})
	g.storeView = newStoreView(storeViewConfig{
		Self: vmRecord(s), Decode: c.Decode, EntryGrace: s.EntryGrace, CatchUp: s.CatchUp, Events: g.log, Budget: c.Budget, OnVMCount: g.setVMCount,
		RunningSince: g.pauses.RunningSince,
		ColdOverage:  s.ColdOverage, ColdSlack: s.ColdSlack,
	})
	g.isolation = &isolationMonitor{domain: s.Domain, current: g.storeView.Current, events: g.log,
		onChange: func(isolated bool) { g.engine.SetIsolated(isolated) }}
	if err := g.build(); err != nil {
		g.close()
		return nil, errors.Trace(err)
	}
	return g, nil
}

// build creates the components whose creation can fail.
func (g *Gateway) build() error {
	s := g.c.Settings
	var err error
	if g.metrics, err = gatewaymetric.New(gatewaymetric.Config{Node: s.ID, Domain: s.Domain}); err != nil {
		return errors.Trace(err)
	}
	rumors := rumor.New(rumor.Config{Node: s.ID})
	g.suspects = suspects.New(suspects.Config{Rumors: rumors, Delay: suspectDelay, Quarantine: quarantine.Config{
		MinIncidents: forward.MinIncidents, TrustAnswered: true, Events: g.log, OnStep: func(s quarantine.Step) { g.metrics.RecordQuarantineStep(string(s)) },
	}})
	guard := crashguard.New(crashguard.Config{Quarantine: g.suspects.Quarantine(), Events: g.log})
	g.storeView.onSearcherEnded = guard.SearcherEnded
	g.quota = g.newQuota()
	g.engine = forward.New(forward.Config{
		Quota: g.quota,
		Guard: guard, Dialect: g.c.Dialect, Current: g.storeView.Current, Domain: s.Domain, Log: g.log,
		Budget: g.vmBudget(s, g.vms), HandOver: g.handOver, CopyAge: g.ageOfCopy, Region: s.Regions.Of, ObserveAccount: g.observeAccount,
		Observe: func(route string, r forward.Reason, d time.Duration) {
			g.metrics.RecordRequest(route, string(r), d)
			if r == forward.Quarantined {
				g.metrics.RecordQuarantineStep(stepRefused)
			}
		},
	})
	g.engine.SetMaxKeyAge(s.MaxKeyAge())
	if g.ingress, err = ingress.New(ingress.Config{
		Addr: s.ClientAddr, Dialect: g.c.Dialect, Do: g.engine.Do, Limits: g.clientLimits, Budget: g.c.CallerBudget, Responses: g.c.Budget, Events: g.log,
		CloseConns: g.isolation.isolated.Load,
		ConnBytes:  gatewaysettings.ConnBytes, MaxHeaderLines: s.MaxHeaderLines, MaxConns: s.MaxClientConns(),
	}); err != nil {
		return errors.Trace(err)
	}
	if g.peerComponents, err = newPeerComponents(peerConfig{ListenAddr: s.PeerAddr, Seeds: s.SeedAddrs, Store: g.c.Store, RumorStore: g.c.Store, ChangeTime: s.ChangeTime(), StoreView: g.storeView,
		Engine: g.engine, Rumors: rumors, GroupLimit: g.groupLimit, Quota: g.quota.Serve, Isolated: g.isolation.isolated.Load, ObserveHandover: g.metrics.RecordHandover,
		Events: g.log, Budget: g.c.Budget, MaxPending: s.MaxOtherConns()}); err != nil {
		return errors.Trace(err)
	}
	ready := http.NewServeMux()
	ready.HandleFunc(g.c.ReadyPath, g.handleReady)
	pages := http.NewServeMux()
	pages.Handle("/metrics", g.metrics)
	pages.HandleFunc("POST "+explainPath, g.handleExplain)
	for addr, h := range map[string]http.Handler{s.ReadyAddr: ready, s.MetricsAddr: pages} {
		srv, err := httpserver.New(httpserver.Config{Addr: addr, Handler: h, Events: g.log, HeadBudget: g.c.CallerBudget, ConnBytes: gatewaysettings.ConnBytes, MaxConns: s.MaxOtherConns()})
		if err != nil {
			return errors.Trace(err)
		}
		g.httpServers = append(g.httpServers, srv)
	}
	if err := g.registerQuotaGauges(); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(g.registerGauges())
}

// registerGauges registers the gauges whose values other components hold.
func (g *Gateway) registerGauges() error {
	for _, v := range []struct {
		name, unit, help string
		read             func() float64
	}{
		{"egrethaven_config_version", "{version}", "version of the configuration in force", g.storeView.configVersion},
		{"egrethaven_store_age", "s", "age of the copy of the store: the time since it was known to have all changes", g.copyAge},
		{"egrethaven_searchers", "{searcher}", "searchers in use", g.storeView.searcherCount},
		{"egrethaven_searchers_leaving", "{searcher}", "searchers that said within ten minutes that they are about to stop", g.storeView.leavingCount},
		{"egrethaven_domains_evacuated", "{domain}", "failure domains that operators have evacuated", g.storeView.evacuatedCount},
		{"egrethaven_searchers_waiting", "{searcher}", "searchers that want no request from this VM now", g.storeView.waitingCount},
		{"egrethaven_requests_suspected", "{request}", "requests suspected of crashing searchers, which run alone", g.suspectCount},
		{"egrethaven_requests_quarantined", "{request}", "requests that are refused because they crash searchers", g.quarantinedCount},
		{"egrethaven_vms", "{vm}", "VMs of the tier that are counted", g.storeView.registeredVMs},
		{"egrethaven_response_memory", "By", "memory in use for responses that are being read, and for long ones until they are passed on", g.responseMemory},
		{"egrethaven_caller_memory", "By", "memory that callers hold: connections, large heads, bodies, and responses above 4 KB that they have not read", g.callerMemory},
		{"egrethaven_head_memory", "By", "the same as egrethaven_caller_memory, under its earlier name", g.callerMemory},
		{"egrethaven_log_lines_dropped", "{line}", "log lines that found no room", g.droppedLogLines},
	} {
		if err := g.metrics.RegisterGauge(v.name, v.unit, v.help, v.read); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// suspectCount returns the number of requests that are suspected of crashing searchers.
func (g *Gateway) suspectCount() float64 { return float64(g.suspects.Quarantine().Suspects()) }

// quarantinedCount returns the number of requests in quarantine.
func (g *Gateway) quarantinedCount() float64 { return float64(len(g.suspects.Quarantine().List())) }

// copyAge returns the age of this VM's copy of the store in seconds; -1 if the store
// was never read.
func (g *Gateway) copyAge() float64 {
	if age, ok := g.peerComponents.storeSource.CopyAge(); ok {
		return age.Seconds()
	}
	return -1
}

// ageOfCopy returns the age of this VM's copy of the store; the maximum duration if the store
// was never read.
func (g *Gateway) ageOfCopy() time.Duration {
	age, _ := g.peerComponents.storeSource.CopyAge()
	return age
}

// observeAccount counts a request of a client account.
func (g *Gateway) observeAccount(account string, r forward.Reason) {
	o := gatewaymetric.AccountFailed
	switch {
	case r == forward.Served:
		o = gatewaymetric.AccountServed
	case r == forward.OverQuota:
		o = gatewaymetric.AccountOverQuota
	case r.IsRefusal():
		o = gatewaymetric.AccountRefused
	}
	g.metrics.RecordAccount(account, o)
}

// responseMemory returns the memory in use for responses, in bytes.
func (g *Gateway) responseMemory() float64 { return float64(g.c.Budget.Used()) }

// callerMemory returns the memory that callers hold, in bytes.
func (g *Gateway) callerMemory() float64 { return float64(g.c.CallerBudget.Used()) }

// droppedLogLines returns the number of log lines dropped from a full buffer.
func (g *Gateway) droppedLogLines() float64 {
	if g.pipe == nil {
		return 0
	}
	n, _ := g.pipe.Stats()
	return float64(n)
}

// handOver hands a request over to another VM.
func (g *Gateway) handOver(ctx context.Context, h forward.Handover) (forward.Answer, bool) {
	if g.peerComponents.sender == nil {
		return forward.Answer{}, false
	}
	return g.peerComponents.sender.HandOver(ctx, h)
}

// clientLimits returns the current limits on clients; no limits before the first
// configuration.
func (g *Gateway) clientLimits() routing.Limits {
	if s := g.storeView.Current(); s != nil {
		return s.Config.Limits
	}
	return routing.Limits{}
}

// vmBudget returns the share of one VM of the limit on extra sends.
func (g *Gateway) vmBudget(s gatewaysettings.Settings, vms int) retrybudget.Config {
	return retrybudget.Config{Ratio: s.RetryRatio, Window: s.RetryWindow, Allowance: vmAllowanceShare * s.RetryAllowance / float64(vms), ProcessStart: g.startedAt}
}

// groupLimit returns the number of extra sends to a service that a group of the
// given number of VMs may make for the given number of first sends in a window.
func (g *Gateway) groupLimit(vms, first int) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.settings
	return s.RetryRatio*float64(first) + groupAllowanceShare*s.RetryAllowance*float64(vms)/float64(max(g.vms, 1))
}

// setVMCount sets the number of VMs that the allowance is divided by.
func (g *Gateway) setVMCount(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.vms = n
	g.engine.SetBudget(g.vmBudget(g.settings, n))
}

// Reload applies the settings that can change at run time.
func (g *Gateway) Reload(s gatewaysettings.Settings) {
	// storeView calls setVMCount with its own lock held. To keep the lock order,
	// call it before g.mu is locked.
	g.storeView.SetGrace(s.EntryGrace)
	g.storeView.SetColdBound(s.ColdOverage, s.ColdSlack)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.settings = s
	g.engine.SetBudget(g.vmBudget(s, g.vms))
	g.engine.SetMaxKeyAge(s.MaxKeyAge())
	g.log.SetLevel(log.ParseLevel(string(s.LogLevel)))
	g.log.Emit(event.SettingsChanged, s.ID, fmt.Sprintf("log level %s, retry ratio %g, window %s, allowance %g, entry grace %s",
		s.LogLevel, s.RetryRatio, s.RetryWindow, s.RetryAllowance, s.EntryGrace))
}

// RefuseReload logs why changed settings were rejected.
func (g *Gateway) RefuseReload(ps []problem.Problem) {
	for _, p := range problem.Strings(ps) {
		g.log.Emit(event.SettingsRefused, g.c.Settings.ID, p)
	}
}

// handleReady answers the balancer's readiness check: 200 if this VM accepts
// requests, otherwise 503. A VM that is cut off from the searchers that it needs
// keeps serving what it can, but the VMs of other failure domains serve more.
func (g *Gateway) handleReady(w http.ResponseWriter, _ *http.Request) {
	if g.stopping.Load() || g.storeView.Current() == nil || g.isolation.isolated.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Run serves until ctx is canceled and then shuts down gracefully.
func (g *Gateway) Run(ctx context.Context) error {
	g.log.Emit(event.NodeStarted, g.c.Settings.ID, "version "+g.c.Version)
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	for _, s := range g.httpServers {
		s.Serve()
	}
	g.ingress.Serve()
	g.peerComponents.serve()
	f := newFollower(g.c.Settings, g.peerComponents.storeSource, g.storeView, g.log)
	g.wg.Go(func() { f.Run(background) })
	g.wg.Go(func() { g.register(background) })
	g.wg.Go(func() { g.pauses.Run(background) })
	g.wg.Go(func() { g.isolation.run(background) })
	g.wg.Go(func() { g.peerComponents.sharing.Run(background) })
	g.wg.Go(func() { g.quota.Run(background) })
	g.wg.Go(func() { g.peerComponents.passOnRumors(background) })
	<-ctx.Done()
	err := g.stop()
	cancel()
	g.wg.Wait()
	g.close()
	return err
}

// newFollower returns a follower that keeps v up to date with what s reads.
func newFollower(c gatewaysettings.Settings, s *upstream.Upstream, v *storeView, events event.Sink) *follow.Follower {
	return follow.New(follow.Config{Source: s, Handler: v, Events: events, WatchTimeout: watchWait(c),
		BatchDelay: func() time.Duration { return v.batchDelay(s.RelayAddr() == "") }})
}

// register registers this VM and keeps it registered. It waits for the first read
// of the store, which may find a registration from before a restart.
func (g *Gateway) register(ctx context.Context) {
	select {
	case <-g.storeView.FirstRead():
	case <-ctx.Done():
		return
	}
	v := vmRecord(g.c.Settings)
	newMembership(membershipConfig{
		Store: g.c.Store, Key: g.c.Decode.VMPrefix + v.ID, Value: v.Encode(), PreviousLease: g.storeView.Lease(), Restored: g.storeView.restored, KeyLost: g.storeView.keyLost, Events: g.log,
	}).Run(ctx)
}

// vmRecord returns the registration of a VM with the given settings.
func vmRecord(s gatewaysettings.Settings) vmregistry.VM {
	return vmregistry.VM{ID: s.ID, Domain: s.Domain, PeerAddr: s.PeerAddr, LinkMbps: s.LinkMbps}
}

// watchWait returns how long one watch of the store waits for changes.
func watchWait(s gatewaysettings.Settings) time.Duration {
	return time.Duration(watchWaitShare * float64(s.CatchUp))
}

// stop keeps serving until the balancer has noticed, and then until no request is in
// flight, also of other VMs, or the shutdown time less its reserve is over.
func (g *Gateway) stop() error {
	now := time.Now()
	g.stopping.Store(true)
	g.log.Emit(event.NodeDraining, g.c.Settings.ID, "told to stop")
	limit := time.Duration((1 - shutdownReserveShare) * float64(g.c.Settings.ShutdownTimeout))
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { g.peerComponents.stopTakingOver(now.Add(limit)) })
	return errors.Trace(g.ingress.Stop(now.Add(min(minDrainTime, limit)), now.Add(limit)))
}

// close closes all components that were created.
func (g *Gateway) close() {
	if g.suspects != nil {
		g.suspects.Close()
	}
	if g.engine != nil {
		g.engine.Close()
	}
	if g.quota != nil {
		g.quota.Close()
	}
	g.storeView.Close()
	for _, s := range g.httpServers {
		if err := s.Close(); err != nil {
			g.log.Emit(event.ListenerFailed, s.Addr(), err.Error())
		}
	}
	if g.peerComponents != nil {
		if err := g.peerComponents.close(); err != nil {
			g.log.Emit(event.ListenerFailed, g.c.Settings.PeerAddr, err.Error())
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
