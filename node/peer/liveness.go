package peer

import (
	"slices"
	"time"

	"github.com/go-kit/log/level"
	"google.golang.org/protobuf/proto"

	lacewingv1 "lacewinglever.dev/node/gen/lacewing/v1"
	"lacewinglever.dev/node/logging"
	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/membership"
	"lacewinglever.dev/policy/record"
)

// topology returns the picture of the live entries, with the entries that watch this node.
func (p *Peer) topology() *topology {
	t := p.topologyCache.Load()
	if p.index.current(t) {
		return t
	}
	t = p.index.topology()
	self := &p.options.Self
	local, remote := split(t.byDC, self.DataCentre)
	t.watchers = membership.WatchersOf(self.ID, local, remote)
	if self.Entry && slices.Contains(membership.RepresentativesOf(self.DataCentre, local), self.ID) {
		t.watchers = append(t.watchers, membership.ScopeWatchersOf(self.DataCentre, remote)...)
	}
	slices.Sort(t.watchers)
	t.watchers = slices.Compact(t.watchers)
	p.topologyCache.Store(t)
	return t
}

// watchers returns the entries that watch this node.
func (p *Peer) watchers() []ident.NodeID { return slices.Clone(p.topology().watchers) }

// split separates a data centre's entries from all others, both sorted.
func split(byDC map[ident.DataCentre][]ident.NodeID, dc ident.DataCentre) (local, remote []ident.NodeID) {
	for name, ids := range byDC {
		if name != dc {
			remote = append(remote, ids...)
		}
	}
	slices.Sort(remote)
	return byDC[dc], remote
}

// somePool returns at most poolHeartbeats members of the own pool, chosen at random.
func (p *Peer) somePool() []ident.NodeID {
	if p.options.Self.Entry {
		return nil
	}
	pool := p.index.poolIDs(p.options.Self.Service)
	out := make([]ident.NodeID, 0, poolHeartbeats)
	for _, i := range sample(len(pool), poolHeartbeats+1) {
		if pool[i] != p.options.Self.ID && len(out) < poolHeartbeats {
			out = append(out, pool[i])
		}
	}
	return out
}

// sendHeartbeats sends a round of heartbeats. Pools of more than smallPool members get theirs in every second round, which keeps an agent's
// heartbeats below the control budget of 4 KB/s.
func (p *Peer) sendHeartbeats(time.Time) {
	p.selfMu.Lock()
	own, load := p.self, p.load
	p.round++
	round := p.round
	p.selfMu.Unlock()
	if !own.Alive() {
		return
	}
	h := &lacewingv1.Heartbeat{Service: uint64(own.Service), Incarnation: uint64(own.Incarnation), RecordSequence: own.Sequence}
	if load != nil {
		h.Load = load()
	}
	targets := p.watchers()
	if pool := p.somePool(); len(pool) <= smallPool || round%2 == 0 {
		targets = append(targets, pool...)
	}
	asking := proto.CloneOf(h)
	h.Heard = true
	for _, id := range targets {
		body := h
		if p.needsAck(id) {
			body = asking
		}
		_ = p.SendControl(id, &lacewingv1.Control{Body: &lacewingv1.Control_Heartbeat{Heartbeat: body}})
	}
}

// needsAck tells whether a heartbeat must be answered by the entry that it goes to. Only agents need that, to know which entries return
// traffic may go to, and only while the entry sends them nothing else.
func (p *Peer) needsAck(entry ident.NodeID) bool {
	if p.options.Self.Entry {
		return false
	}
	at, ok := p.heard.at(entry)
	return !ok || time.Since(at) >= ackAfter
}

// ReceiveControl takes a control message that the transport authenticated.
func (p *Peer) ReceiveControl(c *lacewingv1.Control) {
	p.received.Add(proto.Size(c))
	sender := ident.NodeID(c.GetSender())
	contact := p.heard.touch(sender)
	switch body := c.GetBody().(type) {
	case *lacewingv1.Control_Heartbeat:
		if body.Heartbeat.GetLoad() != nil {
			contact.load.Store(&loadReport{body.Heartbeat.GetLoad(), time.Now()})
		}
		p.answerHeartbeat(sender, body.Heartbeat)
	case *lacewingv1.Control_HeartbeatAck:
		p.checkAck(sender, body.HeartbeatAck)
	case *lacewingv1.Control_Gossip:
		p.mergeProto(body.Gossip.GetRecords(), p.options.Self.Entry)
	default:
		p.handlersMu.RLock()
		handlers := p.handlers
		p.handlersMu.RUnlock()
		for _, f := range handlers {
			f(c)
		}
	}
}

