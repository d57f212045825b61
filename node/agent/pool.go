package agent

import (
	"cmp"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log/level"

	"lacewinglever.dev/node/logging"
	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/placement"
	"lacewinglever.dev/policy/record"
	"lacewinglever.dev/policy/settings"
	"lacewinglever.dev/policy/view"
)

const (
	// entryTimeout is for how long an entry that was not heard is still used for return traffic.
	entryTimeout = time.Second
	// memberTimeout is for how long a member that was not heard is kept in the view against a record that holds it dead. It is shorter than
	// the 3 s after which a silent node is declared dead, so a node that really died is not kept.
	memberTimeout = time.Second
	// sameReport is how far the times of arrival of one load report may differ when they are computed from its age.
	sameReport = 50 * time.Millisecond
)

// pool is what the agent derives from the mesh: settings, view and load reports. refresh is its only writer.
type pool struct {
	mu       sync.Mutex
	spec     settings.Spec
	known    bool   // spec is from a revision
	revision uint64 // in force, a deletion included
	view     *view.View
	reports  map[ident.NodeID]report
}

// report tells load reports of one target apart.
type report struct {
	arrived time.Duration
	number  uint64
}

func (p *pool) init(service ident.ServiceID) {
	p.view = view.Build(nil, service, view.DefaultSlots, nil)
	p.reports = map[ident.NodeID]report{}
	p.spec = settings.Spec{HashSlots: view.DefaultSlots, IdleTimeout: defaultIdleTimeout}
}

// prune forgets the reports of nodes that are not in the view.
func (p *pool) prune(v *view.View) {
	for id := range p.reports {
		if _, ok := v.Member(id); !ok {
			delete(p.reports, id)
		}
	}
}

func (p *pool) settings() settings.Spec {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.spec
}

func (p *pool) warmUp() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.spec.WarmUp
}

func (p *pool) applied() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.revision
}

// Settings returns the newest accepted settings of the service, nil while none are known.
func (a *Agent) Settings() *settings.Spec {
	a.pool.mu.Lock()
	defer a.pool.mu.Unlock()
	if !a.pool.known {
		return nil
	}
	spec := a.pool.spec
	return &spec
}

// routes are the addresses of agents and entries. They are replaced as a whole.
type routes struct {
	digest  uint64
	agents  map[ident.NodeID]netip.AddrPort
	entries map[ident.NodeID]netip.AddrPort
	order   []ident.NodeID // usable entries; those before local are of the own data centre
	local   int
}

// entry returns the wanted entry if it is live, else another one, of the own data centre if there is any.
func (r *routes) entry(wanted ident.NodeID, caller ident.Caller) (ident.NodeID, netip.AddrPort, bool) {
	if to, ok := r.entries[wanted]; ok {
		return wanted, to, true
	}
	choice := r.order
	if r.local > 0 {
		choice = r.order[:r.local]
	}
	if len(choice) == 0 {
		return 0, netip.AddrPort{}, false
	}
	id := choice[xxhash.Sum64(caller[:])%uint64(len(choice))]
	return id, r.entries[id], true
}

// refresh takes over what the mesh knows now.
func (a *Agent) refresh() {
	a.applySettings()
	members := a.members()
	spec := a.pool.settings()
	a.pool.mu.Lock()
	v := a.pool.view
	// A view of the largest pool takes milliseconds to build, so it is built only for a change.
	if v.Slots() != spec.HashSlots || !slices.Equal(v.Members, members) {
		v = view.Build(v, a.service, spec.HashSlots, members)
		a.pool.view = v
		a.pool.prune(v)
	}
	a.pool.mu.Unlock()
	a.setRoutes(v)
	a.table.SetView(a.now(), v)
	a.chooser.Update(a.reports(v))
}

// applySettings applies the newest accepted revision. Revisions only go forwards. After a deletion, which the entries carry out, the
// settings before it remain for what is in progress.
func (a *Agent) applySettings() {
	revision, ok := a.options.Mesh.Revision(a.service)
	if !ok || revision.Number <= a.pool.applied() {
		return
	}
	a.deleted.Store(revision.Deleted)
	if revision.Deleted {
		a.pool.mu.Lock()
		a.pool.revision = revision.Number
		a.pool.mu.Unlock()
		_ = level.Info(a.options.Logger).Log(logging.KeyMessage, "service deleted", logging.KeyRevision, revision.Number)
		return
	}
	spec, err := a.options.Parse("revision", a.options.Service, revision.Spec)
	if err != nil {
		_ = level.Error(a.options.Logger).Log(logging.KeyMessage, "accepted revision cannot be parsed",
			logging.KeyRevision, revision.Number, logging.KeyError, err)
		return
	}
	a.pool.mu.Lock()
	a.pool.spec, a.pool.known = *spec, true
	a.pool.revision = revision.Number
	a.pool.mu.Unlock()
	a.table.SetIdleTimeout(spec.IdleTimeout)
	_ = level.Info(a.options.Logger).Log(logging.KeyMessage, "settings applied", logging.KeyRevision, revision.Number)
}

