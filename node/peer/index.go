package peer

import (
	"cmp"
	"net/netip"
	"slices"
	"sync"

	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/membership"
	"lacewinglever.dev/policy/record"
)

// known is a node with its parsed address.
type known struct {
	node    record.Node
	address netip.AddrPort
}

// index finds the newest records by what Mesh asks for.
type index struct {
	mu       sync.RWMutex
	changes  uint64 // of the set of live entries or of scopes
	entryAt  uint64 // changes of entries' records or of scopes
	nodes    map[ident.NodeID]known
	entries  map[ident.NodeID]struct{}                      // live ones
	pools    map[ident.ServiceID]map[ident.NodeID]struct{}  // live ones
	agentsOf map[ident.DataCentre]map[ident.NodeID]struct{} // live ones
	services map[ident.ServiceID]record.Revision
	scopes   map[membership.ScopeName]record.Scope
	down     map[membership.ScopeName]struct{}
}

func newIndex() *index {
	return &index{
		nodes:    map[ident.NodeID]known{},
		entries:  map[ident.NodeID]struct{}{},
		pools:    map[ident.ServiceID]map[ident.NodeID]struct{}{},
		agentsOf: map[ident.DataCentre]map[ident.NodeID]struct{}{},
		services: map[ident.ServiceID]record.Revision{},
		scopes:   map[membership.ScopeName]record.Scope{},
		down:     map[membership.ScopeName]struct{}{},
	}
}

// add puts a record in, unless a newer one came in between.
func (x *index) add(r *record.Record) {
	x.mu.Lock()
	defer x.mu.Unlock()
	switch {
	case r.Service != nil:
		id := r.Service.Service.ID()
		if r.Service.Number > x.services[id].Number {
			x.services[id] = *r.Service
		}
	case r.Node != nil:
		x.addNode(r)
	case r.Scope != nil:
		x.addScope(r)
	}
}

func (x *index) addNode(r *record.Record) {
	n := r.Node
	if old, ok := x.nodes[n.ID]; ok {
		if record.ForNode(old.node).Version.Compare(r.Version) >= 0 {
			return
		}
		delete(x.entries, n.ID)
		delete(x.pools[old.node.Service], n.ID)
		delete(x.agentsOf[old.node.DataCentre], n.ID)
		if old.node.Entry && old.node.Alive() != n.Alive() {
			x.changes++
		}
	} else if n.Entry {
		x.changes++
	}
	if n.Entry || x.nodes[n.ID].node.Entry {
		x.entryAt++
	}
	address, _ := netip.ParseAddrPort(n.UDPAddress)
	x.nodes[n.ID] = known{*n, address}
	switch {
	case !n.Alive():
	case n.Entry:
		x.entries[n.ID] = struct{}{}
	default:
		addTo(x.pools, n.Service, n.ID)
		addTo(x.agentsOf, n.DataCentre, n.ID)
	}
}

// remove forgets the node of a record, unless a newer one came in between.
func (x *index) remove(r *record.Record) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if n := x.nodes[r.Node.ID]; record.ForNode(n.node).Version != r.Version {
		return
	}
	delete(x.nodes, r.Node.ID)
}

func addTo[K comparable](sets map[K]map[ident.NodeID]struct{}, key K, id ident.NodeID) {
	if sets[key] == nil {
		sets[key] = map[ident.NodeID]struct{}{}
	}
	sets[key][id] = struct{}{}
}

func (x *index) addScope(r *record.Record) {
	s := r.Scope
	name := membership.ScopeName{Kind: s.Kind, Name: s.Name}
	if old, ok := x.scopes[name]; ok && record.ForScope(old).Version.Compare(r.Version) >= 0 {
		return
	}
	x.scopes[name] = *s
	x.changes++
	x.entryAt++
	if s.Down {
		x.down[name] = struct{}{}
	} else {
		delete(x.down, name)
	}
}

func (x *index) isDown(n *record.Node) bool {
	if len(x.down) == 0 {
		return false
	}
	if _, ok := x.down[membership.DataCentreOf(n)]; ok {
		return true
	}
	rack, ok := membership.RackOf(n)
	if !ok {
		return false
	}
	_, ok = x.down[rack]
	return ok
}

func (x *index) node(id ident.NodeID) (known, bool) {
	x.mu.RLock()
	defer x.mu.RUnlock()
	n, ok := x.nodes[id]
	return n, ok
}

