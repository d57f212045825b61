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

// Bounds of the changes that a node keeps for others that lag behind. A node that lags further gets the whole table.
const (
	// keptChanges outlasts a storm of several changes a second for as long as any node may be cut off without being restarted.
	keptChanges = 32
	// keptRoutes bounds their memory, in routes of some 150 bytes.
	keptRoutes = 20_000
)

// ErrBaseMismatch means that a change does not follow from the table that it was applied to.
var ErrBaseMismatch = errors.New("the change follows from another revision of the routes")

// AddressRoute is the route of one address.
type AddressRoute struct {
	Address netip.AddrPort
	Route   Route
}

// Change leads from one table to a later one.
type Change struct {
	Base        uint64 // revision of the table that it follows from; 0: from an empty one
	Revision    uint64
	Version     int64
	IdleTimeout time.Duration

	Routes          []AddressRoute // added or changed, in the order of their addresses
	RemovedRoutes   []netip.AddrPort
	Services        []string // added
	RemovedServices []string
}

// size is the memory that a change takes, in routes.
func (c *Change) size() int { return len(c.Routes) + len(c.RemovedRoutes) }

// Diff returns the change from one table to another. before may be nil.
func Diff(before, after *Table) Change {
	c := Change{Revision: after.Revision, Version: after.Version, IdleTimeout: after.IdleTimeout}
	if before == nil {
		before = &Table{}
	}
	c.Base = before.Revision
	for address, r := range after.Routes {
		if old, ok := before.Routes[address]; !ok || !reflect.DeepEqual(old, r) {
			c.Routes = append(c.Routes, AddressRoute{address, r})
		}
	}
	slices.SortFunc(c.Routes, func(a, b AddressRoute) int { return a.Address.Compare(b.Address) })
	c.RemovedRoutes = missing(before.Routes, after.Routes, netip.AddrPort.Compare)
	c.Services = missing(after.Services, before.Services, cmp.Compare[string])
	c.RemovedServices = missing(before.Services, after.Services, cmp.Compare[string])
	return c
}

// missing returns the keys of one map that another lacks, in order.
func missing[K comparable, V any](of, in map[K]V, order func(K, K) int) []K {
	var keys []K
	for k := range of {
		if _, ok := in[k]; !ok {
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, order)
	return keys
}

// Apply returns the table that a change leads to. before may be nil for a change from an empty table. Errors: ErrBaseMismatch.
func (c *Change) Apply(before *Table) (*Table, error) {
	t := &Table{Revision: c.Revision, Version: c.Version, IdleTimeout: c.IdleTimeout}
	if c.Base == 0 {
		before = &Table{}
	}
	if before == nil || before.Revision != c.Base {
		return nil, errors.Wrapf(ErrBaseMismatch, "base %d", c.Base)
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

// history holds the last changes, each following from the one before.
type history struct {
	changes []Change
	routes  int
}

func (h *history) add(c Change) {
	h.changes = append(h.changes, c)
	h.routes += c.size()
	for len(h.changes) > keptChanges || h.routes > keptRoutes && len(h.changes) > 0 {
		h.routes -= h.changes[0].size()
		h.changes = slices.Delete(h.changes, 0, 1)
	}
}

// since returns the changes that lead from a revision to the newest, nil if they are not kept.
func (h *history) since(revision uint64) []Change {
	at := slices.IndexFunc(h.changes, func(c Change) bool { return c.Base == revision })
	if at < 0 || revision == 0 {
		return nil
	}
	return slices.Clone(h.changes[at:])
}
