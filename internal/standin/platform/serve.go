package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"egrethaven/platform/store"
)

const (
	statusDown      = http.StatusServiceUnavailable
	statusThrottled = http.StatusTooManyRequests
	// maxWait is the longest that a watch waits.
	maxWait = 60 * time.Second
	// maxCall bounds the body of a call, in bytes: a value of 1 MB, encoded.
	maxCall = 4 << 20
)

func (p *Platform) routes() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc(store.KeyPath, p.call(readCall, p.getKey)).Methods(http.MethodGet)
	r.HandleFunc(store.RangePath, p.call(readCall, p.getRange)).Methods(http.MethodGet)
	r.HandleFunc(store.WatchPath, p.call(watchCall, p.watch)).Methods(http.MethodGet)
	r.HandleFunc(store.TxnPath, p.call(writeCall, p.postTxn)).Methods(http.MethodPost)
	r.HandleFunc(store.LeasePath, p.call(writeCall, p.postLease)).Methods(http.MethodPost)
	r.HandleFunc(store.KeepPath+"{id}", p.call(writeCall, p.keepLease)).Methods(http.MethodPost)
	r.HandleFunc("/vms", p.call(listCall, p.getVMs)).Methods(http.MethodGet)
	r.HandleFunc("/control", p.getControl).Methods(http.MethodGet)
	r.HandleFunc("/control", p.postControl).Methods(http.MethodPost)
	return r
}

// reply is the answer to a call.
type reply struct {
	status int
	body   any
}

// call wraps a handler with the faults. The effect comes before the answer
// is lost.
func (p *Platform) call(k kind, f func(*http.Request, []byte) reply) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		b, err := io.ReadAll(io.LimitReader(r.Body, maxCall))
		if err != nil {
			return
		}
		p.pause(r.Context(), p.delay())
		if s := p.admit(k); s != 0 {
			w.WriteHeader(s)
			return
		}
		a := f(r, b)
		if p.lose() {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(a.status)
		if a.body != nil {
			_ = json.NewEncoder(w).Encode(a.body)
		}
	}
}

func number(r *http.Request, name string) int64 {
	n, _ := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	return n
}

func (p *Platform) getKey(r *http.Request, _ []byte) reply {
	i, ok := p.look(r.URL.Query().Get("key"))
	if !ok {
		return reply{status: http.StatusNotFound}
	}
	return reply{http.StatusOK, i}
}

// getRange answers in one page.
func (p *Platform) getRange(r *http.Request, _ []byte) reply {
	is, rev := p.list(r.URL.Query().Get("prefix"))
	return reply{http.StatusOK, store.Page{Items: is, Rev: rev}}
}

func (p *Platform) postTxn(_ *http.Request, b []byte) reply {
	var t store.Txn
	if json.Unmarshal(b, &t) != nil {
		return reply{status: http.StatusBadRequest}
	}
	rev, conflict, ended := p.txn(t)
	switch {
	case ended:
		return reply{status: http.StatusNotFound}
	case conflict != nil:
		return reply{http.StatusPreconditionFailed, store.TxnResponse{Items: conflict}}
	}
	return reply{http.StatusOK, store.TxnResponse{Rev: rev}}
}

func (p *Platform) watch(r *http.Request, _ []byte) reply {
	prefix, after := r.URL.Query().Get("prefix"), number(r, "after")
	wait := min(time.Duration(number(r, "wait_ms"))*time.Millisecond, maxWait)
	t := time.NewTimer(wait)
	defer t.Stop()
	p.waiting(1)
	defer p.waiting(-1)
	for over := false; ; {
		es, rev, changed, ok := p.since(prefix, after)
		switch {
		case p.Faults().Down:
			return reply{status: statusDown}
		case !ok:
			return reply{status: http.StatusGone}
		case len(es) > 0 || over:
			return reply{http.StatusOK, store.Page{Events: es, Rev: rev}}
		}
		select {
		case <-changed:
		case <-t.C:
			over = true
		case <-r.Context().Done():
			over = true
		case <-p.done:
			return reply{status: statusDown}
		}
	}
}

func (p *Platform) waiting(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.meter.total.Waiting += n
}

func (p *Platform) postLease(_ *http.Request, b []byte) reply {
	var l store.Lease
	if json.Unmarshal(b, &l) != nil {
		return reply{status: http.StatusBadRequest}
	}
	l.ID = p.grant(time.Duration(l.TTL) * time.Millisecond)
	return reply{http.StatusOK, l}
}

func (p *Platform) keepLease(r *http.Request, _ []byte) reply {
	id, _ := strconv.ParseInt(mux.Vars(r)["id"], 10, 64)
	ttl, ok := p.renew(id)
	if !ok {
		return reply{status: http.StatusNotFound}
	}
	return reply{http.StatusOK, store.Lease{ID: id, TTL: ttl.Milliseconds()}}
}

func (p *Platform) getVMs(*http.Request, []byte) reply {
	return reply{http.StatusOK, p.visible()}
}

func (p *Platform) getControl(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(p.Stats())
}

func (p *Platform) postControl(w http.ResponseWriter, r *http.Request) {
	c := Control{Faults: p.Faults()}
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetFaults(c.Faults)
	if c.LapseLeases {
		p.LapseLeases()
	}
	if c.VMs != nil {
		p.SetVMs(c.VMs)
	}
}
