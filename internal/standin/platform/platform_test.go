package platform_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"egrethaven/internal/platform/kv"
	"egrethaven/internal/standin/platform"
	"egrethaven/platform/store"
)

func TestMain(m *testing.M) {
	http.DefaultTransport.(*http.Transport).DisableKeepAlives = true
	goleak.VerifyTestMain(m)
}

func start(t *testing.T) *platform.Platform {
	t.Helper()
	p, err := platform.New(platform.Config{Addr: "127.0.0.1:0", Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = p.Close() })
	return p
}

func control(t *testing.T, p *platform.Platform, body string, want int) {
	t.Helper()
	r, err := http.Post("http://"+p.Addr()+"/control", "application/json", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	_ = r.Body.Close()
	if r.StatusCode != want {
		t.Fatalf("%s: status %d, want %d", body, r.StatusCode, want)
	}
}

func TestControlKeepsWhatIsLeftOut(t *testing.T) {
	p := start(t)
	control(t, p, `{"lose_answers": 0.5, "vms": [{"id": "a"}]}`, http.StatusOK)
	control(t, p, `{"down": true}`, http.StatusOK)
	if f := p.Faults(); !f.Down || f.LoseAnswers != 0.5 {
		t.Fatalf("faults %+v", f)
	}
	control(t, p, `nonsense`, http.StatusBadRequest)
}

func TestListLags(t *testing.T) {
	p := start(t)
	control(t, p, `{"list_lag_ms": 3600000, "vms": [{"id": "old"}]}`, http.StatusOK)
	control(t, p, `{"vms": [{"id": "new"}]}`, http.StatusOK)
	if got := list(t, p); !strings.Contains(got, "old") {
		t.Fatalf("got %s", got)
	}
	control(t, p, `{"list_lag_ms": 0}`, http.StatusOK)
	if got := list(t, p); !strings.Contains(got, "new") {
		t.Fatalf("got %s", got)
	}
}

func list(t *testing.T, p *platform.Platform) string {
	t.Helper()
	r, err := http.Get("http://" + p.Addr() + "/vms")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = r.Body.Close() }()
	b := make([]byte, 1000)
	n, _ := r.Body.Read(b)
	return string(b[:n])
}

// TestOutageEndsWatches: a waiting watch is refused when the service goes
// down, and the delay of a call ends with the stand-in.
func TestOutageEndsWatches(t *testing.T) {
	p := start(t)
	c := kv.New(kv.Config{Transport: store.New(store.Config{Addr: p.Addr()}), WatchTimeout: time.Hour})
	defer func() { _ = c.Close() }()
	got := make(chan kv.Status)
	go func() {
		_, s := c.Watch(t.Context(), "root", 0)
		got <- s
	}()
	for p.Stats().Waiting == 0 {
		time.Sleep(time.Millisecond)
	}
	p.SetFaults(platform.Faults{Down: true})
	if s := <-got; s != kv.Unavailable {
		t.Fatalf("watch ended with %v", s)
	}
}
