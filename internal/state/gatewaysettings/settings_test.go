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

// TestAccounts checks the limit on the age of keys, and that a placeholder without a value
// means the default.
func TestAccounts(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"": 0, "strict_revoke = \nrevoke_ms = \nmax_skew_ms =": 0, "strict_revoke = false\nrevoke_ms = 9": 0,
		"strict_revoke = true": 5 * time.Second, "strict_revoke = True\nrevoke_ms = 2500.0\nmax_skew_ms = 250": 2750 * time.Millisecond,
	} {
		s, ps := gatewaysettings.Parse("g.ini", []byte(validFile+"[accounts]\n"+text))
		if len(ps) > 0 || s.MaxKeyAge() != want {
			t.Errorf("%q: %s, want %s; %v", text, s.MaxKeyAge(), want, problem.Strings(ps))
		}
	}
}

// TestRegions checks the regions of failure domains, whose names are the platform's.
func TestRegions(t *testing.T) {
	s, ps := gatewaysettings.Parse("g.ini", []byte(validFile+"[regions]\nsapporo = north\notaru = \"far west\"\n"))
	if len(ps) > 0 || s.Regions.Of("sapporo") != "north" || s.Regions.Of("otaru") != "far west" || s.Regions.Of("x") != "" {
		t.Errorf("%v %v", s.Regions, problem.Strings(ps))
	}
	if _, ps := gatewaysettings.Parse("g.ini", []byte(validFile+"[regions]\nA B = north\n")); len(ps) != 1 {
		t.Errorf("accepted %v", problem.Strings(ps))
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
