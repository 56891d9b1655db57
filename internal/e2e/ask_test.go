package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"egrethaven/internal/front/operator"
	"egrethaven/internal/front/problemdetail"
	"egrethaven/internal/query/ask"
	"egrethaven/internal/query/coverage"
	"egrethaven/internal/query/outcome"
	"egrethaven/internal/query/write"
	"egrethaven/internal/state/search"
)

// post sends JSON to a node's caller port.
func (w *world) post(ctx context.Context, n *process, path string, head http.Header, in any) (int, []byte, error) {
	b, err := json.Marshal(in)
	if err != nil {
		return 0, nil, err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.caller+path, bytes.NewReader(b))
	if err != nil {
		return 0, nil, err
	}
	r.Header.Set("Content-Type", "application/json")
	for k, v := range head {
		r.Header[k] = v
	}
	a, err := w.client.Do(r)
	if err != nil {
		return 0, nil, err
	}
	defer a.Body.Close()
	var out bytes.Buffer
	_, err = out.ReadFrom(a.Body)
	return a.StatusCode, out.Bytes(), err
}

// question is what a script asks.
type question struct {
	search, text string
	partial      bool
	limit        int
	filters      []ask.Filter
}

// answer is what came back.
type answer struct {
	ask.Answer
	problem problemdetail.Detail
}

// want is the class of an answer in scripts.
func (a answer) want() string {
	switch {
	case a.Outcome.OK() && a.Complete:
		return "complete"
	case a.Outcome.OK():
		return "partial"
	}
	return string(a.Outcome.Kind)
}

// ask sends a question and compares the answer with the truth.
func (w *world) ask(ctx context.Context, n *process, q question) (answer, error) {
	body := map[string]any{"text": q.text, "filters": q.filters, "accept_partial": q.partial, "limit": q.limit}
	code, b, err := w.post(ctx, n, "/v1/searches/"+q.search+"/query", nil, body)
	if err != nil {
		return answer{}, err
	}
	var a answer
	if code != http.StatusOK {
		if err := json.Unmarshal(b, &a.problem); err != nil {
			return a, fmt.Errorf("status %d: %q: %w", code, b, err)
		}
		a.Outcome = outcome.Outcome{Kind: a.problem.Outcome, Reason: a.problem.Reason}
		if a.Outcome.OK() || a.Outcome.Kind == "" {
			return a, fmt.Errorf("status %d with outcome %q", code, a.Outcome)
		}
		if a.Outcome.Kind == outcome.KindNotRun && w.ran(a.problem.RequestID) {
			return a, fmt.Errorf("wrong: not_run, but a searcher ran %s", a.problem.RequestID)
		}
		return a, nil
	}
	if err := json.Unmarshal(b, &a.Answer); err != nil {
		return a, err
	}
	if !a.Outcome.OK() {
		return a, fmt.Errorf("wrong: status 200 with %s", a.Outcome)
	}
	return a, w.check(q, a.Answer)
}

// check compares an answer with the truth of its service.
func (w *world) check(q question, a ask.Answer) error {
	d, ok := w.definition(q.search)
	if !ok {
		return fmt.Errorf("no definition of %s in force", q.search)
	}
	s := w.services.Service(d.Service)
	asked := ask.Query{QueryID: a.QueryID, Search: q.search, Text: q.text, Filters: q.filters, Limit: q.limit, AcceptPartial: q.partial}
	for _, f := range s.Truth.CheckAnswer(asked, d, a) {
		return fmt.Errorf("wrong: %s: %s", f.Kind, f.Detail)
	}
	return nil
}

// definition returns a search as any node has it in force.
func (w *world) definition(name string) (search.Definition, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if d, ok := w.defs[name]; ok {
		return d, true
	}
	for _, n := range w.nodes {
		r, err := w.client.Get("http://" + n.operator + "/admin/v1/searches")
		if err != nil {
			continue
		}
		var ss operator.Searches
		err = json.NewDecoder(r.Body).Decode(&ss)
		_ = r.Body.Close()
		for _, d := range ss.Searches {
			if err == nil && d.Name == name {
				w.defs[name] = d
				return d, true
			}
		}
	}
	return search.Definition{}, false
}

// ran tells whether a searcher of any service ran a query.
func (w *world) ran(id string) bool {
	for _, d := range w.services {
		if id != "" && d.Truth.HasRun(id) {
			return true
		}
	}
	return false
}

func (w *world) cmdAsk(c *call) {
	n := w.node(c, c.arg(0))
	q := question{search: c.arg(1), text: c.value("text", ""), partial: c.has("partial"), limit: c.number("limit", 20)}
	try := func() string {
		a, err := w.ask(context.Background(), n, q)
		switch {
		case err != nil:
			return err.Error()
		case a.want() != c.value("want", "complete"):
			return fmt.Sprintf("%s: %s, not %s; missing %v", a.want(), a.Outcome, c.value("want", "complete"), a.gaps())
		case c.has("hedged") && a.Cost.Hedges == 0:
			return "no call was hedged"
		case !a.names(c.value("reason", "")):
			return fmt.Sprintf("%s: reason %q is not named; missing %v", a.Outcome, c.value("reason", ""), a.gaps())
		}
		return ""
	}
	if !c.has("poll") {
		if why := try(); why != "" {
			c.Fatalf("%s", why)
		}
		return
	}
	c.until(func() string {
		why := try()
		if len(why) > 6 && why[:6] == "wrong:" {
			c.Fatalf("%s", why)
		}
		return why
	})
}

