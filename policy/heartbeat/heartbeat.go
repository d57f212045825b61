// Package heartbeat plans to which nodes a node sends heartbeats, and how often, so that its
// traffic stays bounded as the fleet grows.
//
// An agent sends its heartbeats frequently to the nodes that forward packets to it. These are the
// entries of its data centre and the agents of its service there, at a rate within the budget, and
// each entry anywhere that has recently placed a flow on it, at the full rate. Other nodes of the
// data centre get a heartbeat every second. Other data centres receive digests (package digest). In
// a fleet small enough for the budget, all nodes send heartbeats to all others directly.
package heartbeat

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
	// budgetPerRound is the number of nodes that one round may send to: 160 datagrams of some
	// 100 bytes per second.
	budgetPerRound = 32
	// maxDirectNodes is the number of peers up to which all nodes send heartbeats to each other
	// directly: the budget of one round then covers all.
	maxDirectNodes = budgetPerRound
	// minRelayedNodes is the number of peers above which relays send digests. It is well below
	// maxDirectNodes, because nodes discover each other at different times: a node that sends
	// heartbeats only to its own data centre needs relays that list it.
	minRelayedNodes = maxDirectNodes / 2
	// infrequentRounds is the number of rounds between heartbeats to nodes that place no flows
	// here.
	infrequentRounds = 5
	// activeFor is how long an entry receives the load of the target after it has placed a flow.
	// Entries that place flows often enough to unbalance targets do so several times within it.
	activeFor = 2 * time.Second
	// maxActiveEntries bounds the number of these entries. The latest are kept.
	maxActiveEntries = 16
	// minAnswerInterval is the least time between two answers to flows of one entry.
	minAnswerInterval = 100 * time.Millisecond
)

// Receiver is a node to which a heartbeat is sent.
type Receiver struct {
	Address   netip.AddrPort
	Interval  time.Duration // of heartbeats to it
	ViaDigest bool          // no heartbeats are promised to it
}

// Plan lists the receivers of a node's heartbeats by round.
type Plan struct {
	Direct     bool // heartbeats go to all nodes
	Relayed    bool // relays send digests to other data centres
	frequent   rotation
	infrequent rotation
}

// rotation is a list of nodes that get a heartbeat in turn, each once in the given number of
// rounds.
type rotation struct {
	addresses []netip.AddrPort
	rounds    int
}

// setRounds sets the number of rounds so that each round stays within its budget.
func (r *rotation) setRounds(atLeast int) {
	r.rounds = max(atLeast, (len(r.addresses)+budgetPerRound-1)/budgetPerRound)
}

func (r *rotation) interval() time.Duration { return RoundInterval * time.Duration(r.rounds) }

// append appends every step-th node of the list, starting at first.
func (r *rotation) append(to []Receiver, first, step int) []Receiver {
	for i := first; i < len(r.addresses); i += step {
		to = append(to, Receiver{Address: r.addresses[i], Interval: r.interval()})
	}
	return to
}

// due appends the nodes of the list that are due in a round.
func (r *rotation) due(to []Receiver, round uint64) []Receiver {
	return r.append(to, int(round%uint64(r.rounds)), r.rounds)
}

// NewPlan returns the plan of the node self. service is that of its target if self is an agent.
func NewPlan(now time.Duration, self *roster.Node, service string, peers []roster.Peer) *Plan {
	p := &Plan{Direct: len(peers) <= maxDirectNodes, Relayed: len(peers) > minRelayedNodes}
	for i := range peers {
		peer := &peers[i]
		if !p.Direct && peer.DataCentre != self.DataCentre {
			continue
		}
		if !self.Entry && peer.Running(now) && (peer.Entry || peer.Service == service) {
			p.frequent.addresses = append(p.frequent.addresses, peer.Address)
		} else {
			p.infrequent.addresses = append(p.infrequent.addresses, peer.Address)
		}
	}
	p.frequent.setRounds(1)
	p.infrequent.setRounds(infrequentRounds)
	return p
}

// Due returns the receivers of a round.
func (p *Plan) Due(round uint64) []Receiver {
	return p.infrequent.due(p.frequent.due(nil, round), round)
}

// All returns all receivers, for changes that can't wait for their round.
func (p *Plan) All() []Receiver {
	return p.infrequent.append(p.frequent.append(nil, 0, 1), 0, 1)
}

// OneOff returns a node of the data centre dc as a receiver outside of the rounds. self is the data
// centre of the sender.
func (p *Plan) OneOff(self, dc ident.DataCentre, address netip.AddrPort) Receiver {
	return Receiver{Address: address, Interval: p.infrequent.interval(), ViaDigest: !p.Direct && dc != self}
}

// Sample returns n different peers drawn at random, preferred ones first, or all if there are fewer
// than n. draw returns a random number below its argument.
func Sample(n int, peers []roster.Peer, preferred func(*roster.Peer) bool, draw func(int) int) []roster.Peer {
	preferredCount := 0
	for i := range peers {
		if preferred(&peers[i]) {
			peers[preferredCount], peers[i] = peers[i], peers[preferredCount]
			preferredCount++
		}
	}
	n = min(n, len(peers))
	for i := range n {
		end := preferredCount
		if i >= preferredCount {
			end = len(peers)
		}
		k := i + draw(end-i)
		peers[i], peers[k] = peers[k], peers[i]
	}
	return peers[:n]
}

// activeEntry is an entry that has recently placed a flow here.
type activeEntry struct {
	Receiver
	lastPlacement time.Duration
	lastSent      time.Duration
}

// ActiveEntries are the entries that have recently placed flows on an agent. It is not safe for
// concurrent use.
type ActiveEntries struct{ entries []activeEntry }

// RecordPlacement records that an entry of the data centre dc has placed a flow. It returns the
// entry as a receiver, and whether to send it a heartbeat at once: the entry needs one to see that
// the agent is running.
func (a *ActiveEntries) RecordPlacement(now time.Duration, p *Plan, self, dc ident.DataCentre,
	entry netip.AddrPort) (Receiver, bool) {
	index := slices.IndexFunc(a.entries, func(active activeEntry) bool { return active.Address == entry })
	if index < 0 {
		if len(a.entries) >= maxActiveEntries {
			a.entries = slices.Delete(a.entries, 0, 1)
		}
		a.entries = append(a.entries, activeEntry{lastSent: now - minAnswerInterval})
		index = len(a.entries) - 1
	}
	active := a.entries[index]
	active.Receiver = Receiver{Address: entry, Interval: p.frequent.interval(), ViaDigest: !p.Direct && dc != self}
	active.lastPlacement = now
	sendNow := now-active.lastSent >= minAnswerInterval
	if sendNow {
		active.lastSent = now
	}
	// The latest entry goes last, because the first one is evicted.
	a.entries = append(slices.Delete(a.entries, index, index+1), active)
	return active.Receiver, sendNow
}

// TakeReceivers returns the entries that get a heartbeat when the load has changed, and records
// that it was sent to them.
func (a *ActiveEntries) TakeReceivers(now time.Duration) []Receiver {
	a.entries = slices.DeleteFunc(a.entries, func(active activeEntry) bool { return now-active.lastPlacement > activeFor })
	receivers := make([]Receiver, len(a.entries))
	for i := range a.entries {
		a.entries[i].lastSent = now
		receivers[i] = a.entries[i].Receiver
	}
	return receivers
}
