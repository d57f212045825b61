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
	Seed    uint64 // of the choice of random members for claims
}

// Table holds the flows that an agent owns and its directory. Its methods may be called from any goroutine. Times are since the start of
// the process.
type Table struct {
	options Options
	state   atomic.Pointer[state]
	idle    atomic.Int64 // idle timeout, nanoseconds
	own     atomic.Int64
	known   atomic.Int64
	claims  atomic.Int64
	drain   atomic.Bool
	ticked  atomic.Int64 // time of the last Tick
	resumed atomic.Int64 // end of the unsettled time after a pause of this process
	claimID atomic.Uint64
	shards  [shards]shard
	reg     registry
	expiry  atomic.Uint32 // next shard to be checked for idle flows

	randMu sync.Mutex
	rand   *rand.Rand
}

// state is replaced as a whole when the view changes.
type state struct {
	view    *view.View
	next    *view.View   // as view, but with the joining agents hashed; nil if none joins
	past    []*view.View // earlier views, newest first
	settled time.Duration
}

// New returns an empty table. Until the first SetView it drops new flows.
func New(o Options, now, idleTimeout time.Duration) *Table {
	t := &Table{options: o, rand: rand.New(rand.NewPCG(o.Seed, uint64(o.Self)))}
	for i := range t.shards {
		t.shards[i].init()
	}
	t.reg.init()
	t.idle.Store(int64(idleTimeout))
	t.ticked.Store(int64(now))
	t.state.Store(&state{view: view.Build(nil, o.Service, 1, nil), settled: now + SettlingWindow})
	return t
}

// SetIdleTimeout changes after how long without a datagram a flow ends.
func (t *Table) SetIdleTimeout(d time.Duration) { t.idle.Store(int64(d)) }

// SetDraining tells whether this agent may own new flows.
func (t *Table) SetDraining(drain bool) { t.drain.Store(drain) }

// Draining tells whether SetDraining has forbidden new flows.
func (t *Table) Draining() bool { return t.drain.Load() }

// OwnedFlows returns the number of flows that this agent owns.
func (t *Table) OwnedFlows() int { return int(t.own.Load()) }

// DirectorySize returns the number of directory entries and redirects.
func (t *Table) DirectorySize() int { return int(t.known.Load()) }

// Settled tells whether flows may be placed without claims: the pool's membership has not changed, and this agent neither started nor was
// paused, within SettlingWindow.
func (t *Table) Settled(now time.Duration) bool {
	paused := now > time.Duration(t.ticked.Load())+pauseLimit
	return !paused && now >= t.state.Load().settled && now >= time.Duration(t.resumed.Load())
}

// SetView replaces the view. The flows whose home changed are registered by the following calls of Tick.
func (t *Table) SetView(now time.Duration, v *view.View) {
	old := t.state.Load()
	if old.view.Digest == v.Digest && old.view.Slots() == v.Slots() {
		return
	}
	st := &state{view: v, settled: old.settled, past: old.past, next: withJoining(old, v)}
	if homesChanged(old.view, v) {
		st.settled = max(old.settled, now+SettlingWindow)
		st.past = append([]*view.View{old.view}, old.past[:min(len(old.past), viewHistory-1)]...)
	}
	t.state.Store(st)
	back := restarted(old.view, v)
	t.forget(back)
	t.reg.request(now, old.view, v, back, t.options.Self)
	t.startSweep()
}

// withJoining builds the view that holds once the joining agents are ready.
func withJoining(old *state, v *view.View) *view.View {
	joins := func(m view.Member) bool { return m.Node.State == record.Joining }
	if !slices.ContainsFunc(v.Members, joins) {
		return nil
	}
	members := slices.Clone(v.Members)
	for i := range members {
		if members[i].Node.State == record.Joining {
			members[i].Node.State = record.Ready
		}
	}
	return view.Build(old.next, v.Service, v.Slots(), members)
}

func hashed(n *record.Node) bool { return n.State == record.Ready || n.State == record.Draining }

