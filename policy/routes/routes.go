// Package routes holds the routes in force at a node, which map an address to the services at which
// its new flows open. A table is only ever replaced by a newer one.
package routes

import (
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Share is a service's part of the new flows of a route.
type Share struct {
	Service string
	Weight  float64
}

// Route maps the new flows of one address to services.
type Route struct {
	Name   string
	Shares []Share // at least one
	// Objective is the latency objective, counted from the caller's first packet; 0 if none is set.
	Objective time.Duration
	// Timeout is the time limit of a request, counted from the caller's first packet; 0 if none is set.
	Timeout time.Duration
	// Priority orders the routes that compete for the targets of a service; 0 is the highest.
	Priority int
	// Idempotent is set if the requests may be repeated.
	Idempotent bool
}

// ServiceLimits are the limits of one service's targets.
type ServiceLimits struct {
	// ColdPerSecond is the number of requests per second that a target bears while it is cold; 0 if there is no limit.
	ColdPerSecond float64
	// ColdStart is the time after its start for which a target is cold.
	ColdStart time.Duration
}

// PickService returns the service at which a flow with this hash opens.
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

// SearchServices returns the services at which an open flow with this hash may be, the most likely one
// first. A flow stays where it opened when the weights change, also if its service has no weight left.
func (r *Route) SearchServices(hash uint64) []string {
	services := []string{r.PickService(hash)}
	for _, s := range r.Shares {
		if !slices.Contains(services, s.Service) {
			services = append(services, s.Service)
		}
	}
	return services
}

// HasService reports whether new flows may open at the service.
func (r *Route) HasService(service string) bool {
	for _, s := range r.Shares {
		if s.Service == service && (s.Weight > 0 || len(r.Shares) == 1) {
			return true
		}
	}
	return false
}

// Table is one accepted version of all routes. It is immutable.
type Table struct {
	Position
	IdleTimeout time.Duration
	Routes      map[netip.AddrPort]Route
	Services    map[string]struct{}
	Limits      map[string]ServiceLimits // of the services that have limits
}

// PositionOrZero returns the position of the table, the zero one if t is nil.
func (t *Table) PositionOrZero() Position {
	if t == nil {
		return Position{}
	}
	return t.Position
}

// Lookup returns the route of an address.
func (t *Table) Lookup(a netip.AddrPort) (*Route, bool) {
	r, ok := t.Routes[a]
	return &r, ok
}

// Current is the newest table that a node has received. Its methods are safe for concurrent use.
type Current struct {
	table atomic.Pointer[Table]

	mu      sync.Mutex // serialises changes of table, guards history
	history history
}

// Load returns the table in force, nil if there is none yet.
func (c *Current) Load() *Table { return c.table.Load() }

// Position returns the position of the table in force, the zero one if there is none yet.
func (c *Current) Position() Position {
	return c.table.Load().PositionOrZero()
}

// Offer puts a table in force unless the current one is as new. It returns the table that was in
// force before, and whether t is in force now.
func (c *Current) Offer(t *Table) (*Table, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.table.Load()
	if old != nil && !t.NewerThan(old.Position) {
		return old, false
	}
	if old != nil {
		c.history.add(Diff(old, t))
	}
	c.table.Store(t)
	return old, true
}

// ChangesSince returns the changes that lead from the table at a position to the table in force. These
// are the latest changes, or a single one from an empty table if they are no longer kept. The result
// is empty if there is no newer table.
func (c *Current) ChangesSince(p Position) []Change {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.table.Load()
	if t == nil || !t.NewerThan(p) {
		return nil
	}
	if changes := c.history.since(p); changes != nil {
		return changes
	}
	return []Change{Diff(nil, t)}
}

// HasRemoved reports whether the latest changes have removed the route of an address. A route that is missing
// otherwise may never have existed, or be newer than the table in force.
func (c *Current) HasRemoved(a netip.AddrPort) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.table.Load()
	if t == nil {
		return false
	}
	_, exists := t.Lookup(a)
	return !exists && c.history.hasRemoved(a)
}

// Latest returns the last change. It returns false if there was none since the first table.
func (c *Current) Latest() (Change, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := len(c.history.changes); n > 0 {
		return c.history.changes[n-1], true
	}
	return Change{}, false
}
