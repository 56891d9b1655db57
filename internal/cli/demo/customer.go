package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"egrethaven/internal/node/entry"
	"egrethaven/internal/query/ask"
	"egrethaven/internal/query/write"
	"egrethaven/internal/standin/deployment"
	"egrethaven/internal/standin/platform"
	"egrethaven/internal/state/config"
	"egrethaven/internal/state/problem"
	"egrethaven/internal/state/search"
	"egrethaven/internal/state/settings"
	"egrethaven/internal/world/zone"
)

const (
	// startLimit bounds the start of one deployment.
	startLimit = 20 * time.Second
	// startPoll is the time between two looks at whether it has started.
	startPoll = 50 * time.Millisecond
)

// plan is what one customer runs.
type plan struct {
	name        string
	fleet       func(seed uint64) (deployment.Fleet, error)
	definitions []byte
	domains     []zone.Domain
	probes      []probe
	writes      sampleWrite
}

// customer is one deployment in this process.
type customer struct {
	plan     plan
	platform *platform.Platform
	fleet    deployment.Fleet
	nodes    []*entry.Node
	defs     map[string]search.Definition
	cancel   context.CancelFunc
	running  sync.WaitGroup
}

// newCustomer starts a deployment and waits until it can answer.
func newCustomer(ctx context.Context, p plan, c Config) (*customer, error) {
	d := &customer{plan: p, defs: make(map[string]search.Definition)}
	ds, ps := search.Parse(p.name+".ini", p.definitions)
	if len(ps) > 0 {
		return d, errors.Errorf("%v", problem.Strings(ps))
	}
	for _, v := range ds {
		d.defs[v.Name] = v
	}
	var err error
	if d.platform, err = platform.New(platform.Config{}); err != nil {
		return d, errors.Trace(err)
	}
	if d.fleet, err = p.fleet(c.Seed); err != nil {
		return d, errors.Trace(err)
	}
	if err := d.startNodes(ctx, c); err != nil {
		return d, errors.Trace(err)
	}
	return d, errors.Trace(d.apply(ctx, ds))
}

// startNodes starts one entry VM in each failure domain.
func (d *customer) startNodes(ctx context.Context, c Config) error {
	vms := d.fleet.VMs()
	d.platform.SetVMs(vms)
	for i, z := range d.plan.domains {
		s, err := d.settings(i, z)
		if err != nil {
			return errors.Trace(err)
		}
		n, err := entry.New(entry.Config{Settings: s, LogOutput: c.Log, Seed: c.Seed + uint64(i) + 1, Version: "demo"})
		if err != nil {
			return errors.Trace(err)
		}
		d.nodes = append(d.nodes, n)
		vms = append(vms, n.VM())
	}
	d.platform.SetVMs(vms)
	run, cancel := context.WithCancel(ctx)
	d.cancel = cancel
	for _, n := range d.nodes {
		d.running.Go(func() { _ = n.Run(run) })
	}
	return nil
}

// anyPort lets the system choose a port. Settings files don't allow it: the
// platform's list has to name the port.
const anyPort = "127.0.0.1:0"

// nodeSettings is the settings file of an entry VM of the demo.
const nodeSettings = `
[node]
id = %s-entry-%d
failure_domain = %s
[listen]
caller = 127.0.0.1:1
operator = 127.0.0.1:1
peer = 127.0.0.1:1
[platform]
addr = %s
[limits]
balancer_lag = 0s
`

// settings are those of the entry VM number i.
func (d *customer) settings(i int, z zone.Domain) (settings.Settings, error) {
	text := fmt.Sprintf(nodeSettings, z, i+1, z, d.platform.Addr())
	s, ps := settings.Parse("demo.ini", []byte(text))
	if len(ps) > 0 {
		return s, errors.Errorf("%v", problem.Strings(ps))
	}
	s.Listen = settings.Listen{Caller: anyPort, Operator: anyPort, Peer: anyPort}
	return s, nil
}

// apply sets the searches and waits until every node can answer them.
func (d *customer) apply(ctx context.Context, ds []search.Definition) error {
	c, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	r := d.nodes[0].Apply(c, config.Change{ID: uuid.NewString(), Author: "demo", Put: ds})
	if r.Verdict != config.Accepted {
		return errors.Errorf("the searches were not accepted: %v %v", r.Verdict, r.Problems)
	}
	for _, n := range d.nodes {
		for why := n.RevisionUnreadyReason(r.Revision); why != ""; why = n.RevisionUnreadyReason(r.Revision) {
			select {
			case <-c.Done():
				return errors.Errorf("%s is not ready: %s", n.VM().ID, why)
			case <-time.After(startPoll):
			}
		}
	}
	return nil
}

