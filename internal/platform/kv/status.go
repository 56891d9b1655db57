package kv

import (
	"github.com/juju/errors"

	"egrethaven/internal/state/follow"
)

// status converts the error of a call to a Status. throttled reports whether the
// service rejected the call because of its rate limit. Unless an error guarantees that
// the call had no effect, the status is Unknown.
func status(err error) (s Status, throttled bool) {
	switch {
	case err == nil:
		return OK, false
	case errors.Is(err, follow.ErrConflict):
		return Conflict, false
	case errors.Is(err, follow.ErrNotFound):
		return NotFound, false
	case errors.Is(err, follow.ErrThrottled):
		return Unavailable, true
	case errors.Is(err, follow.ErrRefused), errors.Is(err, follow.ErrNotSent):
		return Unavailable, false
	}
	return Unknown, false
}
