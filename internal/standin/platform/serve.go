package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"egrethaven/internal/platform/kv"
)

const (
	statusDown      = http.StatusServiceUnavailable
	statusThrottled = http.StatusTooManyRequests
	// maxWait is the longest that a watch waits.
	maxWait = 60 * time.Second
)

func (p *Platform) routes() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/kv", p.call(readCall, p.getKey)).Methods(http.MethodGet)
	r.HandleFunc("/kv", p.call(writeCall, p.putKey)).Methods(http.MethodPut)
	r.HandleFunc("/kv", p.call(writeCall, p.deleteKey)).Methods(http.MethodDelete)
	r.HandleFunc("/watch", p.call(watchCall, p.watch)).Methods(http.MethodGet)
	r.HandleFunc("/list", p.call(readCall, p.listKeys)).Methods(http.MethodGet)
	r.HandleFunc("/leases", p.call(writeCall, p.postLease)).Methods(http.MethodPost)
	r.HandleFunc("/leases/{id}", p.call(writeCall, p.keepLease)).Methods(http.MethodPost)
	r.HandleFunc("/vms", p.call(listCall, p.getVMs)).Methods(http.MethodGet)
	r.HandleFunc("/control", p.getControl).Methods(http.MethodGet)
	r.HandleFunc("/control", p.postControl).Methods(http.MethodPost)
	return r
}

// reply is the answer to a call.
type reply struct {
	status   int
	revision uint64
	body     []byte
}

// call wraps a handler with the faults. The effect comes before the answer
// is lost.
func (p *Platform) call(k kind, f func(*http.Request, []byte) reply) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		b, err := io.ReadAll(io.LimitReader(r.Body, kv.MaxValue+1))
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
		w.Header().Set(kv.RevisionHeader, strconv.FormatUint(a.revision, 10))
		w.WriteHeader(a.status)
		_, _ = w.Write(a.body)
	}
}

func number(r *http.Request, name string) uint64 {
	n, _ := strconv.ParseUint(r.URL.Query().Get(name), 10, 64)
	return n
}

func (p *Platform) getKey(r *http.Request, _ []byte) reply {
	e, ok, _ := p.look(r.URL.Query().Get("key"))
	if !ok {
		return reply{status: http.StatusNotFound}
	}
	return reply{http.StatusOK, e.Revision, e.Value}
}

func (p *Platform) putKey(r *http.Request, b []byte) reply {
	q := r.URL.Query()
	e, s := p.swap(q.Get("key"), number(r, "expect"), b, q.Get("lease"))
	switch s {
	case kv.Done:
		return reply{status: http.StatusOK, revision: e.Revision}
	case kv.Conflict:
		return reply{http.StatusConflict, e.Revision, e.Value}
	case kv.TooLarge:
		return reply{status: http.StatusRequestEntityTooLarge}
	default:
		return reply{status: http.StatusNotFound}
	}
}

func (p *Platform) deleteKey(r *http.Request, _ []byte) reply {
	switch p.remove(r.URL.Query().Get("key"), number(r, "expect")) {
	case kv.Done:
		return reply{status: http.StatusOK}
	case kv.Absent:
		return reply{status: http.StatusNotFound}
	default:
		return reply{status: http.StatusConflict}
	}
}

func (p *Platform) watch(r *http.Request, _ []byte) reply {
	key, after := r.URL.Query().Get("key"), number(r, "after")
	wait := min(time.Duration(number(r, "wait_ms"))*time.Millisecond, maxWait)
	t := time.NewTimer(wait)
	defer t.Stop()
	p.waiting(1)
	defer p.waiting(-1)
	for {
		e, ok, changed := p.look(key)
		if ok && e.Revision > after {
			return reply{http.StatusOK, e.Revision, e.Value}
		}
		if p.Faults().Down {
			return reply{status: statusDown}
		}
		select {
		case <-changed:
		case <-t.C:
			return reply{status: http.StatusNoContent}
		case <-r.Context().Done():
			return reply{status: http.StatusNoContent}
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

func (p *Platform) listKeys(r *http.Request, _ []byte) reply {
	return encode(p.list(r.URL.Query().Get("prefix")))
}

func (p *Platform) postLease(r *http.Request, _ []byte) reply {
	return encode(p.grant(time.Duration(number(r, "ttl_ms")) * time.Millisecond))
}

func (p *Platform) keepLease(r *http.Request, _ []byte) reply {
	if !p.renew(mux.Vars(r)["id"]) {
		return reply{status: http.StatusNotFound}
	}
	return reply{status: http.StatusOK}
}

func (p *Platform) getVMs(*http.Request, []byte) reply {
	return encode(p.visible())
}

func encode(v any) reply {
	b, err := json.Marshal(v)
	if err != nil {
		return reply{status: http.StatusInternalServerError}
	}
	return reply{status: http.StatusOK, body: b}
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
