// Package roster holds what a node believes of the other nodes of the fleet: who they are, when they were last heard and what they said. Its times
// are those of a clock that counts suspension, so that a node that was frozen does not take old beliefs for fresh ones.
package roster

import (
	"cmp"
	"math"
	"net/netip"
	"slices"
	"sync"
	"time"

	"lacewinglever.dev/policy/ident"
)

const (
	// DefaultInterval is the shortest interval of heartbeats, and the one that a node is taken to keep before it has told another.
	DefaultInterval = 200 * time.Millisecond
	// lostBeats is how many heartbeats in a row may be lost or late, by intervalSlack at most, before an agent gets no new flows.
	lostBeats     = 2
	intervalSlack = 300 * time.Millisecond
	// absentSlack is added to the silence that lostBeats allow before a node doesn't count as running, which has others take over its duties.
	absentSlack = 200 * time.Millisecond
	// goneAfter is the least silence after which a node is taken to hold no flow, and goneSlack the least time between the end of new flows to it
	// and that. A killed process is usually back within a second, with the flows of its target intact.
	goneAfter = 1500 * time.Millisecond
	goneSlack = 800 * time.Millisecond
	// DigestInterval is the interval of digests of a data centre to each other one.
	DigestInterval = 500 * time.Millisecond
	// digestsGoneAfter is the silence of a whole data centre's digests after which its nodes are taken to hold no flow. Its relays may all have been
	// killed, in which case others take over after some 3 s, or be cut off from here; the flows of their neighbours are intact all the while.
	digestsGoneAfter = 12 * time.Second
	// silentFor is how long the relays must call a node silent before it is taken to hold no flow. One of them may be deaf.
	silentFor = time.Second
	// answerWithin is how long an agent takes at most to answer the first flow of an entry with a heartbeat. The round trip between data centres is
	// some 10 ms; the rest is for nodes that are slow. Such an agent tells that entry its load for a while, so that a lost answer is made up for.
	answerWithin = 500 * time.Millisecond
	// placedFor is the time constant with which flows that were placed on a node stop counting: requests last some tens of milliseconds.
	placedFor = 40 * time.Millisecond
	// drainedAfter is the silence after which a node that was never heard, and whose target had announced its end, is taken to hold no flow. Such a
	// node has most likely ended: its record stays if the store was away at that time.
	drainedAfter = 400 * time.Millisecond
	// returnWithin is how long a node that announced its stop may take to come back. Its target may live on and keep its flows.
	returnWithin = 8 * time.Second
	// forgetAfter is the silence after which a node is removed.
	forgetAfter = time.Minute
	// runningAtLeast is the least silence that ends a node's duties: nodes without flows here send a heartbeat every second.
	runningAtLeast = 2300 * time.Millisecond
)

// Node is what does not change in one life of a process.
type Node struct {
	ID          ident.NodeID
	Name        string
	Incarnation ident.Incarnation
	Entry       bool
	DataCentre  ident.DataCentre
	Address     netip.AddrPort // for datagrams and RPCs of the fleet
}

// Target is what an agent says of the target beside it.
type Target struct {
	Service      string // empty while no target has reported
	ID           string
	StartUnixMs  int64 // Unix milliseconds
	Accepting    bool  // takes new flows
	Ended        bool  // gone: holds no flow
	MayHaveEnded bool  // may have ended: a packet that is passed to it may get lost
	WarmingUp    bool
	Flows        int
	Slots        int
	Busy         float64 // requests in progress, smoothed
	Rate         float64 // requests a second
	Failing      float64 // share of the requests that the target broke off, 0 to 1
}

// Heartbeat is what a node says in one heartbeat.
type Heartbeat struct {
	Sequence uint64
	Revision uint64 // of the routes in force there
	Leaving  bool   // the process was told to stop
	Target   Target // agents only
	// Interval is the time within which the sender's next heartbeat is due here, DefaultInterval if it is 0.
	Interval time.Duration
	// ViaDigest tells that the sender promises no heartbeats here, because digests of its data centre tell of it.
	ViaDigest bool
}

// Health tells how much a node's silence says.
type Health uint8

// Health of a node.
const (
	Live    Health = iota
	Suspect        // unheard for a while, may be back: gets no new flows
	Gone           // unheard for so long that no flow waits for it
)

// Peer is what is believed of one node.
type Peer struct {
	Node
	Heartbeat
	Service       string        // of its target, from its heartbeats or, before the first of them, from its record
	LastSeen      time.Duration // time of the last heartbeat, or of learning of the node
	HeartbeatSeen bool          // a heartbeat was received
	Drained       bool          // its record says that its target has announced its end
	Silent        bool          // the relays of its data centre don't hear it

	placed     float64 // flows placed there since its last heartbeat, as many as count at placedAt
	placedAt   time.Duration
	unanswered time.Duration // time of the first flow placed there that no heartbeat has followed yet
	silent     time.Duration // time from which it was called Silent
	digest     time.Duration // time of the last digest of its data centre if it is Digested and not Silent, else 0
}

