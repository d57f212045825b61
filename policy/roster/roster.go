// Package roster holds a node's view of its peers: their identity, when each was last seen, and the
// state that their heartbeats report. Times must come from a clock that counts suspension, so that
// a node that was frozen doesn't take stale state for fresh.
package roster

import (
	"cmp"
	"math"
	"net/netip"
	"slices"
	"sync"
	"time"

	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/routes"
	"lacewinglever.dev/policy/stall"
)

const (
	// DefaultInterval is the shortest interval of heartbeats, and the one that is assumed of a peer
	// until its heartbeats give another.
	DefaultInterval = 200 * time.Millisecond
	// maxLostHeartbeats is how many heartbeats in a row may be lost, or late by at most
	// intervalSlack, before an agent gets no new flows.
	maxLostHeartbeats = 2
	intervalSlack     = 300 * time.Millisecond
	// notRunningSlack is added to the silence that maxLostHeartbeats allows before a node counts as
	// not running and others take over as relay or store reader.
	notRunningSlack = 200 * time.Millisecond
	// minGoneAfter is the least silence after which a node is taken to hold no flow. goneDelay is
	// the least time that this comes after the end of new flows to the node. A killed process
	// usually restarts within a second, with the flows of its target intact.
	minGoneAfter = 1500 * time.Millisecond
	goneDelay    = 800 * time.Millisecond
	// DigestInterval is the interval at which a data centre sends digests to each other data
	// centre.
	DigestInterval = 500 * time.Millisecond
	// digestsGoneAfter is the time without any digest of a data centre after which its nodes are
	// taken to hold no flow. All of its relays may have been killed, in which case others take over
	// after some 3 s, or they may be cut off from this node. The flows of the other nodes there
	// stay intact all the while.
	digestsGoneAfter = 12 * time.Second
	// silenceConfirmation is how long relays must report a node as silent before it is taken to
	// hold no flow. A single relay may have stopped receiving.
	silenceConfirmation = time.Second
	// answerTimeout is the longest time that an agent takes to answer the first flow of an entry
	// with a heartbeat. The round trip between data centres is some 10 ms; the rest allows for slow
	// nodes. The agent keeps sending its load to that entry for a while, which makes up for a lost
	// answer.
	answerTimeout = 500 * time.Millisecond
	// placedTimeConstant is the time constant with which flows placed on a node stop counting as
	// load: requests last some tens of milliseconds.
	placedTimeConstant = 40 * time.Millisecond
	// drainedGoneAfter is the silence after which a node is taken to hold no flow if it never sent
	// a heartbeat here and its target had announced its end according to its record. Such a node
	// has most likely ended, and its record remained because the store was unavailable at that
	// time.
	drainedGoneAfter = 400 * time.Millisecond
	// RestartTimeout is how long a node that announced its stop, or whose process is stalled, may take to return.
	// Its target may keep running and hold its flows.
	RestartTimeout = 8 * time.Second
	// crashTimeout is how long a node may take to return whose process has ended without an announcement while
	// its instance runs. Its target may have ended too.
	crashTimeout = 4 * time.Second
	// ProbeTimeout is the time within which a running node answers the first of up to maxProbes requests for a
	// heartbeat, which are sent probeInterval apart, and an instance a connection.
	ProbeTimeout  = 200 * time.Millisecond
	probeInterval = 50 * time.Millisecond
	maxProbes     = 3
	// expireAfter is the silence after which a node is removed.
	expireAfter = time.Minute
	// MaxUptime bounds the uptime in heartbeats, to keep them small. It exceeds the time in which a node
	// joins its fleet.
	MaxUptime = 10 * time.Second
	// minRunningSilence is the least silence, before notRunningSlack, after which a node counts as
	// not running: nodes without flows here send a heartbeat every second.
	minRunningSilence = 2300 * time.Millisecond
)

// Node is the part of a peer that stays the same for one incarnation.
type Node struct {
	ID          ident.NodeID
	Name        string
	Incarnation ident.Incarnation
	Entry       bool
	DataCentre  ident.DataCentre
	Address     netip.AddrPort // for datagrams and RPCs between nodes
}

