package kv

import (
	"github.com/juju/errors"

	"egrethaven/internal/state/follow"
)

// status tells how a call ended. An error that does not say that nothing was
// done leaves the effect unknown.
func status(err error) (s Status, throttled bool) {
	switch {
	case err == nil:
		return Done, false
	case errors.Is(err, follow.ErrConflict):
		return Conflict, false
	case errors.Is(err, follow.ErrNotFound):
		return Absent, false
	case errors.Is(err, follow.ErrThrottled):
		return Down, true
	case errors.Is(err, follow.ErrRefused), errors.Is(err, follow.ErrNotSent):
		return Down, false
	}
	return Unknown, false
}
