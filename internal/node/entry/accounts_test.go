package entry_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"

	"egrethaven/internal/node/entry"
	"egrethaven/internal/standin/searcher"
	"egrethaven/internal/state/config"
	"egrethaven/internal/state/search"
	"egrethaven/platform/dialect"
)

// recordTo returns an address from which connections are passed on to another and to w.
func recordTo(t *testing.T, target string, w io.Writer) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for in, err := l.Accept(); err == nil; in, err = l.Accept() {
			if out, err := net.Dial("tcp", target); err == nil {
				go func() { _, _ = io.Copy(io.MultiWriter(out, w), in); _ = out.Close() }()
				go func() { _, _ = io.Copy(in, out); _ = in.Close() }()
			}
		}
	}()
	return l.Addr().String()
}

// post sends a request with a key, or without one.
func post(t *testing.T, url, key string) *http.Response {
	r, _ := http.NewRequest(http.MethodPost, "http://"+url, strings.NewReader("{}"))
	r.Header = http.Header{"Content-Type": {"application/json"}, dialect.APIKey: strings.Fields(key)}
	w, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, w.Body)
	_ = w.Body.Close()
	return w
}

// TestAccounts guards against queries that are answered without a valid key while the file of
// accounts is missing, changed or invalid, changes of it without a line in the log, keys in a log
// or in what searchers get, an account that gets more than its quota of all VMs or nothing of it,
// refusals without a time to return, and accounts that the requests of another one cost something.
func TestAccounts(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	const keyA, keyB, rate, burst, bound = "secret-a-0123456789", "secret-b-0123456789", 20, 5, (20*5+5)*1.1 + 20
	b := fmt.Sprintf("[account \"b\"]\nrate_per_s = %d\nburst = %d\napi_keys = %s\n", rate, burst, keyB)
	both := "[account \"a\"]\napi_keys = " + keyA + "\n" + b
	for _, vms := range []int{1, 3} {
		t.Run(fmt.Sprint(vms), func(t *testing.T) {
			t.Parallel()
			t.Cleanup(http.DefaultClient.CloseIdleConnections)
			dir := t.TempDir()
			sent, _ := os.Create(filepath.Join(dir, "sent"))
			log, _ := os.Create(filepath.Join(dir, "log"))
			count := func(f *os.File, text string) int {
				all, _ := os.ReadFile(f.Name())
				return strings.Count(string(all), text)
			}
			p, d := startServices(t, 2, 1, searcher.Config{Slots: 64, MaxConnections: 50})
			searchers := d.VMs()
			for i := range searchers {
				searchers[i].Addr = recordTo(t, searchers[i].Addr, sent)
			}
			file, hangups := filepath.Join(dir, "accounts.ini"), []chan os.Signal{}
			nodes := startNodes(t, p, searchers, vms, func(c *entry.Config) {
				hangups = append(hangups, make(chan os.Signal))
				c.Settings.Accounts.File, c.Hangup, c.LogOutput = file, hangups[len(hangups)-1], log
			})
			nodes[0].Apply(context.Background(), config.Change{ID: "c1", Author: "test", Put: []search.Definition{def}})
			const path = "/v1/searches/s/query"
			// want has the statuses for key A, no key and an unknown one. Operators get 200 once the VM
			// is ready.
			for _, c := range []struct{ text, line, want string }{
				{keyA, "settings_refused", "503 503 503"},
				{both, `"2 accounts"`, "200 401 401"},
				{b, `"1 accounts"`, "401 401 401"},
				{both, `"2 accounts"`, "200 401 401"},
				{both[:len(both)-9], "settings_refused", "200 401 401"},
				{"", "settings_refused", "200 401 401"},
			} {
				before := count(log, c.line)
				_ = os.WriteFile(file, []byte(c.text), 0o600)
				for _, h := range hangups {
					h <- syscall.SIGHUP
				}
				eventually(t, c.line, func() bool { return count(log, c.line) >= before+vms })
				for _, n := range nodes {
					if c.text != keyA {
						eventually(t, "ready", func() bool { return post(t, n.OperatorAddr()+"/admin"+path, "").StatusCode == 200 })
					}
					got := fmt.Sprint(post(t, n.CallerAddr()+path, keyA).StatusCode, post(t, n.CallerAddr()+path, "").StatusCode, post(t, n.CallerAddr()+path, keyA+"x").StatusCode)
					if got != c.want {
						t.Errorf("after %s: got %s, want %s", c.line, got, c.want)
					}
				}
			}
			eventually(t, "one VM coordinates all parts of the quotas", func() bool {
				return slices.ContainsFunc(nodes, func(n *entry.Node) bool {
					w, err := http.Get("http://" + n.CallerAddr() + "/metrics")
					if err != nil {
						return false
					}
					defer w.Body.Close()
					b, _ := io.ReadAll(w.Body)
					return regexp.MustCompile(`(?m)^egrethaven_quota_fraction\S* (1|0\.99\d*)$`).Match(b)
				})
			})
			var mu sync.Mutex
			var wg sync.WaitGroup
			var from, to []time.Time
			for _, n := range nodes {
				wg.Go(func() {
					for end := time.Now().Add(8 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
						start := time.Now()
						if w := post(t, n.CallerAddr()+path, keyB); w.StatusCode == 200 {
							mu.Lock()
							from, to = append(from, start), append(to, time.Now())
							mu.Unlock()
						} else if w.StatusCode < 500 && (w.StatusCode != 429 || w.Header.Get("Retry-After") == "") {
							t.Errorf("status %d, headers %v", w.StatusCode, w.Header)
						}
						// On a busy machine a query may take longer than its deadline.
						if w := post(t, n.CallerAddr()+path, keyA); w.StatusCode != 200 && w.StatusCode < 500 {
							t.Errorf("another account got %d", w.StatusCode)
						}
					}
				})
			}
			wg.Wait()
			t.Logf("%d requests served in 8 s at %d/s", len(from), rate)
			for _, start := range from {
				n := 0
				for i := range from {
					if !from[i].Before(start) && to[i].Before(start.Add(5*time.Second)) {
						n++
					}
				}
				if float64(n) > bound {
					t.Fatalf("%d requests within 5 s, at most %g are allowed", n, bound)
				}
			}
			if count(log, "secret")+count(sent, "secret") > 0 || count(log, "key_refused") == 0 || count(log, "quota_exceeded") == 0 || count(sent, "HTTP") == 0 {
				t.Error("a key is in the logs or in what searchers got, or these lack what they should have")
			}
		})
	}
}