// Target is the state of an agent's target, as its heartbeats report it.
type Target struct {
	Service      string // empty until a target has reported
	ID           string
	StartUnixMs  int64
	Accepting    bool // takes new flows
	Ended        bool // holds no flow
	MayHaveEnded bool // a packet that is passed to the target may get lost
	WarmingUp    bool // slow after its start
	Flows        int
	Slots        int
	Busy         float64 // requests in progress, as a moving average
	Rate         float64 // requests per second
	Failing      float64 // share of the requests that the target broke off or left unanswered, 0 to 1
	FlowLoad     float64 // slots that an open flow occupies on average after its first request; 0 if unknown
	// Slowdown is the mean time of a request without the time that it waits for a slot, 0 if unknown.
	Slowdown time.Duration
	// FormerRoutes are the addresses of open flows whose route doesn't lead to the service any more.
	FormerRoutes []netip.AddrPort
}

// Heartbeat is the content of one heartbeat.
type Heartbeat struct {
	Sequence uint64
	Routes   routes.Position // of the routes in force at the sender
	StoreEra uint64          // highest era of the store that the sender knows, 0 if none
	Leaving  bool            // the process is stopping
	// Uptime is how long the sender has run, at most MaxUptime; 0 if it doesn't tell.
	Uptime time.Duration
	// StoreLost is set if the sender has tried to read the store and can't reach it.
	StoreLost bool
	Target    Target // agents only
	// Interval is the time within which the sender's next heartbeat is due here, DefaultInterval if
	// it is 0.
	Interval time.Duration
	// ViaDigest is set if the sender promises no heartbeats to this node, because digests of its
	// data centre report its state.
	ViaDigest bool
	// Direct is set if the sender sends heartbeats to the nodes of all data centres itself, so that
	// the relays of its data centre don't report it.
	Direct bool
}

// Health is the state of a node as judged by its silence.
type Health uint8

// Health of a node.
const (
	Live    Health = iota
	Suspect        // silent for a while but may return: gets no new flows
	// Gone nodes are silent for so long that they are taken to hold no flow. None is until this node has
	// settled after a stall of its own.
	Gone
)

// Peer is the local view of another node.
type Peer struct {
	Node
	Heartbeat
	Service       string        // of its target, from its heartbeats or, before the first of them, from its record
	serviceKnown  bool          // a target there has reported Service; until one has, an agent sends that of its settings
	LastSeen      time.Duration // time of the last heartbeat, or of adding the peer
	HeartbeatSeen bool          // a heartbeat was received
	Drained       bool          // its target has announced its end, according to its record
	Silent        bool          // the relays of its data centre report it as silent

	placedLoad      float64 // decayed number of flows placed there since its last heartbeat, as of placedAt
	placedAt        time.Duration
	unansweredSince time.Duration  // time of the first flow placed there that no heartbeat has followed yet
	silentSince     time.Duration  // time from which it was reported as Silent
	lastDigest      time.Duration  // time of the last digest of its data centre if it is ViaDigest and not Silent, else 0
	probes          int            // requests for a heartbeat since its last heartbeat
	firstProbe      time.Duration  // time of the first of them
	lastProbe       time.Duration  // time of the last one
	listener        stall.Detector // of this node
	awaitedFor      time.Duration  // since its last heartbeat, its instance was seen to run, and it is awaited that long
}

// RanBefore reports whether the peer has run for longer than d when a node of this uptime and incarnation
// started. Only a peer that doesn't tell its uptime is judged by the time of day.
func (p *Peer) RanBefore(now, uptime time.Duration, start ident.Incarnation, d time.Duration) bool {
	if p.Uptime > 0 {
		return p.Uptime+now-p.LastSeen > uptime+d
	}
	return p.Incarnation+ident.Incarnation(d.Microseconds()) < start
}

// PlacedLoad returns the decayed number of flows that were placed on the peer since its last
// heartbeat.
func (p *Peer) PlacedLoad(now time.Duration) float64 {
	if p.placedLoad == 0 {
		return 0
	}
	return p.placedLoad * math.Exp(-float64(now-p.placedAt)/float64(placedTimeConstant))
}

