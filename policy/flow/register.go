package flow

import (
	"maps"
	"slices"
	"sync"
	"time"

	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/record"
	"lacewinglever.dev/policy/view"
)

// registry sends registrations in batches, each until it is acknowledged. Its lock is taken after that of a shard.
type registry struct {
	mu       sync.Mutex
	number   uint64
	filling  map[ident.NodeID][]*batch // oldest first; the newest takes more flows
	backlog  int                       // batches in filling
	sent     map[uint64]*batch
	sweep    uint32     // next shard whose flows are checked, shards when all are
	handover *view.View // view without this agent, once the directory is handed over
	lastSent map[ident.NodeID]ident.Incarnation
	lastFrom map[ident.NodeID]bool
}

// batch is one Register message.
type batch struct {
	to      ident.NodeID
	number  uint64
	flows   []Owner
	ruling  bool
	last    bool
	started time.Duration
	sentAt  time.Duration
	sends   int
}

func (r *registry) init() {
	r.filling = map[ident.NodeID][]*batch{}
	r.sent = map[uint64]*batch{}
	r.lastSent = map[ident.NodeID]ident.Incarnation{}
	r.lastFrom = map[ident.NodeID]bool{}
	r.sweep = shards
}

// add queues one flow for the home.
func (r *registry) add(now time.Duration, home ident.NodeID, o Owner) {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := r.filling[home]
	if n := len(list); n > 0 && len(list[n-1].flows) < batchFlows {
		list[n-1].flows = append(list[n-1].flows, o)
		return
	}
	r.filling[home] = append(list, &batch{to: home, flows: []Owner{o}, started: now})
	r.backlog++
}

// rule queues a ruling, which tells an agent that another one owns the flow.
func (r *registry) rule(now time.Duration, to ident.NodeID, o Owner) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dispatch(&batch{to: to, flows: []Owner{o}, ruling: true, started: now})
}

// dispatch numbers a batch, so that the next flush sends it.
func (r *registry) dispatch(b *batch) {
	r.number++
	b.number = r.number
	r.sent[b.number] = b
}

func (r *registry) received(from ident.NodeID, m *Register) {
	if !m.Complete {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastFrom[from] = true
}

func (r *registry) acknowledged(from ident.NodeID, number uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if b := r.sent[number]; b != nil && b.to == from {
		delete(r.sent, number)
	}
}

// register queues an owned flow for its home, and for its home to be, unless they know it.
func (t *Table) register(now time.Duration, st *state, e *entry) {
	hash := ident.FlowKey{Service: t.options.Service, Caller: e.caller}.Hash()
	home, next := ident.NodeID(0), ident.NodeID(0)
	if m, ok := st.view.Home(hash); ok {
		home = m.Node.ID
	}
	if st.next != nil {
		if m, ok := st.next.Home(hash); ok && m.Node.ID != home {
			next = m.Node.ID
		}
	}
	knows := func(id ident.NodeID) bool {
		return id == 0 || id == t.options.Self || id == e.registered || id == e.next
	}
	for _, id := range []ident.NodeID{home, next} {
		if !knows(id) {
			t.reg.add(now, id, Owner{e.caller, t.options.Self})
		}
	}
	if home != 0 {
		e.registered = home
	}
	e.next = next
}

// forget marks the flows that these agents knew as unknown to them.
func (t *Table) forget(homes map[ident.NodeID]bool) {
	if len(homes) == 0 {
		return
	}
	t.reg.mu.Lock()
	for id := range homes {
		delete(t.reg.lastSent, id)
	}
	t.reg.mu.Unlock()
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for j := range s.used {
			s.at(j).forget(homes)
		}
		s.mu.Unlock()
	}
}

func (e *entry) forget(homes map[ident.NodeID]bool) {
	if e.kind != owned {
		return
	}
	if homes[e.registered] {
		e.registered = 0
	}
	if homes[e.next] {
		e.next = 0
	}
}

// startSweep has the following ticks check the registration of every flow.
func (t *Table) startSweep() {
	t.reg.mu.Lock()
	defer t.reg.mu.Unlock()
	t.reg.sweep = 0
}

// HandOver sends the directory to the homes of successor, a view without this agent. HandedOver tells when that is done.
func (t *Table) HandOver(successor *view.View) {
	t.reg.mu.Lock()
	defer t.reg.mu.Unlock()
	t.reg.handover = successor
	t.reg.sweep = 0
}