// answerHeartbeat tells the sender what is known of it. Entries answer when the sender asks; every node does when it holds the sender dead
// or in an older state.
func (p *Peer) answerHeartbeat(sender ident.NodeID, h *lacewingv1.Heartbeat) {
	n, ok := p.index.node(sender)
	if !ok {
		return // no address to answer to; the sender's record comes with its next push or Sync
	}
	known := n.node
	current := uint64(known.Incarnation) == h.GetIncarnation() && known.Sequence == h.GetRecordSequence() && known.Alive()
	if current && (h.GetHeard() || !p.options.Self.Entry) {
		return
	}
	ack := &lacewingv1.HeartbeatAck{RecordSequence: known.Sequence, KnownState: uint32(known.State)}
	if uint64(known.Incarnation) != h.GetIncarnation() {
		ack.KnownState = 0
	}
	_ = p.SendControl(sender, &lacewingv1.Control{Body: &lacewingv1.Control_HeartbeatAck{HeartbeatAck: ack}})
}

// checkAck sends the own record to a node that holds an older one, and refutes being dead.
func (p *Peer) checkAck(sender ident.NodeID, ack *lacewingv1.HeartbeatAck) {
	own := p.Self()
	if record.State(ack.GetKnownState()) == record.Dead && ack.GetRecordSequence() >= own.Sequence {
		dead := own
		dead.State = record.Dead
		dead.Sequence = ack.GetRecordSequence()
		p.refute(record.ForNode(dead))
		return
	}
	if ack.GetKnownState() == uint32(own.State) && ack.GetRecordSequence() == own.Sequence {
		return
	}
	p.sendRecords(sender, []record.Record{record.ForNode(own)})
}

// tick judges who is silent.
func (p *Peer) tick(now time.Time) {
	p.trackMu.Lock()
	stale := p.stale && now.Sub(p.watched) >= watchEvery
	if stale {
		p.stale, p.watched = false, now
	}
	p.trackMu.Unlock()
	var watched []membership.Watched
	if stale {
		watched = p.toWatch()
	}
	p.trackMu.Lock()
	var added []record.Node
	if stale {
		added = p.tracker.Watch(now, watched)
	}
	p.tracker.Each(func(id ident.NodeID) {
		if at, ok := p.heard.at(id); ok {
			p.tracker.RecordHeartbeat(id, at)
		}
	})
	events := p.tracker.Tick(now)
	p.trackMu.Unlock()
	for _, n := range added {
		p.greet(&n)
	}
	for _, e := range events {
		p.act(e)
	}
}

// greet sends a node that is watched from now on what it needs. A revision that was pushed before the agent was watched here would
// otherwise reach it by anti-entropy only, up to 2.4 s later.
func (p *Peer) greet(n *record.Node) {
	records := []record.Record{record.ForNode(p.Self())}
	if r, ok := p.Revision(n.Service); ok && !n.Entry {
		records = append(records, record.ForRevision(r))
	}
	p.sendRecords(n.ID, records)
}

// act carries out a finding of the tracker.
func (p *Peer) act(e membership.Event) {
	switch e.Kind {
	case membership.Suspected, membership.Recovered:
		p.notify(Change{Node: e.Node, Suspect: e.Kind == membership.Suspected})
	case membership.Died:
		n, ok := p.Node(e.Node)
		if !ok || !n.Alive() {
			return
		}
		_ = level.Warn(p.options.Logger).Log(logging.KeyMessage, "node is silent, marking it dead", "peer", n.Name)
		n.State, n.Ended = record.Dead, time.Now()
		p.Publish(record.ForNode(n))
	case membership.ScopeDown, membership.ScopeUp:
		p.publishScope(e.Scope, e.Kind == membership.ScopeDown, p.scopeIssued(e.Scope))
	}
}