// RecordPlacement counts a flow that is placed on the peer.
func (p *Peer) RecordPlacement(now time.Duration) {
	p.placedLoad = p.PlacedLoad(now) + 1
	p.placedAt = now
	if !p.Unanswered() {
		p.unansweredSince = now
	}
}

// Unanswered reports whether a flow was placed on the peer and no heartbeat of the peer has arrived
// since.
func (p *Peer) Unanswered() bool { return p.unansweredSince != 0 && p.unansweredSince >= p.LastSeen }

// isReported reports whether digests of its data centre are evidence that the peer is running.
func (p *Peer) isReported() bool { return p.ViaDigest && !p.Direct && !p.Silent }

// silence returns the time since the last evidence that the peer is running.
func (p *Peer) silence(now time.Duration) time.Duration {
	if p.lastDigest != 0 {
		return now - max(p.LastSeen, p.lastDigest)
	}
	return now - p.LastSeen
}

// expectedInterval returns the time within which the next heartbeat or digest of the peer is due.
func (p *Peer) expectedInterval() time.Duration {
	switch {
	case p.ViaDigest:
		return DigestInterval
	case p.Interval == 0:
		return DefaultInterval
	}
	return p.Interval
}

// suspectAfter returns the silence after which the peer gets no new flows.
func (p *Peer) suspectAfter() time.Duration {
	return maxLostHeartbeats*p.expectedInterval() + intervalSlack
}

// goneAfter returns the silence after which the peer is taken to hold no flow.
func (p *Peer) goneAfter() time.Duration {
	return max(p.awaitedFor, p.goneAfterByHeartbeat())
}

// goneAfterByHeartbeat returns that silence by the peer's last heartbeat, or by its record.
func (p *Peer) goneAfterByHeartbeat() time.Duration {
	switch {
	case p.Leaving:
		return RestartTimeout
	case !p.HeartbeatSeen && p.Drained:
		return drainedGoneAfter
	case p.ViaDigest && !p.Silent:
		return digestsGoneAfter
	}
	return max(minGoneAfter, p.suspectAfter()+goneDelay)
}

// Health returns the health of the peer at the time now.
func (p *Peer) Health(now time.Duration) Health {
	silence := p.silence(now)
	switch {
	case silence > p.goneAfter() && (!p.Silent || now-p.silentSince > silenceConfirmation) && p.listener.Settled(now):
		return Gone
	case silence > p.suspectAfter() || !p.HeartbeatSeen || p.Leaving || p.Silent ||
		p.Unanswered() && now-p.unansweredSince > answerTimeout:
		return Suspect
	}
	return Live
}

// IsUnconfirmed reports whether the peer is gone by its silence alone: it was not asked for a heartbeat since,
// or still has the time to answer. Its heartbeats may have been lost, or this node may not have run.
func (p *Peer) IsUnconfirmed(now time.Duration) bool {
	return p.Health(now) == Gone && (p.probes == 0 || now-p.firstProbe <= ProbeTimeout)
}

// Running reports whether the peer was last seen as recently as any node can expect. It decides,
// for example, which nodes act as relays and store readers; for placing flows on the agents of a
// service, use Health.
func (p *Peer) Running(now time.Duration) bool {
	return p.HeartbeatSeen && !p.Leaving && !p.Silent &&
		p.silence(now) <= max(p.suspectAfter(), minRunningSilence)+notRunningSlack
}

// AwaitsDigests reports whether the peer is suspect only because digests of its data centre stay away.
// It most likely runs, and its relays are lost or cut off.
func (p *Peer) AwaitsDigests(now time.Duration) bool {
	return p.isReported() && p.HeartbeatSeen && !p.Leaving && !p.Unanswered() && p.Overdue(now) && p.Health(now) == Suspect
}

// Overdue reports whether a heartbeat of the peer is late by so much that the peer gets no new
// flows.
func (p *Peer) Overdue(now time.Duration) bool { return p.silence(now) > p.suspectAfter() }

// hasMissedOne reports whether a heartbeat or digest of the peer is late by more than intervalSlack.
func (p *Peer) hasMissedOne(now time.Duration) bool {
	return p.silence(now) > p.expectedInterval()+intervalSlack
}

// Change is what a heartbeat changed.
type Change uint8

