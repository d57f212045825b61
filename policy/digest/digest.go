// Package digest decides what a data centre's nodes tell the other data centres of each other. In each data centre a few relays send digests of all
// its nodes; nobody has to agree on who they are, because a relay too many costs some datagrams, and what relays say is ordered by the heartbeats
// that they repeat.
//
// A digest has what has changed, and of the rest the part that was told longest ago. Nodes that it leaves out are as they were told before: the
// receivers take a digest for evidence that they live (package roster).
package digest

import (
	"time"

	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/rendezvous"
	"lacewinglever.dev/policy/roster"
)

const (
	// relays is the number of relays of a data centre. Digests go on while one is lost.
	relays = 2
	// key makes the choice of relays independent of other rendezvous choices among the same nodes.
	key uint64 = 0x6c61636577696e67
	// NodesPerDatagram is the number of nodes that one datagram tells of, at some 100 bytes each.
	NodesPerDatagram = 11
	// changesAtMost bounds the changed nodes of one digest. The loss of a data centre's power changes hundreds at once.
	changesAtMost = 8 * NodesPerDatagram
	// stalledAfter is the pause between two selections after which the relay itself must have stood still, and settleFor how long it calls nobody silent
	// after that: what others sent meanwhile may wait unread.
	stalledAfter = 400 * time.Millisecond
	settleFor    = 1500 * time.Millisecond
	// heardPart is the part of a data centre, one in so many, that a relay must hear to call others silent. One that hears fewer is more likely deaf.
	heardPart = 4
	// repeats is how often a change is told, because datagrams may be lost.
	repeats = 2
)

// IsRelay tells whether the node self sends digests of its data centre: one of the entries that run, or of all nodes if none does.
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
	for _, id := range rendezvous.Top(key, candidates, relays) {
		if id == self.ID {
			return true
		}
	}
	return false
}

// Receivers returns a running node of each other data centre, which passes the digest on to its neighbours. Another one is drawn each time, so that
// the cost is shared and a node that is lost delays one digest only. Of a data centre of which nobody runs, it is a node that may be back. draw
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

// NodeUpdate is what a relay says of one node.
type NodeUpdate struct {
	Node      roster.Node
	Heartbeat roster.Heartbeat
	Age       time.Duration // since the heartbeat
	Silent    bool          // another heartbeat was due since
}

// state is the part of news that is told at once.
type state struct {
	incarnation ident.Incarnation
	silent      bool
	leaving     bool
	service     string
	target      string
	born        int64
	accepting   bool
	absent      bool
	doubtful    bool
}

func (n *NodeUpdate) state() state {
	t := &n.Heartbeat.Target
	return state{
		n.Node.Incarnation, n.Silent, n.Heartbeat.Leaving, t.Service, t.ID, t.StartUnixMs, t.Accepting, t.Ended, t.MayHaveEnded,
	}
}

type told struct {
	state state
	times int    // that this state was told
	round uint64 // in which the node was last told of
}

// Relay remembers what was told of each node. It is not safe for concurrent use.
type Relay struct {
	told    map[ident.NodeID]told
	round   uint64
	last    time.Duration // time of the last selection
	settled time.Duration // time from which nodes are called silent
}

// believable returns the news without silent nodes, if it is rather this relay that doesn't hear.
func (r *Relay) believable(now time.Duration, news []NodeUpdate) []NodeUpdate {
	if now-r.last > stalledAfter {
		r.settled = now + settleFor
	}
	r.last = now
	heard := make([]NodeUpdate, 0, len(news))
	for i := range news {
		if !news[i].Silent {
			heard = append(heard, news[i])
		}
	}
	if now < r.settled || len(heard)*heardPart < len(news) {
		return heard
	}
	return news
}

// Select returns the news for the next digest, of all news of the data centre. If all is true, a part of what has not changed is told as well.
func (r *Relay) Select(now time.Duration, news []NodeUpdate, all bool) []NodeUpdate {
	news = r.believable(now, news)
	if r.told == nil {
		r.told = map[ident.NodeID]told{}
	}
	r.round++
	next := make(map[ident.NodeID]told, len(news))
	var selected []NodeUpdate
	add := func(n *NodeUpdate, state state) {
		before := r.told[n.Node.ID]
		times := 1
		if before.state == state {
			times = before.times + 1
		}
		next[n.Node.ID] = told{state, times, r.round}
		selected = append(selected, *n)
	}
	var rest []*NodeUpdate
	for i := range news {
		n := &news[i]
		before, ok := r.told[n.Node.ID]
		s := n.state()
		if len(selected) < changesAtMost && (!ok || before.state != s || before.times < repeats) {
			add(n, s)
			continue
		}
		if ok {
			next[n.Node.ID] = before
		}
		rest = append(rest, n)
	}
	if all {
		for _, n := range r.longestAgo(rest, NodesPerDatagram-len(selected)%NodesPerDatagram) {
			add(n, n.state())
		}
	}
	r.told = next
	return selected
}

// longestAgo returns the n news whose nodes were told of longest ago.
func (r *Relay) longestAgo(news []*NodeUpdate, n int) []*NodeUpdate {
	var oldest []*NodeUpdate
	for _, candidate := range news {
		at := len(oldest)
		for at > 0 && r.told[oldest[at-1].Node.ID].round > r.told[candidate.Node.ID].round {
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