// gaps are the ranges that an answer misses.
func (a answer) gaps() []coverage.Gap {
	if a.problem.Coverage != nil {
		return a.problem.Coverage.Missing
	}
	return a.Coverage.Missing
}

// names tells whether an answer gives a reason, for itself or for a gap.
func (a answer) names(reason string) bool {
	if reason == "" || string(a.Outcome.Reason) == reason {
		return true
	}
	for _, g := range a.gaps() {
		if string(g.Reason) == reason {
			return true
		}
	}
	return false
}

// idempotencyKey makes a UUIDv7 of now from a number, the same within a test
// run.
func idempotencyKey(n string) string {
	i, err := strconv.Atoi(n)
	if err != nil {
		panic(err)
	}
	ms := testStart.UnixMilli()
	return fmt.Sprintf("%08x-%04x-7000-8000-%012x", ms>>16, ms&0xffff, i)
}

// testStart is the time in idempotency keys.
var testStart = time.Now()

func (w *world) cmdRecord(c *call) {
	n := w.node(c, c.arg(0))
	body := map[string]any{"key": c.value("key", ""), "schema_version": 2, "source": "script", "fields": map[string]string{"note": c.value("note", "by script")}}
	head := http.Header{"Idempotency-Key": {idempotencyKey(c.value("id", ""))}}
	try := func() string {
		code, b, err := w.post(context.Background(), n, "/v1/searches/"+c.arg(1)+"/records", head, body)
		if err != nil {
			return err.Error()
		}
		got, repeated := readRecorded(code, b)
		if string(got.Kind) != c.value("want", "ok") || c.value("reason", string(got.Reason)) != string(got.Reason) {
			return fmt.Sprintf("%s, not %s: %s", got, c.value("want", "ok"), b)
		}
		if c.has("repeated") && !repeated {
			return "not a recorded outcome"
		}
		return ""
	}
	if c.has("poll") {
		c.until(try)
		return
	}
	if why := try(); why != "" {
		c.Fatalf("%s", why)
	}
}

// readRecorded reads how a write ended.
func readRecorded(code int, b []byte) (outcome.Outcome, bool) {
	if code == http.StatusCreated || code == http.StatusOK {
		var r write.Result
		if json.Unmarshal(b, &r) != nil {
			return outcome.Unknown(outcome.BadAnswer), false
		}
		return r.Outcome, r.Repeated
	}
	var p problemdetail.Detail
	if json.Unmarshal(b, &p) != nil {
		return outcome.Unknown(outcome.BadAnswer), false
	}
	return outcome.Outcome{Kind: p.Outcome, Reason: p.Reason}, p.Repeated
}

// background asks a node again and again.
type background struct {
	cancel context.CancelFunc
	wg     sync.WaitGroup
	mu     sync.Mutex
	asked  int
	bad    []string
}

func (w *world) cmdLoad(c *call) {
	p := w.node(c, c.arg(0))
	ctx, cancel := context.WithCancel(context.Background())
	b := &background{cancel: cancel}
	for i := range 4 {
		q := question{search: c.arg(1), text: c.value("text", strconv.Itoa(i)), limit: 20}
		b.wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				// No two questions are the same: none has this field.
				q.filters = []ask.Filter{{Field: fmt.Sprintf("none-%d-%d", i, n)}}
				a, err := w.ask(ctx, p, q)
				if ctx.Err() == nil {
					b.add(a, err)
				}
			}
		})
	}
	w.loads = append(w.loads, b)
}

func (b *background) add(a answer, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.asked++
	switch {
	case err != nil:
		b.bad = append(b.bad, err.Error())
	case a.want() != "complete":
		b.bad = append(b.bad, fmt.Sprint(a.Outcome, a.gaps()))
	}
}

func (b *background) end() {
	b.cancel()
	b.wg.Wait()
}

// cmdAnswers waits until the loads had some more answers.
func (w *world) cmdAnswers(c *call) {
	for _, b := range w.loads {
		start := b.count()
		c.until(func() string {
			if n := b.count(); n-start < c.number("min", 20) {
				return fmt.Sprintf("%d answers", n-start)
			}
			return ""
		})
	}
}

// cmdUnload ends the load once it had enough answers, all of them complete.
func (w *world) cmdUnload(c *call) {
	w.cmdAnswers(c)
	for _, b := range w.loads {
		b.end()
		if len(b.bad) > 0 {
			c.Fatalf("%d of %d answers were not complete and right: %q", len(b.bad), b.asked, b.bad[:min(3, len(b.bad))])
		}
	}
	w.loads = nil
}

func (b *background) count() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.asked
}