// Changes, in increasing order of importance.
const (
	Stale     Change = iota // older than the last heartbeat
	Unchanged               // only the load may differ
	Returned                // first heartbeat after a silence
	Changed                 // the target or the state of the process
	Joined                  // unknown node, or a new incarnation of a known one
)

// Roster is the set of known peers. Its methods are safe for concurrent use.
type Roster struct {
	mu          sync.RWMutex
	self        ident.NodeID
	peers       map[ident.NodeID]*Peer
	lastDigests map[ident.DataCentre]time.Duration // time of the last digest
	listener    stall.Detector
}

// New returns an empty roster for the node self, which is never added.
func New(self ident.NodeID) *Roster {
	return &Roster{self: self, peers: map[ident.NodeID]*Peer{}, lastDigests: map[ident.DataCentre]time.Duration{}}
}

// RecordRunning records that this node is running, and returns for how long it was stalled before, usually
// 0. It is due every stall.RecordInterval. After a stall, peers may be asked for a heartbeat again: answers to
// earlier requests may have been dropped.
func (r *Roster) RecordRunning(now time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	pause := r.listener.Record(now)
	if pause > 0 {
		for _, p := range r.peers {
			p.probes = 0
		}
	}
	return pause
}

// view returns a copy of the peer with what this node hears of it otherwise filled in. A digest of a data
// centre is evidence that the nodes there which it doesn't report as silent are running.
func (r *Roster) view(p *Peer) Peer {
	v := *p
	v.listener = r.listener
	if p.isReported() {
		v.lastDigest = r.lastDigests[p.DataCentre]
	}
	return v
}

// Add adds a node that a record or another node lists. service is that of its target, empty if the
// list doesn't say. drained is whether its target has announced its end, according to the record. Add
// reports whether the node, or this incarnation of it, was unknown.
func (r *Roster) Add(now time.Duration, n Node, service string, drained bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if n.ID == r.self {
		return false
	}
	p, ok := r.peers[n.ID]
	if ok && p.Service == "" {
		p.Service = service
	}
	if ok && p.Incarnation >= n.Incarnation {
		return false
	}
	added := &Peer{Node: n, Service: service, LastSeen: now, Drained: drained}
	if ok && (p.serviceKnown || service == "") {
		added.Service, added.serviceKnown = p.Service, p.serviceKnown
	}
	r.peers[n.ID] = added
	return true
}

// RecordHeartbeat records a heartbeat that was received from its sender.
func (r *Roster) RecordHeartbeat(now time.Duration, n Node, heartbeat Heartbeat) Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.recordHeartbeat(now, now, n, heartbeat)
}

// RecordDigest records that a digest of a data centre has arrived.
func (r *Roster) RecordDigest(now time.Duration, dc ident.DataCentre) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastDigests[dc] = now
}

// RecordRelayed records the last heartbeat that a relay of the node's data centre has received, age
// ago. silent is whether the next heartbeat is overdue at the relay. Of the reports of two relays,
// the later heartbeat counts. A heartbeat received directly takes precedence over both.
func (r *Roster) RecordRelayed(now, age time.Duration, n Node, heartbeat Heartbeat, silent bool) Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	heartbeat.ViaDigest = true
	p, ok := r.peers[n.ID]
	if ok && p.HeartbeatSeen && !p.ViaDigest && p.Incarnation == n.Incarnation && !p.Overdue(now) {
		return Stale // direct heartbeats are more recent
	}
	if ok && silent && p.ViaDigest && p.Incarnation == n.Incarnation &&
		p.Sequence == heartbeat.Sequence && !p.Silent {
		p.Silent, p.silentSince = true, now
		return Changed
	}
	change := r.recordHeartbeat(now, now-age, n, heartbeat)
	if change != Stale && silent {
		p := r.peers[n.ID]
		p.Silent, p.silentSince = true, now
	}
	return change
}

// RecordAbsent records the last heartbeat that another node has received, age ago, of a node that it
// doesn't take for running. This node then waits for it as long as the other one does.
func (r *Roster) RecordAbsent(now, age time.Duration, n Node, heartbeat Heartbeat) Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.recordHeartbeat(now, now-age, n, heartbeat)
}