// HandedOver tells whether the directory has reached its new homes, as far as they answer.
func (t *Table) HandedOver() bool {
	t.reg.mu.Lock()
	defer t.reg.mu.Unlock()
	r := &t.reg
	return r.handover != nil && r.sweep == shards && r.backlog == 0 && len(r.sent) == 0
}

// HasAllRegistrations tells whether every member that can own flows has registered them with this agent while it was joining.
func (t *Table) HasAllRegistrations() bool {
	st := t.state.Load()
	t.reg.mu.Lock()
	defer t.reg.mu.Unlock()
	for i := range st.view.Members {
		m := &st.view.Members[i].Node
		if m.ID != t.options.Self && hashed(m) && !t.reg.lastFrom[m.ID] {
			return false
		}
	}
	return true
}

// tickRegister sweeps as far as the backlog allows, and sends what is due.
func (t *Table) tickRegister(now time.Duration, out *Effects) {
	st := t.state.Load()
	for n, handover := t.nextSweep(); n < shards; n, handover = t.nextSweep() {
		t.sweepShard(now, n, st, handover)
	}
	t.reg.mu.Lock()
	t.reg.flush(now, st.view)
	t.reg.finishJoins(now, t.options.Self, st)
	lost := t.reg.send(now, st.view, out)
	t.reg.mu.Unlock()
	t.retryLater(now, lost)
}

// nextSweep returns the next shard to sweep, shards if there is none now.
func (t *Table) nextSweep() (uint32, *view.View) {
	t.reg.mu.Lock()
	defer t.reg.mu.Unlock()
	if t.reg.sweep == shards || t.reg.backlog >= maxOutstanding {
		return shards, nil
	}
	t.reg.sweep++
	return t.reg.sweep - 1, t.reg.handover
}

func (t *Table) sweepShard(now time.Duration, n uint32, st *state, handover *view.View) {
	s := &t.shards[n]
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.used {
		e := s.at(i)
		switch e.kind {
		case owned:
			t.register(now, st, e)
		case directory, hearsay:
			if handover != nil {
				t.handOver(now, handover, e)
			}
		}
	}
}

func (t *Table) handOver(now time.Duration, successor *view.View, e *entry) {
	hash := ident.FlowKey{Service: t.options.Service, Caller: e.caller}.Hash()
	if m, ok := successor.Home(hash); ok && m.Node.ID != e.node {
		t.reg.add(now, m.Node.ID, Owner{e.caller, e.node})
	}
}

// flush dispatches the batches that are full or old enough. Homes take turns in the order of their ids.
func (r *registry) flush(now time.Duration, v *view.View) {
	for _, home := range slices.Sorted(maps.Keys(r.filling)) {
		list := r.filling[home]
		for len(list) > 0 && len(r.sent) < maxOutstanding {
			b := list[0]
			if len(b.flows) < batchFlows && now < b.started+batchDelay {
				break
			}
			list = list[1:]
			r.backlog--
			if _, ok := v.Member(home); ok {
				r.dispatch(b)
			}
		}
		r.filling[home] = list
		if len(list) == 0 {
			delete(r.filling, home)
		}
	}
}

// finishJoins tells each joining agent that it knows all flows, once it has acknowledged them.
func (r *registry) finishJoins(now time.Duration, self ident.NodeID, st *state) {
	if st.next == nil || r.sweep < shards {
		return
	}
	for i := range st.view.Members {
		m := &st.view.Members[i].Node
		if m.ID == self || m.State != record.Joining || r.lastSent[m.ID] == m.Incarnation || r.busy(m.ID) {
			continue
		}
		r.lastSent[m.ID] = m.Incarnation
		r.dispatch(&batch{to: m.ID, last: true, started: now})
	}
}

func (r *registry) busy(home ident.NodeID) bool {
	if len(r.filling[home]) > 0 {
		return true
	}
	for _, b := range r.sent {
		if b.to == home {
			return true
		}
	}
	return false
}

// send sends what is due and returns the batches that were sent in vain.
func (r *registry) send(now time.Duration, v *view.View, out *Effects) []*batch {
	var lost []*batch
	for _, number := range slices.Sorted(maps.Keys(r.sent)) {
		b := r.sent[number]
		if b.sends > 0 && now < b.sentAt+batchRetry {
			continue
		}
		if _, ok := v.Member(b.to); !ok || b.sends == batchSends {
			delete(r.sent, number)
			lost = append(lost, b)
			continue
		}
		b.sends++
		b.sentAt = now
		m := &Register{Batch: number, View: v.Digest, Flows: b.flows, Complete: b.last}
		if b.ruling {
			m.View = 0
		}
		out.send(b.to, Message{Register: m})
	}
	return lost
}

