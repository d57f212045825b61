package flow

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/record"
	"lacewinglever.dev/policy/view"
)

// Options configure a Table.
type Options struct {
	Self    ident.NodeID
	Service ident.ServiceID
	Placer  Placer
	Seed    uint64 // for the choice of random members that receive claims
}

// Table holds the flows that an agent owns and its directory. Its methods may be called from any
// goroutine. Times are relative to the start of the process.
type Table struct {
	options           Options
	state             atomic.Pointer[state]
	idleTimeout       atomic.Int64 // nanoseconds
	ownedCount        atomic.Int64 // owned flows
	directoryCount    atomic.Int64 // directory entries and redirects
	claimCount        atomic.Int64
	draining          atomic.Bool
	lastTick          atomic.Int64 // time of the last Tick, nanoseconds
	settledAfterPause atomic.Int64 // end of SettlingWindow after a pause of this process, nanoseconds
	claimID           atomic.Uint64
	shards            [shardCount]shard
	registrations     registrationQueue
	expiryShard       atomic.Uint32 // last shard that was checked for idle flows

	randMu sync.Mutex
	rand   *rand.Rand
}

// state is what depends on the view. It is replaced as a whole when the view changes.
type state struct {
	view      *view.View
	nextView  *view.View    // view once the joining agents are ready; nil if none joins
	pastViews []*view.View  // earlier views, newest first
	settledAt time.Duration // end of SettlingWindow after the last change of membership
}

// New returns an empty table. Until the first SetView its pool has no members.
func New(o Options, now, idleTimeout time.Duration) *Table {
	t := &Table{options: o, rand: rand.New(rand.NewPCG(o.Seed, uint64(o.Self)))}
	for i := range t.shards {
		t.shards[i].init()
	}
	t.registrations.init()
	t.idleTimeout.Store(int64(idleTimeout))
	t.lastTick.Store(int64(now))
	t.state.Store(&state{view: view.Build(nil, o.Service, 1, nil), settledAt: now + SettlingWindow})
	return t
}

// SetIdleTimeout sets the time without a datagram after which a flow ends.
func (t *Table) SetIdleTimeout(d time.Duration) { t.idleTimeout.Store(int64(d)) }

// SetDraining sets whether this agent drains: while it does, it takes no new flows.
func (t *Table) SetDraining(draining bool) { t.draining.Store(draining) }

// Draining reports whether this agent takes no new flows.
func (t *Table) Draining() bool { return t.draining.Load() }

// OwnedFlows returns the number of flows that this agent owns.
func (t *Table) OwnedFlows() int { return int(t.ownedCount.Load()) }

// DirectorySize returns the number of directory entries, redirects included.
func (t *Table) DirectorySize() int { return int(t.directoryCount.Load()) }

// Settled reports whether flows may be placed without claims: for SettlingWindow, the pool's
// membership has not changed, and this process has neither started nor been paused.
func (t *Table) Settled(now time.Duration) bool {
	paused := now > time.Duration(t.lastTick.Load())+pauseLimit
	return !paused && now >= t.state.Load().settledAt && now >= time.Duration(t.settledAfterPause.Load())
}

// SetView replaces the view. The following calls of Tick register the flows whose home has changed.
func (t *Table) SetView(now time.Duration, v *view.View) {
	old := t.state.Load()
	if old.view.Digest == v.Digest && old.view.Slots() == v.Slots() {
		return
	}
	st := &state{view: v, settledAt: old.settledAt, pastViews: old.pastViews, nextView: viewAfterJoins(old, v)}
	if homesChanged(old.view, v) {
		st.settledAt = max(old.settledAt, now+SettlingWindow)
		st.pastViews = append([]*view.View{old.view}, old.pastViews[:min(len(old.pastViews), maxPastViews-1)]...)
	}
	t.state.Store(st)
	returned := newIncarnations(old.view, v)
	t.clearRegistrations(returned)
	t.registrations.requestRegistrations(now, old.view, v, returned, t.options.Self)
	t.startSweep()
}

