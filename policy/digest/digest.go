// Package digest selects what the nodes of a data centre send to other data centres about each
// other. In each data centre a few relays send digests of all its nodes. The nodes need no
// agreement on the relays: an extra relay costs some datagrams, and the reports of several relays
// are ordered by the heartbeats that they repeat.
//
// A digest contains the nodes that have changed, and of the others those that were included longest
// ago. A node that a digest leaves out is unchanged: receivers take the digest as evidence that it
// is running (package roster).
package digest

import (
	"net/netip"
	"time"

	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/rendezvous"
	"lacewinglever.dev/policy/roster"
	"lacewinglever.dev/policy/routes"
)

const (
	// relayCount is the number of relays of a data centre. With two, digests go on while one is
	// lost.
	relayCount = 2
	// key makes the choice of relays independent of other rendezvous choices among the same nodes.
	key uint64 = 0x6c61636577696e67
	// NodesPerDatagram is the number of nodes in one datagram, at some 100 bytes each.
	NodesPerDatagram = 11
	// maxChanges bounds the changed nodes of one digest. When a data centre loses power, hundreds
	// change at once.
	maxChanges = 8 * NodesPerDatagram
	// maxSelectPause is the pause between two selections above which the relay itself must have
	// been stalled. For settlingTime after such a pause it reports no node as silent, because what
	// others sent meanwhile may still be unread.
	maxSelectPause = 400 * time.Millisecond
	settlingTime   = 1500 * time.Millisecond
	// minLiveDivisor limits reports of silent nodes to relays for which at least one node in so
	// many is live. A relay that receives from fewer nodes more likely has a fault of its own.
	minLiveDivisor = 4
	// changeRepeats is how often a change is sent, because datagrams may be lost.
	changeRepeats = 2
)

// IsRelay reports whether the node self sends digests of its data centre. Relays are chosen among
// the running entries, or among all running nodes if no entry is running.
func IsRelay(now time.Duration, self *roster.Node, peers []roster.Peer) bool {
	var entries, others []ident.NodeID
	add := func(id ident.NodeID, entry bool) {
		if entry {
			entries = append(entries, id)
		} else {
			others = append(others, id)
		}
	}
	add(self.ID, self.Entry)
	for i := range peers {
		if p := &peers[i]; p.DataCentre == self.DataCentre && p.Running(now) {
			add(p.ID, p.Entry)
		}
	}
	candidates := entries
	if len(candidates) == 0 {
		candidates = others
	}
	for _, id := range rendezvous.Top(key, candidates, relayCount) {
		if id == self.ID {
			return true
		}
	}
	return false
}

// Receivers returns a node of each other data centre, which passes the digest on to the other nodes
// there. It draws among the running nodes, or among all if none is running, since they may return.
// Each call draws anew, so that nodes share the cost and a lost node delays one digest only. draw
// returns a random number below its argument.
func Receivers(now time.Duration, self *roster.Node, peers []roster.Peer, draw func(int) int) []roster.Peer {
	byDC := map[ident.DataCentre][]roster.Peer{}
	running := map[ident.DataCentre]bool{}
	for _, p := range peers {
		dc := p.DataCentre
		if dc == self.DataCentre {
			continue
		}
		runs := p.Running(now)
		if runs && !running[dc] {
			running[dc], byDC[dc] = true, nil
		}
		if runs == running[dc] {
			byDC[dc] = append(byDC[dc], p)
		}
	}
	receivers := make([]roster.Peer, 0, len(byDC))
	for _, nodes := range byDC {
		receivers = append(receivers, nodes[draw(len(nodes))])
	}
	return receivers
}

// NodeUpdate is what a relay reports of one node.
type NodeUpdate struct {
	Node      roster.Node
	Heartbeat roster.Heartbeat
	Age       time.Duration // since the heartbeat
	Silent    bool          // another heartbeat has been due since
}