// close stops the deployment and waits for it.
func (d *customer) close() {
	if d.cancel != nil {
		d.cancel()
		d.running.Wait()
	}
	d.fleet.Close()
	if d.platform != nil {
		_ = d.platform.Close()
	}
}

// explain prints how to ask this deployment.
func (d *customer) explain(w io.Writer) {
	p := d.plan.probes[0]
	fmt.Fprintf(w, "%s\n", d.plan.name)
	for _, n := range d.nodes {
		fmt.Fprintf(w, "  %-22s callers http://%s   operators http://%s\n", n.VM().ID, n.CallerAddr(), n.OperatorAddr())
	}
	fmt.Fprintf(w, "  curl -s http://%s/v1/searches/%s/query --json '{\"text\":%q,\"limit\":3}'\n", d.nodes[0].CallerAddr(), p.search, p.text)
	fmt.Fprintf(w, "  egrethaven --addr %s health\n\n", d.nodes[0].OperatorAddr())
}

// line is one answer as the demo prints it.
type line struct {
	Deployment string  `json:"deployment"`
	Search     string  `json:"search"`
	Outcome    string  `json:"outcome"`
	Hits       int     `json:"hits"`
	Snapshot   uint64  `json:"snapshot,omitempty"`
	Coverage   float64 `json:"coverage"`
	Revision   uint64  `json:"revision,omitempty"`
	ElapsedMS  float64 `json:"elapsed_ms"`
}

// once asks one question per search and registers one record. It reports
// whether every answer was complete and right.
func (d *customer) once(ctx context.Context, out, errs io.Writer) bool {
	good := true
	enc := json.NewEncoder(out)
	for i, p := range d.plan.probes {
		a := ask.Query{QueryID: uuid.NewString(), Search: p.search, Text: p.text, Limit: d.defs[p.search].MaxLimit, Caller: "demo"}
		got := d.nodes[i%len(d.nodes)].Ask(ctx, a)
		_ = enc.Encode(line{
			Deployment: d.plan.name, Search: p.search, Outcome: got.Outcome.String(), Hits: len(got.Hits),
			Snapshot: got.Coverage.Version, Coverage: got.Coverage.Fraction(), ElapsedMS: got.ElapsedMS,
		})
		good = d.right(a, got, errs) && good
	}
	return d.registerOnce(ctx, enc, errs) && good
}

// right checks an answer against what the searchers truly hold.
func (d *customer) right(a ask.Query, got ask.Answer, errs io.Writer) bool {
	def := d.defs[a.Search]
	good := got.Outcome.OK() && got.Complete && len(got.Hits) > 0
	if !good {
		fmt.Fprintf(errs, "egrethaven: %s: %v, %d hits, missing %v\n", a.Search, got.Outcome, len(got.Hits), got.Coverage.Missing)
	}
	for _, f := range d.fleet.Service(def.Service).Truth.Check(a, def, got) {
		fmt.Fprintf(errs, "egrethaven: %s: wrong answer: %s: %s\n", a.Search, f.Kind, f.Detail)
		good = false
	}
	return good
}

// registerOnce sends one non-idempotent request twice with the same key: it
// has to run once.
func (d *customer) registerOnce(ctx context.Context, enc *json.Encoder, errs io.Writer) bool {
	key, err := uuid.NewV7()
	if err != nil {
		fmt.Fprintf(errs, "egrethaven: no idempotency key: %v\n", err)
		return false
	}
	p := d.plan.writes
	w := write.Request{IdempotencyKey: key.String(), Search: p.search, Record: p.record, Caller: "demo"}
	var rs [2]write.Result
	for i := range rs {
		rs[i] = d.nodes[i].Write(ctx, w)
	}
	_ = enc.Encode(line{
		Deployment: d.plan.name, Search: p.search, Outcome: rs[0].Outcome.String(), Coverage: 1,
		Revision: rs[0].Revision, ElapsedMS: rs[0].ElapsedMS,
	})
	runs := d.fleet.Service(d.defs[p.search].Service).Truth.Runs(key.String())
	if !rs[0].Outcome.OK() || runs != 1 {
		fmt.Fprintf(errs, "egrethaven: %s: write ended %v and %v after %d runs\n", p.search, rs[0].Outcome, rs[1].Outcome, runs)
		return false
	}
	return true
}
