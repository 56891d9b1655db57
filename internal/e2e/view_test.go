package e2e

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"

	"egrethaven/internal/infra/failuredomain"
	"egrethaven/internal/infra/vm"
	"egrethaven/internal/standin/faultproxy"
)

// view is the platform as one failure domain sees it. The searchers in its
// list have the addresses of proxies, so that the domain's ways can be cut
// without touching those of the others.
type view struct {
	domain   failuredomain.Domain
	upstream string
	server   *httptest.Server
	// platform is the proxy that the domain's nodes connect to.
	platform *faultproxy.Proxy

	mu    sync.Mutex
	home  map[string]*faultproxy.Proxy
	other map[string]*faultproxy.Proxy
}

func newView(d failuredomain.Domain, upstream string) (*view, error) {
	v := &view{domain: d, upstream: upstream, home: map[string]*faultproxy.Proxy{}, other: map[string]*faultproxy.Proxy{}}
	v.server = httptest.NewServer(http.HandlerFunc(v.serve))
	var err error
	v.platform, err = faultproxy.New(faultproxy.Config{Target: v.server.Listener.Addr().String()})
	return v, err
}

// serve passes a call on to the platform and rewrites the list of VMs.
func (v *view) serve(w http.ResponseWriter, r *http.Request) {
	out := r.Clone(r.Context())
	out.URL.Scheme, out.URL.Host, out.RequestURI = "http", v.upstream, ""
	a, err := http.DefaultTransport.RoundTrip(out)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if r.URL.Path == "/vms" && a.StatusCode == http.StatusOK {
		b = v.rewrite(b)
	}
	for k, x := range a.Header {
		w.Header()[k] = x
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(a.StatusCode)
	_, _ = w.Write(b)
}

// rewrite puts a proxy's address in the place of each searcher's.
func (v *view) rewrite(b []byte) []byte {
	var vs []vm.VM
	if err := json.Unmarshal(b, &vs); err != nil {
		panic(err)
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	for i, x := range vs {
		if x.Role != vm.Searcher {
			continue
		}
		m := v.other
		if x.Domain == v.domain {
			m = v.home
		}
		if m[x.Addr] == nil {
			p, err := faultproxy.New(faultproxy.Config{Target: x.Addr})
			if err != nil {
				panic(err)
			}
			m[x.Addr] = p
		}
		vs[i].Addr = m[x.Addr].Addr()
	}
	b, err := json.Marshal(vs)
	if err != nil {
		panic(err)
	}
	return b
}

// proxies returns those to the platform, to the domain's own searchers or to
// the searchers of others.
func (v *view) proxies(what string) []*faultproxy.Proxy {
	v.mu.Lock()
	defer v.mu.Unlock()
	m := v.other
	switch what {
	case "platform":
		return []*faultproxy.Proxy{v.platform}
	case "home":
		m = v.home
	}
	var ps []*faultproxy.Proxy
	for _, p := range m {
		ps = append(ps, p)
	}
	return ps
}

func (v *view) close() {
	for _, what := range []string{"platform", "home", "other"} {
		for _, p := range v.proxies(what) {
			p.Close()
		}
	}
	v.server.Close()
}
