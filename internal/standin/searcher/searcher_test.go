package searcher_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"net"
	"net/http"
	"testing"
	"time"

	back "egrethaven/internal/back/searcher"
	"egrethaven/internal/query/keyrange"
	"egrethaven/internal/query/outcome"
	"egrethaven/internal/query/record"
	"egrethaven/internal/standin/dataset"
	"egrethaven/internal/standin/searcher"

	"go.uber.org/goleak"
)

// eventTimeout limits the wait for an expected event.
const eventTimeout = 20 * time.Second

func startSearcher(t *testing.T, c searcher.Config) (*searcher.Searcher, *http.Client) {
	t.Helper()
	goleak.VerifyNone(t)
	c.Truth = dataset.New(dataset.Config{Records: dataset.Jobs(), Ranges: keyrange.Split(1)})
	c.Writes = true
	c.PoisonText = "poison"
	s, err := searcher.New(c)
	if err != nil {
		t.Fatal(err)
	}
	h := &http.Client{Transport: &http.Transport{}, Timeout: eventTimeout}
	t.Cleanup(func() {
		h.CloseIdleConnections()
		s.Close()
		goleak.VerifyNone(t)
	})
	s.SetHolding(back.Holding{Version: 1, Ranges: keyrange.Split(1)})
	return s, h
}

func post(h *http.Client, s *searcher.Searcher, path string, in, out any) (int, error) {
	b, err := json.Marshal(in)
	if err != nil {
		return 0, err
	}
	r, err := h.Post("http://"+s.Addr()+path, "application/json", bytes.NewReader(b))
	if err != nil {
		return 0, err
	}
	defer r.Body.Close()
	return r.StatusCode, json.NewDecoder(r.Body).Decode(out)
}

func query(text string) back.Query {
	return back.Query{
		QueryID: "q", AttemptID: "a", Version: 1, Range: keyrange.Whole,
		SchemaVersions: []int{2}, Text: text, Limit: 3, DeadlineMS: eventTimeout.Milliseconds(),
	}
}

func waitUntil(t *testing.T, event string, occurred func() bool) {
	t.Helper()
	for deadline := time.Now().Add(eventTimeout); !occurred(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("timed out waiting for: " + event)
		}
	}
}

func TestSearchAndRefusals(t *testing.T) {
	s, h := startSearcher(t, searcher.Config{Slots: 2})
	var a back.Answer
	if code, err := post(h, s, back.SearchPath, query("Otaru"), &a); code != http.StatusOK || err != nil {
		t.Fatal(code, err)
	}
	if len(a.Hits) != 3 || a.Total <= 3 || a.AttemptID != "a" || a.Hits[0].Score != 1 {
		t.Fatalf("answer is %+v", a)
	}
	q := query("Otaru")
	q.Version = 2
	var r back.Refusal
	if code, _ := post(h, s, back.SearchPath, q, &r); code != http.StatusConflict || r.Reason != outcome.VersionGone {
		t.Fatalf("status %d, refusal %+v", code, r)
	}
	s.Drain(0)
	if code, _ := post(h, s, back.SearchPath, query(""), &r); code != http.StatusServiceUnavailable || r.Reason != outcome.Draining || !r.Load.Draining {
		t.Fatalf("status %d, refusal %+v", code, r)
	}
	if st := s.Stats(); st.Requests != 3 || st.Refused != 2 {
		t.Fatalf("stats are %+v", st)
	}
}

func TestQueueIsBounded(t *testing.T) {
	s, h := startSearcher(t, searcher.Config{Slots: 1, MaxQueued: 1, ServiceTime: searcher.ServiceTime{Median: time.Hour}})
	h.Timeout = 0
	codes := make(chan int, 3)
	for range 3 {
		go func() {
			var r back.Refusal
			code, _ := post(h, s, back.SearchPath, query(""), &r)
			codes <- code
		}()
	}
	if code := <-codes; code != http.StatusServiceUnavailable {
		t.Fatal(code)
	}
	waitUntil(t, "one request in a slot, one queued", func() bool { l := s.Load(); return l.InFlight == 1 && l.Queued == 1 })
	h.Transport.(*http.Transport).CloseIdleConnections()
	s.Crash(0)
	<-codes
	<-codes
	waitUntil(t, "slot freed after the connection was lost", func() bool { return s.Load().InFlight == 0 })
}

