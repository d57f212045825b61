package routes

import (
	"cmp"
	"maps"
	"net/netip"
	"reflect"
	"slices"
	"time"

	"github.com/go-faster/errors"
)

// Limits of the changes that a node keeps for nodes that lag behind. A node that lags further gets
// the complete table.
const (
	// maxChanges covers several changes per second for as long as a node may be cut off without
	// being restarted.
	maxChanges = 32
	// maxChangedRoutes bounds the memory of the kept changes, in routes of some 150 bytes.
	maxChangedRoutes = 20_000
)

// ErrBaseMismatch means that a change was applied to another table than the one that it is based
// on.
var ErrBaseMismatch = errors.New("the change is based on other routes")

// AddressRoute is the route of one address.
type AddressRoute struct {
	Address netip.AddrPort
	Route   Route
}

// Change leads from one table to a later one.
type Change struct {
	Position
	Base        Position // of the table that it is based on; zero for an empty table
	IdleTimeout time.Duration

	Routes          []AddressRoute // added or changed, sorted by address
	RemovedRoutes   []netip.AddrPort
	Services        []string // added
	RemovedServices []string
	Limits          map[string]ServiceLimits // of all services of the later table that have limits
}

// size returns the memory that a change occupies, in routes.
func (c *Change) size() int { return len(c.Routes) + len(c.RemovedRoutes) }

// Diff returns the change from one table to another. before may be nil.
func Diff(before, after *Table) Change {
	c := Change{Position: after.Position, IdleTimeout: after.IdleTimeout, Limits: after.Limits}
	if before == nil {
		before = &Table{}
	}
	c.Base = before.Position
	for address, r := range after.Routes {
		if previous, ok := before.Routes[address]; !ok || !reflect.DeepEqual(previous, r) {
			c.Routes = append(c.Routes, AddressRoute{address, r})
		}
	}
	slices.SortFunc(c.Routes, func(a, b AddressRoute) int { return a.Address.Compare(b.Address) })
	c.RemovedRoutes = missingKeys(before.Routes, after.Routes, netip.AddrPort.Compare)
	c.Services = missingKeys(after.Services, before.Services, cmp.Compare[string])
	c.RemovedServices = missingKeys(before.Services, after.Services, cmp.Compare[string])
	return c
}

// missingKeys returns the keys of one map that another lacks, sorted.
func missingKeys[K comparable, V any](of, in map[K]V, order func(K, K) int) []K {
	var keys []K
	for k := range of {
		if _, ok := in[k]; !ok {
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, order)
	return keys
}

// Apply returns the table that results from applying the change to before, which may be nil if the
// change is based on an empty table. It returns ErrBaseMismatch if the change has another base.
func (c *Change) Apply(before *Table) (*Table, error) {
	t := &Table{Position: c.Position, IdleTimeout: c.IdleTimeout, Limits: c.Limits}
	if c.Base.IsZero() {
		before = &Table{}
	}
	if before == nil || before.Position != c.Base {
		return nil, errors.Wrapf(ErrBaseMismatch, "base %v", c.Base)
	}
	t.Routes = make(map[netip.AddrPort]Route, len(before.Routes)+len(c.Routes))
	maps.Copy(t.Routes, before.Routes)
	for _, a := range c.RemovedRoutes {
		delete(t.Routes, a)
	}
	for _, r := range c.Routes {
		t.Routes[r.Address] = r.Route
	}
	t.Services = make(map[string]struct{}, len(before.Services)+len(c.Services))
	maps.Copy(t.Services, before.Services)
	for _, s := range c.RemovedServices {
		delete(t.Services, s)
	}
	for _, s := range c.Services {
		t.Services[s] = struct{}{}
	}
	return t, nil
}

// history holds the latest changes, each based on the one before it.
type history struct {
	changes []Change
	routes  int
}

func (h *history) add(c Change) {
	h.changes = append(h.changes, c)
	h.routes += c.size()
	for len(h.changes) > maxChanges || h.routes > maxChangedRoutes && len(h.changes) > 0 {
		h.routes -= h.changes[0].size()
		h.changes = slices.Delete(h.changes, 0, 1)
	}
}

// hasRemoved reports whether one of the changes has removed the route of an address.
func (h *history) hasRemoved(a netip.AddrPort) bool {
	return slices.ContainsFunc(h.changes, func(c Change) bool { return slices.Contains(c.RemovedRoutes, a) })
}

// since returns the changes that lead from a position to the newest, nil if they are no longer kept.
func (h *history) since(p Position) []Change {
	at := slices.IndexFunc(h.changes, func(c Change) bool { return c.Base == p })
	if at < 0 || p.IsZero() {
		return nil
	}
	return slices.Clone(h.changes[at:])
}