// Absent returns the peers that don't run but may return, or hold flows.
func (r *Roster) Absent(now time.Duration) []Peer {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var absent []Peer
	for _, p := range r.peers {
		if v := r.view(p); v.HeartbeatSeen && !v.Running(now) && v.Health(now) != Gone {
			absent = append(absent, v)
		}
	}
	return absent
}

// MayHaveEarlier reports whether a running peer has run for longer than d when a node of this uptime and
// incarnation started, or may have: no heartbeat of it has arrived.
func (r *Roster) MayHaveEarlier(now, uptime time.Duration, start ident.Incarnation, d time.Duration) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	for _, p := range r.peers {
		if !p.HeartbeatSeen || p.RanBefore(now, uptime, start, d) && r.isRunning(now, p) {
			return true
		}
	}
	return false
}

// IsCredible reports whether a node may have the incarnation that it is described with. One after latest,
// the latest by this node's clock, may be that of a process that started while a clock was wrong; but it
// replaces no incarnation up to latest whose heartbeats continue. relayed is whether a relay of the node's
// data centre, which hears those heartbeats, describes it.
func (r *Roster) IsCredible(now time.Duration, latest ident.Incarnation, n Node, relayed bool) bool {
	if n.Incarnation <= latest || n.ID == r.self {
		return true
	}
	p, ok := r.Find(n.ID)
	return !ok || p.Incarnation > latest || !p.HeartbeatSeen || p.Leaving || relayed && p.ViaDigest || p.hasMissedOne(now)
}

// recordHeartbeat records a heartbeat that was sent at the time at.
func (r *Roster) recordHeartbeat(now, at time.Duration, n Node, heartbeat Heartbeat) Change {
	if n.ID == r.self {
		return Stale
	}
	p, ok := r.peers[n.ID]
	if ok && (p.Incarnation > n.Incarnation ||
		p.Incarnation == n.Incarnation && p.HeartbeatSeen && p.Sequence >= heartbeat.Sequence) {
		return Stale
	}
	change := Unchanged
	switch {
	case !ok || !p.HeartbeatSeen || p.Incarnation != n.Incarnation:
		change = Joined
	case stateDiffers(&p.Heartbeat, &heartbeat):
		change = Changed
	case !p.Leaving && !r.isRunning(now, p):
		change = Returned
	}
	service, known := heartbeat.Target.Service, heartbeat.Target.ID != ""
	if ok && (service == "" || !known && p.serviceKnown) {
		service, known = p.Service, p.serviceKnown
	}
	r.peers[n.ID] = &Peer{Node: n, Heartbeat: heartbeat, Service: service, serviceKnown: known, LastSeen: at,
		HeartbeatSeen: true}
	return change
}

func (r *Roster) isRunning(now time.Duration, p *Peer) bool {
	v := r.view(p)
	return v.Running(now)
}

// stateDiffers reports whether two heartbeats differ in more than the load.
func stateDiffers(a, b *Heartbeat) bool {
	x, y := a.Target, b.Target
	return a.Leaving != b.Leaving || x.Service != y.Service || x.StartUnixMs != y.StartUnixMs || x.ID != y.ID ||
		x.Accepting != y.Accepting || x.Ended != y.Ended || x.MayHaveEnded != y.MayHaveEnded ||
		!slices.Equal(x.FormerRoutes, y.FormerRoutes)
}

// RecordPlacement counts a flow that was placed on a node, until the node's next heartbeat.
func (r *Roster) RecordPlacement(now time.Duration, id ident.NodeID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p, ok := r.peers[id]; ok {
		p.RecordPlacement(now)
	}
}

// RecordProbe records that a peer is asked for a heartbeat, and reports whether it is to be asked now: it is
// gone, and not too many requests were sent since its last heartbeat.
func (r *Roster) RecordProbe(now time.Duration, id ident.NodeID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	p, ok := r.peers[id]
	if !ok || p.probes >= maxProbes || p.probes > 0 && now-p.lastProbe < probeInterval {
		return false
	}
	if v := r.view(p); v.Health(now) != Gone {
		return false
	}
	if p.probes == 0 {
		p.firstProbe = now
	}
	p.probes++
	p.lastProbe = now
	return true
}

