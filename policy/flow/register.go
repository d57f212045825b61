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

// registrationQueue sends registrations in batches and repeats each until it is acknowledged, up to
// maxBatchSends sends. Its lock is taken after that of a shard, never before.
type registrationQueue struct {
	mu                 sync.Mutex
	lastNumber         uint64
	filling            map[ident.NodeID][]*batch          // by home, oldest first; flows are added to the newest
	backlog            int                                // number of batches in filling
	unacknowledged     map[uint64]*batch                  // by number; includes batches not sent yet
	sweep              uint32                             // next shard whose flows are checked; shardCount when all are
	successorView      *view.View                         // view without this agent; set for the hand-over
	completionSent     map[ident.NodeID]ident.Incarnation // joining agents with which all flows are registered
	completionReceived map[ident.NodeID]bool              // members that have registered all their flows here
}

// batch is one Register message with its retransmission state.
type batch struct {
	to           ident.NodeID
	number       uint64
	flows        []Owner
	isResolution bool
	isComplete   bool
	created      time.Duration
	lastSent     time.Duration
	sends        int
}

func (r *registrationQueue) init() {
	r.filling = map[ident.NodeID][]*batch{}
	r.unacknowledged = map[uint64]*batch{}
	r.completionSent = map[ident.NodeID]ident.Incarnation{}
	r.completionReceived = map[ident.NodeID]bool{}
	r.sweep = shardCount
}

// enqueue adds a flow to the newest batch for the home.
func (r *registrationQueue) enqueue(now time.Duration, home ident.NodeID, o Owner) {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := r.filling[home]
	if n := len(list); n > 0 && len(list[n-1].flows) < maxBatchFlows {
		list[n-1].flows = append(list[n-1].flows, o)
		return
	}
	r.filling[home] = append(list, &batch{to: home, flows: []Owner{o}, created: now})
	r.backlog++
}

// submitResolution queues a conflict resolution for an agent that does not keep the flow: o names
// the owner.
func (r *registrationQueue) submitResolution(now time.Duration, to ident.NodeID, o Owner) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.submit(&batch{to: to, flows: []Owner{o}, isResolution: true, created: now})
}

// submit numbers a batch, so that the next sendDue sends it.
func (r *registrationQueue) submit(b *batch) {
	r.lastNumber++
	b.number = r.lastNumber
	r.unacknowledged[b.number] = b
}

func (r *registrationQueue) recordCompletion(from ident.NodeID, m *Register) {
	if !m.Complete {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.completionReceived[from] = true
}

func (r *registrationQueue) acknowledge(from ident.NodeID, number uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if b := r.unacknowledged[number]; b != nil && b.to == from {
		delete(r.unacknowledged, number)
	}
}

// registerFlow queues the registration of an owned flow with its home, and with the agent that
// becomes its home once the joining agents are ready, unless it is registered there.
func (t *Table) registerFlow(now time.Duration, st *state, e *entry) {
	hash := ident.FlowKey{Service: t.options.Service, Caller: e.caller}.Hash()
	home, next := ident.NodeID(0), ident.NodeID(0)
	if m, ok := st.view.Home(hash); ok {
		home = m.Node.ID
	}
	if st.nextView != nil {
		if m, ok := st.nextView.Home(hash); ok && m.Node.ID != home {
			next = m.Node.ID
		}
	}
	isRegistered := func(id ident.NodeID) bool {
		return id == 0 || id == t.options.Self || id == e.registeredHome || id == e.joiningHome
	}
	for _, id := range []ident.NodeID{home, next} {
		if !isRegistered(id) {
			t.registrations.enqueue(now, id, Owner{e.caller, t.options.Self})
		}
	}
	if home != 0 {
		e.registeredHome = home
	}
	e.joiningHome = next
}

// clearRegistrations marks all flows as not registered with these homes.
func (t *Table) clearRegistrations(homes map[ident.NodeID]bool) {
	if len(homes) == 0 {
		return
	}
	t.registrations.mu.Lock()
	for id := range homes {
		delete(t.registrations.completionSent, id)
	}
	t.registrations.mu.Unlock()
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for j := range s.used {
			s.at(j).clearRegistrations(homes)
		}
		s.mu.Unlock()
	}
}

