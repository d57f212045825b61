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
	// entryTimeout is how long an entry is still used for return traffic after its last datagram
	// was received.
	entryTimeout = time.Second
	// memberTimeout is how long a member stays in the view, after its last datagram was received,
	// although its record says that it is dead. It is shorter than the 3 s after which a silent
	// node is declared dead, so a node that really died is not kept.
	memberTimeout = time.Second
	// sameReportTolerance is the largest difference between two arrival times computed for the same
	// load report from its age.
	sameReportTolerance = 50 * time.Millisecond
)

// poolState is what the agent derives from the mesh: settings, view and load reports. refresh is
// its only writer.
type poolState struct {
	mu            sync.Mutex
	spec          settings.Spec
	hasSettings   bool   // a revision was applied; otherwise spec has the defaults
	appliedNumber uint64 // number of the revision in force, also of a deletion
	view          *view.View
	reports       map[ident.NodeID]reportVersion
}

// reportVersion distinguishes successive load reports of one target.
type reportVersion struct {
	arrived  time.Duration
	sequence uint64
}

func (p *poolState) init(service ident.ServiceID) {
	p.view = view.Build(nil, service, view.DefaultSlots, nil)
	p.reports = map[ident.NodeID]reportVersion{}
	p.spec = settings.Spec{HashSlots: view.DefaultSlots, IdleTimeout: defaultIdleTimeout}
}

// pruneReports drops the reports of nodes that are not in the view.
func (p *poolState) pruneReports(v *view.View) {
	for id := range p.reports {
		if _, ok := v.Member(id); !ok {
			delete(p.reports, id)
		}
	}
}

func (p *poolState) settings() settings.Spec {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.spec
}

func (p *poolState) warmUp() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.spec.WarmUp
}

func (p *poolState) appliedRevision() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.appliedNumber
}

// Settings returns the newest accepted settings of the service, or nil before the first.
func (a *Agent) Settings() *settings.Spec {
	a.pool.mu.Lock()
	defer a.pool.mu.Unlock()
	if !a.pool.hasSettings {
		return nil
	}
	spec := a.pool.spec
	return &spec
}

// routes are the addresses of agents and entries. They are immutable and replaced as a whole.
type routes struct {
	digest        uint64
	agents        map[ident.NodeID]netip.AddrPort
	entries       map[ident.NodeID]netip.AddrPort
	usableEntries []ident.NodeID // the first localEntries of them are in the own data centre
	localEntries  int
}

// entryFor returns the preferred entry if it is live, else another one, in the own data centre if
// possible.
func (r *routes) entryFor(preferred ident.NodeID, caller ident.Caller) (ident.NodeID, netip.AddrPort, bool) {
	if to, ok := r.entries[preferred]; ok {
		return preferred, to, true
	}
	candidates := r.usableEntries
	if r.localEntries > 0 {
		candidates = r.usableEntries[:r.localEntries]
	}
	if len(candidates) == 0 {
		return 0, netip.AddrPort{}, false
	}
	id := candidates[xxhash.Sum64(caller[:])%uint64(len(candidates))]
	return id, r.entries[id], true
}

// refresh updates settings, view, routes and load reports from the mesh.
func (a *Agent) refresh() {
	a.applySettings()
	members := a.members()
	spec := a.pool.settings()
	a.pool.mu.Lock()
	v := a.pool.view
	// Building a view of the largest pool takes milliseconds, so it is built only after a change.
	if v.Slots() != spec.HashSlots || !slices.Equal(v.Members, members) {
		v = view.Build(v, a.service, spec.HashSlots, members)
		a.pool.view = v
		a.pool.pruneReports(v)
	}
	a.pool.mu.Unlock()
	a.setRoutes(v)
	a.table.SetView(a.now(), v)
	a.chooser.Update(a.reports(v))
}

