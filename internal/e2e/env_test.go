package e2e

import (
	"net/http"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"egrethaven/internal/infra/failuredomain"
	"egrethaven/internal/infra/vm"
	"egrethaven/internal/query/keyrange"
	"egrethaven/internal/query/record"
	"egrethaven/internal/standin/dataset"
	"egrethaven/internal/standin/deployment"
	"egrethaven/internal/standin/faultproxy"
	"egrethaven/internal/standin/freeport"
	"egrethaven/internal/standin/platform"
	"egrethaven/internal/standin/searcher"
	"egrethaven/internal/state/search"
)

// testEnv holds the stand-ins, nodes and background loads of one script.
type testEnv struct {
	dir      string
	client   *http.Client
	platform *platform.Platform

	mu       sync.Mutex
	services deployment.Fleet
	nodes    map[string]*process
	views    map[failuredomain.Domain]*platformView
	unlisted map[string]bool
	loads    []*backgroundLoad
	defs     map[string]search.Definition
}

func newTestEnv(dir string) *testEnv {
	return &testEnv{
		dir: dir, client: &http.Client{Timeout: waitTimeout}, nodes: map[string]*process{},
		views: map[failuredomain.Domain]*platformView{}, unlisted: map[string]bool{}, defs: map[string]search.Definition{},
	}
}

// close stops the loads, the nodes and then the stand-ins.
func (e *testEnv) close() {
	for _, b := range e.loads {
		b.stop()
	}
	for _, n := range e.nodes {
		n.kill()
	}
	e.client.CloseIdleConnections()
	for _, v := range e.views {
		v.close()
	}
	e.services.Close()
	if e.platform != nil {
		_ = e.platform.Close()
	}
}

// ensurePlatform returns the platform, started on first use.
func (e *testEnv) ensurePlatform(c *scriptCmd) *platform.Platform {
	if e.platform == nil {
		p, err := platform.New(platform.Config{Addr: "127.0.0.1:0", Seed: 1})
		c.Check(err)
		e.platform = p
	}
	return e.platform
}

// updateVMList sets the platform's VM list to the listed searchers and all nodes.
func (e *testEnv) updateVMList(c *scriptCmd) {
	var vms []vm.VM
	for _, v := range e.services.VMs() {
		if !e.unlisted[v.ID] {
			vms = append(vms, v)
		}
	}
	for _, n := range e.nodes {
		vms = append(vms, n.vm)
	}
	slices.SortFunc(vms, func(a, b vm.VM) int { return strings.Compare(a.ID, b.ID) })
	e.ensurePlatform(c).SetVMs(vms)
}

// view returns the platformView of a failure domain, created on first use.
func (e *testEnv) view(c *scriptCmd, d failuredomain.Domain) *platformView {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.views[d] == nil {
		v, err := newPlatformView(d, e.ensurePlatform(c).Addr())
		c.Check(err)
		e.views[d] = v
	}
	return e.views[d]
}

// service returns the deployment of a service.
func (e *testEnv) service(c *scriptCmd, name string) *deployment.Deployment {
	d := e.services.Service(name)
	if d == nil {
		c.Fatalf("no service %q", name)
	}
	return d
}

// sampleRecords returns the shipped records of a service, or synthetic ones.
func sampleRecords(service string) []record.Record {
	switch service {
	case deployment.ClaimsDesk:
		return dataset.Warranty()
	case deployment.ContractorPortal:
		return dataset.Jobs()
	case deployment.ReturnLogging:
		return dataset.Returns()
	case deployment.AssessorLookup:
		return dataset.Readings()
	}
	return dataset.Synthetic(400, 10)
}

func (e *testEnv) cmdSearchers(c *scriptCmd) {
	var domains []failuredomain.Domain
	for _, d := range strings.Split(c.value("domains", "local"), ",") {
		domains = append(domains, failuredomain.Domain(d))
	}
	d, err := deployment.New(deployment.Config{
		Service: c.arg(0), Domains: domains, Shards: c.intValue("shards", 6), Replicas: c.intValue("replicas", 2),
		ShardsPerSearcher: c.intValue("each", 2), Records: sampleRecords(c.arg(0)), Seed: 1,
		Searcher: searcher.Config{
			Slots: 4, MaxConnections: 50, ServiceTime: searcher.ServiceTime{Median: c.durationValue("median", 2*time.Millisecond), Sigma: 0.3},
			Writes: c.has("writes"), PoisonText: c.value("poison", ""), StatusLag: 200 * time.Millisecond,
		},
	})
	c.Check(err)
	e.services = append(e.services, d)
	e.updateVMList(c)
}

// selectSearchers returns the searchers that a selector matches.
func (e *testEnv) selectSearchers(c *scriptCmd, d *deployment.Deployment, selector string) []*searcher.Searcher {
	if selector == "all" {
		return d.Searchers
	}
	if i, err := strconv.Atoi(selector); err == nil {
		return d.Searchers[i : i+1]
	}
	if i, ok := strings.CutPrefix(selector, "row:"); ok {
		n, err := strconv.Atoi(i)
		c.Check(err)
		return d.ReplicaSet(n)
	}
	var matching []*searcher.Searcher
	for _, s := range d.Searchers {
		if string(s.VM().Domain) == selector {
			matching = append(matching, s)
		}
	}
	if len(matching) == 0 {
		c.Fatalf("no searcher matches %q", selector)
	}
	return matching
}

