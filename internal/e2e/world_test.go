package e2e

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"egrethaven/internal/infra/failuredomain"
	"egrethaven/internal/infra/vm"
	"egrethaven/internal/query/keyrange"
	"egrethaven/internal/query/record"
	"egrethaven/internal/standin/dataset"
	"egrethaven/internal/standin/deployment"
	"egrethaven/internal/standin/faultproxy"
	"egrethaven/internal/standin/platform"
	"egrethaven/internal/standin/searcher"
	"egrethaven/internal/state/search"
)

// world is everything that one script talks to.
type world struct {
	dir      string
	client   *http.Client
	platform *platform.Platform

	mu       sync.Mutex
	services deployment.Fleet
	nodes    map[string]*process
	views    map[failuredomain.Domain]*view
	unlisted map[string]bool
	loads    []*background
	defs     map[string]search.Definition
}

func newWorld(dir string) *world {
	return &world{
		dir: dir, client: &http.Client{Timeout: giveUp}, nodes: map[string]*process{},
		views: map[failuredomain.Domain]*view{}, unlisted: map[string]bool{}, defs: map[string]search.Definition{},
	}
}

// close ends the processes, then the stand-ins.
func (w *world) close() {
	for _, b := range w.loads {
		b.end()
	}
	for _, n := range w.nodes {
		n.kill()
	}
	w.client.CloseIdleConnections()
	for _, v := range w.views {
		v.close()
	}
	w.services.Close()
	if w.platform != nil {
		_ = w.platform.Close()
	}
}

// start makes the platform at first use.
func (w *world) start(c *call) *platform.Platform {
	if w.platform == nil {
		p, err := platform.New(platform.Config{Addr: "127.0.0.1:0", Seed: 1})
		c.Check(err)
		w.platform = p
	}
	return w.platform
}

// list tells the platform which VMs there are.
func (w *world) list(c *call) {
	var vs []vm.VM
	for _, v := range w.services.VMs() {
		if !w.unlisted[v.ID] {
			vs = append(vs, v)
		}
	}
	for _, n := range w.nodes {
		vs = append(vs, n.vm)
	}
	slices.SortFunc(vs, func(a, b vm.VM) int { return strings.Compare(a.ID, b.ID) })
	w.start(c).SetVMs(vs)
}

// view returns what a failure domain sees of the platform.
func (w *world) view(c *call, d failuredomain.Domain) *view {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.views[d] == nil {
		v, err := newView(d, w.start(c).Addr())
		c.Check(err)
		w.views[d] = v
	}
	return w.views[d]
}

// service returns the searchers of a service.
func (w *world) service(c *call, name string) *deployment.Deployment {
	d := w.services.Service(name)
	if d == nil {
		c.Fatalf("no service %q", name)
	}
	return d
}