func (e *entry) clearRegistrations(homes map[ident.NodeID]bool) {
	if e.kind != owned {
		return
	}
	if homes[e.registeredHome] {
		e.registeredHome = 0
	}
	if homes[e.joiningHome] {
		e.joiningHome = 0
	}
}

// startSweep makes the following ticks check the registration of every flow.
func (t *Table) startSweep() {
	t.registrations.mu.Lock()
	defer t.registrations.mu.Unlock()
	t.registrations.sweep = 0
}

// HandOver starts sending the directory to the homes in successor, a view without this agent.
// HandedOver reports when that is done.
func (t *Table) HandOver(successor *view.View) {
	t.registrations.mu.Lock()
	defer t.registrations.mu.Unlock()
	t.registrations.successorView = successor
	t.registrations.sweep = 0
}

// HandedOver reports whether the new homes have acknowledged the directory. Homes that do not
// respond are skipped.
func (t *Table) HandedOver() bool {
	t.registrations.mu.Lock()
	defer t.registrations.mu.Unlock()
	r := &t.registrations
	return r.successorView != nil && r.sweep == shardCount && r.backlog == 0 && len(r.unacknowledged) == 0
}

// HasAllRegistrations reports whether every member that can own flows has registered all of them
// with this agent, so that its directory is complete and it may leave the state joining.
func (t *Table) HasAllRegistrations() bool {
	st := t.state.Load()
	t.registrations.mu.Lock()
	defer t.registrations.mu.Unlock()
	for i := range st.view.Members {
		m := &st.view.Members[i].Node
		if m.ID != t.options.Self && canBeHome(m) && !t.registrations.completionReceived[m.ID] {
			return false
		}
	}
	return true
}

// tickRegistrations sweeps shards as far as the backlog allows, and sends the batches that are due.
func (t *Table) tickRegistrations(now time.Duration, out *Effects) {
	st := t.state.Load()
	for n, successor := t.nextSweepShard(); n < shardCount; n, successor = t.nextSweepShard() {
		t.sweepShard(now, n, st, successor)
	}
	t.registrations.mu.Lock()
	t.registrations.submitReady(now, st.view)
	t.registrations.completeJoins(now, t.options.Self, st)
	lost := t.registrations.sendDue(now, st.view, out)
	t.registrations.mu.Unlock()
	t.requeueLost(now, lost)
}

// nextSweepShard returns the next shard to sweep and the view for a hand-over, if there is one. It
// returns shardCount if no shard is to be swept now.
func (t *Table) nextSweepShard() (uint32, *view.View) {
	t.registrations.mu.Lock()
	defer t.registrations.mu.Unlock()
	if t.registrations.sweep == shardCount || t.registrations.backlog >= maxUnacknowledgedBatches {
		return shardCount, nil
	}
	t.registrations.sweep++
	return t.registrations.sweep - 1, t.registrations.successorView
}

// sweepShard registers the owned flows of a shard where they are not registered and, with
// successor, hands over its directory entries.
func (t *Table) sweepShard(now time.Duration, n uint32, st *state, successor *view.View) {
	s := &t.shards[n]
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.used {
		e := s.at(i)
		switch e.kind {
		case owned:
			t.registerFlow(now, st, e)
		case confirmed, unconfirmed:
			if successor != nil {
				t.handOverEntry(now, successor, e)
			}
		}
	}
}

func (t *Table) handOverEntry(now time.Duration, successor *view.View, e *entry) {
	hash := ident.FlowKey{Service: t.options.Service, Caller: e.caller}.Hash()
	if m, ok := successor.Home(hash); ok && m.Node.ID != e.node {
		t.registrations.enqueue(now, m.Node.ID, Owner{e.caller, e.node})
	}
}

