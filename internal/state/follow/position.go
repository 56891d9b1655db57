package follow

import "fmt"

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

// String returns the position for messages.
func (p Position) String() string { return fmt.Sprintf("revision %d of era %d", p.Revision, p.Era) }
