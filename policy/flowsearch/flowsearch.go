// Package flowsearch keeps what the searches of an entry for the owners of flows have shown, so that a retransmission
// doesn't take the way on which the packet before it was lost. It uses no sockets and no clock.
package flowsearch

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/steering"
)

const (
	// shardCount is the number of parts of the table, each under its own lock. It is a power of two.
	shardCount = 16
	// maxSearches bounds the searches that are kept, at up to 3 KB each in the largest pools.
	maxSearches = 4096
	// MaxTried bounds the agents of one search that are known not to have the flow, so that a frame can list them.
	MaxTried = 256
	// MaxSilent bounds the agents of one search that haven't answered, for the same reason.
	MaxSilent = 16
	// AnswerTimeout is the time after which an agent that got a packet of a search, and has neither passed it on nor
	// sent the owner, is passed over. Targets bounce packets within milliseconds; the rest is for the round trip
	// between data centres and for slow nodes. Callers send an unanswered packet again after 200 ms.
	AnswerTimeout = 100 * time.Millisecond
	// forgetAfter is the time after the last packet at which a search without a result is forgotten. Callers send an
	// unanswered packet again after 1.6 s at the latest.
	forgetAfter = 5 * time.Second
	// minRestartInterval is the least time between two searches of all agents for one flow. If nobody holds the
	// flow, the agent at which a search ends resets it, at once or when the pool has capacity for the caller.
	minRestartInterval = time.Second
)

// Knowledge is what the packets of a flow so far have shown of its owner.
type Knowledge struct {
	Repeats int            // packets before, without a result
	Overdue bool           // the first of them should have led to the owner by now
	Tried   []ident.NodeID // agents whose targets don't hold the flow
	Silent  []ident.NodeID // agents that got a packet and haven't answered, the least recently asked first
	// Recent is set if the search has begun, or was restarted, so recently that it isn't restarted yet.
	Recent bool
}

// Table holds the searches without a result. Its methods are safe for concurrent use.
type Table struct{ shards [shardCount]shard }

type shard struct {
	mu       sync.Mutex
	searches map[steering.Flow]*search
}

type search struct {
	started time.Duration // time of the first packet
	begun   time.Duration // time of the first packet since the last restart
	last    time.Duration // time of the last packet
	packets int
	tried   []ident.NodeID
	asked   []hop // agents that got a packet of which they must send progress, and haven't answered
	held    bool  // the last agent that has answered holds the packet
}

type hop struct {
	agent       ident.NodeID
	first, last time.Duration // times of the first and the last packet
}

// New returns an empty table.
func New() *Table {
	t := &Table{}
	for i := range t.shards {
		t.shards[i].searches = map[steering.Flow]*search{}
	}
	return t
}

func (t *Table) shard(f steering.Flow) *shard { return &t.shards[f.Hash()%shardCount] }

// Lookup returns what is known of a flow's owner.
func (t *Table) Lookup(now time.Duration, f steering.Flow) Knowledge {
	sh := t.shard(f)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	s := sh.searches[f]
	if s == nil || now-s.last > forgetAfter {
		return Knowledge{}
	}
	k := Knowledge{Repeats: s.packets, Overdue: now-s.started > AnswerTimeout, Tried: slices.Clone(s.tried),
		Recent: now-s.begun < minRestartInterval}
	slices.SortStableFunc(s.asked, func(a, b hop) int { return cmp.Compare(a.last, b.last) })
	for _, h := range s.asked {
		if now-h.first > AnswerTimeout {
			k.Silent = append(k.Silent, h.agent)
		}
	}
	return k
}

// RecordSent records that a packet of a flow is sent to an agent, and whether progress is requested with it.
func (t *Table) RecordSent(now time.Duration, f steering.Flow, agent ident.NodeID, progress bool) {
	sh := t.shard(f)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	s := sh.searches[f]
	if s == nil || now-s.last > forgetAfter {
		if s == nil && len(sh.searches) >= maxSearches/shardCount {
			return
		}
		s = &search{started: now, begun: now}
		sh.searches[f] = s
	}
	s.last, s.held = now, false
	s.packets++
	if progress {
		s.recordAsked(now, agent)
	}
}

// RecordProgress records that an agent, whose target doesn't hold a flow, has passed a packet of it on to the next
// agent. next is 0 if the agent holds the packet.
func (t *Table) RecordProgress(now time.Duration, f steering.Flow, agent, next ident.NodeID) {
	sh := t.shard(f)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	s := sh.searches[f]
	if s == nil {
		return
	}
	s.asked = slices.DeleteFunc(s.asked, func(h hop) bool { return h.agent == agent })
	if !slices.Contains(s.tried, agent) && len(s.tried) < MaxTried {
		s.tried = append(s.tried, agent)
	}
	s.held = next == 0
	if next != 0 && !slices.Contains(s.tried, next) { // messages may arrive in another order
		s.recordAsked(now, next)
	}
}

// State is the state of a search.
type State uint8

// States of a search.
const (
	Ended   State = iota // or unknown
	Waiting              // an agent has the packet
	Stalled              // the agents that have the packet haven't answered in time
)

// State returns the state of the search for a flow's owner.
func (t *Table) State(now time.Duration, f steering.Flow) State {
	sh := t.shard(f)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	s := sh.searches[f]
	switch {
	case s == nil:
		return Ended
	case s.held || slices.ContainsFunc(s.asked, func(h hop) bool { return now-h.last <= AnswerTimeout }):
		return Waiting
	}
	return Stalled
}

func (s *search) recordAsked(now time.Duration, agent ident.NodeID) {
	for i := range s.asked {
		if s.asked[i].agent == agent {
			s.asked[i].last = now
			return
		}
	}
	if len(s.asked) < MaxSilent {
		s.asked = append(s.asked, hop{agent, now, now})
	}
}

// Restart forgets which agents were asked in the search for a flow's owner.
func (t *Table) Restart(now time.Duration, f steering.Flow) {
	sh := t.shard(f)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if s := sh.searches[f]; s != nil {
		s.tried, s.asked, s.begun = nil, nil, now
	}
}

// End removes the search for a flow's owner, and returns when it has started.
func (t *Table) End(f steering.Flow) (time.Duration, bool) {
	sh := t.shard(f)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	s := sh.searches[f]
	if s == nil {
		return 0, false
	}
	delete(sh.searches, f)
	return s.started, true
}

// Expire removes the searches that had no packet for a while.
func (t *Table) Expire(now time.Duration) {
	for i := range t.shards {
		sh := &t.shards[i]
		sh.mu.Lock()
		for f, s := range sh.searches {
			if now-s.last > forgetAfter {
				delete(sh.searches, f)
			}
		}
		sh.mu.Unlock()
	}
}