// viewAfterJoins builds the view that applies once the joining agents are ready. It returns nil if
// no agent joins.
func viewAfterJoins(old *state, v *view.View) *view.View {
	isJoining := func(m view.Member) bool { return m.Node.State == record.Joining }
	if !slices.ContainsFunc(v.Members, isJoining) {
		return nil
	}
	members := slices.Clone(v.Members)
	for i := range members {
		if members[i].Node.State == record.Joining {
			members[i].Node.State = record.Ready
		}
	}
	return view.Build(old.nextView, v.Service, v.Slots(), members)
}

func canBeHome(n *record.Node) bool { return n.State == record.Ready || n.State == record.Draining }

// homesChanged reports whether a member joined, left or restarted, or an attribute that decides
// homes has changed.
func homesChanged(a, b *view.View) bool {
	if len(a.Members) != len(b.Members) || a.Slots() != b.Slots() {
		return true
	}
	for i := range a.Members {
		m, n := &a.Members[i], &b.Members[i]
		unchanged := m.Node.ID == n.Node.ID && m.Node.Incarnation == n.Node.Incarnation && m.Weight == n.Weight
		if !unchanged || canBeHome(&m.Node) != canBeHome(&n.Node) {
			return true
		}
	}
	return false
}

// newIncarnations returns the members of b that were not in a with the same incarnation. The
// directories of new processes are empty.
func newIncarnations(a, b *view.View) map[ident.NodeID]bool {
	out := map[ident.NodeID]bool{}
	for i := range b.Members {
		m := &b.Members[i]
		old, ok := a.Member(m.Node.ID)
		if !ok || old.Node.Incarnation != m.Node.Incarnation {
			out[m.Node.ID] = true
		}
	}
	return out
}

// HandleDatagram decides what to do with d. It does not allocate for a datagram of a known flow.
func (t *Table) HandleDatagram(now time.Duration, d *Datagram, out *Effects) Decision {
	if d.Service != t.options.Service || d.Destination != t.options.Self {
		return Decision{Reason: WrongDestination}
	}
	hash := ident.FlowKey{Service: d.Service, Caller: d.Caller}.Hash()
	n := shardOf(hash)
	s := &t.shards[n]
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, i := s.find(d.Caller); e != nil {
		if e.kind == owned {
			e.lastUsed = uint32(now / tickLength)
			if d.Entry != 0 {
				e.node = d.Entry
			}
			return Decision{Action: Deliver, Reason: Owned, Slot: slotOf(n, i)}
		}
		if decision, ok := t.followDirectory(now, s, e, i, d); ok {
			return decision
		}
	}
	op := flowOp{
		table: t, state: t.state.Load(), shard: s, shardIndex: n, now: now, hash: hash, caller: d.Caller, out: out,
	}
	return op.handleUnknown(d)
}

// followDirectory forwards d according to a directory entry. If the entry is no longer valid, it
// removes it and returns false.
func (t *Table) followDirectory(now time.Duration, s *shard, e *entry, i uint32, d *Datagram) (Decision, bool) {
	_, valid := t.state.Load().view.Member(e.node)
	reason, placed := InDirectory, false
	if e.kind == redirect {
		reason = Redirected
		valid = valid && e.idleTime(now) < redirectTTL && e.node != d.Sender
	} else {
		// If the owner itself sent d, it has not received the datagram with Placed, or no longer
		// has the flow. Placed makes it open the flow.
		placed = e.node == d.Sender
		e.lastUsed = uint32(now / tickLength)
	}
	if !valid {
		s.remove(now, e, i)
		t.directoryCount.Add(-1)
		return Decision{}, false
	}
	return forwardDecision(d, e.node, reason, placed), true
}

// forwardDecision returns the decision to forward d, or to drop it if its hops are used up.
func forwardDecision(d *Datagram, to ident.NodeID, reason Reason, placed bool) Decision {
	if d.Hops+1 >= MaxHops {
		return Decision{Reason: TooManyHops}
	}
	return Decision{Action: Forward, Reason: reason, To: to, Hops: d.Hops + 1, Placed: placed}
}

// flowOp is one operation on the flow of a caller, under the lock of the flow's shard. state is the
// one that was current when the operation began.
type flowOp struct {
	table      *Table
	state      *state
	shard      *shard
	shardIndex uint32
	now        time.Duration
	hash       uint64
	caller     ident.Caller
	out        *Effects
}

// home returns the flow's home and whether that is this agent. The home is 0 if there is none.
func (op *flowOp) home() (ident.NodeID, bool) {
	m, ok := op.state.view.Home(op.hash)
	if !ok {
		return 0, false
	}
	return m.Node.ID, m.Node.ID == op.table.options.Self
}