func (p *Peer) scopeIssued(name membership.ScopeName) time.Time {
	r, ok := p.store.Get(record.ForScope(record.Scope{Kind: name.Kind, Name: name.Name}).Key)
	if !ok || r.Scope == nil {
		return time.Time{}
	}
	return r.Scope.Issued
}

// concerns tells whether a change of a node may change which nodes are watched here.
func (p *Peer) concerns(n *record.Node) bool {
	self := &p.options.Self
	if !self.Entry {
		return n.Service == self.Service
	}
	return n.Entry || n.DataCentre == self.DataCentre || len(p.topology().byDC[n.DataCentre]) <= membership.Watchers
}

// choices remembers which nodes of the own data centre are watched here. A choice depends only on the node's id and the live entries of the
// data centre, so that a change of agents costs one rendezvous hash per agent that is new.
type choices struct {
	local   []ident.NodeID
	outside []ident.NodeID
	watched map[ident.NodeID]bool
}

// choose tells whether this entry watches a node of the own data centre.
func (c *choices) choose(self, id ident.NodeID, local, outside []ident.NodeID) bool {
	if c.watched == nil || !slices.Equal(c.local, local) || !slices.Equal(c.outside, outside) {
		*c = choices{local, outside, map[ident.NodeID]bool{}}
	}
	watched, ok := c.watched[id]
	if !ok {
		watched = slices.Contains(membership.WatchersOf(id, local, outside), self)
		c.watched[id] = watched
	}
	return watched
}

// toWatch returns the nodes that must be heard here. It is called by one goroutine.
func (p *Peer) toWatch() []membership.Watched {
	if !p.options.Self.Entry {
		return p.watchedPool()
	}
	self, own := p.options.Self.ID, p.options.Self.DataCentre
	topology := p.topology()
	byDC := topology.byDC
	var out []membership.Watched
	remote := map[ident.DataCentre][]ident.NodeID{}
	others := func(dc ident.DataCentre) []ident.NodeID {
		if remote[dc] == nil {
			_, remote[dc] = split(byDC, dc)
		}
		return remote[dc]
	}
	add := func(n record.Node) {
		local := byDC[n.DataCentre]
		var outside []ident.NodeID
		if len(local) <= membership.Watchers {
			outside = others(n.DataCentre)
		}
		var chosen bool
		if n.DataCentre == own {
			chosen = p.chosen.choose(self, n.ID, local, outside)
		} else {
			chosen = slices.Contains(membership.WatchersOf(n.ID, local, outside), self)
		}
		if chosen {
			out = append(out, membership.Watched{Node: n})
		}
	}
	// Data centres with enough entries watch their own nodes.
	concerns := func(dc ident.DataCentre) bool { return dc == own || len(byDC[dc]) <= membership.Watchers }
	for _, n := range p.index.agents(concerns) {
		add(n)
	}
	for dc, ids := range byDC {
		if !concerns(dc) {
			continue
		}
		for _, id := range ids {
			n, _ := p.Node(id)
			add(n)
		}
	}
	for _, dc := range topology.watchedScopes(self, own) {
		for _, id := range membership.RepresentativesOf(dc, byDC[dc]) {
			n, _ := p.Node(id)
			out = append(out, membership.Watched{Node: n, SuspectOnly: true})
		}
	}
	return out
}

// watchedPool returns the pool's members if each of them is sent every heartbeat.
func (p *Peer) watchedPool() []membership.Watched {
	pool := p.Pool(p.options.Self.Service)
	if len(pool) > poolHeartbeats+1 {
		return nil
	}
	out := make([]membership.Watched, 0, len(pool))
	for _, n := range pool {
		out = append(out, membership.Watched{Node: n, SuspectOnly: true})
	}
	return out
}

// watchedAgents returns the agents that this entry watches.
func (p *Peer) watchedAgents() []record.Node {
	if !p.options.Self.Entry {
		return nil
	}
	p.trackMu.Lock()
	defer p.trackMu.Unlock()
	return p.tracker.Agents()
}
