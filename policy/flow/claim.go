package flow

import (
	"cmp"
	"slices"
	"time"

	"lacewinglever.dev/policy/ident"
)

// claim is a pending query for the owner of a flow. Usually it goes to the pool before the flow is
// placed. As a verification it goes to the owner in the directory, to check that this agent still
// owns the flow; challenger is the agent that has registered the flow too, 0 if there is none.
type claim struct {
	id             uint64
	started        time.Duration
	sends          int
	pending        []ident.NodeID // members that have not replied
	held           []Datagram     // datagrams of the flow until the claim ends
	isVerification bool
	challenger     ident.NodeID
}

// holdAndClaim holds d and sends a claim to the pool. If there is no other member, it places the
// flow at once.
func (op *flowOp) holdAndClaim(d *Datagram) Decision {
	if len(op.shard.claims) >= maxClaimsPerShard {
		return Decision{Reason: HoldQueueFull}
	}
	recipients := op.table.claimRecipients(op.state, op.hash)
	if len(recipients) == 0 {
		return op.place(d)
	}
	c := &claim{id: op.table.claimID.Add(1), started: op.now, pending: recipients}
	op.addClaim(c)
	decision := op.hold(c, d)
	op.sendClaim(c)
	return decision
}

func (op *flowOp) addClaim(c *claim) {
	if op.shard.claims[op.caller] == nil {
		op.table.claimCount.Add(1)
	}
	op.shard.claims[op.caller] = c
}

func (op *flowOp) removeClaim() {
	op.table.claimCount.Add(-1)
	delete(op.shard.claims, op.caller)
}

func (op *flowOp) hold(c *claim, d *Datagram) Decision {
	if len(c.held) >= maxHeldPerClaim || op.shard.heldBytes+len(d.Payload) > maxHeldBytesPerShard {
		return Decision{Reason: HoldQueueFull}
	}
	held := *d
	held.Payload = slices.Clone(d.Payload)
	c.held = append(c.held, held)
	op.shard.heldBytes += len(held.Payload)
	return Decision{Action: Hold, Reason: Claiming}
}

func (op *flowOp) sendClaim(c *claim) {
	c.sends++
	for _, to := range c.pending {
		op.out.send(to, Message{Claim: &Claim{ID: c.id, Caller: op.caller}})
	}
}

// claimRecipients returns every other member of a small pool. In a large pool it returns the
// present and former homes of the flow and some random members.
func (t *Table) claimRecipients(st *state, hash uint64) []ident.NodeID {
	var out []ident.NodeID
	add := func(id ident.NodeID) {
		if _, ok := st.view.Member(id); ok && id != t.options.Self && !slices.Contains(out, id) {
			out = append(out, id)
		}
	}
	if len(st.view.Members) <= maxFullClaimPool {
		for i := range st.view.Members {
			add(st.view.Members[i].Node.ID)
		}
		return out
	}
	for _, past := range st.pastViews {
		if m, ok := past.Home(hash); ok {
			add(m.Node.ID)
		}
	}
	if m, ok := st.view.Home(hash); ok {
		add(m.Node.ID)
	}
	t.randMu.Lock()
	defer t.randMu.Unlock()
	for range randomClaimRecipients {
		add(st.view.Members[t.rand.IntN(len(st.view.Members))].Node.ID)
	}
	return out
}

// releaseHeld ends the flow's claim and applies the decision to the held datagrams, each with its
// own hop count.
func (op *flowOp) releaseHeld(decision Decision) {
	c := op.shard.claims[op.caller]
	if c == nil {
		return
	}
	op.removeClaim()
	for _, d := range c.held {
		op.shard.heldBytes -= len(d.Payload)
		one := decision
		if one.Action == Forward {
			one = forwardDecision(&d, decision.To, decision.Reason, decision.Placed)
		}
		op.out.Released = append(op.out.Released, Released{d, one})
	}
}

// placeHeld places the flow of a claim for which no owner was found.
func (op *flowOp) placeHeld(c *claim) {
	if len(c.held) == 0 {
		op.removeClaim()
		return
	}
	op.place(&c.held[0])
}

// openHeld opens the flow of a claim at this agent, or places it while the agent drains.
func (op *flowOp) openHeld(c *claim) {
	if len(c.held) == 0 || op.table.draining.Load() {
		op.placeHeld(c)
		return
	}
	op.open(&c.held[0])
}

// HandleMessage handles a control message from another agent of the pool.
func (t *Table) HandleMessage(now time.Duration, from ident.NodeID, m Message, out *Effects) {
	switch {
	case m.Claim != nil:
		t.withFlow(now, m.Claim.Caller, out, func(op *flowOp) { op.handleClaim(from, m.Claim) })
	case m.ClaimReply != nil:
		t.withFlow(now, m.ClaimReply.Caller, out, func(op *flowOp) { op.handleClaimReply(from, m.ClaimReply) })
	case m.Register != nil:
		t.handleRegister(now, from, m.Register, out)
	case m.Ack != nil:
		t.registrations.acknowledge(from, m.Ack.Batch)
	}
}