// homesChanged tells whether a member came, went, restarted or changed what decides homes.
func homesChanged(a, b *view.View) bool {
	if len(a.Members) != len(b.Members) || a.Slots() != b.Slots() {
		return true
	}
	for i := range a.Members {
		m, n := &a.Members[i], &b.Members[i]
		same := m.Node.ID == n.Node.ID && m.Node.Incarnation == n.Node.Incarnation && m.Weight == n.Weight
		if !same || hashed(&m.Node) != hashed(&n.Node) {
			return true
		}
	}
	return false
}

// restarted returns the members of b that were not in a with the same incarnation: they know no flow.
func restarted(a, b *view.View) map[ident.NodeID]bool {
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

// HandleDatagram decides what to do with d. A datagram of a known flow costs no allocation.
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
			e.last = uint32(now / tick)
			if d.Entry != 0 {
				e.node = d.Entry
			}
			return Decision{Action: Deliver, Reason: Owned, Slot: slotOf(n, i)}
		}
		if decision, ok := t.follow(now, s, e, i, d); ok {
			return decision
		}
	}
	x := exchange{t: t, st: t.state.Load(), s: s, n: n, now: now, hash: hash, caller: d.Caller, out: out}
	return x.unknown(d)
}

// follow applies the directory entry. It returns false, and removes the entry, if it no longer holds.
func (t *Table) follow(now time.Duration, s *shard, e *entry, i uint32, d *Datagram) (Decision, bool) {
	_, alive := t.state.Load().view.Member(e.node)
	reason, placed := InDirectory, false
	if e.kind == redirect {
		reason = Redirected
		alive = alive && e.idle(now) < redirectTTL && e.node != d.Sender
	} else {
		// The owner has not seen the datagram that was marked placed, or has forgotten the flow. The mark makes it open the flow.
		placed = e.node == d.Sender
		e.last = uint32(now / tick)
	}
	if !alive {
		s.remove(now, e, i)
		t.known.Add(-1)
		return Decision{}, false
	}
	return forward(d, e.node, reason, placed), true
}

func forward(d *Datagram, to ident.NodeID, reason Reason, placed bool) Decision {
	if d.Hops+1 >= MaxHops {
		return Decision{Reason: TooManyHops}
	}
	return Decision{Action: Forward, Reason: reason, To: to, Hops: d.Hops + 1, Placed: placed}
}

// exchange is the handling of one flow that is not known here, under its shard's lock.
type exchange struct {
	t      *Table
	st     *state
	s      *shard
	n      uint32
	now    time.Duration
	hash   uint64
	caller ident.Caller
	out    *Effects
}

// home returns the flow's home and whether that is this agent.
func (x *exchange) home() (ident.NodeID, bool) {
	m, ok := x.st.view.Home(x.hash)
	if !ok {
		return 0, false
	}
	return m.Node.ID, m.Node.ID == x.t.options.Self
}

// unknown applies rules 4 and 5.
func (x *exchange) unknown(d *Datagram) Decision {
	home, here := x.home()
	// Under the same view, the home forwards only what its directory has for this agent.
	fromHome := !here && home != 0 && d.Sender == home && d.View == x.st.view.Digest
	if d.NamesReceiver || d.Placed || fromHome {
		if x.t.drain.Load() && !d.NamesReceiver {
			return x.place(d)
		}
		return x.open(d)
	}
	if c := x.s.claims[d.Caller]; c != nil && !c.verify {
		return x.hold(c, d)
	}
	if home != 0 && !here && d.Hops < homeHops {
		return forward(d, home, ToHome, false)
	}
	if !x.t.Settled(x.now) {
		return x.claim(d)
	}
	return x.place(d)
}

// open makes this agent the owner.
func (x *exchange) open(d *Datagram) Decision {
	slot, ok := x.own(d.Entry)
	if !ok {
		return Decision{Reason: TableFull}
	}
	decision := Decision{Action: Deliver, Reason: Opened, Slot: slot}
	x.release(decision)
	return decision
}

// own enters the flow and registers it, also with a home that placed it: until then the home cannot know whether the datagram that was
// marked placed has arrived.
func (x *exchange) own(entry ident.NodeID) (uint32, bool) {
	old, _ := x.s.find(x.caller)
	e, i := x.s.put(x.now, x.caller, owned, entry)
	if e == nil {
		return 0, false
	}
	if old != nil {
		x.t.known.Add(-1)
	}
	x.t.own.Add(1)
	x.t.register(x.now, x.st, e)
	return slotOf(x.n, i), true
}

