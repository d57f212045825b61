// Package audience decides to whom a node sends its heartbeats, and how often, so that what it sends stays bounded while the fleet grows.
//
// Those who pass packets to an agent are told of it: the entries of its data centre and the agents of its service there at a rate that the budget allows,
// and each entry that has lately placed a flow on it, wherever it is, at the full rate. Other nodes of the data centre are told every second. Other data
// centres hear by digests (package digest). A fleet in which the budget covers all is told directly.
package audience

import (
	"net/netip"
	"slices"
	"time"

	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/roster"
)

const (
	// RoundInterval is the shortest interval of heartbeats.
	RoundInterval = roster.DefaultInterval
	// perRound is the number of nodes that a node tells in one round: 160 datagrams of some 100 bytes a second.
	perRound = 32
	// directFleet is the size up to which all nodes tell each other directly: one round then reaches all.
	directFleet = perRound
	// relayedFleet is the size from which relays send digests. It is well below directFleet, because nodes don't know the same others at the same time: a
	// node that tells its own data centre only needs relays that know it.
	relayedFleet = directFleet / 2
	// seldomRounds is the number of rounds between heartbeats to nodes that place no flows here.
	seldomRounds = 5
	// askedFor is how long an entry that has placed a flow is told of the load. Entries that place flows often enough to unbalance targets do so
	// several times in it.
	askedFor = 2 * time.Second
	// askersAtMost bounds those entries, the latest first.
	askersAtMost = 16
	// againAfter is the least time between two answers to flows of one entry.
	againAfter = 100 * time.Millisecond
)

// Receiver is a node to send a heartbeat to.
type Receiver struct {
	Address   netip.AddrPort
	Interval  time.Duration // of heartbeats to it
	ViaDigest bool          // no heartbeats are promised to it
}

// Plan tells whom a node sends heartbeats to in each round.
type Plan struct {
	Direct  bool // all nodes are told directly
	Relayed bool // relays tell other data centres
	often   list
	seldom  list
}

// list are nodes that are told in turn, each once in so many rounds.
type list struct {
	addresses []netip.AddrPort
	rounds    int
}

// spread sets the number of rounds so that the budget of one round suffices.
func (l *list) spread(atLeast int) { l.rounds = max(atLeast, (len(l.addresses)+perRound-1)/perRound) }

func (l *list) interval() time.Duration { return RoundInterval * time.Duration(l.rounds) }

// append appends every step-th node of the list, from the one at first.
func (l *list) append(to []Receiver, first, step int) []Receiver {
	for i := first; i < len(l.addresses); i += step {
		to = append(to, Receiver{Address: l.addresses[i], Interval: l.interval()})
	}
	return to
}

// due appends the part of the list that is due in a round.
func (l *list) due(to []Receiver, round uint64) []Receiver {
	return l.append(to, int(round%uint64(l.rounds)), l.rounds)
}

// NewPlan makes the plan of the node self, whose target, if it is an agent, is of the service.
func NewPlan(now time.Duration, self *roster.Node, service string, peers []roster.Peer) *Plan {
	p := &Plan{Direct: len(peers) <= directFleet, Relayed: len(peers) > relayedFleet}
	for i := range peers {
		peer := &peers[i]
		if !p.Direct && peer.DataCentre != self.DataCentre {
			continue
		}
		if !self.Entry && peer.Running(now) && (peer.Entry || peer.Service == service) {
			p.often.addresses = append(p.often.addresses, peer.Address)
		} else {
			p.seldom.addresses = append(p.seldom.addresses, peer.Address)
		}
	}
	p.often.spread(1)
	p.seldom.spread(seldomRounds)
	return p
}

// Due returns the receivers of a round.
func (p *Plan) Due(round uint64) []Receiver {
	return p.seldom.due(p.often.due(nil, round), round)
}

// All returns all receivers, for news that must not wait.
func (p *Plan) All() []Receiver {
	return p.seldom.append(p.often.append(nil, 0, 1), 0, 1)
}

// OneOff returns a node of the data centre dc as a receiver outside of the rounds, for a node of the data centre self.
func (p *Plan) OneOff(self, dc ident.DataCentre, address netip.AddrPort) Receiver {
	return Receiver{Address: address, Interval: p.seldom.interval(), ViaDigest: !p.Direct && dc != self}
}

// Sample returns n different peers, all if there are not as many, drawn among the preferred ones first. draw returns a random number below its argument.
func Sample(n int, peers []roster.Peer, preferred func(*roster.Peer) bool, draw func(int) int) []roster.Peer {
	first := 0
	for i := range peers {
		if preferred(&peers[i]) {
			peers[first], peers[i] = peers[i], peers[first]
			first++
		}
	}
	n = min(n, len(peers))
	for i := range n {
		end := first
		if i >= first {
			end = len(peers)
		}
		k := i + draw(end-i)
		peers[i], peers[k] = peers[k], peers[i]
	}
	return peers[:n]
}

// asker is an entry that has placed a flow here.
type asker struct {
	Receiver
	asked time.Duration
	told  time.Duration
}

// ActiveEntries are the entries that have lately placed flows on an agent. It is not safe for concurrent use.
type ActiveEntries struct{ askers []asker }

// RecordPlacement notes that an entry of a data centre has placed a flow. It returns the entry if it is to be told at once: it waits for a sign of life.
func (a *ActiveEntries) RecordPlacement(now time.Duration, p *Plan, self, dc ident.DataCentre, entry netip.AddrPort) (Receiver, bool) {
	at := slices.IndexFunc(a.askers, func(k asker) bool { return k.Address == entry })
	if at < 0 {
		if len(a.askers) >= askersAtMost {
			a.askers = slices.Delete(a.askers, 0, 1)
		}
		a.askers = append(a.askers, asker{told: now - againAfter})
		at = len(a.askers) - 1
	}
	k := a.askers[at]
	k.Receiver = Receiver{Address: entry, Interval: p.often.interval(), ViaDigest: !p.Direct && dc != self}
	k.asked = now
	tell := now-k.told >= againAfter
	if tell {
		k.told = now
	}
	// The latest go last: the first makes room for another.
	a.askers = append(slices.Delete(a.askers, at, at+1), k)
	return k.Receiver, tell
}

// TakeReceivers returns the entries that are told of a changed load, and notes that they were told.
func (a *ActiveEntries) TakeReceivers(now time.Duration) []Receiver {
	a.askers = slices.DeleteFunc(a.askers, func(k asker) bool { return now-k.asked > askedFor })
	receivers := make([]Receiver, len(a.askers))
	for i := range a.askers {
		a.askers[i].told = now
		receivers[i] = a.askers[i].Receiver
	}
	return receivers
}
