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
	// maxWatchWait is the maximum time that a watch waits for a change.
	maxWatchWait = 60 * time.Second
	// maxBodyBytes has room for an encoded value of 1 MB.
	maxBodyBytes = 4 << 20
)

func (p *Platform) routes() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc(store.KeyPath, p.withFaults(readCall, p.getKey)).Methods(http.MethodGet)
	r.HandleFunc(store.RangePath, p.withFaults(readCall, p.getRange)).Methods(http.MethodGet)
	r.HandleFunc(store.WatchPath, p.withFaults(watchCall, p.watch)).Methods(http.MethodGet)
	r.HandleFunc(store.TxnPath, p.withFaults(writeCall, p.postTxn)).Methods(http.MethodPost)
	r.HandleFunc(store.LeasePath, p.withFaults(writeCall, p.postLease)).Methods(http.MethodPost)
	r.HandleFunc(store.KeepPath+"{id}", p.withFaults(writeCall, p.keepLease)).Methods(http.MethodPost)
	r.HandleFunc("/vms", p.withFaults(listCall, p.getVMs)).Methods(http.MethodGet)
	r.HandleFunc("/control", p.getControl).Methods(http.MethodGet)
	r.HandleFunc("/control", p.postControl).Methods(http.MethodPost)
	return r
}

// reply is the HTTP status and JSON body of an answer; a nil body sends none.
type reply struct {
	status int
	body   any
}

// withFaults wraps a handler with the injected faults. An answer is dropped
// only after the call took effect.
func (p *Platform) withFaults(k callKind, handle func(*http.Request, []byte) reply) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		b, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
		if err != nil {
			return
		}
		p.sleep(r.Context(), p.delay())
		w.Header().Set(store.EraHeader, strconv.FormatInt(p.currentEra(), 10))
		if s := p.admit(k); s != 0 {
			w.WriteHeader(s)
			return
		}
		a := handle(r, b)
		w.Header().Set(store.EraHeader, strconv.FormatInt(p.currentEra(), 10))
		if p.loseAnswer() {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(a.status)
		if a.body != nil {
			_ = json.NewEncoder(w).Encode(a.body)
		}
	}
}

func intParam(r *http.Request, name string) int64 {
	n, _ := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	return n
}

func (p *Platform) getKey(r *http.Request, _ []byte) reply {
	item, ok := p.get(r.URL.Query().Get("key"))
	if !ok {
		return reply{status: http.StatusNotFound}
	}
	return reply{http.StatusOK, item}
}

// A page of a range holds at most maxPageItems items, and ends with the one that reaches
// maxPageBytes of values.
const (
	maxPageItems = 500
	maxPageBytes = 1 << 20
)

// getRange returns a page of the items under a prefix.
func (p *Platform) getRange(r *http.Request, _ []byte) reply {
	items, rev := p.list(r.URL.Query().Get("prefix"))
	after := r.URL.Query().Get("after")
	page := store.Page{Rev: rev}
	size := 0
	for _, i := range items {
		if i.Key <= after {
			continue
		}
		if len(page.Items) == maxPageItems || size >= maxPageBytes {
			page.More = true
			break
		}
		size += len(i.Value)
		page.Items = append(page.Items, i)
	}
	return reply{http.StatusOK, page}
}

func (p *Platform) postTxn(_ *http.Request, b []byte) reply {
	var t store.Txn
	if json.Unmarshal(b, &t) != nil {
		return reply{status: http.StatusBadRequest}
	}
	rev, conflict, leaseExpired := p.txn(t)
	switch {
	case leaseExpired:
		return reply{status: http.StatusNotFound}
	case conflict != nil:
		return reply{http.StatusPreconditionFailed, store.TxnResponse{Items: conflict}}
	}
	return reply{http.StatusOK, store.TxnResponse{Rev: rev}}
}

func (p *Platform) watch(r *http.Request, _ []byte) reply {
	prefix, after := r.URL.Query().Get("prefix"), intParam(r, "after")
	wait := min(time.Duration(intParam(r, "wait_ms"))*time.Millisecond, maxWatchWait)
	t := time.NewTimer(wait)
	defer t.Stop()
	p.addWaiting(1)
	defer p.addWaiting(-1)
	for timedOut := false; ; {
		changes, rev, changed, ok := p.changesSince(prefix, after)
		switch {
		case p.Faults().Down:
			return reply{status: statusDown}
		case !ok:
			return reply{status: http.StatusGone}
		case len(changes) > 0 || timedOut:
			return reply{http.StatusOK, store.Page{Events: changes, Rev: rev}}
		}
		select {
		case <-changed:
		case <-t.C:
			timedOut = true
		case <-r.Context().Done():
			timedOut = true
		case <-p.done:
			return reply{status: statusDown}
		}
	}
}

func (p *Platform) addWaiting(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls.total.WaitingWatches += n
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
	return reply{http.StatusOK, p.visibleVMs()}
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
	if c.ExpireLeases {
		p.ExpireLeases()
	}
	if c.VMs != nil {
		p.SetVMs(c.VMs)
	}
}