// withFlow calls f for the caller's flow, with the lock of its shard held.
func (t *Table) withFlow(now time.Duration, c ident.Caller, out *Effects, f func(*flowOp)) {
	hash := ident.FlowKey{Service: t.options.Service, Caller: c}.Hash()
	n := shardOf(hash)
	s := &t.shards[n]
	s.mu.Lock()
	defer s.mu.Unlock()
	f(&flowOp{table: t, state: t.state.Load(), shard: s, shardIndex: n, now: now, hash: hash, caller: c, out: out})
}

func (op *flowOp) isMember(id ident.NodeID) bool {
	_, ok := op.state.view.Member(id)
	return ok
}

// handleClaim replies with the owner if it is recorded here. Otherwise it records a redirect to the
// claimant. If both agents claim the flow at once, the one with the lower node ID wins.
func (op *flowOp) handleClaim(from ident.NodeID, m *Claim) {
	reply := func(owner ident.NodeID) {
		op.out.send(from, Message{ClaimReply: &ClaimReply{ID: m.ID, Caller: m.Caller, Owner: owner}})
	}
	if e, i := op.shard.find(op.caller); e != nil {
		switch {
		case e.kind == owned:
			reply(op.table.options.Self)
			return
		case !op.isMember(e.node):
			op.shard.remove(op.now, e, i)
			op.table.directoryCount.Add(-1)
		case e.kind == confirmed || e.kind == unconfirmed:
			reply(e.node)
			return
		case e.idleTime(op.now) < redirectTTL && e.node < from:
			reply(e.node)
			return
		}
	}
	if c := op.shard.claims[op.caller]; c != nil && !c.isVerification {
		if op.table.options.Self < from {
			return // this claim wins, and the other agent yields when it receives it
		}
		op.releaseHeld(Decision{Action: Forward, Reason: Redirected, To: from})
	}
	op.recordOwner(redirect, from)
	reply(0)
}

// handleClaimReply ends the claim when the reply names an owner, or when it was the last one
// without.
func (op *flowOp) handleClaimReply(from ident.NodeID, m *ClaimReply) {
	c := op.shard.claims[op.caller]
	if c == nil || c.id != m.ID || !slices.Contains(c.pending, from) {
		return
	}
	if c.isVerification {
		op.finishVerification(c, m.Owner)
		return
	}
	switch {
	case m.Owner == op.table.options.Self:
		op.openHeld(c)
	case m.Owner != 0 && op.isMember(m.Owner):
		op.resolveClaim(from, m.Owner)
	default:
		c.pending = slices.DeleteFunc(c.pending, func(id ident.NodeID) bool { return id == from })
		if len(c.pending) == 0 {
			op.placeHeld(c)
		}
	}
}

// resolveClaim records the owner that a reply named and forwards the held datagrams to it.
func (op *flowOp) resolveClaim(from, owner ident.NodeID) {
	op.recordOwner(directoryKind(from, owner), owner)
	op.releaseHeld(Decision{Action: Forward, Reason: InDirectory, To: owner})
}

// directoryKind returns the kind of a directory entry for owner that rests on a message of from.
func directoryKind(from, owner ident.NodeID) entryKind {
	if from == owner {
		return confirmed
	}
	return unconfirmed
}

// finishVerification updates the directory after the reply of the owner that it names. If that
// agent still owns the flow, the challenger receives a resolution, on which it releases the flow.
func (op *flowOp) finishVerification(c *claim, owner ident.NodeID) {
	op.removeClaim()
	e, i := op.shard.find(op.caller)
	if e == nil || e.kind == owned || e.node != c.pending[0] {
		return
	}
	switch {
	case owner == e.node && c.challenger != 0:
		op.table.registrations.submitResolution(op.now, c.challenger, Owner{op.caller, owner})
	case owner == e.node:
	case c.challenger != 0:
		op.recordOwner(confirmed, c.challenger)
	default:
		op.shard.remove(op.now, e, i)
		op.table.directoryCount.Add(-1)
	}
}

// retryVerification repeats a verification that timed out while both the owner in the directory and
// the challenger are in the view. If one of them has left, there is no conflict.
func (op *flowOp) retryVerification(c *claim) {
	if c.challenger == 0 || !op.isMember(c.challenger) || !op.isMember(c.pending[0]) {
		op.removeClaim()
		return
	}
	c.started, c.sends = op.now, 0
	op.sendClaim(c)
}

// tickClaims repeats the shard's claims and ends those that timed out. A member that does not reply
// counts as not owning the flow.
func (t *Table) tickClaims(now time.Duration, n uint32, out *Effects) {
	s := &t.shards[n]
	s.mu.Lock()
	defer s.mu.Unlock()
	callers := make([]ident.Caller, 0, len(s.claims))
	for caller := range s.claims {
		callers = append(callers, caller)
	}
	slices.SortFunc(callers, func(a, b ident.Caller) int { return cmp.Compare(s.claims[a].id, s.claims[b].id) })
	st := t.state.Load()
	for _, caller := range callers {
		c := s.claims[caller]
		hash := ident.FlowKey{Service: t.options.Service, Caller: caller}.Hash()
		op := flowOp{table: t, state: st, shard: s, shardIndex: n, now: now, hash: hash, caller: caller, out: out}
		switch {
		case now >= c.started+claimTimeout && c.isVerification:
			op.retryVerification(c)
		case now >= c.started+claimTimeout:
			op.placeHeld(c)
		case c.sends < maxClaimSends && now >= c.started+time.Duration(c.sends)*claimInterval:
			op.sendClaim(c)
		}
	}
}
