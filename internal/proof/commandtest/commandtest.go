// Package commandtest runs a command of the program in tests, and checks that it prints no secret.
//
// # Usage
//
//	r := commandtest.Runner{Main: command.Main, Args: []string{"explain", "--key", "s3cret"}, Secret: "s3cret"}
//	r.Check(t, 2, []string{"a host"}, "--path", "/x")
package commandtest

import (
	"io"
	"slices"
	"strings"
	"testing"
)

// Runner runs a command with Main. All runs have Args and Input. Secret is a part of each secret
// that the command is given.
type Runner struct {
	Main          func(args []string, in io.Reader, out, errOut io.Writer) int
	Args          []string
	Input, Secret string
}

// Run returns the exit code of a run with more arguments, and its output and errors together.
func (r Runner) Run(t *testing.T, args ...string) (code int, out string) {
	t.Helper()
	var stdout, stderr strings.Builder
	code = r.Main(slices.Concat(r.Args, args), strings.NewReader(r.Input), &stdout, &stderr)
	if out = stdout.String() + stderr.String(); strings.Contains(out, r.Secret) {
		t.Errorf("%q: a secret was printed:\n%s", args, out)
	}
	return code, out
}

// Check runs the command and checks the exit code and that all texts are printed.
func (r Runner) Check(t *testing.T, want int, texts []string, args ...string) {
	t.Helper()
	code, out := r.Run(t, args...)
	if code != want || slices.ContainsFunc(texts, func(s string) bool { return !strings.Contains(out, s) }) {
		t.Errorf("%q: exit code %d, want %d, and %q in\n%s", args, code, want, texts, out)
	}
}
