// Package routes holds the routes in force at a node: which service new flows to an address open at. Tables only ever replace older ones.
package routes

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// Share is a service's part of a route's new flows.
type Share struct {
	Service string
	Weight  float64
}

// Route tells where the flows to one address go.
type Route struct {
	Name   string
	Shares []Share // at least one
	// Objective is the time within which an answer is of full use to its caller, from the caller's first packet; 0 if none is set.
	Objective time.Duration
}

// PickService returns the service of a new flow with this hash.
func (r *Route) PickService(hash uint64) string {
	total := 0.0
	for _, s := range r.Shares {
		total += s.Weight
	}
	if total <= 0 {
		return r.Shares[0].Service
	}
	at := float64(hash>>11) / (1 << 53) * total
	for _, s := range r.Shares {
		if at < s.Weight {
			return s.Service
		}
		at -= s.Weight
	}
	return r.Shares[len(r.Shares)-1].Service
}

// HasService tells whether new flows may open at the service.
func (r *Route) HasService(service string) bool {
	for _, s := range r.Shares {
		if s.Service == service && (s.Weight > 0 || len(r.Shares) == 1) {
			return true
		}
	}
	return false
}

// Table is one accepted version of all routes. It is not changed once made.
type Table struct {
	Revision    uint64 // of the stored object; increases with each change
	Version     int64  // the operator's number
	IdleTimeout time.Duration
	Routes      map[netip.AddrPort]Route
	Services    map[string]struct{}
}

// Lookup returns the route of an address.
func (t *Table) Lookup(a netip.AddrPort) (*Route, bool) {
	r, ok := t.Routes[a]
	return &r, ok
}

// Current is the newest table that a node knows. Its methods may be called from any goroutine.
type Current struct {
	table atomic.Pointer[Table]

	mu      sync.Mutex // of changes to table, and of
	history history
}

// Load returns the table in force, nil if none is known.
func (c *Current) Load() *Table { return c.table.Load() }

// Revision returns the revision in force, 0 if none is known.
func (c *Current) Revision() uint64 {
	if t := c.table.Load(); t != nil {
		return t.Revision
	}
	return 0
}

// Offer puts a table in force unless the present one is as new. It returns the table that was in force before, and whether t is in force now.
func (c *Current) Offer(t *Table) (*Table, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.table.Load()
	if old != nil && old.Revision >= t.Revision {
		return old, false
	}
	if old != nil {
		c.history.add(Diff(old, t))
	}
	c.table.Store(t)
	return old, true
}

// ChangesSince returns the changes that lead from a revision to the table in force: the last ones, or one from an empty table if they are not kept. It is empty if
// nothing newer is known.
func (c *Current) ChangesSince(revision uint64) []Change {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.table.Load()
	if t == nil || t.Revision <= revision {
		return nil
	}
	if changes := c.history.since(revision); changes != nil {
		return changes
	}
	return []Change{Diff(nil, t)}
}

// Latest returns the last change, and false if there was none since the first table.
func (c *Current) Latest() (Change, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := len(c.history.changes); n > 0 {
		return c.history.changes[n-1], true
	}
	return Change{}, false
}
