package routes

import (
	"cmp"
	"fmt"
)

// Position orders tables. Revisions alone can't: a store that is restored from an older copy gives
// revisions out again for other content. The operator's version rises with each change whatever the
// store does, so it decides first. A table of a version that was stored more than once is ordered by
// era, then by revision.
type Position struct {
	Version  int64  // number that the operator gave the table
	Era      uint64 // of the store that the table was read from; 0 if the store names none
	Revision uint64 // of the stored object in that era, at least 1
}

// IsZero reports whether the position is that of no table.
func (p Position) IsZero() bool { return p == Position{} }

// Compare returns a negative number if p is older than q, 0 if they are equal, else a positive one.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Version, q.Version), cmp.Compare(p.Era, q.Era), cmp.Compare(p.Revision, q.Revision))
}

// NewerThan reports whether p is newer than q.
func (p Position) NewerThan(q Position) bool { return p.Compare(q) > 0 }

// String returns the position for logs.
func (p Position) String() string { return fmt.Sprintf("%d@%d.%d", p.Version, p.Era, p.Revision) }
