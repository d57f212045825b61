package flow

import (
	"cmp"
	"slices"
	"time"

	"lacewinglever.dev/policy/ident"
)

// claim asks the pool for a flow's owner before the flow is placed. With verify, it asks the owner in the directory whether it still
// owns the flow, because challenger says that it owns it too.
type claim struct {
	id         uint64
	started    time.Duration
	sends      int
	waiting    []ident.NodeID
	held       []Datagram
	verify     bool
	challenger ident.NodeID
}

// claim holds d and asks the pool.
func (x *exchange) claim(d *Datagram) Decision {
	if len(x.s.claims) >= maxClaims {
		return Decision{Reason: HoldQueueFull}
	}
	waiting := x.t.claimMembers(x.st, x.hash)
	if len(waiting) == 0 {
		return x.place(d)
	}
	c := &claim{id: x.t.claimID.Add(1), started: x.now, waiting: waiting}
	x.startClaim(c)
	decision := x.hold(c, d)
	x.ask(c)
	return decision
}

func (x *exchange) startClaim(c *claim) {
	if x.s.claims[x.caller] == nil {
		x.t.claims.Add(1)
	}
	x.s.claims[x.caller] = c
}

func (x *exchange) endClaim() {
	x.t.claims.Add(-1)
	delete(x.s.claims, x.caller)
}

func (x *exchange) hold(c *claim, d *Datagram) Decision {
	if len(c.held) >= maxHeld || x.s.heldBytes+len(d.Payload) > maxHeldBytes {
		return Decision{Reason: HoldQueueFull}
	}
	kept := *d
	kept.Payload = slices.Clone(d.Payload)
	c.held = append(c.held, kept)
	x.s.heldBytes += len(kept.Payload)
	return Decision{Action: Hold, Reason: Claiming}
}

func (x *exchange) ask(c *claim) {
	c.sends++
	for _, to := range c.waiting {
		x.out.send(to, Message{Claim: &Claim{ID: c.id, Caller: x.caller}})
	}
}

// claimMembers returns every other member of a small pool. In a large one it returns those that were home of the flow before, and some
// random ones.
func (t *Table) claimMembers(st *state, hash uint64) []ident.NodeID {
	var out []ident.NodeID
	add := func(id ident.NodeID) {
		if _, ok := st.view.Member(id); ok && id != t.options.Self && !slices.Contains(out, id) {
			out = append(out, id)
		}
	}
	if len(st.view.Members) <= claimAll {
		for i := range st.view.Members {
			add(st.view.Members[i].Node.ID)
		}
		return out
	}
	for _, past := range st.past {
		if m, ok := past.Home(hash); ok {
			add(m.Node.ID)
		}
	}
	if m, ok := st.view.Home(hash); ok {
		add(m.Node.ID)
	}
	t.randMu.Lock()
	defer t.randMu.Unlock()
	for range claimRandom {
		add(st.view.Members[t.rand.IntN(len(st.view.Members))].Node.ID)
	}
	return out
}

// release ends the flow's claim: the held datagrams get the decision, each with its own hop count.
func (x *exchange) release(decision Decision) {
	c := x.s.claims[x.caller]
	if c == nil {
		return
	}
	x.endClaim()
	for _, d := range c.held {
		x.s.heldBytes -= len(d.Payload)
		one := decision
		if one.Action == Forward {
			one = forward(&d, decision.To, decision.Reason, decision.Placed)
		}
		x.out.Released = append(x.out.Released, Released{d, one})
	}
}

// placeHeld places the flow of a claim that found no owner.
func (x *exchange) placeHeld(c *claim) {
	if len(c.held) == 0 {
		x.endClaim()
		return
	}
	x.place(&c.held[0])
}

// ownHeld opens the flow of a claim here.
func (x *exchange) ownHeld(c *claim) {
	if len(c.held) == 0 || x.t.drain.Load() {
		x.placeHeld(c)
		return
	}
	x.open(&c.held[0])
}

// HandleMessage handles a control message of another agent of the pool.
func (t *Table) HandleMessage(now time.Duration, from ident.NodeID, m Message, out *Effects) {
	switch {
	case m.Claim != nil:
		t.exchange(now, m.Claim.Caller, out, func(x *exchange) { x.onClaim(from, m.Claim) })
	case m.ClaimReply != nil:
		t.exchange(now, m.ClaimReply.Caller, out, func(x *exchange) { x.onReply(from, m.ClaimReply) })
	case m.Register != nil:
		t.onRegister(now, from, m.Register, out)
	case m.Ack != nil:
		t.reg.acknowledged(from, m.Ack.Batch)
	}
}

