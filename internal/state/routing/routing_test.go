package routing

import "testing"

// route returns a route to a single service.
func route(name, host, prefix string) Route {
	return Route{Name: name, Host: host, Prefix: prefix, WeightedServices: []WeightedService{{Service: "s", Weight: 1}}}
}

func TestLookup(t *testing.T) {
	c, err := New(1, []Route{route("a", "h", "/x/"), route("b", "h", "/x/y/"), route("c", "g", "/x/y/z/")}, nil, Limits{})
	if err != nil {
		t.Fatal(err)
	}
	for _, w := range []struct{ host, path, want string }{
		{"h", "/x/1", "a"}, {"h", "/x/y/1", "b"}, {"h", "/x/y", "a"}, {"h", "/x/y/z/1", "b"}, {"h", "/x", ""},
		{"H:80", "/x/", "a"}, {"g", "/x/1", ""}, {"g", "/x/y/z/?q", "c"}, {"", "/x/", ""}, {"h", "/x/%79/1", "a"},
	} {
		r, ok := c.Lookup(w.host, w.path)
		if ok != (w.want != "") || ok && r.Name != w.want {
			t.Errorf("%s%s: got %v, want %q", w.host, w.path, r, w.want)
		}
	}
}

func TestInvalidRoutes(t *testing.T) {
	fanOut := Route{Name: "f", Host: "h", Prefix: "/", Shards: []string{"s"}}
	both := route("b", "h", "/")
	both.Shards, both.Idempotency = []string{"s"}, Idempotent
	zeroWeight := route("l", "h", "/")
	zeroWeight.WeightedServices[0].Weight = 0
	for _, r := range []Route{route("p", "h", "x/"), route("q", "h", "/x"), {Name: "n", Host: "h", Prefix: "/"}, fanOut, both, zeroWeight} {
		if _, err := New(1, []Route{r}, nil, Limits{}); err == nil {
			t.Errorf("New accepted the invalid route %+v", r)
		}
	}
}