// retryLater has the flows of lost batches registered again by the next sweep. After a lost ruling, the other owner is asked to register
// its flows, which brings up the contested one again.
func (t *Table) retryLater(now time.Duration, lost []*batch) {
	for _, b := range lost {
		if b.ruling || len(b.flows) == 0 && !b.last {
			t.reg.again(now, b, t.state.Load().view)
			continue
		}
		homes := map[ident.NodeID]bool{b.to: true}
		for _, o := range b.flows {
			t.exchange(0, o.Caller, nil, func(x *exchange) {
				if e, _ := x.s.find(o.Caller); e != nil {
					e.forget(homes)
				}
			})
		}
		t.reg.mu.Lock()
		if b.last {
			delete(t.reg.lastSent, b.to)
		}
		t.reg.sweep = 0
		t.reg.mu.Unlock()
	}
}

// onRegister handles the flows of a Register. It acknowledges once all of them could be taken over.
func (t *Table) onRegister(now time.Duration, from ident.NodeID, m *Register, out *Effects) {
	done := true
	for _, o := range m.Flows {
		t.exchange(now, o.Caller, out, func(x *exchange) {
			done = x.onOwner(from, o.Node, m.View == 0) && done
		})
	}
	if !done {
		return
	}
	if len(m.Flows) == 0 && !m.Complete {
		t.forget(map[ident.NodeID]bool{from: true})
		t.startSweep()
	}
	t.reg.received(from, m)
	out.send(from, Message{Ack: &RegisterAck{Batch: m.Batch, View: m.View}})
}

// request asks members that were out of the view, and are back, to register their flows again.
func (r *registry) request(now time.Duration, old, v *view.View, back map[ident.NodeID]bool, self ident.NodeID) {
	if len(old.Members) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range v.Members {
		m := &v.Members[i].Node
		if back[m.ID] && hashed(m) && m.ID != self {
			r.dispatch(&batch{to: m.ID, started: now})
		}
	}
}

// again repeats a request for registrations as long as the member is in the view.
func (r *registry) again(now time.Duration, b *batch, v *view.View) {
	if _, ok := v.Member(b.to); !ok {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dispatch(&batch{to: b.to, started: now})
}

// onOwner handles one flow of a Register. The sender tells that node owns the flow, or that it no longer does itself (0). It returns
// false if the sender has to repeat it.
func (x *exchange) onOwner(from, node ident.NodeID, ruling bool) bool {
	e, i := x.s.find(x.caller)
	switch {
	case node == 0:
		if e != nil && e.kind != owned && e.node == from {
			x.s.remove(x.now, e, i)
			x.t.known.Add(-1)
		}
	case node == x.t.options.Self:
	case !x.alive(node):
		return !ruling // the sender asks for registrations again once node is back in this agent's view
	case e == nil || e.kind == redirect:
		x.know(evidence(from, node), node)
		x.release(Decision{Action: Forward, Reason: InDirectory, To: node})
	case e.kind == owned:
		return x.contested(from, node, ruling)
	case e.node == node:
		if from == node {
			e.kind = directory
		}
	default:
		return x.replace(e, from, node)
	}
	return true
}

// contested decides on a flow that this agent owns and that is said to be owned by node. The home of the flow rules.
// It returns false if the two agents do not agree on the home, because one of the views has still to change.
func (x *exchange) contested(from, node ident.NodeID, ruling bool) bool {
	home, here := x.home()
	switch {
	case ruling && from == home:
		x.know(directory, node)
	case ruling:
		return false
	case from != node:
	case here:
		x.t.reg.rule(x.now, node, Owner{x.caller, x.t.options.Self})
	default:
		return false
	}
	return true
}

// replace decides between two other agents. The owner's own word replaces hearsay; against the word of another owner, that one is asked.
// It returns false if that has to wait.
func (x *exchange) replace(e *entry, from, node ident.NodeID) bool {
	firm := e.kind == directory && x.alive(e.node) && e.node != from
	switch {
	case !firm:
		x.know(evidence(from, node), node)
	case from != node:
	case x.s.claims[x.caller] != nil || len(x.s.claims) >= maxClaims:
		return false
	default:
		x.verify(e, node)
	}
	return true
}

// verify asks the owner in the directory whether it still owns the flow.
func (x *exchange) verify(e *entry, challenger ident.NodeID) {
	c := &claim{id: x.t.claimID.Add(1), started: x.now, waiting: []ident.NodeID{e.node}, verify: true, challenger: challenger}
	x.startClaim(c)
	x.ask(c)
}
