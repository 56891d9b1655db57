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

// platformView is the platform as the nodes of one failure domain see it. Its
// VM list names fault proxies in place of the searchers, so that the domain's
// connections can be cut without affecting other domains.
type platformView struct {
	domain   failuredomain.Domain
	upstream string
	server   *httptest.Server
	// platform is the proxy between the domain's nodes and the server.
	platform *faultproxy.Proxy

	mu sync.Mutex
	// Proxies of the searchers in this and in other domains, by their address.
	local  map[string]*faultproxy.Proxy
	remote map[string]*faultproxy.Proxy
}

func newPlatformView(d failuredomain.Domain, upstream string) (*platformView, error) {
	v := &platformView{domain: d, upstream: upstream, local: map[string]*faultproxy.Proxy{}, remote: map[string]*faultproxy.Proxy{}}
	v.server = httptest.NewServer(http.HandlerFunc(v.serve))
	var err error
	v.platform, err = faultproxy.New(faultproxy.Config{Target: v.server.Listener.Addr().String()})
	return v, err
}

// serve forwards a call to the platform and rewrites a VM list in the response.
func (v *platformView) serve(w http.ResponseWriter, r *http.Request) {
	out := r.Clone(r.Context())
	out.URL.Scheme, out.URL.Host, out.RequestURI = "http", v.upstream, ""
	resp, err := http.DefaultTransport.RoundTrip(out)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if r.URL.Path == "/vms" && resp.StatusCode == http.StatusOK {
		b = v.rewrite(b)
	}
	for k, values := range resp.Header {
		w.Header()[k] = values
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(resp.StatusCode)
	_, _ = w.Write(b)
}

// rewrite replaces the address of each searcher by that of its proxy.
func (v *platformView) rewrite(b []byte) []byte {
	var vms []vm.VM
	if err := json.Unmarshal(b, &vms); err != nil {
		panic(err)
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	for i, listed := range vms {
		if listed.Role != vm.Searcher {
			continue
		}
		proxies := v.remote
		if listed.Domain == v.domain {
			proxies = v.local
		}
		if proxies[listed.Addr] == nil {
			p, err := faultproxy.New(faultproxy.Config{Target: listed.Addr})
			if err != nil {
				panic(err)
			}
			proxies[listed.Addr] = p
		}
		vms[i].Addr = proxies[listed.Addr].Addr()
	}
	b, err := json.Marshal(vms)
	if err != nil {
		panic(err)
	}
	return b
}

// proxies returns the proxies of a target: platform, home (this domain's
// searchers) or other (those of other domains).
func (v *platformView) proxies(target string) []*faultproxy.Proxy {
	v.mu.Lock()
	defer v.mu.Unlock()
	proxies := v.remote
	switch target {
	case "platform":
		return []*faultproxy.Proxy{v.platform}
	case "home":
		proxies = v.local
	}
	var list []*faultproxy.Proxy
	for _, p := range proxies {
		list = append(list, p)
	}
	return list
}

func (v *platformView) close() {
	for _, target := range []string{"platform", "home", "other"} {
		for _, p := range v.proxies(target) {
			p.Close()
		}
	}
	v.server.Close()
}