// applySettings applies the newest accepted revision, never an older one. A deletion is carried out
// by the entries; after it, the agent keeps the previous settings for flows in progress.
func (a *Agent) applySettings() {
	revision, ok := a.options.Mesh.Revision(a.service)
	if !ok || revision.Number <= a.pool.appliedRevision() {
		return
	}
	a.deleted.Store(revision.Deleted)
	if revision.Deleted {
		a.pool.mu.Lock()
		a.pool.appliedNumber = revision.Number
		a.pool.mu.Unlock()
		_ = level.Info(a.options.Logger).Log(logging.KeyMessage, "service deleted",
			logging.KeyRevision, revision.Number)
		return
	}
	spec, err := a.options.Parse("revision", a.options.Service, revision.Spec)
	if err != nil {
		_ = level.Error(a.options.Logger).Log(logging.KeyMessage, "accepted revision cannot be parsed",
			logging.KeyRevision, revision.Number, logging.KeyError, err)
		return
	}
	a.pool.mu.Lock()
	a.pool.spec, a.pool.hasSettings = *spec, true
	a.pool.appliedNumber = revision.Number
	a.pool.mu.Unlock()
	a.table.SetIdleTimeout(spec.IdleTimeout)
	_ = level.Info(a.options.Logger).Log(logging.KeyMessage, "settings applied", logging.KeyRevision, revision.Number)
}

// members returns the pool, sorted by id, with the weights from the settings. Targets without
// weight are left out.
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
	for _, n := range a.retainedMembers(nodes) {
		out = appendMember(out, &spec, n)
	}
	slices.SortFunc(out, func(a, b view.Member) int { return cmp.Compare(a.Node.ID, b.Node.ID) })
	return out
}

// retainedMembers returns members of the present view that the pool no longer has, although this
// agent still receives their datagrams and they have not left. Entries that cannot reach an agent
// declare it dead until it refutes that. If it were removed from the view, its flows would be
// placed on other targets.
func (a *Agent) retainedMembers(pool []record.Node) []record.Node {
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
		current, ok := a.options.Mesh.Node(n.ID)
		if live[n.ID] || !ok || current.State == record.Left || current.Incarnation != n.Incarnation {
			continue
		}
		if age, seen := a.options.Mesh.SinceLastSeen(n.ID); seen && age <= memberTimeout {
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
	r := &routes{digest: v.Digest, agents: map[ident.NodeID]netip.AddrPort{},
		entries: map[ident.NodeID]netip.AddrPort{}}
	for i := range v.Members {
		addRoute(r.agents, &v.Members[i].Node)
	}
	dc := a.options.Mesh.Self().DataCentre
	entries := a.entries()
	for _, local := range []bool{true, false} {
		for i := range entries {
			if n := &entries[i]; (n.DataCentre == dc) == local && addRoute(r.entries, n) {
				r.usableEntries = append(r.usableEntries, n.ID)
			}
		}
		if local {
			r.localEntries = len(r.usableEntries)
		}
	}
	a.routes.Store(r)
}

// entries returns the entries whose last datagram arrived within entryTimeout. An entry that was
// usable stays so while its datagrams arrive, even if its record says that it is dead: when a
// partition separates entries, each side declares the other one dead, and agents that reach both
// sides would have no entry left.
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
		// A drain list in the settings may arrive here before it reaches the drained agent, whose
		// state is still ready then.
		ready := m.Node.State == record.Ready && !spec.IsDraining(m.Node.Name)
		if m.Node.ID == a.self {
			load := a.Load()
			r.Connections, r.WarmPerMille = load.GetConnections(), load.GetWarmPerMille()
			r.Eligible = ready && !load.GetShedding() && !a.table.Draining()
		} else if load, age, ok := a.options.Mesh.Load(m.Node.ID); ok {
			r.Connections, r.WarmPerMille = load.GetConnections(), load.GetWarmPerMille()
			r.Eligible = ready && !load.GetShedding() && !a.options.Mesh.IsSuspect(m.Node.ID)
			r.Sequence = a.reportSequence(m.Node.ID, now-age)
		}
		out = append(out, r)
	}
	return out
}

// reportSequence returns a number that changes with each load report.
func (a *Agent) reportSequence(id ident.NodeID, arrived time.Duration) uint64 {
	a.pool.mu.Lock()
	defer a.pool.mu.Unlock()
	r := a.pool.reports[id]
	if r.sequence == 0 || arrived > r.arrived+sameReportTolerance {
		r = reportVersion{arrived: arrived, sequence: r.sequence + 1}
		a.pool.reports[id] = r
	}
	return r.sequence
}
