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

// topology returns the current snapshot of the live entries, with the entries that watch this node.
func (p *Peer) topology() *topology {
	t := p.topologyCache.Load()
	if p.index.isCurrent(t) {
		return t
	}
	t = p.index.topology()
	self := &p.options.Self
	local, remote := splitByDataCentre(t.byDC, self.DataCentre)
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

// splitByDataCentre returns the entries of a data centre and all others, both sorted.
func splitByDataCentre(byDC map[ident.DataCentre][]ident.NodeID, dc ident.DataCentre) (local, remote []ident.NodeID) {
	for name, ids := range byDC {
		if name != dc {
			remote = append(remote, ids...)
		}
	}
	slices.Sort(remote)
	return byDC[dc], remote
}

// samplePool returns at most poolSampleSize random members of the node's own pool.
func (p *Peer) samplePool() []ident.NodeID {
	if p.options.Self.Entry {
		return nil
	}
	pool := p.index.poolIDs(p.options.Self.Service)
	out := make([]ident.NodeID, 0, poolSampleSize)
	for _, i := range sample(len(pool), poolSampleSize+1) {
		if pool[i] != p.options.Self.ID && len(out) < poolSampleSize {
			out = append(out, pool[i])
		}
	}
	return out
}

// sendHeartbeats sends a round of heartbeats. The members of a pool larger than smallPoolSize
// receive one in every second round only, which keeps the heartbeats of an agent below the control
// budget of 4 KB/s.
func (p *Peer) sendHeartbeats(time.Time) {
	p.selfMu.Lock()
	own, load := p.self, p.load
	p.round++
	round := p.round
	p.selfMu.Unlock()
	if !own.Alive() {
		return
	}
	heartbeat := &lacewingv1.Heartbeat{Service: uint64(own.Service), Incarnation: uint64(own.Incarnation),
		RecordSequence: own.Sequence}
	if load != nil {
		heartbeat.Load = load()
	}
	targets := p.watchers()
	if pool := p.samplePool(); len(pool) <= smallPoolSize || round%2 == 0 {
		targets = append(targets, pool...)
	}
	withAckRequest := proto.CloneOf(heartbeat)
	heartbeat.Heard = true // the receiver need not acknowledge this one
	for _, id := range targets {
		body := heartbeat
		if p.needsAck(id) {
			body = withAckRequest
		}
		_ = p.SendControl(id, &lacewingv1.Control{Body: &lacewingv1.Control_Heartbeat{Heartbeat: body}})
	}
}

// needsAck reports whether a heartbeat to this entry requests an acknowledgement. Only agents
// request one, to determine the entries that return traffic may use, and only while the entry sends
// them nothing else.
func (p *Peer) needsAck(entry ident.NodeID) bool {
	if p.options.Self.Entry {
		return false
	}
	at, ok := p.activity.lastSeen(entry)
	return !ok || time.Since(at) >= ackRequestAfter
}

// ReceiveControl processes a control message that the transport has authenticated.
func (p *Peer) ReceiveControl(c *lacewingv1.Control) {
	p.received.Add(proto.Size(c))
	sender := ident.NodeID(c.GetSender())
	senderActivity := p.activity.markSeen(sender)
	switch body := c.GetBody().(type) {
	case *lacewingv1.Control_Heartbeat:
		if body.Heartbeat.GetLoad() != nil {
			senderActivity.load.Store(&loadReport{body.Heartbeat.GetLoad(), time.Now()})
		}
		p.acknowledgeHeartbeat(sender, body.Heartbeat)
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

// acknowledgeHeartbeat sends the sender's state as recorded here back to it. An entry does so when
// the heartbeat requests it. Every node does when it has marked the sender dead or holds an older
// record of it.
func (p *Peer) acknowledgeHeartbeat(sender ident.NodeID, heartbeat *lacewingv1.Heartbeat) {
	n, ok := p.index.node(sender)
	if !ok {
		return // no address to reply to; the sender's record arrives with its next push or Sync
	}
	recorded := n.node
	current := uint64(recorded.Incarnation) == heartbeat.GetIncarnation() &&
		recorded.Sequence == heartbeat.GetRecordSequence() &&
		recorded.Alive()
	if current && (heartbeat.GetHeard() || !p.options.Self.Entry) {
		return
	}
	ack := &lacewingv1.HeartbeatAck{RecordSequence: recorded.Sequence, KnownState: uint32(recorded.State)}
	if uint64(recorded.Incarnation) != heartbeat.GetIncarnation() {
		ack.KnownState = 0
	}
	_ = p.SendControl(sender, &lacewingv1.Control{Body: &lacewingv1.Control_HeartbeatAck{HeartbeatAck: ack}})
}

// checkAck sends the node's own record to a node with an older one, and refutes a record that marks
// this node dead.
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

// tick updates the set of watched nodes, evaluates their silence and handles the resulting events.
func (p *Peer) tick(now time.Time) {
	p.trackMu.Lock()
	stale := p.watchSetStale && now.Sub(p.watchSetComputedAt) >= watchSetInterval
	if stale {
		p.watchSetStale, p.watchSetComputedAt = false, now
	}
	p.trackMu.Unlock()
	var watched []membership.Watched
	if stale {
		watched = p.watchSet()
	}
	p.trackMu.Lock()
	var added []record.Node
	if stale {
		added = p.tracker.Watch(now, watched)
	}
	p.tracker.Each(func(id ident.NodeID) {
		if at, ok := p.activity.lastSeen(id); ok {
			p.tracker.RecordHeartbeat(id, at)
		}
	})
	events := p.tracker.Tick(now)
	p.trackMu.Unlock()
	for _, n := range added {
		p.sendInitialRecords(&n)
	}
	for _, e := range events {
		p.handleEvent(e)
	}
}

// sendInitialRecords sends a newly watched node this node's record, and to an agent the newest
// revision of its service. A revision that was pushed before the agent was watched here would
// otherwise reach it by anti-entropy only, up to 2.4 s later.
func (p *Peer) sendInitialRecords(n *record.Node) {
	records := []record.Record{record.ForNode(p.Self())}
	if r, ok := p.Revision(n.Service); ok && !n.Entry {
		records = append(records, record.ForRevision(r))
	}
	p.sendRecords(n.ID, records)
}

// handleEvent handles one event of the tracker.
func (p *Peer) handleEvent(e membership.Event) {
	switch e.Kind {
	case membership.Suspected, membership.Recovered:
		p.notify(Change{Node: e.Node, Suspect: e.Kind == membership.Suspected})
	case membership.Died:
		n, ok := p.Node(e.Node)
		if !ok || !n.Alive() {
			return
		}
		_ = level.Warn(p.options.Logger).Log(logging.KeyMessage, "node is silent, marking it dead",
			"peer", n.Name)
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

// mayChangeWatchSet reports whether a change of this node's record may change the set of nodes that
// are watched here.
func (p *Peer) mayChangeWatchSet(n *record.Node) bool {
	self := &p.options.Self
	if !self.Entry {
		return n.Service == self.Service
	}
	return n.Entry || n.DataCentre == self.DataCentre || len(p.topology().byDC[n.DataCentre]) <= membership.Watchers
}

// watcherCache caches which nodes of the own data centre are watched here. That depends only on the
// node's id and the live entries of the data centre, so a change of agents costs one rendezvous
// hash per new agent.
type watcherCache struct {
	local   []ident.NodeID
	outside []ident.NodeID
	watched map[ident.NodeID]bool
}

// isWatcher reports whether this entry watches a node of its own data centre.
func (c *watcherCache) isWatcher(self, id ident.NodeID, local, outside []ident.NodeID) bool {
	if c.watched == nil || !slices.Equal(c.local, local) || !slices.Equal(c.outside, outside) {
		*c = watcherCache{local, outside, map[ident.NodeID]bool{}}
	}
	watched, ok := c.watched[id]
	if !ok {
		watched = slices.Contains(membership.WatchersOf(id, local, outside), self)
		c.watched[id] = watched
	}
	return watched
}

// watchSet returns the nodes that this node watches. It is called by one goroutine only.
func (p *Peer) watchSet() []membership.Watched {
	if !p.options.Self.Entry {
		return p.watchedPool()
	}
	self, ownDC := p.options.Self.ID, p.options.Self.DataCentre
	topology := p.topology()
	byDC := topology.byDC
	var out []membership.Watched
	outsideOf := map[ident.DataCentre][]ident.NodeID{}
	entriesOutside := func(dc ident.DataCentre) []ident.NodeID {
		if outsideOf[dc] == nil {
			_, outsideOf[dc] = splitByDataCentre(byDC, dc)
		}
		return outsideOf[dc]
	}
	add := func(n record.Node) {
		local := byDC[n.DataCentre]
		var outside []ident.NodeID
		if len(local) <= membership.Watchers {
			outside = entriesOutside(n.DataCentre)
		}
		var watchedHere bool
		if n.DataCentre == ownDC {
			watchedHere = p.watcherCache.isWatcher(self, n.ID, local, outside)
		} else {
			watchedHere = slices.Contains(membership.WatchersOf(n.ID, local, outside), self)
		}
		if watchedHere {
			out = append(out, membership.Watched{Node: n})
		}
	}
	// A data centre with enough entries watches its own nodes.
	mayWatch := func(dc ident.DataCentre) bool { return dc == ownDC || len(byDC[dc]) <= membership.Watchers }
	for _, n := range p.index.agents(mayWatch) {
		add(n)
	}
	for dc, ids := range byDC {
		if !mayWatch(dc) {
			continue
		}
		for _, id := range ids {
			n, _ := p.Node(id)
			add(n)
		}
	}
	for _, dc := range topology.watchedDataCentres(self, ownDC) {
		for _, id := range membership.RepresentativesOf(dc, byDC[dc]) {
			n, _ := p.Node(id)
			out = append(out, membership.Watched{Node: n, SuspectOnly: true})
		}
	}
	return out
}

// watchedPool returns the members of the pool if it is small enough that each member is sent every
// heartbeat.
func (p *Peer) watchedPool() []membership.Watched {
	pool := p.Pool(p.options.Self.Service)
	if len(pool) > poolSampleSize+1 {
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