// handleUnknown decides on a datagram whose flow has no entry here. This agent opens the flow if
// the datagram or its sender selects this agent as owner. Otherwise it forwards the datagram to the
// flow's home. As the home, it places the flow: after a claim if the pool's membership is
// unsettled, at once otherwise.
func (op *flowOp) handleUnknown(d *Datagram) Decision {
	home, here := op.home()
	// A home with the same view forwards only datagrams whose flow its directory assigns to this
	// agent.
	fromHome := !here && home != 0 && d.Sender == home && d.View == op.state.view.Digest
	if d.NamesReceiver || d.Placed || fromHome {
		if op.table.draining.Load() && !d.NamesReceiver {
			return op.place(d)
		}
		return op.open(d)
	}
	if c := op.shard.claims[d.Caller]; c != nil && !c.isVerification {
		return op.hold(c, d)
	}
	if home != 0 && !here && d.Hops < maxHopsToHome {
		return forwardDecision(d, home, ToHome, false)
	}
	if !op.table.Settled(op.now) {
		return op.holdAndClaim(d)
	}
	return op.place(d)
}

// open makes this agent the owner of the flow and delivers the datagrams that are held for it.
func (op *flowOp) open(d *Datagram) Decision {
	slot, ok := op.addOwned(d.Entry)
	if !ok {
		return Decision{Reason: TableFull}
	}
	decision := Decision{Action: Deliver, Reason: Opened, Slot: slot}
	op.releaseHeld(decision)
	return decision
}

// addOwned adds the flow as owned and registers it. It is registered with a home that placed it
// too, since only that proves to the home that the datagram with Placed arrived.
func (op *flowOp) addOwned(entry ident.NodeID) (uint32, bool) {
	old, _ := op.shard.find(op.caller)
	e, i := op.shard.put(op.now, op.caller, owned, entry)
	if e == nil {
		return 0, false
	}
	if old != nil {
		op.table.directoryCount.Add(-1)
	}
	op.table.ownedCount.Add(1)
	op.table.registerFlow(op.now, op.state, e)
	return slotOf(op.shardIndex, i), true
}

// recordOwner sets the directory entry of the flow. If this agent owned the flow, it releases it.
func (op *flowOp) recordOwner(k entryKind, node ident.NodeID) {
	e, _ := op.shard.find(op.caller)
	switch {
	case e == nil:
		op.table.directoryCount.Add(1)
	case e.kind == owned:
		op.table.ownedCount.Add(-1)
		op.table.directoryCount.Add(1)
	}
	if e, _ := op.shard.put(op.now, op.caller, k, node); e == nil {
		op.table.directoryCount.Add(-1)
	}
}

// place chooses an owner for the flow and applies the decision to the held datagrams too.
func (op *flowOp) place(d *Datagram) Decision {
	decision := op.choosePlacement(d)
	op.releaseHeld(decision)
	return decision
}

// choosePlacement opens the flow here or forwards it to the owner that the Placer chooses. If no
// other target is eligible, the flow is opened here, unless this agent drains.
func (op *flowOp) choosePlacement(d *Datagram) Decision {
	self := op.table.options.Self
	draining := op.table.draining.Load()
	to, ok := op.table.options.Placer.Place(op.table.OwnedFlows())
	isLastHop := d.Hops+1 >= MaxHops // the datagram cannot be forwarded
	if draining && (!ok || to == self || isLastHop) {
		return Decision{Reason: NoTarget}
	}
	if !ok || to == self || isLastHop {
		slot, ok := op.addOwned(d.Entry)
		if !ok {
			return Decision{Reason: TableFull}
		}
		return Decision{Action: Deliver, Reason: Opened, Slot: slot}
	}
	op.recordOwner(unconfirmed, to)
	if home, here := op.home(); !here && home != 0 && home != to {
		op.table.registrations.enqueue(op.now, home, Owner{op.caller, to})
	}
	return forwardDecision(d, to, Placed, true)
}

