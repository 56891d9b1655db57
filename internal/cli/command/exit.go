package command

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/juju/errors"

	"egrethaven/internal/cli/adminclient"
)

// The exit codes.
const (
	exitOK = 0
	// exitDegraded: there was an answer, but it tells of a fault, a conflict
	// or an incomplete result.
	exitDegraded = 1
	// exitUsage: the command line, a file or a request is not valid.
	exitUsage = 2
	// exitUnreachable: no answer came.
	exitUnreachable = 3
)

// failure ends a command with an exit code.
type failure struct {
	code int
	// what went wrong, and next, what to do about it.
	what, next string
}

// Error returns the failure in words.
func (f *failure) Error() string {
	if f.next == "" {
		return f.what
	}
	return f.what + "; " + f.next
}

// usage is the failure of a command line or file that is not valid.
func usage(next, format string, args ...any) error {
	return &failure{code: exitUsage, what: fmt.Sprintf(format, args...), next: next}
}

// degraded ends a command that has printed its result already.
func degraded() error {
	return &failure{code: exitDegraded}
}

// classify turns any error of a command into a failure.
func classify(err error) *failure {
	var f *failure
	if errors.As(err, &f) {
		return f
	}
	var p *adminclient.Problem
	if errors.As(err, &p) {
		return classifyProblem(p)
	}
	if errors.Is(err, adminclient.ErrUnreachable) {
		return &failure{code: exitUnreachable, what: err.Error(), next: "check --addr and that the node runs, or ask another node"}
	}
	// Suggestions of the library come on lines of their own.
	return &failure{code: exitUsage, what: strings.Join(strings.Fields(err.Error()), " "), next: "see egrethaven help"}
}

// classifyProblem sorts the problems that a node answers with.
func classifyProblem(p *adminclient.Problem) *failure {
	switch p.Status {
	case http.StatusUnauthorized:
		return &failure{code: exitUsage, what: "the node refused the token", next: "set --token or EGRETHAVEN_TOKEN to the [operator] token of its settings"}
	case http.StatusBadRequest, http.StatusNotFound, http.StatusMethodNotAllowed, http.StatusRequestEntityTooLarge:
		return &failure{code: exitUsage, what: p.Error()}
	}
	return &failure{code: exitDegraded, what: p.Error()}
}