// lostEntries returns the entries that are held dead or are in a scope that is down.
func (x *index) lostEntries() []record.Node {
	x.mu.RLock()
	defer x.mu.RUnlock()
	var out []record.Node
	for _, n := range x.nodes {
		if n.node.Entry && (n.node.State == record.Dead || n.node.Alive() && x.isDown(&n.node)) {
			out = append(out, n.node)
		}
	}
	return out
}

func (x *index) pool(service ident.ServiceID) []record.Node {
	x.mu.RLock()
	defer x.mu.RUnlock()
	return x.live(x.pools[service])
}

// poolIDs returns the live agents of a service, also those of scopes that are down, in no order.
func (x *index) poolIDs(service ident.ServiceID) []ident.NodeID {
	x.mu.RLock()
	defer x.mu.RUnlock()
	out := make([]ident.NodeID, 0, len(x.pools[service]))
	for id := range x.pools[service] {
		out = append(out, id)
	}
	return out
}

// entryList is the live entries at a state of the index. It is not changed.
type entryList struct {
	at    uint64
	nodes []record.Node
}

// allEntries returns the live entries, and the same list while it holds.
func (x *index) allEntries(old *entryList) *entryList {
	x.mu.RLock()
	defer x.mu.RUnlock()
	if old != nil && old.at == x.entryAt {
		return old
	}
	return &entryList{x.entryAt, x.live(x.entries)}
}

// agents returns the live agents of these data centres, also those of scopes that are down.
func (x *index) agents(wanted func(ident.DataCentre) bool) []record.Node {
	x.mu.RLock()
	defer x.mu.RUnlock()
	var out []record.Node
	for dc, agents := range x.agentsOf {
		if !wanted(dc) {
			continue
		}
		for id := range agents {
			out = append(out, x.nodes[id].node)
		}
	}
	return out
}

// topology is an immutable picture of the live entries.
type topology struct {
	changes   uint64
	reachable []ident.NodeID // not in a scope that is down
	byDC      map[ident.DataCentre][]ident.NodeID
	watchers  []ident.NodeID // of this node

	once   sync.Once
	scopes []ident.DataCentre // that this node watches as a whole, see watchedScopes
}

// watchedScopes returns the data centres that an entry watches as a whole.
func (t *topology) watchedScopes(self ident.NodeID, own ident.DataCentre) []ident.DataCentre {
	t.once.Do(func() {
		for dc := range t.byDC {
			_, outside := split(t.byDC, dc)
			if dc != own && slices.Contains(membership.ScopeWatchersOf(dc, outside), self) {
				t.scopes = append(t.scopes, dc)
			}
		}
	})
	return t.scopes
}

// current tells whether t is up to date.
func (x *index) current(t *topology) bool {
	x.mu.RLock()
	defer x.mu.RUnlock()
	return t != nil && t.changes == x.changes
}

// topology makes the picture of the live entries. byDC has also those of scopes that are down, which are still watched.
func (x *index) topology() *topology {
	x.mu.RLock()
	defer x.mu.RUnlock()
	t := &topology{changes: x.changes, byDC: map[ident.DataCentre][]ident.NodeID{}}
	for id := range x.entries {
		n := x.nodes[id].node
		t.byDC[n.DataCentre] = append(t.byDC[n.DataCentre], id)
		if !x.isDown(&n) {
			t.reachable = append(t.reachable, id)
		}
	}
	for _, ids := range t.byDC {
		slices.Sort(ids)
	}
	return t
}

// live returns the nodes that are in no scope that is down, sorted by id.
func (x *index) live(ids map[ident.NodeID]struct{}) []record.Node {
	out := make([]record.Node, 0, len(ids))
	for id := range ids {
		n := x.nodes[id].node
		if !x.isDown(&n) {
			out = append(out, n)
		}
	}
	slices.SortFunc(out, func(a, b record.Node) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

func (x *index) revisions() []record.Revision {
	x.mu.RLock()
	defer x.mu.RUnlock()
	out := make([]record.Revision, 0, len(x.services))
	for _, r := range x.services {
		if !r.Deleted {
			out = append(out, r)
		}
	}
	return out
}

func (x *index) revision(id ident.ServiceID) (record.Revision, bool) {
	x.mu.RLock()
	defer x.mu.RUnlock()
	r, ok := x.services[id]
	return r, ok
}
