// Package evacuation holds the data centres to whose targets no new flows may go, as the operator has
// requested it in the store.
package evacuation

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"
	"unicode/utf8"

	"lacewinglever.dev/policy/ident"
)

const (
	// RestoreHold is how long a data centre stays evacuated after the store was restored from a copy without
	// the request. The operator writes again what the restore has lost.
	RestoreHold = 3 * time.Second
	// maxNameBytes and maxBytes bound the names of a set, because each heartbeat carries it. A digest with it stays
	// below the smallest usual MTU.
	maxNameBytes = 64
	maxBytes     = 256
)

// Position orders sets: by the era of the store, which rises with each restore, then by its revision.
type Position struct {
	Era      uint64 // 0 if the store names none
	Revision uint64 // of the store, as of which the set is complete
}

// Compare returns a negative number if p is older than q, 0 if they are equal, else a positive one.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Revision, q.Revision))
}

// String returns the position for logs.
func (p Position) String() string { return fmt.Sprintf("%d.%d", p.Era, p.Revision) }

// Set is the data centres of all requests in the store at a position. It is immutable.
type Set struct {
	Position
	DataCentres []ident.DataCentre // in ascending order, each once
}

// NewSet returns the set of the requests for these data centres. Names that no data centre can have are left
// out, and so are the last ones beyond the bound. Nodes get the same set from the same names.
func NewSet(at Position, names []string) *Set {
	s := &Set{Position: at}
	for _, name := range names {
		if name != "" && len(name) <= maxNameBytes && utf8.ValidString(name) {
			s.DataCentres = append(s.DataCentres, ident.DataCentre(name))
		}
	}
	slices.Sort(s.DataCentres)
	s.DataCentres = slices.Compact(s.DataCentres)
	size := 0
	for i, dc := range s.DataCentres {
		if size += len(dc); size > maxBytes {
			s.DataCentres = s.DataCentres[:i]
			break
		}
	}
	return s
}

// Change is what has changed in the evacuated data centres.
type Change struct {
	Evacuated []ident.DataCentre
	Withdrawn []ident.DataCentre
}

// IsZero reports whether nothing has changed.
func (c *Change) IsZero() bool { return len(c.Evacuated) == 0 && len(c.Withdrawn) == 0 }

// Current is the set in force at a node. Its methods are safe for concurrent use.
type Current struct {
	mu       sync.RWMutex
	set      *Set                               // nil until one is known
	held     map[ident.DataCentre]time.Duration // evacuated in an earlier era, and until when without a request in this one
	inForce  []ident.DataCentre                 // as of the last call of Offer or Update
	holdEnds time.Duration                      // earliest end in held
}

// Offer puts a set in force if it is newer than the present one. It returns what that has changed, and whether
// the set was newer. After a restore of the store, data centres whose request is missing stay evacuated for
// RestoreHold.
func (c *Current) Offer(now time.Duration, s *Set) (Change, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.set != nil && s.Compare(c.set.Position) <= 0 {
		return Change{}, false
	}
	if c.set != nil && s.Era > c.set.Era {
		held := map[ident.DataCentre]time.Duration{}
		for _, dc := range c.evacuated(now) {
			held[dc] = now + RestoreHold
		}
		c.held = held
	}
	c.set = s
	return c.update(now), true
}

// Update returns what has changed since the last call of Offer or Update because the hold after a restore
// has ended.
func (c *Current) Update(now time.Duration) Change {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.update(now)
}

func (c *Current) update(now time.Duration) Change {
	for dc, until := range c.held {
		if _, requested := slices.BinarySearch(c.set.DataCentres, dc); requested || now >= until {
			delete(c.held, dc) // a request that is deleted later was withdrawn
		}
	}
	c.holdEnds = 0
	for _, until := range c.held {
		if c.holdEnds == 0 || until < c.holdEnds {
			c.holdEnds = until
		}
	}
	before := c.inForce
	c.inForce = c.evacuated(now)
	return Change{Evacuated: without(c.inForce, before), Withdrawn: without(before, c.inForce)}
}

// evacuated returns the evacuated data centres in ascending order.
func (c *Current) evacuated(now time.Duration) []ident.DataCentre {
	if c.set == nil {
		return nil
	}
	if len(c.held) == 0 {
		return c.set.DataCentres
	}
	all := slices.Clone(c.set.DataCentres)
	for dc, until := range c.held {
		if now < until {
			all = append(all, dc)
		}
	}
	slices.Sort(all)
	return slices.Compact(all)
}

func without(a, b []ident.DataCentre) []ident.DataCentre {
	var rest []ident.DataCentre
	for _, dc := range a {
		if !slices.Contains(b, dc) {
			rest = append(rest, dc)
		}
	}
	return rest
}

// Evacuated returns the evacuated data centres in ascending order. The caller must not change the result.
func (c *Current) Evacuated(now time.Duration) []ident.DataCentre {
	c.mu.RLock()
	defer c.mu.RUnlock()
	if c.holdEnds != 0 && now >= c.holdEnds {
		return c.evacuated(now)
	}
	return c.inForce
}

// Load returns the set that was last put in force, nil if none is known. It doesn't contain the data centres
// that only stay evacuated after a restore.
func (c *Current) Load() *Set {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.set
}