// PlacedLoad returns how many of the flows that were placed on the peer since its last heartbeat count as load now.
func (p *Peer) PlacedLoad(now time.Duration) float64 {
	if p.placed == 0 {
		return 0
	}
	return p.placed * math.Exp(-float64(now-p.placedAt)/float64(placedFor))
}

// RecordPlacement counts a flow that is placed on the peer.
func (p *Peer) RecordPlacement(now time.Duration) {
	p.placed = p.PlacedLoad(now) + 1
	p.placedAt = now
	if !p.Unanswered() {
		p.unanswered = now
	}
}

// Unanswered tells whether a flow was placed on the peer and it has not sent a heartbeat since.
func (p *Peer) Unanswered() bool { return p.unanswered != 0 && p.unanswered >= p.LastSeen }

// silence returns the time since the last evidence that the peer lives.
func (p *Peer) silence(now time.Duration) time.Duration {
	if p.digest != 0 {
		return now - max(p.LastSeen, p.digest)
	}
	return now - p.LastSeen
}

// interval returns the time within which news of the peer is due.
func (p *Peer) interval() time.Duration {
	switch {
	case p.ViaDigest:
		return DigestInterval
	case p.Interval == 0:
		return DefaultInterval
	}
	return p.Interval
}

// quietAfter returns the silence after which the peer gets no new flows.
func (p *Peer) quietAfter() time.Duration { return lostBeats*p.interval() + intervalSlack }

// goneAfter returns the silence after which the peer is taken to hold no flow.
func (p *Peer) goneAfter() time.Duration {
	switch {
	case p.Leaving:
		return returnWithin
	case !p.HeartbeatSeen && p.Drained:
		return drainedAfter
	case p.ViaDigest && !p.Silent:
		return digestsGoneAfter
	}
	return max(goneAfter, p.quietAfter()+goneSlack)
}

// Health returns what the peer's silence says at the time now.
func (p *Peer) Health(now time.Duration) Health {
	silence := p.silence(now)
	switch {
	case silence > p.goneAfter() && (!p.Silent || now-p.silent > silentFor):
		return Gone
	case silence > p.quietAfter() || !p.HeartbeatSeen || p.Leaving || p.Silent || p.Unanswered() && now-p.unanswered > answerWithin:
		return Suspect
	}
	return Live
}

// Running tells whether the peer was heard as recently as any node can expect. Health is for agents of a service that one places flows on.
func (p *Peer) Running(now time.Duration) bool {
	return p.HeartbeatSeen && !p.Leaving && !p.Silent && p.silence(now) <= max(p.quietAfter(), runningAtLeast)+absentSlack
}

// Overdue tells whether a heartbeat of the peer was due for so long that it gets no new flows.
func (p *Peer) Overdue(now time.Duration) bool { return p.silence(now) > p.quietAfter() }

// Change tells what a heartbeat changed.
type Change uint8

// Changes, of which the greatest is returned.
const (
	Stale     Change = iota // overtaken by a later heartbeat
	Unchanged               // only the load
	Returned                // heard again after silence
	Changed                 // the target or the state of the process
	Joined                  // unknown node, or a new life of a known one
)

// Roster is the set of known nodes. Its methods may be called from any goroutine.
type Roster struct {
	mu      sync.RWMutex
	self    ident.NodeID
	peers   map[ident.NodeID]*Peer
	digests map[ident.DataCentre]time.Duration // time of the last digest
}

// New returns a roster without peers. The node self is never added.
func New(self ident.NodeID) *Roster {
	return &Roster{self: self, peers: map[ident.NodeID]*Peer{}, digests: map[ident.DataCentre]time.Duration{}}
}

// view returns what is believed of a peer at present: digests of its data centre are evidence for all that they don't call silent.
func (r *Roster) view(p *Peer) Peer {
	v := *p
	if p.ViaDigest && !p.Silent {
		v.digest = r.digests[p.DataCentre]
	}
	return v
}

// Add adds a node that a record or another node names; drained is what the record says of its target. It returns whether the node, or this life of it,
// was unknown.
func (r *Roster) Add(now time.Duration, n Node, service string, drained bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if n.ID == r.self {
		return false
	}
	if p, ok := r.peers[n.ID]; ok && p.Incarnation >= n.Incarnation {
		return false
	}
	r.peers[n.ID] = &Peer{Node: n, Service: service, LastSeen: now, Drained: drained}
	return true
}

// RecordHeartbeat takes a heartbeat.
func (r *Roster) RecordHeartbeat(now time.Duration, n Node, b Heartbeat) Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.hear(now, now, n, b)
}

