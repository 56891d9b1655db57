package command

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/juju/errors"

	"egrethaven/internal/cli/adminclient"
)

// Exit codes of all commands.
const (
	exitOK = 0
	// exitDegraded means that the answer reports a fault, a conflict or an
	// incomplete result.
	exitDegraded = 1
	// exitUsage means that the command line, a file or a request is invalid.
	exitUsage = 2
	// exitUnreachable means that no response was received.
	exitUnreachable = 3
)

// exitError is an error that ends the program with an exit code.
type exitError struct {
	code int
	// message describes the error, and the optional hint says how to fix it.
	message, hint string
}

// Error returns the message, followed by the hint if there is one.
func (e *exitError) Error() string {
	if e.hint == "" {
		return e.message
	}
	return e.message + "; " + e.hint
}

// usageError returns an error for an invalid command line or file.
func usageError(hint, format string, args ...any) error {
	return &exitError{code: exitUsage, message: fmt.Sprintf(format, args...), hint: hint}
}

// degradedError ends a command that has already printed its result.
func degradedError() error {
	return &exitError{code: exitDegraded}
}

// toExitError converts any error of a command to an exitError.
func toExitError(err error) *exitError {
	var e *exitError
	if errors.As(err, &e) {
		return e
	}
	var respErr *adminclient.ResponseError
	if errors.As(err, &respErr) {
		return responseExitError(respErr)
	}
	if errors.Is(err, adminclient.ErrUnreachable) {
		return &exitError{code: exitUnreachable, message: err.Error(), hint: "check --addr and that the node runs, or ask another node"}
	}
	// cobra puts its suggestions on separate lines; join them into one.
	return &exitError{code: exitUsage, message: strings.Join(strings.Fields(err.Error()), " "), hint: "see egrethaven help"}
}

// responseExitError converts an error response of a node to an exitError.
func responseExitError(respErr *adminclient.ResponseError) *exitError {
	switch respErr.Status {
	case http.StatusUnauthorized:
		return &exitError{code: exitUsage, message: "the node refused the token", hint: "set --token or EGRETHAVEN_TOKEN to the [operator] token of its settings"}
	case http.StatusBadRequest, http.StatusNotFound, http.StatusMethodNotAllowed, http.StatusRequestEntityTooLarge:
		return &exitError{code: exitUsage, message: respErr.Error()}
	}
	return &exitError{code: exitDegraded, message: respErr.Error()}
}
