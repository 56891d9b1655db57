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

// post sends JSON to a node's caller API and returns the status and body.
func (e *testEnv) post(ctx context.Context, n *process, path string, header http.Header, in any) (int, []byte, error) {
	b, err := json.Marshal(in)
	if err != nil {
		return 0, nil, err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.callerAddr+path, bytes.NewReader(b))
	if err != nil {
		return 0, nil, err
	}
	r.Header.Set("Content-Type", "application/json")
	for k, v := range header {
		r.Header[k] = v
	}
	resp, err := e.client.Do(r)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	var out bytes.Buffer
	_, err = out.ReadFrom(resp.Body)
	return resp.StatusCode, out.Bytes(), err
}

// testQuery is a query of a script.
type testQuery struct {
	search, text string
	partial      bool
	limit        int
	filters      []ask.Filter
}

// answer is the answer to a query, or the problem details of an error response.
type answer struct {
	ask.Answer
	problem problemdetail.Detail
}

// class returns the class of an answer as want= names it in scripts.
func (a answer) class() string {
	switch {
	case a.Outcome.OK() && a.Complete:
		return "complete"
	case a.Outcome.OK():
		return "partial"
	}
	return string(a.Outcome.Kind)
}

// ask sends a query and verifies the answer. An error that starts with
// "wrong:" is a broken guarantee, which fails the script even while polling.
func (e *testEnv) ask(ctx context.Context, n *process, q testQuery) (answer, error) {
	body := map[string]any{"text": q.text, "filters": q.filters, "accept_partial": q.partial, "limit": q.limit}
	code, b, err := e.post(ctx, n, "/v1/searches/"+q.search+"/query", nil, body)
	if err != nil {
		return answer{}, err
	}
	var a answer
	if code != http.StatusOK {
		if err := json.Unmarshal(b, &a.problem); err != nil {
			return a, fmt.Errorf("decoding the problem details of status %d: %q: %w", code, b, err)
		}
		a.Outcome = outcome.Outcome{Kind: a.problem.Outcome, Reason: a.problem.Reason}
		if a.Outcome.OK() || a.Outcome.Kind == "" {
			return a, fmt.Errorf("status %d with outcome %q", code, a.Outcome)
		}
		if a.Outcome.Kind == outcome.KindNotRun && e.queryRan(a.problem.RequestID) {
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
	return a, e.verify(q, a.Answer)
}

// verify compares an answer with the records of the stand-in searchers.
func (e *testEnv) verify(q testQuery, a ask.Answer) error {
	d, ok := e.definition(q.search)
	if !ok {
		return fmt.Errorf("no node has a definition of search %s in force", q.search)
	}
	s := e.services.Service(d.Service)
	query := ask.Query{QueryID: a.QueryID, Search: q.search, Text: q.text, Filters: q.filters, Limit: q.limit, AcceptPartial: q.partial}
	for _, f := range s.Truth.CheckAnswer(query, d, a) {
		return fmt.Errorf("wrong: %s: %s", f.Kind, f.Detail)
	}
	return nil
}

// definition returns the definition of a search from any node, and caches it.
func (e *testEnv) definition(name string) (search.Definition, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if d, ok := e.defs[name]; ok {
		return d, true
	}
	for _, n := range e.nodes {
		r, err := e.client.Get("http://" + n.operatorAddr + "/admin/v1/searches")
		if err != nil {
			continue
		}
		var searches operator.Searches
		err = json.NewDecoder(r.Body).Decode(&searches)
		_ = r.Body.Close()
		for _, d := range searches.Searches {
			if err == nil && d.Name == name {
				e.defs[name] = d
				return d, true
			}
		}
	}
	return search.Definition{}, false
}

// queryRan reports whether a searcher of any service ran the query id.
func (e *testEnv) queryRan(id string) bool {
	for _, d := range e.services {
		if id != "" && d.Truth.HasRun(id) {
			return true
		}
	}
	return false
}

func (e *testEnv) cmdAsk(c *scriptCmd) {
	n := e.node(c, c.arg(0))
	q := testQuery{search: c.arg(1), text: c.value("text", ""), partial: c.has("partial"), limit: c.intValue("limit", 20)}
	attempt := func() string {
		a, err := e.ask(context.Background(), n, q)
		switch {
		case err != nil:
			return err.Error()
		case a.class() != c.value("want", "complete"):
			return fmt.Sprintf("got %s (%s), want %s; missing %v", a.class(), a.Outcome, c.value("want", "complete"), a.missing())
		case c.has("hedged") && a.Cost.Hedges == 0:
			return "no call was hedged"
		case !a.hasReason(c.value("reason", "")):
			return fmt.Sprintf("got %s without reason %q; missing %v", a.Outcome, c.value("reason", ""), a.missing())
		}
		return ""
	}
	if !c.has("poll") {
		if reason := attempt(); reason != "" {
			c.Fatalf("%s", reason)
		}
		return
	}
	c.waitFor(func() string {
		reason := attempt()
		if len(reason) > 6 && reason[:6] == "wrong:" {
			c.Fatalf("%s", reason)
		}
		return reason
	})
}

// missing returns the ranges that the answer does not cover.
func (a answer) missing() []coverage.Gap {
	if a.problem.Coverage != nil {
		return a.problem.Coverage.Missing
	}
	return a.Coverage.Missing
}

// hasReason reports whether the outcome or a missing range has the reason.
func (a answer) hasReason(reason string) bool {
	if reason == "" || string(a.Outcome.Reason) == reason {
		return true
	}
	for _, g := range a.missing() {
		if string(g.Reason) == reason {
			return true
		}
	}
	return false
}

// idempotencyKey returns the UUIDv7 of testStart and n, constant in a test run.
func idempotencyKey(n string) string {
	i, err := strconv.Atoi(n)
	if err != nil {
		panic(err)
	}
	ms := testStart.UnixMilli()
	return fmt.Sprintf("%08x-%04x-7000-8000-%012x", ms>>16, ms&0xffff, i)
}

// testStart is the timestamp in idempotency keys.
var testStart = time.Now()

func (e *testEnv) cmdRecord(c *scriptCmd) {
	n := e.node(c, c.arg(0))
	body := map[string]any{"key": c.value("key", ""), "schema_version": 2, "source": "script", "fields": map[string]string{"note": c.value("note", "by script")}}
	header := http.Header{"Idempotency-Key": {idempotencyKey(c.value("id", ""))}}
	attempt := func() string {
		code, b, err := e.post(context.Background(), n, "/v1/searches/"+c.arg(1)+"/records", header, body)
		if err != nil {
			return err.Error()
		}
		got, repeated := decodeWriteResponse(code, b)
		if string(got.Kind) != c.value("want", "ok") || c.value("reason", string(got.Reason)) != string(got.Reason) {
			return fmt.Sprintf("got %s, want %s: %s", got, c.value("want", "ok"), b)
		}
		if c.has("repeated") && !repeated {
			return "the outcome is not marked as repeated"
		}
		return ""
	}
	if c.has("poll") {
		c.waitFor(attempt)
		return
	}
	if reason := attempt(); reason != "" {
		c.Fatalf("%s", reason)
	}
}

// decodeWriteResponse returns the outcome of a write and whether it is a repeat.
func decodeWriteResponse(code int, b []byte) (outcome.Outcome, bool) {
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

// backgroundLoad sends queries to a node until it is stopped.
type backgroundLoad struct {
	cancel   context.CancelFunc
	wg       sync.WaitGroup
	mu       sync.Mutex
	answers  int
	failures []string
}

func (e *testEnv) cmdLoad(c *scriptCmd) {
	n := e.node(c, c.arg(0))
	ctx, cancel := context.WithCancel(context.Background())
	b := &backgroundLoad{cancel: cancel}
	for i := range 4 {
		q := testQuery{search: c.arg(1), text: c.value("text", strconv.Itoa(i)), limit: 20}
		b.wg.Go(func() {
			for seq := 0; ctx.Err() == nil; seq++ {
				// A filter on a field that no record has makes each query unique.
				q.filters = []ask.Filter{{Field: fmt.Sprintf("none-%d-%d", i, seq)}}
				a, err := e.ask(ctx, n, q)
				if ctx.Err() == nil {
					b.record(a, err)
				}
			}
		})
	}
	e.loads = append(e.loads, b)
}

func (b *backgroundLoad) record(a answer, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.answers++
	switch {
	case err != nil:
		b.failures = append(b.failures, err.Error())
	case a.class() != "complete":
		b.failures = append(b.failures, fmt.Sprint(a.Outcome, a.missing()))
	}
}

func (b *backgroundLoad) stop() {
	b.cancel()
	b.wg.Wait()
}

// cmdAwaitAnswers waits until each load has received min more answers.
func (e *testEnv) cmdAwaitAnswers(c *scriptCmd) {
	for _, b := range e.loads {
		start := b.answerCount()
		c.waitFor(func() string {
			if n := b.answerCount(); n-start < c.intValue("min", 20) {
				return fmt.Sprintf("only %d answers of a load", n-start)
			}
			return ""
		})
	}
}

// cmdUnload stops the loads after more answers. All must be complete and correct.
func (e *testEnv) cmdUnload(c *scriptCmd) {
	e.cmdAwaitAnswers(c)
	for _, b := range e.loads {
		b.stop()
		if len(b.failures) > 0 {
			c.Fatalf("%d of %d answers were incomplete or wrong: %q", len(b.failures), b.answers, b.failures[:min(3, len(b.failures))])
		}
	}
	e.loads = nil
}

func (b *backgroundLoad) answerCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.answers
}