func (t *Table) exchange(now time.Duration, c ident.Caller, out *Effects, f func(*exchange)) {
	hash := ident.FlowKey{Service: t.options.Service, Caller: c}.Hash()
	n := shardOf(hash)
	s := &t.shards[n]
	s.mu.Lock()
	defer s.mu.Unlock()
	f(&exchange{t: t, st: t.state.Load(), s: s, n: n, now: now, hash: hash, caller: c, out: out})
}

func (x *exchange) alive(id ident.NodeID) bool {
	_, ok := x.st.view.Member(id)
	return ok
}

func (x *exchange) onClaim(from ident.NodeID, m *Claim) {
	reply := func(owner ident.NodeID) {
		x.out.send(from, Message{ClaimReply: &ClaimReply{ID: m.ID, Caller: m.Caller, Owner: owner}})
	}
	if e, i := x.s.find(x.caller); e != nil {
		switch {
		case e.kind == owned:
			reply(x.t.options.Self)
			return
		case !x.alive(e.node):
			x.s.remove(x.now, e, i)
			x.t.known.Add(-1)
		case e.kind == directory || e.kind == hearsay:
			reply(e.node)
			return
		case e.idle(x.now) < redirectTTL && e.node < from:
			reply(e.node)
			return
		}
	}
	if c := x.s.claims[x.caller]; c != nil && !c.verify {
		if x.t.options.Self < from {
			return // this claim wins, and makes the other agent yield when it arrives there
		}
		x.release(Decision{Action: Forward, Reason: Redirected, To: from})
	}
	x.know(redirect, from)
	reply(0)
}

func (x *exchange) onReply(from ident.NodeID, m *ClaimReply) {
	c := x.s.claims[x.caller]
	if c == nil || c.id != m.ID || !slices.Contains(c.waiting, from) {
		return
	}
	if c.verify {
		x.verified(c, m.Owner)
		return
	}
	switch {
	case m.Owner == x.t.options.Self:
		x.ownHeld(c)
	case m.Owner != 0 && x.alive(m.Owner):
		x.found(from, m.Owner)
	default:
		c.waiting = slices.DeleteFunc(c.waiting, func(id ident.NodeID) bool { return id == from })
		if len(c.waiting) == 0 {
			x.placeHeld(c)
		}
	}
}

// found ends a claim with an owner.
func (x *exchange) found(from, owner ident.NodeID) {
	x.know(evidence(from, owner), owner)
	x.release(Decision{Action: Forward, Reason: InDirectory, To: owner})
}

func evidence(from, owner ident.NodeID) kind {
	if from == owner {
		return directory
	}
	return hearsay
}

// verified ends a dispute. If the owner in the directory still owns the flow, the challenger is told to give it up.
func (x *exchange) verified(c *claim, owner ident.NodeID) {
	x.endClaim()
	e, i := x.s.find(x.caller)
	if e == nil || e.kind == owned || e.node != c.waiting[0] {
		return
	}
	switch {
	case owner == e.node && c.challenger != 0:
		x.t.reg.rule(x.now, c.challenger, Owner{x.caller, owner})
	case owner == e.node:
	case c.challenger != 0:
		x.know(directory, c.challenger)
	default:
		x.s.remove(x.now, e, i)
		x.t.known.Add(-1)
	}
}

// verifyAgain asks again while the owner in the directory and the challenger are in the view: with one of them gone, nothing is in dispute.
func (x *exchange) verifyAgain(c *claim) {
	if c.challenger == 0 || !x.alive(c.challenger) || !x.alive(c.waiting[0]) {
		x.endClaim()
		return
	}
	c.started, c.sends = x.now, 0
	x.ask(c)
}

// tickClaims repeats the shard's claims and ends those that timed out. Silent members are taken not to own the flow.
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
		x := exchange{t: t, st: st, s: s, n: n, now: now, hash: hash, caller: caller, out: out}
		switch {
		case now >= c.started+claimTimeout && c.verify:
			x.verifyAgain(c)
		case now >= c.started+claimTimeout:
			x.placeHeld(c)
		case c.sends < claimSends && now >= c.started+time.Duration(c.sends)*claimInterval:
			x.ask(c)
		}
	}
}
