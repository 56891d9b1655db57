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

	"egrethaven/internal/infra/failuredomain"
	"egrethaven/internal/node/entry"
	"egrethaven/internal/query/ask"
	"egrethaven/internal/query/write"
	"egrethaven/internal/standin/deployment"
	"egrethaven/internal/standin/platform"
	"egrethaven/internal/state/config"
	"egrethaven/internal/state/problem"
	"egrethaven/internal/state/search"
	"egrethaven/internal/state/settings"
)

const (
	// startTimeout is the time limit for a deployment to become ready.
	startTimeout = 20 * time.Second
	// readyPollInterval is the interval between two checks of a node's
	// readiness.
	readyPollInterval = 50 * time.Millisecond
)

// deploymentSpec describes one deployment and its sample requests.
type deploymentSpec struct {
	name        string
	newFleet    func(seed uint64) (deployment.Fleet, error)
	definitions []byte
	domains     []failuredomain.Domain
	queries     []sampleQuery
	write       sampleWrite
}

// demoDeployment is a deployment that runs in this process.
type demoDeployment struct {
	spec     deploymentSpec
	platform *platform.Platform
	fleet    deployment.Fleet
	nodes    []*entry.Node
	defs     map[string]search.Definition
	cancel   context.CancelFunc
	running  sync.WaitGroup
}

// newDemoDeployment starts a deployment and waits until its nodes can answer.
func newDemoDeployment(ctx context.Context, spec deploymentSpec, c Config) (*demoDeployment, error) {
	d := &demoDeployment{spec: spec, defs: make(map[string]search.Definition)}
	defs, problems := search.Parse(spec.name+".ini", spec.definitions)
	if len(problems) > 0 {
		return d, errors.Errorf("%v", problem.Strings(problems))
	}
	for _, v := range defs {
		d.defs[v.Name] = v
	}
	var err error
	if d.platform, err = platform.New(platform.Config{}); err != nil {
		return d, errors.Trace(err)
	}
	if d.fleet, err = spec.newFleet(c.Seed); err != nil {
		return d, errors.Trace(err)
	}
	if err := d.startNodes(ctx, c); err != nil {
		return d, errors.Trace(err)
	}
	return d, errors.Trace(d.apply(ctx, defs))
}

// startNodes starts one entry VM in each failure domain.
func (d *demoDeployment) startNodes(ctx context.Context, c Config) error {
	vms := d.fleet.VMs()
	d.platform.SetVMs(vms)
	for i, domain := range d.spec.domains {
		s, err := d.nodeSettings(i, domain)
		if err != nil {
			return errors.Trace(err)
		}
		n, err := entry.New(entry.Config{Settings: s, LogOutput: c.LogOutput, Seed: c.Seed + uint64(i) + 1, Version: "demo"})
		if err != nil {
			return errors.Trace(err)
		}
		d.nodes = append(d.nodes, n)
		vms = append(vms, n.VM())
	}
	d.platform.SetVMs(vms)
	runCtx, cancel := context.WithCancel(ctx)
	d.cancel = cancel
	for _, n := range d.nodes {
		d.running.Go(func() { _ = n.Run(runCtx) })
	}
	return nil
}

// anyPortAddr lets the operating system choose a port. Settings files do not
// allow port 0, because the platform's VM list has to name the port.
const anyPortAddr = "127.0.0.1:0"