// RecordDigest notes that a digest of a data centre has arrived.
func (r *Roster) RecordDigest(now time.Duration, dc ident.DataCentre) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.digests[dc] = now
}

// RecordRelayed takes the last heartbeat that a relay of the node's data centre has heard, some time ago. silent tells that the relay has expected another since
// then. Of two relays, the one that has heard the node later is right, and the node itself before both.
func (r *Roster) RecordRelayed(now, ago time.Duration, n Node, b Heartbeat, silent bool) Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	b.ViaDigest = true
	p, ok := r.peers[n.ID]
	if ok && p.HeartbeatSeen && !p.ViaDigest && p.Incarnation == n.Incarnation && !p.Overdue(now) {
		return Stale // the node itself tells more, and later
	}
	if ok && silent && p.ViaDigest && p.Incarnation == n.Incarnation && p.Sequence == b.Sequence && !p.Silent {
		p.Silent, p.silent = true, now
		return Changed
	}
	change := r.hear(now, now-ago, n, b)
	if change != Stale && silent {
		p := r.peers[n.ID]
		p.Silent, p.silent = true, now
	}
	return change
}

// hear takes a heartbeat that was sent at the time at.
func (r *Roster) hear(now, at time.Duration, n Node, b Heartbeat) Change {
	if n.ID == r.self {
		return Stale
	}
	p, ok := r.peers[n.ID]
	if ok && (p.Incarnation > n.Incarnation || p.Incarnation == n.Incarnation && p.HeartbeatSeen && p.Sequence >= b.Sequence) {
		return Stale
	}
	change := Unchanged
	switch {
	case !ok || !p.HeartbeatSeen || p.Incarnation != n.Incarnation:
		change = Joined
	case differs(&p.Heartbeat, &b):
		change = Changed
	case !p.Leaving && !r.running(now, p):
		change = Returned
	}
	service := b.Target.Service
	if service == "" && ok {
		service = p.Service
	}
	r.peers[n.ID] = &Peer{Node: n, Heartbeat: b, Service: service, LastSeen: at, HeartbeatSeen: true}
	return change
}

func (r *Roster) running(now time.Duration, p *Peer) bool {
	v := r.view(p)
	return v.Running(now)
}

func differs(a, b *Heartbeat) bool {
	x, y := a.Target, b.Target
	return a.Leaving != b.Leaving || x.Service != y.Service || x.StartUnixMs != y.StartUnixMs || x.ID != y.ID || x.Accepting != y.Accepting || x.Ended != y.Ended ||
		x.MayHaveEnded != y.MayHaveEnded
}

// RecordPlacement counts a flow that was placed on a node, until its next heartbeat.
func (r *Roster) RecordPlacement(now time.Duration, id ident.NodeID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p, ok := r.peers[id]; ok {
		p.RecordPlacement(now)
	}
}

// Find returns what is believed of a node.
func (r *Roster) Find(id ident.NodeID) (Peer, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if p, ok := r.peers[id]; ok {
		return r.view(p), true
	}
	return Peer{}, false
}

// Peers returns all nodes, in the order of their ids.
func (r *Roster) Peers() []Peer {
	r.mu.RLock()
	defer r.mu.RUnlock()
	all := make([]Peer, 0, len(r.peers))
	for _, p := range r.peers {
		all = append(all, r.view(p))
	}
	slices.SortFunc(all, func(a, b Peer) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// Running returns the nodes of a data centre that run.
func (r *Roster) Running(now time.Duration, dc ident.DataCentre) []ident.NodeID {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var ids []ident.NodeID
	for _, p := range r.peers {
		if p.DataCentre == dc && r.running(now, p) {
			ids = append(ids, p.ID)
		}
	}
	return ids
}

// Agents appends the agents of a service, those of all services if it is empty.
func (r *Roster) Agents(agents []Peer, service string) []Peer {
	r.mu.RLock()
	defer r.mu.RUnlock()
	for _, p := range r.peers {
		if !p.Entry && (service == "" || p.Service == service) {
			agents = append(agents, r.view(p))
		}
	}
	return agents
}

// HasLeavingEntry tells whether another entry of a data centre has announced its stop and is not back. While half of the entries of a data centre are
// out, the fabric uses all of them, stopped ones included.
func (r *Roster) HasLeavingEntry(now time.Duration, dc ident.DataCentre) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	for _, p := range r.peers {
		if p.Entry && p.DataCentre == dc && p.Leaving && p.Health(now) != Gone {
			return true
		}
	}
	return false
}

// Expire removes nodes that were not heard for long, and returns them.
func (r *Roster) Expire(now time.Duration) []Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	var gone []Peer
	for id, p := range r.peers {
		if v := r.view(p); v.silence(now) > forgetAfter {
			gone = append(gone, v)
			delete(r.peers, id)
		}
	}
	return gone
}
