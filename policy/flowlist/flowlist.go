// Package flowlist keeps the lists of flows that agents send when they are restarted. While an agent is away its target
// keeps running, and a search for one of these flows waits for the agent instead of asking other targets. A list is never
// a proof: the target may end meanwhile, and the search then goes on. The package uses no sockets and no clock.
package flowlist

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"lacewinglever.dev/policy/roster"
	"lacewinglever.dev/policy/steering"
)

const (
	// FlowsPerMessage keeps a message below the smallest usual MTU, at 4 bytes a flow.
	FlowsPerMessage = 250
	// MaxFlows bounds a list: 8 messages.
	MaxFlows = 8 * FlowsPerMessage
	// maxLists bounds the memory of the lists to 2 MB.
	maxLists = 256
	// returnedFor is how long a list is used after the latest time at which its agent may return. Callers send an
	// unanswered packet again after 1.6 s at the latest.
	returnedFor = 3 * time.Second
	// keepFor is the time after which a list is dropped.
	keepFor = roster.RestartTimeout + returnedFor
	// idleFor is the time for which an agent lists a flow of which it doesn't keep track any more. Flows that are idle for
	// longer are usually closed.
	idleFor = time.Minute
)

// Fingerprint identifies a flow in a list. A searched flow shares it with another one in 256 full lists with a probability
// of 0.012 %. Its search then takes longer.
type Fingerprint uint32

// Of returns the fingerprint of a flow, the same at every node.
func Of(f steering.Flow) Fingerprint { return Fingerprint(f.Hash() >> 32) }

// ListOf returns the fingerprints of flows.
func ListOf(flows []steering.Flow) []Fingerprint {
	list := make([]Fingerprint, len(flows))
	for i, f := range flows {
		list[i] = Of(f)
	}
	return list
}

// List is what an agent has sent at its stop.
type List struct {
	steering.Listing
	Flows []Fingerprint // in ascending order
	since time.Duration // time of the first message
}

// Lists are the lists that a node has received. Its methods are safe for concurrent use.
type Lists struct {
	mu    sync.RWMutex
	lists []*List // the latest last
}

// Record adds flows to the list of an agent, and returns their number after that. Those of an earlier incarnation are
// dropped first. If there are too many lists, the oldest one is dropped.
func (l *Lists) Record(now time.Duration, from steering.Listing, flows []Fingerprint) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lists = slices.DeleteFunc(l.lists, func(list *List) bool {
		return now-list.since > keepFor || list.Agent == from.Agent && list.Incarnation < from.Incarnation
	})
	index := slices.IndexFunc(l.lists, func(list *List) bool { return list.Agent == from.Agent })
	if index < 0 {
		if len(l.lists) >= maxLists {
			l.lists = slices.Delete(l.lists, 0, 1)
		}
		l.lists = append(l.lists, &List{Listing: from, since: now})
		index = len(l.lists) - 1
	}
	list := l.lists[index]
	if list.Incarnation > from.Incarnation {
		return len(list.Flows)
	}
	for _, f := range flows {
		if i, found := slices.BinarySearch(list.Flows, f); !found && len(list.Flows) < MaxFlows {
			list.Flows = slices.Insert(list.Flows, i, f)
		}
	}
	return len(list.Flows)
}

// Lookup returns the agents whose lists contain a flow, the latest first.
func (l *Lists) Lookup(now time.Duration, f steering.Flow) (found []steering.Listing) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	if len(l.lists) == 0 {
		return nil
	}
	fingerprint := Of(f)
	for _, list := range slices.Backward(l.lists) {
		if _, ok := slices.BinarySearch(list.Flows, fingerprint); ok && now-list.since <= keepFor {
			found = append(found, list.Listing)
		}
	}
	return found
}

// Kept returns the lists that are kept, the latest first.
func (l *Lists) Kept(now time.Duration) (kept []List) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	for _, list := range slices.Backward(l.lists) {
		if now-list.since <= keepFor {
			copied := *list
			copied.Flows = slices.Clone(list.Flows)
			kept = append(kept, copied)
		}
	}
	return kept
}

// Own are the flows that an agent must list although it doesn't keep track of them: those in the list of its process before,
// and those that it has removed because they were idle. Its methods are safe for concurrent use.
type Own struct {
	mu    sync.Mutex
	flows map[Fingerprint]time.Duration // time at which the flow was recorded
}

// Record records flows that the target has served.
func (o *Own) Record(now time.Duration, flows []Fingerprint) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.flows == nil {
		o.flows = map[Fingerprint]time.Duration{}
	}
	for f, at := range o.flows {
		if now-at > idleFor {
			delete(o.flows, f)
		}
	}
	for _, f := range flows {
		if _, known := o.flows[f]; known || len(o.flows) < MaxFlows {
			o.flows[f] = now
		}
	}
}

// Remove removes a flow that the target doesn't hold.
func (o *Own) Remove(f steering.Flow) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.flows, Of(f))
}

// Contains reports whether a flow is recorded, so that the target may hold it.
func (o *Own) Contains(f steering.Flow) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	_, ok := o.flows[Of(f)]
	return ok
}

// Clear removes all flows, for when the target has ended.
func (o *Own) Clear() {
	o.mu.Lock()
	defer o.mu.Unlock()
	clear(o.flows)
}

// List returns the list that an agent sends at its stop. served are the flows that its target has served, the latest
// first. The list begins with them.
func (o *Own) List(now time.Duration, served []steering.Flow) []Fingerprint {
	o.mu.Lock()
	defer o.mu.Unlock()
	flows := make([]Fingerprint, 0, min(MaxFlows, len(served)+len(o.flows)))
	for _, f := range served[:min(len(served), MaxFlows)] {
		flows = append(flows, Of(f))
		delete(o.flows, Of(f))
	}
	before := make([]Fingerprint, 0, len(o.flows))
	for f, at := range o.flows {
		if now-at <= idleFor {
			before = append(before, f)
		}
	}
	slices.Sort(before)
	return append(flows, before[:min(len(before), MaxFlows-len(flows))]...)
}

// Receivers returns the nodes that get the list of an agent, those of its data centre first: entries, and agents of
// services. Others are never asked for its flows.
func Receivers(now time.Duration, self *roster.Node, peers []roster.Peer, services map[string]struct{}) []roster.Peer {
	receivers := slices.DeleteFunc(slices.Clone(peers), func(p roster.Peer) bool {
		_, serves := services[p.Service]
		return p.Health(now) == roster.Gone || !p.Entry && p.Service != "" && !serves
	})
	distance := func(p *roster.Peer) int {
		if p.DataCentre == self.DataCentre {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(receivers, func(a, b roster.Peer) int { return cmp.Compare(distance(&a), distance(&b)) })
	return receivers
}