// settingsTemplate is the settings file of an entry VM.
const settingsTemplate = `
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

// nodeSettings returns the settings of entry VM i, counted from 0, in domain.
func (d *demoDeployment) nodeSettings(i int, domain failuredomain.Domain) (settings.Settings, error) {
	text := fmt.Sprintf(settingsTemplate, domain, i+1, domain, d.platform.Addr())
	s, problems := settings.Parse("demo.ini", []byte(text))
	if len(problems) > 0 {
		return s, errors.Errorf("%v", problem.Strings(problems))
	}
	s.Listen = settings.Listen{Caller: anyPortAddr, Operator: anyPortAddr, Peer: anyPortAddr}
	return s, nil
}

// apply applies the definitions and waits until every node is ready to serve
// them.
func (d *demoDeployment) apply(ctx context.Context, defs []search.Definition) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	r := d.nodes[0].Apply(ctx, config.Change{ID: uuid.NewString(), Author: "demo", Put: defs})
	if r.Verdict != config.Accepted {
		return errors.Errorf("the search definitions were not accepted: %v %v", r.Verdict, r.Problems)
	}
	for _, n := range d.nodes {
		for reason := n.RevisionUnreadyReason(r.Revision); reason != ""; reason = n.RevisionUnreadyReason(r.Revision) {
			select {
			case <-ctx.Done():
				return errors.Errorf("%s is not ready: %s", n.VM().ID, reason)
			case <-time.After(readyPollInterval):
			}
		}
	}
	return nil
}

// close stops the nodes and waits for them, then closes the stand-ins.
func (d *demoDeployment) close() {
	if d.cancel != nil {
		d.cancel()
		d.running.Wait()
	}
	d.fleet.Close()
	if d.platform != nil {
		_ = d.platform.Close()
	}
}

// printUsage prints the addresses of the nodes and an example query.
func (d *demoDeployment) printUsage(w io.Writer) {
	q := d.spec.queries[0]
	fmt.Fprintf(w, "%s\n", d.spec.name)
	for _, n := range d.nodes {
		fmt.Fprintf(w, "  %-22s callers http://%s   operators http://%s\n", n.VM().ID, n.CallerAddr(), n.OperatorAddr())
	}
	fmt.Fprintf(w, "  curl -s http://%s/v1/searches/%s/query --json '{\"text\":%q,\"limit\":3}'\n", d.nodes[0].CallerAddr(), q.search, q.text)
	fmt.Fprintf(w, "  egrethaven --addr %s health\n\n", d.nodes[0].OperatorAddr())
}

// resultLine is the JSON line that is printed for one result.
type resultLine struct {
	Deployment string  `json:"deployment"`
	Search     string  `json:"search"`
	Outcome    string  `json:"outcome"`
	Hits       int     `json:"hits"`
	Snapshot   uint64  `json:"snapshot,omitempty"`
	Coverage   float64 `json:"coverage"`
	Revision   uint64  `json:"revision,omitempty"`
	ElapsedMS  float64 `json:"elapsed_ms"`
}

// runOnce runs one query per search and registers one record. It reports
// whether every answer was complete and correct.
func (d *demoDeployment) runOnce(ctx context.Context, out, errOut io.Writer) bool {
	ok := true
	enc := json.NewEncoder(out)
	for i, sample := range d.spec.queries {
		q := ask.Query{QueryID: uuid.NewString(), Search: sample.search, Text: sample.text, Limit: d.defs[sample.search].MaxLimit, Caller: "demo"}
		a := d.nodes[i%len(d.nodes)].Ask(ctx, q)
		_ = enc.Encode(resultLine{
			Deployment: d.spec.name, Search: sample.search, Outcome: a.Outcome.String(), Hits: len(a.Hits),
			Snapshot: a.Coverage.Version, Coverage: a.Coverage.Fraction(), ElapsedMS: a.ElapsedMS,
		})
		ok = d.verifyAnswer(q, a, errOut) && ok
	}
	return d.verifyAtMostOnce(ctx, enc, errOut) && ok
}

// verifyAnswer compares an answer with the records of the stand-in searchers and
// reports whether it is complete and correct.
func (d *demoDeployment) verifyAnswer(q ask.Query, a ask.Answer, errOut io.Writer) bool {
	def := d.defs[q.Search]
	ok := a.Outcome.OK() && a.Complete && len(a.Hits) > 0
	if !ok {
		fmt.Fprintf(errOut, "egrethaven: %s: %v, %d hits, missing %v\n", q.Search, a.Outcome, len(a.Hits), a.Coverage.Missing)
	}
	for _, f := range d.fleet.Service(def.Service).Truth.Check(q, def, a) {
		fmt.Fprintf(errOut, "egrethaven: %s: wrong answer: %s: %s\n", q.Search, f.Kind, f.Detail)
		ok = false
	}
	return ok
}

// verifyAtMostOnce sends one write twice with the same idempotency key: it must
// run once.
func (d *demoDeployment) verifyAtMostOnce(ctx context.Context, enc *json.Encoder, errOut io.Writer) bool {
	key, err := uuid.NewV7()
	if err != nil {
		fmt.Fprintf(errOut, "egrethaven: generating an idempotency key: %v\n", err)
		return false
	}
	sample := d.spec.write
	w := write.Request{IdempotencyKey: key.String(), Search: sample.search, Record: sample.record, Caller: "demo"}
	var results [2]write.Result
	for i := range results {
		results[i] = d.nodes[i].Write(ctx, w)
	}
	_ = enc.Encode(resultLine{
		Deployment: d.spec.name, Search: sample.search, Outcome: results[0].Outcome.String(), Coverage: 1,
		Revision: results[0].Revision, ElapsedMS: results[0].ElapsedMS,
	})
	runs := d.fleet.Service(d.defs[sample.search].Service).Truth.Runs(key.String())
	if !results[0].Outcome.OK() || runs != 1 {
		fmt.Fprintf(errOut, "egrethaven: %s: two writes with one idempotency key ended as %v and %v after %d runs, want ok after 1 run\n", sample.search, results[0].Outcome, results[1].Outcome, runs)
		return false
	}
	return true
}
