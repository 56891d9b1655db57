package main

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	"egrethaven/platform/dialect"
	"egrethaven/platform/standin"
)

// run is one execution of a request by a searcher.
type run struct {
	attempt string
	at      time.Time
}

// worker is a searcher in the harness's own process. What it does beyond running requests
// is up to its hooks.
type worker struct {
	id, zone string
	work     time.Duration
	rec      *record
	srv      *httptest.Server

	mu   sync.Mutex
	runs []run
	// answer writes the status of a request that has run; nil answers with success.
	answer func(w http.ResponseWriter, attempt string)
	// refuse turns a request away before it runs; nil accepts all.
	refuse func(h http.Header, attempt string) bool
	// leaving adds the header of a searcher that leaves.
	leaving bool
}

func newWorker(id, zone string, work time.Duration, rec *record) *worker {
	k := &worker{id: id, zone: zone, work: work, rec: rec}
	k.srv = httptest.NewServer(http.HandlerFunc(k.serve))
	return k
}

func (k *worker) addr() string { return k.srv.Listener.Addr().String() }

func (k *worker) serve(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get(dialect.AttemptID)
	w.Header().Set(dialect.AttemptID, attempt)
	if r.Header.Get(dialect.ExpectInstance) != k.id {
		w.Header().Set(dialect.InstanceID, k.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	k.mu.Lock()
	answer, refuse, leaving := k.answer, k.refuse, k.leaving
	k.mu.Unlock()
	if leaving {
		w.Header().Set(dialect.ServerLeaving, "1")
	}
	if refuse != nil && refuse(w.Header(), attempt) {
		k.rec.addf("%s turns %s away", k.id, attempt)
		w.Header().Set(dialect.NotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	k.mu.Lock()
	k.runs = append(k.runs, run{attempt, time.Now()})
	k.mu.Unlock()
	k.rec.addf("%s runs %s", k.id, attempt)
	time.Sleep(k.work)
	w.Header().Set(dialect.ServerStamp, k.id+"."+attempt)
	if answer != nil {
		answer(w, attempt)
		return
	}
	_, _ = io.WriteString(w, "done "+attempt)
}

// set changes the hooks.
func (k *worker) set(f func(k *worker)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	f(k)
}

// runsSince returns the runs that began after a time.
func (k *worker) runsSince(t time.Time) []run {
	k.mu.Lock()
	defer k.mu.Unlock()
	var out []run
	for _, r := range k.runs {
		if r.at.After(t) {
			out = append(out, r)
		}
	}
	return out
}

// startWorkers starts and registers the searchers of a small service, in three zones.
func startWorkers(st *standin.Store, service string, born int64, work time.Duration, rec *record) []*worker {
	var all []*worker
	for i := range searcherCount {
		k := newWorker(workerName(service, i), zoneName(i), work, rec)
		putSearcher(st, service, k.id, k.addr(), k.zone, 1, born)
		all = append(all, k)
	}
	return all
}

// workerName returns the ID of searcher i of a service.
func workerName(service string, i int) string { return fmt.Sprintf("%s-%d", service, i) }
