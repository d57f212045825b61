package peer

import (
	"math/rand/v2"
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

// watchers returns the entries that watch this node.
func (p *Peer) watchers() []ident.NodeID {
	self := &p.options.Self
	byDC := p.index.entriesByDataCentre()
	local, remote := split(byDC, self.DataCentre)
	out := membership.WatchersOf(self.ID, local, remote)
	if self.Entry && slices.Contains(membership.RepresentativesOf(self.DataCentre, local), self.ID) {
		out = append(out, membership.ScopeWatchersOf(self.DataCentre, remote)...)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

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
	var out []ident.NodeID
	for _, n := range p.Pool(p.options.Self.Service) {
		if n.ID != p.options.Self.ID {
			out = append(out, n.ID)
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(len(out), poolHeartbeats)]
}

func (p *Peer) sendHeartbeats(time.Time) {
	p.selfMu.Lock()
	own, load := p.self, p.load
	p.selfMu.Unlock()
	if !own.Alive() {
		return
	}
	h := &lacewingv1.Heartbeat{Service: uint64(own.Service), Incarnation: uint64(own.Incarnation), RecordSequence: own.Sequence}
	if load != nil {
		h.Load = load()
	}
	for _, id := range append(p.watchers(), p.somePool()...) {
		_ = p.SendControl(id, &lacewingv1.Control{Body: &lacewingv1.Control_Heartbeat{Heartbeat: h}})
	}
}

// Control takes a control message that the transport authenticated.
func (p *Peer) Control(c *lacewingv1.Control) {
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

// answerHeartbeat tells the sender what is known of it. Entries answer every heartbeat; agents only one from a node that they hold dead,
// or in an older state.
func (p *Peer) answerHeartbeat(sender ident.NodeID, h *lacewingv1.Heartbeat) {
	n, ok := p.index.node(sender)
	if !ok {
		return // no address to answer to; the sender's record comes with its next push or Sync
	}
	known := n.node
	current := uint64(known.Incarnation) == h.GetIncarnation() && known.Sequence == h.GetRecordSequence() && known.Alive()
	if current && !p.options.Self.Entry {
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
	stale := p.stale
	p.stale = false
	p.trackMu.Unlock()
	var watched []membership.Watched
	if stale {
		watched = p.watched()
	}
	p.trackMu.Lock()
	var added []record.Node
	if stale {
		added = p.tracker.Watch(now, watched)
	}
	p.tracker.Each(func(id ident.NodeID) {
		if at, ok := p.heard.at(id); ok {
			p.tracker.Heard(id, at)
		}
	})
	events := p.tracker.Tick(now)
	p.trackMu.Unlock()
	own := []record.Record{record.ForNode(p.Self())}
	for _, n := range added {
		p.sendRecords(n.ID, own)
	}
	for _, e := range events {
		p.act(e)
	}
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
		n.State = record.Dead
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

// watched returns the nodes that must be heard here.
func (p *Peer) watched() []membership.Watched {
	if !p.options.Self.Entry {
		return p.watchedPool()
	}
	self := p.options.Self.ID
	byDC := p.index.entriesByDataCentre()
	var out []membership.Watched
	remote := map[ident.DataCentre][]ident.NodeID{}
	add := func(n record.Node) {
		others, ok := remote[n.DataCentre]
		if !ok {
			_, others = split(byDC, n.DataCentre)
			remote[n.DataCentre] = others
		}
		if slices.Contains(membership.WatchersOf(n.ID, byDC[n.DataCentre], others), self) {
			out = append(out, membership.Watched{Node: n})
		}
	}
	for _, n := range p.index.agents() {
		add(n)
	}
	for _, ids := range byDC {
		for _, id := range ids {
			n, _ := p.Node(id)
			add(n)
		}
	}
	for dc, ids := range byDC {
		_, others := split(byDC, dc)
		if dc == p.options.Self.DataCentre || !slices.Contains(membership.ScopeWatchersOf(dc, others), self) {
			continue
		}
		for _, id := range membership.RepresentativesOf(dc, ids) {
			n, _ := p.Node(id)
			out = append(out, membership.Watched{Node: n, Local: true})
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
		out = append(out, membership.Watched{Node: n, Local: true})
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