// Lookup returns the slot of a flow that this agent owns, and the entry node that forwarded its
// last datagram.
func (t *Table) Lookup(c ident.Caller) (slot uint32, entry ident.NodeID, ok bool) {
	n := shardOf(ident.FlowKey{Service: t.options.Service, Caller: c}.Hash())
	s := &t.shards[n]
	s.mu.Lock()
	defer s.mu.Unlock()
	e, i := s.find(c)
	if e == nil || e.kind != owned {
		return 0, 0, false
	}
	return slotOf(n, i), e.node, true
}

// Explain returns the owner of a flow according to this table, 0 if it has none, and the flow's
// home.
func (t *Table) Explain(c ident.Caller) (owner, home ident.NodeID) {
	hash := ident.FlowKey{Service: t.options.Service, Caller: c}.Hash()
	if m, ok := t.state.Load().view.Home(hash); ok {
		home = m.Node.ID
	}
	s := &t.shards[shardOf(hash)]
	s.mu.Lock()
	defer s.mu.Unlock()
	switch e, _ := s.find(c); {
	case e == nil:
	case e.kind == owned:
		owner = t.options.Self
	default:
		owner = e.node
	}
	return owner, home
}

// LookupSlot returns the flow of a slot, for a datagram from the target, and the entry node that
// forwarded the flow's last datagram. It counts as a use of the flow.
func (t *Table) LookupSlot(now time.Duration, slot uint32) (c ident.Caller, entry ident.NodeID, ok bool) {
	s := &t.shards[slot%shardCount]
	i := slot >> shardBits
	s.mu.Lock()
	defer s.mu.Unlock()
	if i >= s.used {
		return c, 0, false
	}
	e := s.at(i)
	if e.kind != owned {
		return c, 0, false
	}
	e.lastUsed = uint32(now / tickLength)
	return e.caller, e.node, true
}

// Tick repeats and ends claims, sends registrations and expires idle flows. It is to be called
// about every 20 ms.
func (t *Table) Tick(now time.Duration, out *Effects) {
	if last := time.Duration(t.lastTick.Swap(int64(now))); now > last+pauseLimit {
		t.settledAfterPause.Store(int64(now + SettlingWindow))
	}
	for i := 0; i < shardCount && t.claimCount.Load() > 0; i++ {
		t.tickClaims(now, uint32(i), out)
	}
	t.expire(now, t.expiryShard.Add(1)%shardCount, out)
	t.tickRegistrations(now, out)
}

// expire ends the idle flows of one shard and removes directory entries whose owner has left the
// view.
func (t *Table) expire(now time.Duration, n uint32, out *Effects) {
	st := t.state.Load()
	s := &t.shards[n]
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.used {
		e := s.at(i)
		switch e.kind {
		case owned:
			if e.idleTime(now) > time.Duration(t.idleTimeout.Load()) {
				t.endFlow(now, s, e, i)
			}
		case confirmed, unconfirmed:
			if _, ok := st.view.Member(e.node); !ok {
				s.remove(now, e, i)
				t.directoryCount.Add(-1)
			} else if e.idleTime(now) > verifyAfterIdleTimeouts*time.Duration(t.idleTimeout.Load()) &&
				len(s.claims) < maxClaimsPerShard && s.claims[e.caller] == nil {
				t.verifyIdleEntry(now, st, s, n, e, out)
			}
		case redirect:
			if e.idleTime(now) > redirectTTL {
				s.remove(now, e, i)
				t.directoryCount.Add(-1)
			}
		}
	}
}

// verifyIdleEntry verifies a directory entry that was not used for long, in case its owner's
// message about the end of the flow was lost.
func (t *Table) verifyIdleEntry(now time.Duration, st *state, s *shard, n uint32, e *entry, out *Effects) {
	e.lastUsed = uint32(now / tickLength)
	op := flowOp{table: t, state: st, shard: s, shardIndex: n, now: now, caller: e.caller, out: out}
	op.startVerification(e, 0)
}

// endFlow removes an owned flow and queues a message about its end for its homes. Homes don't
// expire the entry by themselves, because the flow's datagrams may bypass them.
func (t *Table) endFlow(now time.Duration, s *shard, e *entry, i uint32) {
	for _, home := range []ident.NodeID{e.registeredHome, e.joiningHome} {
		if home != 0 && home != t.options.Self {
			t.registrations.enqueue(now, home, Owner{Caller: e.caller})
		}
	}
	s.remove(now, e, i)
	t.ownedCount.Add(-1)
}