func TestConnectionLimit(t *testing.T) {
	s, h := startSearcher(t, searcher.Config{Slots: 1, MaxConnections: 1})
	if code, err := post(h, s, back.SearchPath, query(""), &back.Answer{}); code != http.StatusOK {
		t.Fatal(err)
	}
	other := &http.Client{Transport: &http.Transport{}}
	defer other.CloseIdleConnections()
	// The refusal may arrive before a request is sent. net/http ignores such
	// a response, so the test reads it from the connection.
	c, err := net.Dial("tcp", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	p, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	var r back.Refusal
	if err := json.NewDecoder(p.Body).Decode(&r); err != nil || p.StatusCode != http.StatusServiceUnavailable || r.Reason != outcome.ConnectionRefused {
		t.Fatalf("status %d, refusal %+v, error %v", p.StatusCode, r, err)
	}
	_ = c.Close()
	h.CloseIdleConnections()
	waitUntil(t, "free connection", func() bool {
		code, _ := post(other, s, back.SearchPath, query(""), &back.Answer{})
		return code == http.StatusOK
	})
}

func TestRestartsAfterPoisonCrash(t *testing.T) {
	s, h := startSearcher(t, searcher.Config{Slots: 1, PoisonDowntime: time.Millisecond})
	if code, err := post(h, s, back.SearchPath, query("poison"), &back.Answer{}); err == nil {
		t.Fatal("request that crashes the searcher was answered with status", code)
	}
	waitUntil(t, "answer after the restart", func() bool {
		code, _ := post(h, s, back.SearchPath, query(""), &back.Answer{})
		return code == http.StatusOK
	})
	if st := s.Stats(); st.Crashes != 1 {
		t.Fatalf("stats are %+v", st)
	}
}

func TestSilenceAndFreeze(t *testing.T) {
	s, h := startSearcher(t, searcher.Config{Slots: 1})
	if code, err := post(h, s, back.SearchPath, query(""), &back.Answer{}); code != http.StatusOK {
		t.Fatal(err)
	}
	s.SilenceConnections()
	silent := make(chan error, 1)
	go func() {
		_, err := post(h, s, back.SearchPath, query(""), &back.Answer{})
		silent <- err
	}()
	other := &http.Client{Transport: &http.Transport{}, Timeout: eventTimeout}
	defer other.CloseIdleConnections()
	if code, err := post(other, s, back.SearchPath, query(""), &back.Answer{}); code != http.StatusOK {
		t.Fatal(err)
	}
	s.SetFrozen(true)
	frozen := make(chan int, 1)
	go func() {
		code, _ := post(other, s, back.SearchPath, query(""), &back.Answer{})
		frozen <- code
	}()
	select {
	case <-silent:
		t.Fatal("silent connection answered")
	case <-frozen:
		t.Fatal("frozen searcher answered")
	case <-time.After(20 * time.Millisecond):
	}
	s.SetFrozen(false)
	if code := <-frozen; code != http.StatusOK {
		t.Fatal(code)
	}
	s.Crash(0)
	if err := <-silent; err == nil {
		t.Fatal("silent connection answered")
	}
}

func TestWriteCountsRuns(t *testing.T) {
	s, h := startSearcher(t, searcher.Config{Slots: 1})
	w := back.Write{AttemptID: "a", IdempotencyKey: "k", Record: record.Record{Key: "J-1"}, DeadlineMS: eventTimeout.Milliseconds()}
	var a back.WriteAnswer
	for range 2 {
		if code, err := post(h, s, back.WritePath, w, &a); code != http.StatusOK || !a.Accepted || a.Revision == 0 {
			t.Fatalf("status %d, error %v, answer %+v", code, err, a)
		}
	}
	if st := s.Stats(); st.Writes != 2 {
		t.Fatalf("stats are %+v", st)
	}
}
