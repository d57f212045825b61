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

// indexedNode is a node with its parsed address.
type indexedNode struct {
	node    record.Node
	address netip.AddrPort
}

// index holds the newest records in the structures that the queries of Mesh need.
type index struct {
	mu              sync.RWMutex
	topologyVersion uint64 // incremented when the set of live entries or a scope changes
	entriesVersion  uint64 // incremented when the record of an entry or a scope changes
	nodes           map[ident.NodeID]indexedNode
	entries         map[ident.NodeID]struct{}                      // live entries
	pools           map[ident.ServiceID]map[ident.NodeID]struct{}  // live agents
	agentsByDC      map[ident.DataCentre]map[ident.NodeID]struct{} // live agents
	services        map[ident.ServiceID]record.Revision
	scopes          map[membership.ScopeName]record.Scope
	downScopes      map[membership.ScopeName]struct{}
}

func newIndex() *index {
	return &index{
		nodes:      map[ident.NodeID]indexedNode{},
		entries:    map[ident.NodeID]struct{}{},
		pools:      map[ident.ServiceID]map[ident.NodeID]struct{}{},
		agentsByDC: map[ident.DataCentre]map[ident.NodeID]struct{}{},
		services:   map[ident.ServiceID]record.Revision{},
		scopes:     map[membership.ScopeName]record.Scope{},
		downScopes: map[membership.ScopeName]struct{}{},
	}
}

// add inserts a record unless a newer one was inserted concurrently.
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
		delete(x.agentsByDC[old.node.DataCentre], n.ID)
		if old.node.Entry && old.node.Alive() != n.Alive() {
			x.topologyVersion++
		}
	} else if n.Entry {
		x.topologyVersion++
	}
	if n.Entry || x.nodes[n.ID].node.Entry {
		x.entriesVersion++
	}
	address, _ := netip.ParseAddrPort(n.UDPAddress)
	x.nodes[n.ID] = indexedNode{*n, address}
	switch {
	case !n.Alive():
	case n.Entry:
		x.entries[n.ID] = struct{}{}
	default:
		addTo(x.pools, n.Service, n.ID)
		addTo(x.agentsByDC, n.DataCentre, n.ID)
	}
}

// remove removes the node of a record unless a newer record was inserted concurrently.
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
	x.topologyVersion++
	x.entriesVersion++
	if s.Down {
		x.downScopes[name] = struct{}{}
	} else {
		delete(x.downScopes, name)
	}
}

func (x *index) isDown(n *record.Node) bool {
	if len(x.downScopes) == 0 {
		return false
	}
	if _, ok := x.downScopes[membership.DataCentreOf(n)]; ok {
		return true
	}
	rack, ok := membership.RackOf(n)
	if !ok {
		return false
	}
	_, ok = x.downScopes[rack]
	return ok
}

func (x *index) node(id ident.NodeID) (indexedNode, bool) {
	x.mu.RLock()
	defer x.mu.RUnlock()
	n, ok := x.nodes[id]
	return n, ok
}

// lostEntries returns the entries that are marked dead or are in a scope that is down.
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

// poolIDs returns the live agents of a service, including those in scopes that are down, unordered.
func (x *index) poolIDs(service ident.ServiceID) []ident.NodeID {
	x.mu.RLock()
	defer x.mu.RUnlock()
	out := make([]ident.NodeID, 0, len(x.pools[service]))
	for id := range x.pools[service] {
		out = append(out, id)
	}
	return out
}

// entryList is the list of live entries at one version of the index. It is immutable.
type entryList struct {
	version uint64
	nodes   []record.Node
}

// allEntries returns the list of live entries. It returns old itself if that is up to date.
func (x *index) allEntries(old *entryList) *entryList {
	x.mu.RLock()
	defer x.mu.RUnlock()
	if old != nil && old.version == x.entriesVersion {
		return old
	}
	return &entryList{x.entriesVersion, x.live(x.entries)}
}

// agents returns the live agents of the selected data centres, including those in scopes that are
// down.
func (x *index) agents(selected func(ident.DataCentre) bool) []record.Node {
	x.mu.RLock()
	defer x.mu.RUnlock()
	var out []record.Node
	for dc, agents := range x.agentsByDC {
		if !selected(dc) {
			continue
		}
		for id := range agents {
			out = append(out, x.nodes[id].node)
		}
	}
	return out
}

// topology is an immutable snapshot of the live entries.
type topology struct {
	version   uint64
	reachable []ident.NodeID // in no scope that is down
	byDC      map[ident.DataCentre][]ident.NodeID
	watchers  []ident.NodeID // entries that watch this node

	once       sync.Once
	watchedDCs []ident.DataCentre // result of watchedDataCentres
}

// watchedDataCentres returns the data centres that an entry watches as a whole.
func (t *topology) watchedDataCentres(self ident.NodeID, own ident.DataCentre) []ident.DataCentre {
	t.once.Do(func() {
		for dc := range t.byDC {
			_, outside := splitByDataCentre(t.byDC, dc)
			if dc != own && slices.Contains(membership.ScopeWatchersOf(dc, outside), self) {
				t.watchedDCs = append(t.watchedDCs, dc)
			}
		}
	})
	return t.watchedDCs
}

// isCurrent reports whether t is up to date.
func (x *index) isCurrent(t *topology) bool {
	x.mu.RLock()
	defer x.mu.RUnlock()
	return t != nil && t.version == x.topologyVersion
}

// topology builds the snapshot of the live entries. byDC includes entries in scopes that are down,
// as these are still watched.
func (x *index) topology() *topology {
	x.mu.RLock()
	defer x.mu.RUnlock()
	t := &topology{version: x.topologyVersion, byDC: map[ident.DataCentre][]ident.NodeID{}}
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