// submitReady submits the batches that are full or old enough. Homes follow each other in the order
// of their node IDs.
func (r *registrationQueue) submitReady(now time.Duration, v *view.View) {
	for _, home := range slices.Sorted(maps.Keys(r.filling)) {
		list := r.filling[home]
		for len(list) > 0 && len(r.unacknowledged) < maxUnacknowledgedBatches {
			b := list[0]
			if len(b.flows) < maxBatchFlows && now < b.created+maxBatchDelay {
				break
			}
			list = list[1:]
			r.backlog--
			if _, ok := v.Member(home); ok {
				r.submit(b)
			}
		}
		r.filling[home] = list
		if len(list) == 0 {
			delete(r.filling, home)
		}
	}
}

// completeJoins sends each joining agent the message that all flows are registered with it, once it
// has acknowledged their batches.
func (r *registrationQueue) completeJoins(now time.Duration, self ident.NodeID, st *state) {
	if st.nextView == nil || r.sweep < shardCount {
		return
	}
	for i := range st.view.Members {
		m := &st.view.Members[i].Node
		if m.ID == self || m.State != record.Joining || r.completionSent[m.ID] == m.Incarnation || r.hasPending(m.ID) {
			continue
		}
		r.completionSent[m.ID] = m.Incarnation
		r.submit(&batch{to: m.ID, isComplete: true, created: now})
	}
}

func (r *registrationQueue) hasPending(home ident.NodeID) bool {
	if len(r.filling[home]) > 0 {
		return true
	}
	for _, b := range r.unacknowledged {
		if b.to == home {
			return true
		}
	}
	return false
}

// sendDue sends the batches that are due. It removes and returns those whose sends are used up or
// whose receiver has left the view.
func (r *registrationQueue) sendDue(now time.Duration, v *view.View, out *Effects) []*batch {
	var lost []*batch
	for _, number := range slices.Sorted(maps.Keys(r.unacknowledged)) {
		b := r.unacknowledged[number]
		if b.sends > 0 && now < b.lastSent+batchRetryInterval {
			continue
		}
		if _, ok := v.Member(b.to); !ok || b.sends == maxBatchSends {
			delete(r.unacknowledged, number)
			lost = append(lost, b)
			continue
		}
		b.sends++
		b.lastSent = now
		m := &Register{Batch: number, View: v.Digest, Flows: b.flows, Complete: b.isComplete}
		if b.isResolution {
			m.View = 0
		}
		out.send(b.to, Message{Register: m})
	}
	return lost
}

// requeueLost makes the next sweep register the flows of lost batches again, and repeats lost
// requests for registrations. After a lost resolution it requests the registrations of its
// receiver, which raises the conflict again.
func (t *Table) requeueLost(now time.Duration, lost []*batch) {
	for _, b := range lost {
		if b.isResolution || len(b.flows) == 0 && !b.isComplete {
			t.registrations.resubmitRequest(now, b, t.state.Load().view)
			continue
		}
		homes := map[ident.NodeID]bool{b.to: true}
		for _, o := range b.flows {
			t.withFlow(0, o.Caller, nil, func(op *flowOp) {
				if e, _ := op.shard.find(o.Caller); e != nil {
					e.clearRegistrations(homes)
				}
			})
		}
		t.registrations.mu.Lock()
		if b.isComplete {
			delete(t.registrations.completionSent, b.to)
		}
		t.registrations.sweep = 0
		t.registrations.mu.Unlock()
	}
}

// handleRegister applies a Register. It acknowledges only if all its flows could be applied;
// otherwise the sender repeats it.
func (t *Table) handleRegister(now time.Duration, from ident.NodeID, m *Register, out *Effects) {
	accepted := true
	for _, o := range m.Flows {
		t.withFlow(now, o.Caller, out, func(op *flowOp) {
			accepted = op.handleOwner(from, o.Node, m.View == 0) && accepted
		})
	}
	if !accepted {
		return
	}
	if len(m.Flows) == 0 && !m.Complete {
		t.clearRegistrations(map[ident.NodeID]bool{from: true})
		t.startSweep()
	}
	t.registrations.recordCompletion(from, m)
	out.send(from, Message{Ack: &RegisterAck{Batch: m.Batch, View: m.View}})
}

