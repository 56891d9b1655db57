// Package commandtest runs commands of the program in tests, and checks that they print no
// secrets.
//
// # Usage
//
//	r := commandtest.Runner{Main: command.Main, Args: []string{"explain", "--key", "s3cret"}, Secret: "s3cret"}
//	code, out := r.Run(t, "--host", "search.example", "--path", "/x")
//	r.Check(t, "no host", commandtest.Want{Code: 2, Texts: []string{"a host"}}, "--path", "/x")
package commandtest

import (
	"io"
	"slices"
	"strings"
	"testing"
)

// Runner runs a command.
type Runner struct {
	// Main is the program.
	Main func(args []string, in io.Reader, out, errOut io.Writer) int
	// Args are the arguments of all runs, and Input is their standard input.
	Args  []string
	Input string
	// Secret is a part of all secrets that the command is given.
	Secret string
}

// Want is what a run has to end with.
type Want struct {
	Code int
	// Texts are parts of the output and the errors together.
	Texts []string
}

// Run runs the command with more arguments, and returns its exit code, and its output and errors
// together. It reports an error if they have the secret.
func (r Runner) Run(t *testing.T, args ...string) (code int, out string) {
	t.Helper()
	var stdout, stderr strings.Builder
	code = r.Main(slices.Concat(r.Args, args), strings.NewReader(r.Input), &stdout, &stderr)
	out = stdout.String() + stderr.String()
	if strings.Contains(out, r.Secret) {
		t.Errorf("%q: a secret was printed:\n%s", args, out)
	}
	return code, out
}

// Check runs the command and reports an error if it does not end as wanted.
func (r Runner) Check(t *testing.T, name string, w Want, args ...string) {
	t.Helper()
	code, out := r.Run(t, args...)
	if code != w.Code {
		t.Errorf("%s: exit code %d, want %d; printed\n%s", name, code, w.Code, out)
	}
	for _, text := range w.Texts {
		if !strings.Contains(out, text) {
			t.Errorf("%s: no %q in\n%s", name, text, out)
		}
	}
}
