package follow

import (
	"fmt"

	"github.com/juju/errors"
)

// Revision is a number of the store that each change increments; 0 is before the
// first change. A store that was restored from a backup gives revisions out again.
type Revision int64

// Era counts how often the store was restored from a backup. Revisions of different
// eras must not be compared.
type Era int64

// Position is a point in the history of the store. The zero Position is before all
// of it.
type Position struct {
	Era      Era
	Revision Revision
}

// CheckNext returns nil if changes up to another position can continue a copy at p. The
// error is ErrRestored if the store was restored between the two, and ErrOutdated if the
// other position is of an earlier era.
func (p Position) CheckNext(next Position) error {
	switch {
	case next.Era < p.Era:
		return errors.WithType(errors.Errorf("%s, already known: %s", next, p), ErrOutdated)
	case next.Era > p.Era || next.Revision < p.Revision:
		return errors.WithType(errors.Errorf("the store was restored: %s, before that %s", next, p), ErrRestored)
	}
	return nil
}

// String returns the position for messages.
func (p Position) String() string { return fmt.Sprintf("revision %d of era %d", p.Revision, p.Era) }