// requestRegistrations requests that members which are new in the view, or have restarted, register
// their flows with this agent. It does nothing for this agent's own first view.
func (r *registrationQueue) requestRegistrations(
	now time.Duration, old, v *view.View, returned map[ident.NodeID]bool, self ident.NodeID,
) {
	if len(old.Members) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range v.Members {
		m := &v.Members[i].Node
		if returned[m.ID] && canBeHome(m) && m.ID != self {
			r.submit(&batch{to: m.ID, created: now})
		}
	}
}

// resubmitRequest requests the registrations of the batch's receiver as long as that is in the
// view.
func (r *registrationQueue) resubmitRequest(now time.Duration, b *batch, v *view.View) {
	if _, ok := v.Member(b.to); !ok {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.submit(&batch{to: b.to, created: now})
}

// handleOwner applies one flow of a Register: node owns the flow, or the sender no longer owns it
// if node is 0. It returns false if the sender has to repeat the message.
func (op *flowOp) handleOwner(from, node ident.NodeID, isResolution bool) bool {
	e, i := op.shard.find(op.caller)
	switch {
	case node == 0:
		if e != nil && e.kind != owned && e.node == from {
			op.shard.remove(op.now, e, i)
			op.table.directoryCount.Add(-1)
		}
	case node == op.table.options.Self:
	case !op.isMember(node):
		return !isResolution // the flow is registered again once node is back in this agent's view
	case e == nil || e.kind == redirect:
		op.recordOwner(directoryKind(from, node), node)
		op.releaseHeld(Decision{Action: Forward, Reason: InDirectory, To: node})
	case e.kind == owned:
		return op.resolveOwnConflict(from, node, isResolution)
	case e.node == node:
		if from == node {
			e.kind = confirmed
		}
	default:
		return op.resolveDirectoryConflict(e, from, node)
	}
	return true
}

// resolveOwnConflict handles a registration of node as owner of a flow that this agent owns. The
// home of the flow decides. It returns false if the two agents do not agree on the home, in which
// case one of their views is out of date.
func (op *flowOp) resolveOwnConflict(from, node ident.NodeID, isResolution bool) bool {
	home, here := op.home()
	switch {
	case isResolution && from == home:
		op.recordOwner(confirmed, node)
	case isResolution:
		return false
	case from != node:
	case here:
		op.table.registrations.submitResolution(op.now, node, Owner{op.caller, op.table.options.Self})
	default:
		return false
	}
	return true
}

// resolveDirectoryConflict handles a registration of node as owner of a flow that has another owner
// in the directory. A message of the owner itself replaces an unconfirmed entry. A confirmed entry
// is first verified with its owner. It returns false if that is not possible now.
func (op *flowOp) resolveDirectoryConflict(e *entry, from, node ident.NodeID) bool {
	isAuthoritative := e.kind == confirmed && op.isMember(e.node) && e.node != from
	switch {
	case !isAuthoritative:
		op.recordOwner(directoryKind(from, node), node)
	case from != node:
	case op.shard.claims[op.caller] != nil || len(op.shard.claims) >= maxClaimsPerShard:
		return false
	default:
		op.startVerification(e, node)
	}
	return true
}

// startVerification sends a claim to the owner in the directory, to check that it still owns the
// flow.
func (op *flowOp) startVerification(e *entry, challenger ident.NodeID) {
	c := &claim{
		id: op.table.claimID.Add(1), started: op.now, pending: []ident.NodeID{e.node},
		isVerification: true, challenger: challenger,
	}
	op.addClaim(c)
	op.sendClaim(c)
}
