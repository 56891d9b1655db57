package gatewaysettings_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"egrethaven/internal/state/gatewaysettings"
	"egrethaven/internal/state/problem"
)

const validFile = `[gateway]
vm = a
domain = sapporo
[listen]
clients = 127.0.0.1:1
ready = 127.0.0.1:2
metrics = 127.0.0.1:3
[store]
address = 127.0.0.1:4
`

func TestParse(t *testing.T) {
	s, ps := gatewaysettings.Parse("g.ini", []byte(validFile))
	if len(ps) > 0 {
		t.Fatal(ps)
	}
	if s.RetryWindow != 10*time.Second || s.ShutdownTimeout != 6*time.Second || s.EntryGrace != 2*time.Second || s.Cores != 1 {
		t.Errorf("%+v", s)
	}
}

// TestProblems checks the text of the first problem of invalid files.
func TestProblems(t *testing.T) {
	for old, c := range map[string]struct{ replacement, want string }{
		"vm = a":               {"vm = ", `g.ini:2: [gateway] vm: "" is not allowed`},
		"[store]":              {"[stores]", "g.ini: [store] address: key is missing"},
		"domain = sapporo":     {"domains = sapporo", "g.ini:1: [gateway] domain: key is missing"},
		"clients = 127.0.0.1:": {"clients = localhost:", `g.ini:5: [listen] clients: "localhost:1" is not allowed`},
		"[gateway]":            {"[retries]\nwindow_s = 0\n[gateway]", `g.ini:2: [retries] window_s: "0" is not allowed`},
	} {
		_, ps := gatewaysettings.Parse("g.ini", []byte(strings.Replace(validFile, old, c.replacement, 1)))
		if len(ps) == 0 || !strings.HasPrefix(problem.Strings(ps)[0], c.want) {
			t.Errorf("%s: got %v, want %s", c.replacement, problem.Strings(ps), c.want)
		}
	}
}

// TestWatcher changes the file without a signal, makes it invalid and then restores
// it, and checks that only valid contents take effect.
func TestWatcher(t *testing.T) {
	file := filepath.Join(t.TempDir(), "g.ini")
	write := func(s string) {
		if err := os.WriteFile(file, []byte(s), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(validFile)
	synctest.Test(t, func(t *testing.T) {
		var levels []string
		refusals := 0
		w := gatewaysettings.NewWatcher(gatewaysettings.WatcherConfig{File: file, CurrentContent: []byte(validFile),
			OnChange:  func(s gatewaysettings.Settings) { levels = append(levels, string(s.LogLevel)) },
			OnInvalid: func([]problem.Problem) { refusals++ }})
		go w.Run(t.Context())
		for _, s := range []string{validFile, validFile + "[process]\nlog_level = warn\n", validFile + "[process]\nlog_level = loud\n", validFile} {
			write(s)
			time.Sleep(12 * time.Second)
			synctest.Wait()
		}
		if strings.Join(levels, " ") != "warn info" || refusals != 1 {
			t.Errorf("levels %v, refused %d times", levels, refusals)
		}
	})
}