// reportedState is the part of an update whose changes are sent at once.
type reportedState struct {
	incarnation  ident.Incarnation
	silent       bool
	leaving      bool
	service      string
	target       string
	startUnixMs  int64
	accepting    bool
	ended        bool
	mayHaveEnded bool
	former       [routes.MaxFormer]netip.AddrPort
}

func (n *NodeUpdate) reportedState() reportedState {
	t := &n.Heartbeat.Target
	s := reportedState{
		incarnation: n.Node.Incarnation, silent: n.Silent, leaving: n.Heartbeat.Leaving, service: t.Service, target: t.ID,
		startUnixMs: t.StartUnixMs, accepting: t.Accepting, ended: t.Ended, mayHaveEnded: t.MayHaveEnded,
	}
	copy(s.former[:], t.FormerRoutes)
	return s
}

// sentState is what the digests of a relay last contained for one node.
type sentState struct {
	state reportedState
	count int    // how often this state was sent
	round uint64 // in which the node was last included
}

// Relay records what this node, as a relay, last sent about each node. It is not safe for
// concurrent use.
type Relay struct {
	sent       map[ident.NodeID]sentState
	round      uint64
	lastSelect time.Duration // time of the last selection
	settledAt  time.Duration // time from which nodes are reported as silent
}

// credible returns the updates, without those of silent nodes if the fault more likely lies with
// this relay.
func (r *Relay) credible(now time.Duration, updates []NodeUpdate) []NodeUpdate {
	if now-r.lastSelect > maxSelectPause {
		r.settledAt = now + settlingTime
	}
	r.lastSelect = now
	live := make([]NodeUpdate, 0, len(updates))
	for i := range updates {
		if !updates[i].Silent {
			live = append(live, updates[i])
		}
	}
	if now < r.settledAt || len(live)*minLiveDivisor < len(updates) {
		return live
	}
	return updates
}

// Select returns the updates for the next digest, given those of all nodes of the data centre.
// withUnchanged adds some nodes that have not changed.
func (r *Relay) Select(now time.Duration, updates []NodeUpdate, withUnchanged bool) []NodeUpdate {
	updates = r.credible(now, updates)
	if r.sent == nil {
		r.sent = map[ident.NodeID]sentState{}
	}
	r.round++
	next := make(map[ident.NodeID]sentState, len(updates))
	var selected []NodeUpdate
	add := func(n *NodeUpdate, state reportedState) {
		before := r.sent[n.Node.ID]
		count := 1
		if before.state == state {
			count = before.count + 1
		}
		next[n.Node.ID] = sentState{state, count, r.round}
		selected = append(selected, *n)
	}
	var rest []*NodeUpdate
	for i := range updates {
		n := &updates[i]
		before, ok := r.sent[n.Node.ID]
		s := n.reportedState()
		if len(selected) < maxChanges && (!ok || before.state != s || before.count < changeRepeats) {
			add(n, s)
			continue
		}
		if ok {
			next[n.Node.ID] = before
		}
		rest = append(rest, n)
	}
	if withUnchanged {
		for _, n := range r.leastRecent(rest, NodesPerDatagram-len(selected)%NodesPerDatagram) {
			add(n, n.reportedState())
		}
	}
	r.sent = next
	return selected
}

// leastRecent returns the n updates whose nodes were included longest ago.
func (r *Relay) leastRecent(updates []*NodeUpdate, n int) []*NodeUpdate {
	var oldest []*NodeUpdate
	for _, candidate := range updates {
		at := len(oldest)
		for at > 0 && r.sent[oldest[at-1].Node.ID].round > r.sent[candidate.Node.ID].round {
			at--
		}
		if at >= n {
			continue
		}
		oldest = append(oldest, nil)
		copy(oldest[at+1:], oldest[at:])
		oldest[at] = candidate
		oldest = oldest[:min(n, len(oldest))]
	}
	return oldest
}