// RecordInstanceRuns records that the network stack of a peer's instance answers. The process is then stalled, or,
// if it doesn't listen, being restarted rather than lost with its instance.
func (r *Roster) RecordInstanceRuns(id ident.NodeID, listens bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p, ok := r.peers[id]
	switch {
	case !ok:
	case listens:
		p.awaitedFor = RestartTimeout
	default:
		p.awaitedFor = crashTimeout
	}
}

// Find returns the peer with the given id.
func (r *Roster) Find(id ident.NodeID) (Peer, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if p, ok := r.peers[id]; ok {
		return r.view(p), true
	}
	return Peer{}, false
}

// Peers returns all peers, sorted by id.
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

// Running returns the running peers of a data centre.
func (r *Roster) Running(now time.Duration, dc ident.DataCentre) []ident.NodeID {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var ids []ident.NodeID
	for _, p := range r.peers {
		if p.DataCentre == dc && r.isRunning(now, p) {
			ids = append(ids, p.ID)
		}
	}
	return ids
}

// HasDataCentre reports whether a peer of a data centre is known.
func (r *Roster) HasDataCentre(dc ident.DataCentre) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	for _, p := range r.peers {
		if p.DataCentre == dc {
			return true
		}
	}
	return false
}

// DataCentres returns the data centres of the peers, in no particular order.
func (r *Roster) DataCentres() []ident.DataCentre {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var all []ident.DataCentre
	for _, p := range r.peers {
		if !slices.Contains(all, p.DataCentre) {
			all = append(all, p.DataCentre)
		}
	}
	return all
}

// NeedsRelay reports whether relays have to report a node of a data centre to the others.
func (r *Roster) NeedsRelay(dc ident.DataCentre) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	for _, p := range r.peers {
		if p.DataCentre == dc && p.HeartbeatSeen && !p.Direct {
			return true
		}
	}
	return false
}

// Agents appends the agents of a service, or of all services if service is empty, to agents. Agents
// whose service isn't known yet may be of any.
func (r *Roster) Agents(agents []Peer, service string) []Peer {
	r.mu.RLock()
	defer r.mu.RUnlock()
	for _, p := range r.peers {
		if !p.Entry && (service == "" || p.Service == service || p.Service == "") {
			agents = append(agents, r.view(p))
		}
	}
	return agents
}

// HasUnseenAgent reports whether no heartbeat of an agent that may hold flows has arrived yet.
func (r *Roster) HasUnseenAgent(now time.Duration) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	for _, p := range r.peers {
		if !p.HeartbeatSeen && !p.Entry {
			if v := r.view(p); v.Health(now) != Gone {
				return true
			}
		}
	}
	return false
}

// FormerAgents appends the agents of other services than the given ones that hold flows to an address whose
// route has led to their service.
func (r *Roster) FormerAgents(agents []Peer, address netip.AddrPort, services []string) []Peer {
	r.mu.RLock()
	defer r.mu.RUnlock()
	for _, p := range r.peers {
		if slices.Contains(p.Target.FormerRoutes, address) && p.Service != "" && !slices.Contains(services, p.Service) {
			agents = append(agents, r.view(p))
		}
	}
	return agents
}

// HasLeavingEntry reports whether another entry of a data centre has announced its stop and is not
// back. While half of the entries of a data centre are out, the fabric sends packets to all of
// them, stopped ones included.
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

// HasLeft reports whether an incarnation of an agent has stopped with its target and is not back in the
// time that a restart takes. Such a node deletes its record; one that is still in the store was not
// deleted, or was restored.
func (r *Roster) HasLeft(now time.Duration, id ident.NodeID, incarnation ident.Incarnation) bool {
	p, ok := r.Find(id)
	return ok && !p.Entry && p.Incarnation >= incarnation && p.Leaving && p.Target.Ended && p.Health(now) == Gone
}

// Expire removes peers that have been silent for a long time, and returns them.
func (r *Roster) Expire(now time.Duration) []Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.listener.Settled(now) {
		return nil
	}
	var expired []Peer
	for id, p := range r.peers {
		if v := r.view(p); v.silence(now) > expireAfter {
			expired = append(expired, v)
			delete(r.peers, id)
		}
	}
	return expired
}