// members returns the pool, sorted by id, with the weights that the settings give. Targets without weight are not in the pool.
func (a *Agent) members() []view.Member {
	spec := a.pool.settings()
	self := a.options.Mesh.Self()
	nodes := a.options.Mesh.Pool(a.service)
	present := false
	var out []view.Member
	for _, n := range nodes {
		present = present || n.ID == self.ID
		out = appendMember(out, &spec, n)
	}
	if !present && self.Alive() {
		out = appendMember(out, &spec, self)
	}
	for _, n := range a.heardMembers(nodes) {
		out = appendMember(out, &spec, n)
	}
	slices.SortFunc(out, func(a, b view.Member) int { return cmp.Compare(a.Node.ID, b.Node.ID) })
	return out
}

// heardMembers returns the members of the present view that the pool no longer has, though they are heard here and have not left.
// Entries that cannot reach an agent hold it dead, until it refutes that. Without it in the view, its flows would be placed elsewhere.
func (a *Agent) heardMembers(pool []record.Node) []record.Node {
	live := map[ident.NodeID]bool{a.self: true}
	for i := range pool {
		live[pool[i].ID] = true
	}
	a.pool.mu.Lock()
	v := a.pool.view
	a.pool.mu.Unlock()
	var out []record.Node
	for i := range v.Members {
		n := v.Members[i].Node
		known, ok := a.options.Mesh.Node(n.ID)
		if live[n.ID] || !ok || known.State == record.Left || known.Incarnation != n.Incarnation {
			continue
		}
		if age, heard := a.options.Mesh.SinceLastSeen(n.ID); heard && age <= memberTimeout {
			out = append(out, n)
		}
	}
	return out
}

func appendMember(out []view.Member, spec *settings.Spec, n record.Node) []view.Member {
	weight := spec.Weight(n.DataCentre) * n.Weight
	if weight <= 0 {
		return out
	}
	return append(out, view.Member{Node: n, Weight: weight})
}

func (a *Agent) setRoutes(v *view.View) {
	r := &routes{digest: v.Digest, agents: map[ident.NodeID]netip.AddrPort{}, entries: map[ident.NodeID]netip.AddrPort{}}
	for i := range v.Members {
		addRoute(r.agents, &v.Members[i].Node)
	}
	dc := a.options.Mesh.Self().DataCentre
	entries := a.entries()
	for _, local := range []bool{true, false} {
		for i := range entries {
			if n := &entries[i]; (n.DataCentre == dc) == local && addRoute(r.entries, n) {
				r.order = append(r.order, n.ID)
			}
		}
		if local {
			r.local = len(r.order)
		}
	}
	a.routes.Store(r)
}

// entries returns the entries that were heard within entryTimeout. An entry that was usable stays so while it is heard, even if it is held
// dead: when the entries are cut off from each other, each side declares the other one dead, and the agents that hear both sides would be
// left without any entry.
func (a *Agent) entries() []record.Node {
	out := a.options.Mesh.Entries()
	live := map[ident.NodeID]bool{}
	for i := range out {
		live[out[i].ID] = true
	}
	for id := range a.routes.Load().entries {
		if n, ok := a.options.Mesh.Node(id); ok && !live[id] && n.State != record.Left {
			out = append(out, n)
		}
	}
	return slices.DeleteFunc(out, func(n record.Node) bool {
		age, ok := a.options.Mesh.SinceLastSeen(n.ID)
		return !ok || age > entryTimeout
	})
}

func addRoute(to map[ident.NodeID]netip.AddrPort, n *record.Node) bool {
	address, err := netip.ParseAddrPort(n.UDPAddress)
	if err != nil {
		return false
	}
	to[n.ID] = address
	return true
}

// reports returns the load reports of the pool's targets.
func (a *Agent) reports(v *view.View) []placement.Report {
	out := make([]placement.Report, 0, len(v.Members))
	spec, now := a.pool.settings(), a.now()
	for i := range v.Members {
		m := &v.Members[i]
		r := placement.Report{Node: m.Node.ID, Weight: m.Weight}
		// The settings may arrive here before they reach the agent that is set to drain, which still says that it is ready.
		ready := m.Node.State == record.Ready && !spec.IsDraining(m.Node.Name)
		if m.Node.ID == a.self {
			load := a.Load()
			r.Connections, r.WarmPerMille = load.GetConnections(), load.GetWarmPerMille()
			r.Eligible = ready && !load.GetShedding() && !a.table.Draining()
		} else if load, age, ok := a.options.Mesh.Load(m.Node.ID); ok {
			r.Connections, r.WarmPerMille = load.GetConnections(), load.GetWarmPerMille()
			r.Eligible = ready && !load.GetShedding() && !a.options.Mesh.IsSuspect(m.Node.ID)
			r.Sequence = a.number(m.Node.ID, now-age)
		}
		out = append(out, r)
	}
	return out
}

// number returns a number that changes with each load report.
func (a *Agent) number(id ident.NodeID, arrived time.Duration) uint64 {
	a.pool.mu.Lock()
	defer a.pool.mu.Unlock()
	r := a.pool.reports[id]
	if r.number == 0 || arrived > r.arrived+sameReport {
		r = report{arrived: arrived, number: r.number + 1}
		a.pool.reports[id] = r
	}
	return r.number
}