func (e *testEnv) cmdSearcher(c *scriptCmd) {
	for _, s := range e.selectSearchers(c, e.service(c, c.arg(0)), c.arg(1)) {
		switch c.arg(2) {
		case "crash":
			s.Crash(0)
		case "start":
			c.waitFor(func() string {
				if err := s.Restart(); err != nil {
					return err.Error()
				}
				return ""
			})
		case "drain":
			s.Drain(0)
		case "return":
			s.EndDrain()
		case "silence":
			s.SilenceConnections()
		case "freeze":
			s.SetFrozen(true)
		case "thaw":
			s.SetFrozen(false)
		case "slow":
			s.SetSlowdown(50)
		case "stall":
			s.SetSlowdown(50_000)
		case "shed":
			s.SetShedding(true)
		case "accept":
			s.SetShedding(false)
		default:
			c.Fatalf("unknown action %q", c.arg(2))
		}
	}
}

// cmdQuiet waits until the searchers have received no request for a period much
// longer than the interval between the requests of a load.
func (e *testEnv) cmdQuiet(c *scriptCmd) {
	const quietPeriod = time.Second
	searchers := e.selectSearchers(c, e.service(c, c.arg(0)), c.arg(1))
	c.waitFor(func() string {
		for _, s := range searchers {
			if time.Since(s.Stats().LastRequest) < quietPeriod {
				return s.ID() + " still receives requests"
			}
		}
		return ""
	})
}

func (e *testEnv) cmdPublish(c *scriptCmd) {
	d := e.service(c, c.arg(0))
	ranges := d.Truth.Ranges(d.Truth.NewestVersion())
	if i := c.intValue("split", -1); i >= 0 {
		ranges = deployment.SplitShard(ranges, i)
	}
	if i := c.intValue("merge", -1); i >= 0 {
		ranges = deployment.MergeShards(ranges, i)
	}
	if !keyrange.Tile(ranges) {
		c.Fatalf("the ranges do not cover the key space exactly once")
	}
	d.Publish(deployment.Change{Ranges: ranges, BumpRevisions: true, MoveShards: c.has("move"), KeepVersions: c.intValue("keep", 1), StepDelay: c.durationValue("step", 0)})
}

func (e *testEnv) cmdRuns(c *scriptCmd) {
	if got, want := e.service(c, c.arg(0)).Truth.RunCount(idempotencyKey(c.arg(1))), c.arg(2); strconv.Itoa(got) != want {
		c.Fatalf("request %s ran %d times, want %s", c.arg(1), got, want)
	}
}

func (e *testEnv) cmdPlatform(c *scriptCmd) {
	p := e.ensurePlatform(c)
	f := p.Faults()
	switch name, v, _ := strings.Cut(c.arg(0), "="); name {
	case "down":
		f.Down = true
	case "up":
		f = platform.Faults{}
	case "slow":
		f.DelayMS, f.JitterMS = 300, 200
	case "lose":
		x, err := strconv.ParseFloat(v, 64)
		c.Check(err)
		f.AnswerLossRate = x
	case "lag":
		d, err := time.ParseDuration(v)
		c.Check(err)
		f.ListLagMS = d.Milliseconds()
	case "lapse":
		p.ExpireLeases()
	case "unlist":
		s, i, _ := strings.Cut(v, "/")
		e.unlisted[e.selectSearchers(c, e.service(c, s), i)[0].ID()] = true
		e.updateVMList(c)
	default:
		c.Fatalf("unknown action %q", c.arg(0))
	}
	p.SetFaults(f)
}

// cmdLink sets a fault on the proxies of one failure domain to a target.
func (e *testEnv) cmdLink(c *scriptCmd) {
	v := e.view(c, failuredomain.Domain(c.arg(0)))
	for _, p := range v.proxies(c.arg(1)) {
		switch c.arg(2) {
		case "cut":
			p.SetFault(faultproxy.ScopeAll, faultproxy.Blackhole)
		case "refuse":
			p.SetFault(faultproxy.ScopeAll, faultproxy.Fault{Refuse: true})
			p.ResetConnections()
		case "silence":
			p.SetFault(faultproxy.ScopeOpen, faultproxy.Blackhole)
		case "silence-answers":
			p.SetFault(faultproxy.ScopeOpen, faultproxy.Fault{Downstream: faultproxy.Direction{Silent: true}})
		case "half-open":
			p.HalfOpenConnections()
		case "reset":
			p.ResetConnections()
		case "slow":
			p.SetFault(faultproxy.ScopeAll, faultproxy.Fault{Upstream: faultproxy.Direction{DelayMS: 20, JitterMS: 30}, Downstream: faultproxy.Direction{DelayMS: 20, JitterMS: 30}})
		case "heal":
			p.ClearFaults()
		default:
			c.Fatalf("unknown action %q", c.arg(2))
		}
	}
}

// ports gives the nodes their ports.
var ports freeport.Allocator

// freeAddr returns a loopback address with a port that nothing listens on.
func freeAddr(c *scriptCmd) string {
	addr, err := ports.Addr()
	c.Check(err)
	return addr
}

// file returns the path of a file in the script's working directory.
func (e *testEnv) file(name string) string { return filepath.Join(e.dir, name) }