// samples returns the records of a service: the shipped ones of its name, or
// synthetic ones.
func samples(service string) []record.Record {
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

func (w *world) cmdSearchers(c *call) {
	var ds []failuredomain.Domain
	for _, d := range strings.Split(c.value("domains", "local"), ",") {
		ds = append(ds, failuredomain.Domain(d))
	}
	d, err := deployment.New(deployment.Config{
		Service: c.arg(0), Domains: ds, Shards: c.number("shards", 6), Replicas: c.number("replicas", 2),
		ShardsEach: c.number("each", 2), Records: samples(c.arg(0)), Seed: 1,
		Searcher: searcher.Config{
			Slots: 4, MaxConnections: 50, Time: searcher.Time{Median: c.duration("median", 2*time.Millisecond), Sigma: 0.3},
			Writes: c.has("writes"), Poison: c.value("poison", ""), StatusLag: 200 * time.Millisecond,
		},
	})
	c.Check(err)
	w.services = append(w.services, d)
	w.list(c)
}

// selected returns the searchers that a selector names.
func (w *world) selected(c *call, d *deployment.Deployment, selector string) []*searcher.Searcher {
	if selector == "all" {
		return d.Searchers
	}
	if i, err := strconv.Atoi(selector); err == nil {
		return d.Searchers[i : i+1]
	}
	if i, ok := strings.CutPrefix(selector, "row:"); ok {
		n, err := strconv.Atoi(i)
		c.Check(err)
		return d.Row(n)
	}
	var ss []*searcher.Searcher
	for _, s := range d.Searchers {
		if string(s.VM().Domain) == selector {
			ss = append(ss, s)
		}
	}
	if len(ss) == 0 {
		c.Fatalf("no searcher %q", selector)
	}
	return ss
}

func (w *world) cmdSearcher(c *call) {
	for _, s := range w.selected(c, w.service(c, c.arg(0)), c.arg(1)) {
		switch c.arg(2) {
		case "crash":
			s.Crash(0)
		case "start":
			c.until(func() string {
				if err := s.Start(); err != nil {
					return err.Error()
				}
				return ""
			})
		case "drain":
			s.Drain(0)
		case "return":
			s.Return()
		case "silence":
			s.Silence()
		case "freeze":
			s.Freeze(true)
		case "thaw":
			s.Freeze(false)
		case "slow":
			s.Slow(50)
		case "stall":
			s.Slow(50_000)
		case "shed":
			s.Shed(true)
		case "accept":
			s.Shed(false)
		default:
			c.Fatalf("no action %q", c.arg(2))
		}
	}
}

// cmdQuiet waits until no request has come to the searchers for a while that
// is long beside the traffic of the script.
func (w *world) cmdQuiet(c *call) {
	const quiet = time.Second
	ss := w.selected(c, w.service(c, c.arg(0)), c.arg(1))
	c.until(func() string {
		for _, s := range ss {
			if time.Since(s.Stats().LastWork) < quiet {
				return s.ID() + " still gets work"
			}
		}
		return ""
	})
}

func (w *world) cmdPublish(c *call) {
	d := w.service(c, c.arg(0))
	rs := d.Truth.Ranges(d.Truth.Newest())
	if i := c.number("split", -1); i >= 0 {
		rs = deployment.SplitShard(rs, i)
	}
	if i := c.number("merge", -1); i >= 0 {
		rs = deployment.MergeShards(rs, i)
	}
	if !keyrange.Tile(rs) {
		c.Fatalf("ranges do not tile")
	}
	d.Publish(deployment.Change{Ranges: rs, Touch: true, Move: c.has("move"), Keep: c.number("keep", 1), Step: c.duration("step", 0)})
}

func (w *world) cmdRuns(c *call) {
	if got, want := w.service(c, c.arg(0)).Truth.Runs(idempotencyKey(c.arg(1))), c.arg(2); strconv.Itoa(got) != want {
		c.Fatalf("request %s ran %d times, not %s", c.arg(1), got, want)
	}
}

func (w *world) cmdPlatform(c *call) {
	p := w.start(c)
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
		f.LoseAnswers = x
	case "lag":
		d, err := time.ParseDuration(v)
		c.Check(err)
		f.ListLagMS = d.Milliseconds()
	case "lapse":
		p.LapseLeases()
	case "unlist":
		s, i, _ := strings.Cut(v, "/")
		w.unlisted[w.selected(c, w.service(c, s), i)[0].ID()] = true
		w.list(c)
	default:
		c.Fatalf("no action %q", c.arg(0))
	}
	p.SetFaults(f)
}

// cmdLink sets a fault on all that a failure domain reaches beyond itself.
func (w *world) cmdLink(c *call) {
	v := w.view(c, failuredomain.Domain(c.arg(0)))
	for _, p := range v.proxies(c.arg(1)) {
		switch c.arg(2) {
		case "cut":
			p.Set(faultproxy.All, faultproxy.Blackhole)
		case "refuse":
			p.Set(faultproxy.All, faultproxy.Fault{Refuse: true})
			p.Reset()
		case "silence":
			p.Set(faultproxy.Open, faultproxy.Blackhole)
		case "silence-answers":
			p.Set(faultproxy.Open, faultproxy.Fault{Down: faultproxy.Way{Silent: true}})
		case "half-open":
			p.HalfOpen()
		case "reset":
			p.Reset()
		case "slow":
			p.Set(faultproxy.All, faultproxy.Fault{Up: faultproxy.Way{DelayMS: 20, JitterMS: 30}, Down: faultproxy.Way{DelayMS: 20, JitterMS: 30}})
		case "heal":
			p.Heal()
		default:
			c.Fatalf("no action %q", c.arg(2))
		}
	}
}

// The ports of the nodes lie below those that the system gives to outgoing
// connections, which could take one between its choice and its use.
const (
	firstPort = 20_000
	lastPort  = 30_000
)

// usedPorts counts the ports that were given out.
var usedPorts atomic.Int64

// freeAddr returns an address of a port that nothing listens on.
func freeAddr(c *call) string {
	for range lastPort - firstPort {
		n := int64(os.Getpid()) + usedPorts.Add(1)
		addr := fmt.Sprintf("127.0.0.1:%d", firstPort+n%(lastPort-firstPort))
		l, err := net.Listen("tcp", addr)
		if err == nil {
			c.Check(l.Close())
			return addr
		}
	}
	c.Fatalf("no free port from %d to %d", firstPort, lastPort)
	return ""
}

// file returns a path in the script's directory.
func (w *world) file(name string) string { return filepath.Join(w.dir, name) }