// know records the owner of a flow that another agent owns.
func (x *exchange) know(k kind, node ident.NodeID) {
	e, _ := x.s.find(x.caller)
	switch {
	case e == nil:
		x.t.known.Add(1)
	case e.kind == owned:
		x.t.own.Add(-1)
		x.t.known.Add(1)
	}
	if e, _ := x.s.put(x.now, x.caller, k, node); e == nil {
		x.t.known.Add(-1)
	}
}

// place applies rule 6.
func (x *exchange) place(d *Datagram) Decision {
	decision := x.choose(d)
	x.release(decision)
	return decision
}

func (x *exchange) choose(d *Datagram) Decision {
	self := x.t.options.Self
	draining := x.t.drain.Load()
	to, ok := x.t.options.Placer.Place(x.t.OwnedFlows())
	last := d.Hops+1 >= MaxHops // the datagram can only stay here
	if draining && (!ok || to == self || last) {
		return Decision{Reason: NoTarget}
	}
	if !ok || to == self || last {
		slot, ok := x.own(d.Entry)
		if !ok {
			return Decision{Reason: TableFull}
		}
		return Decision{Action: Deliver, Reason: Opened, Slot: slot}
	}
	x.know(hearsay, to)
	if home, here := x.home(); !here && home != 0 && home != to {
		x.t.reg.add(x.now, home, Owner{x.caller, to})
	}
	return forward(d, to, Placed, true)
}

// Lookup returns the slot of a flow that this agent owns.
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

// Explain returns what the table has about a flow: its owner, or the home if the owner is not known.
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

// LookupSlot finds the flow of a slot for a datagram of the target, and the entry that carried the flow's last datagram.
func (t *Table) LookupSlot(now time.Duration, slot uint32) (c ident.Caller, entry ident.NodeID, ok bool) {
	s := &t.shards[slot%shards]
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
	e.last = uint32(now / tick)
	return e.caller, e.node, true
}

// Tick does what time requires: repeats and ends claims, sends registrations, ends idle flows. It is called every 20 ms or so.
func (t *Table) Tick(now time.Duration, out *Effects) {
	if last := time.Duration(t.ticked.Swap(int64(now))); now > last+pauseLimit {
		t.resumed.Store(int64(now + SettlingWindow))
	}
	for i := 0; i < shards && t.claims.Load() > 0; i++ {
		t.tickClaims(now, uint32(i), out)
	}
	t.expire(now, t.expiry.Add(1)%shards, out)
	t.tickRegister(now, out)
}

// expire ends the idle flows of one shard, and removes directory entries whose owner is gone.
func (t *Table) expire(now time.Duration, n uint32, out *Effects) {
	st := t.state.Load()
	s := &t.shards[n]
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.used {
		e := s.at(i)
		switch e.kind {
		case owned:
			if e.idle(now) > time.Duration(t.idle.Load()) {
				t.end(now, s, e, i)
			}
		case directory, hearsay:
			if _, ok := st.view.Member(e.node); !ok {
				s.remove(now, e, i)
				t.known.Add(-1)
			} else if e.idle(now) > verifyAfter*time.Duration(t.idle.Load()) && len(s.claims) < maxClaims && s.claims[e.caller] == nil {
				t.check(now, st, s, n, e, out)
			}
		case redirect:
			if e.idle(now) > redirectTTL {
				s.remove(now, e, i)
				t.known.Add(-1)
			}
		}
	}
}

// check asks the owner of a directory entry that was not used for long, in case its message about the flow's end was lost.
func (t *Table) check(now time.Duration, st *state, s *shard, n uint32, e *entry, out *Effects) {
	e.last = uint32(now / tick)
	x := exchange{t: t, st: st, s: s, n: n, now: now, caller: e.caller, out: out}
	x.verify(e, 0)
}

// end removes an owned flow and tells its homes. They do not expire it themselves, because datagrams may bypass them.
func (t *Table) end(now time.Duration, s *shard, e *entry, i uint32) {
	for _, home := range []ident.NodeID{e.registered, e.next} {
		if home != 0 && home != t.options.Self {
			t.reg.add(now, home, Owner{Caller: e.caller})
		}
	}
	s.remove(now, e, i)
	t.own.Add(-1)
}
