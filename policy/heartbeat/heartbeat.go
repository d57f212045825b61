// Package heartbeat plans to which nodes a node sends heartbeats, and how often, so that its
// traffic stays bounded as the fleet grows.
//
// An agent sends its heartbeats frequently to the nodes that forward packets to it. These are the
// entries of its data centre and the agents of its service there, at a rate within the budget, and
// each entry anywhere that has recently placed a flow on it, at the full rate. Other nodes of the
// data centre get a heartbeat every second. Other data centres receive digests (package digest). A
// node whose roster is small enough for the budget sends heartbeats to all others directly.
//
// Nodes don't need to agree on which of them send directly: each tells so in its heartbeats, the
// relays report those that don't, and a node that stops sending directly first tells the receivers.
package heartbeat

import (
	"encoding/binary"
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
	// handoverPeriod is how long a node that stops or starts sending to all nodes is both reported by
	// relays and sends to the nodes of other data centres. It is longer than the time after which
	// others replace a relay that is lost at that moment.
	handoverPeriod = 4 * time.Second
	// handoverRounds is the number of rounds between the heartbeats that tell a node that it gets
	// fewer of them. The first arrives before the silence that ends new flows.
	handoverRounds = 2
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
	ViaDigest bool          // no further heartbeats are promised to it
}

// Plan lists the receivers of a node's heartbeats by round.
type Plan struct {
	Direct     bool // heartbeats go to all nodes, once the plan is complete
	Complete   bool // the node knew all nodes
	frequent   rotation
	infrequent rotation
	demoted    rotation // infrequent ones that the plan before had among the frequent ones
	// handover are the nodes of other data centres that the last direct plan contained, until handoverEnd.
	handover    rotation
	handoverEnd time.Duration
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

// append appends all nodes of the list.
func (r *rotation) append(to []Receiver) []Receiver {
	for _, address := range r.addresses {
		to = append(to, Receiver{Address: address, Interval: r.interval()})
	}
	return to
}

// due appends the nodes of the list that are due in a round. A node's turn doesn't depend on the other
// nodes of the list: if it did, a node could miss its turn whenever the list changes.
func (r *rotation) due(to []Receiver, round uint64) []Receiver {
	turn := uint32(round % uint64(r.rounds))
	for _, address := range r.addresses {
		if r.rounds == 1 || hash(address)%uint32(r.rounds) == turn {
			to = append(to, Receiver{Address: address, Interval: r.interval()})
		}
	}
	return to
}

// hash returns a number that spreads addresses evenly over the rounds.
func hash(a netip.AddrPort) uint32 {
	const multiplier = 0x9e3779b1 // 2^32 divided by the golden ratio
	ip := a.Addr().As16()         // also of addresses that aren't IPv4
	h := (binary.BigEndian.Uint32(ip[12:]) ^ uint32(a.Port())) * multiplier
	return (h ^ h>>15) * multiplier >> 16
}

// NewPlan returns the plan of the node self that replaces the plan before, nil at the start. service
// is that of the target if self is an agent. Until complete, the node may know a few of many nodes,
// and promises no heartbeats to other data centres.
func NewPlan(now time.Duration, self *roster.Node, service string, peers []roster.Peer, complete bool, before *Plan) *Plan {
	p := &Plan{Direct: len(peers) <= maxDirectNodes, Complete: complete}
	if before == nil {
		before = &Plan{Direct: p.Direct}
	}
	switch {
	case p.Direct != before.Direct:
		p.handoverEnd = now + handoverPeriod
	case now < before.handoverEnd:
		p.handover, p.handoverEnd = before.handover, before.handoverEnd
	}
	wasFrequent := make(map[netip.AddrPort]struct{}, len(before.frequent.addresses))
	for _, address := range before.frequent.addresses {
		wasFrequent[address] = struct{}{}
	}
	ownOnly := !p.Direct || !complete
	for i := range peers {
		peer := &peers[i]
		if ownOnly && peer.DataCentre != self.DataCentre {
			if before.Promises(peer.Address) {
				p.handover.addresses = append(p.handover.addresses, peer.Address)
			}
			continue
		}
		if !self.Entry && peer.Running(now) && (peer.Entry || peer.Service == service) {
			p.frequent.addresses = append(p.frequent.addresses, peer.Address)
			continue
		}
		p.infrequent.addresses = append(p.infrequent.addresses, peer.Address)
		if _, ok := wasFrequent[peer.Address]; ok {
			p.demoted.addresses = append(p.demoted.addresses, peer.Address)
		}
	}
	p.frequent.setRounds(1)
	p.infrequent.setRounds(infrequentRounds)
	p.demoted.setRounds(handoverRounds)
	p.handover.setRounds(handoverRounds)
	return p
}

// ReachesAll reports whether all nodes get heartbeats and none relies on what relays report of this one.
func (p *Plan) ReachesAll(now time.Duration) bool { return p.Direct && now >= p.handoverEnd }

// Promises reports whether the plan sends heartbeats to a node of another data centre and tells it so.
func (p *Plan) Promises(address netip.AddrPort) bool {
	return p.Direct && (slices.Contains(p.frequent.addresses, address) || slices.Contains(p.infrequent.addresses, address))
}

// Due returns the receivers of a round.
func (p *Plan) Due(round uint64) []Receiver {
	to := p.infrequent.due(p.frequent.due(nil, round), round)
	for _, r := range p.demoted.due(nil, round) {
		r.Interval = p.infrequent.interval()
		to = append(to, r)
	}
	return viaDigest(to, p.handover.due(nil, round))
}

// All returns all receivers, for changes that can't wait for their round.
func (p *Plan) All() []Receiver {
	to := p.infrequent.append(p.frequent.append(nil))
	return viaDigest(to, p.handover.append(nil))
}

// viaDigest appends receivers to which no further heartbeats are promised.
func viaDigest(to, receivers []Receiver) []Receiver {
	for _, r := range receivers {
		r.ViaDigest = true
		to = append(to, r)
	}
	return to
}

// OneOff returns a node of the data centre dc as a receiver outside of the rounds. self is the data
// centre of the sender. A node of another data centre that the plan doesn't contain is promised
// nothing: the next plan may not contain it either.
func (p *Plan) OneOff(self, dc ident.DataCentre, address netip.AddrPort) Receiver {
	return Receiver{Address: address, Interval: p.infrequent.interval(), ViaDigest: dc != self && !p.Promises(address)}
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
	active.Receiver = Receiver{Address: entry, Interval: p.frequent.interval(), ViaDigest: dc != self && !p.Promises(entry)}
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
