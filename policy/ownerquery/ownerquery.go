// Package ownerquery finds the owners of flows in large pools by asking agents which flows their targets hold, instead of
// passing each packet from target to target.
//
// It answers the load after the loss of many targets: thousands of callers retransmit packets of flows that nobody holds.
// Passed on, each of these packets visits every agent of the pool, with each retransmission, and the processor time that
// this takes is missing for the opening packets of the same callers. A query costs an agent one look-up, and one datagram
// carries many flows.
//
// It uses no sockets and no clock.
package ownerquery

import (
	"slices"
	"sync"
	"time"

	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/roster"
	"lacewinglever.dev/policy/steering"
)

const (
	// MinPool is the number of candidates from which agents are asked. Smaller pools are searched by passing the packet
	// on: that takes as few datagrams, and no time for the answer.
	MinPool = 12
	// MaxFlows is the number of flows of one query, so that its datagram stays below the smallest usual MTU.
	MaxFlows = 64
	// firstCandidates is the number of agents that are asked first. New flows open at the first few agents in rank, so
	// that one of these owns the flow unless its data centre was short of targets.
	firstCandidates = 5
	// AnswerTimeout is the time after which an agent that hasn't answered is asked again. It covers the round trip
	// between data centres and a slow node.
	AnswerTimeout = 100 * time.Millisecond
	// firstTime is the time after which all others are asked although one of the first agents hasn't answered. It covers the
	// round trip between data centres, so that an agent that has just been lost doesn't hold up the search.
	firstTime = 25 * time.Millisecond
	// maxQueries is the number of queries without an answer after which the packet goes to the agent itself: its program
	// may be older, or its answers get lost.
	maxQueries = 2
	// answerLifetime is how long an answer counts. It covers the longest interval of retransmissions, and is shorter than
	// the time after which a caller uses a port again.
	answerLifetime = 3 * time.Second
	// maxFlows bounds the flows whose owners are asked for, at some 2 KB each in the largest pools.
	maxFlows = 4096
	// maxPending bounds the queries that wait for an answer.
	maxPending = 4096
)

// Verdict is an agent's answer for one flow.
type Verdict uint8

// Verdicts, as on the wire.
const (
	Unknown Verdict = iota // the target may hold the flow
	Held                   // the target holds the flow
	NotHeld                // the target doesn't hold the flow
)

// Query asks an agent for flows, at most MaxFlows.
type Query struct {
	Agent ident.NodeID
	ID    uint32
	Flows []steering.Flow
}

// Result is what is known of the owner of a flow.
type Result struct {
	Waiting bool           // agents were asked and may still answer
	Absent  []ident.NodeID // agents whose targets don't hold the flow
	Silent  int            // number of agents that have not answered in time
}

type asked struct {
	agent   ident.NodeID
	at      time.Duration // of the last query
	queries int
	verdict Verdict
	// answered is set if the agent has answered the last query.
	answered bool
}

type flowState struct {
	since     time.Duration // of the first query of this round
	waitUntil time.Duration // when Ask is due again unless all agents answer before
	absent    bool          // no target holds the flow
	agents    []asked
}

func (s *flowState) find(agent ident.NodeID) *asked {
	for i := range s.agents {
		if s.agents[i].agent == agent {
			return &s.agents[i]
		}
	}
	return nil
}

type pending struct {
	agent ident.NodeID
	flows []steering.Flow
	at    time.Duration
}

// Table holds the flows whose owners are asked for. Its methods are safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	flows   map[steering.Flow]*flowState
	due     map[ident.NodeID][]steering.Flow // to be asked with the next call of Queries
	pending map[uint32]pending
	lastID  uint32
	ready   chan struct{} // receives when queries are due
}

// New returns an empty table. firstID is the id of the first query; it differs between the processes of a node, so that an
// answer to the process before doesn't count.
func New(firstID uint32) *Table {
	return &Table{
		lastID: firstID - 1,
		flows:  map[steering.Flow]*flowState{}, due: map[ident.NodeID][]steering.Flow{}, pending: map[uint32]pending{},
		ready: make(chan struct{}, 1),
	}
}

// Ready returns a channel that receives when queries are due.
func (t *Table) Ready() <-chan struct{} { return t.ready }

// State is what the answers for a flow have shown so far.
type State uint8

// States of a flow.
const (
	Undecided State = iota // not asked for, or the answers need a decision
	Awaited                // agents were asked and may still answer
	Absent                 // no target holds the flow
)

// Lookup returns the state of a flow. It costs less than Ask, which needs the ranked candidates.
func (t *Table) Lookup(now time.Duration, flow steering.Flow) State {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.flows[flow]
	switch {
	case s == nil || now-s.since > answerLifetime:
		return Undecided
	case s.absent:
		return Absent
	case now < s.waitUntil:
		return Awaited
	}
	return Undecided
}

// MarkAbsent records that the search for a flow that was asked for has ended without an owner. It has no effect on a flow
// that was not asked for.
func (t *Table) MarkAbsent(flow steering.Flow) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.flows[flow]; s != nil {
		s.absent = true
	}
}

// Ask returns what the candidates of a flow have answered, and asks those that have not. agents must be ranked: the first
// ones are asked before all others. tried are agents whose targets have bounced a packet of the flow. If one of the first
// agents can't tell, its target gets the packet before others are asked: new flows open at the first agents, and after the
// restart of all agents none of them can tell. It returns false if the flow isn't searched by queries, because the pool is small or too
// many flows are asked for already.
func (t *Table) Ask(now time.Duration, flow steering.Flow, agents []roster.Peer, tried []ident.NodeID) (Result, bool) {
	if len(agents) < MinPool {
		return Result{}, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.flows[flow]
	if s != nil && now-s.since > answerLifetime {
		delete(t.flows, flow)
		s = nil
	}
	if s == nil {
		if len(t.flows) >= maxFlows {
			return Result{}, false
		}
		s = &flowState{since: now}
		t.flows[flow] = s
	}
	s.waitUntil, s.absent = 0, false
	var r Result
	seen, isFirst, unknown := 0, now-s.since < firstTime, false
	for i := range agents {
		p := &agents[i]
		if p.Health(now) != roster.Live || p.Target.Ended {
			continue // whether to wait for such an agent is decided by the search
		}
		if seen++; seen == firstCandidates+1 && (unknown || r.Waiting && isFirst) {
			break
		}
		a := s.find(p.ID)
		if a == nil {
			s.agents = append(s.agents, asked{agent: p.ID})
			a = &s.agents[len(s.agents)-1]
		}
		switch {
		case a.answered:
			if a.verdict == NotHeld {
				r.Absent = append(r.Absent, p.ID)
			}
			unknown = unknown || a.verdict == Unknown && !slices.Contains(tried, p.ID)
		case a.queries > 0 && now-a.at <= AnswerTimeout:
			r.Waiting = true
			s.waitUntil = max(s.waitUntil, a.at+AnswerTimeout)
		case a.queries < maxQueries:
			a.queries, a.at = a.queries+1, now
			t.enqueue(p.ID, flow)
			r.Waiting = true
			s.waitUntil = max(s.waitUntil, now+AnswerTimeout)
		default:
			r.Silent++
		}
	}
	if isFirst {
		s.waitUntil = min(s.waitUntil, s.since+firstTime)
	} else if unknown && seen > firstCandidates {
		r.Waiting, s.waitUntil = false, 0
	}
	return r, true
}

func (t *Table) enqueue(agent ident.NodeID, flow steering.Flow) {
	t.due[agent] = append(t.due[agent], flow)
	select {
	case t.ready <- struct{}{}:
	default:
	}
}

// Queries returns the queries that are due.
func (t *Table) Queries(now time.Duration) []Query {
	t.mu.Lock()
	defer t.mu.Unlock()
	var queries []Query
	for agent, flows := range t.due {
		for part := range slices.Chunk(flows, MaxFlows) {
			t.lastID++
			queries = append(queries, Query{Agent: agent, ID: t.lastID, Flows: part})
			if len(t.pending) < maxPending {
				t.pending[t.lastID] = pending{agent, part, now}
			}
		}
	}
	clear(t.due)
	return queries
}

// RecordAnswer records an agent's answer to a query, one verdict per flow of the query in its order. It returns the flows that
// the agent's target holds, and those whose candidates have all answered so far.
func (t *Table) RecordAnswer(agent ident.NodeID, id uint32, verdicts []Verdict) (held, decided []steering.Flow) {
	t.mu.Lock()
	defer t.mu.Unlock()
	q, ok := t.pending[id]
	if !ok || q.agent != agent || len(verdicts) != len(q.flows) {
		return nil, nil
	}
	delete(t.pending, id)
	for i, flow := range q.flows {
		s := t.flows[flow]
		if s == nil || q.at < s.since { // the answer is to a query of an earlier search
			continue
		}
		a := s.find(agent)
		if a == nil {
			continue
		}
		a.answered, a.verdict = true, verdicts[i]
		if verdicts[i] == Held {
			held = append(held, flow)
		} else if !slices.ContainsFunc(s.agents, func(a asked) bool { return !a.answered }) {
			s.waitUntil = 0
			decided = append(decided, flow)
		}
	}
	return held, decided
}

// End removes a flow, because its owner is known or it opens anew.
func (t *Table) End(flow steering.Flow) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.flows, flow)
}

// Expire removes answers and queries that don't count any more.
func (t *Table) Expire(now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for flow, s := range t.flows {
		if now-s.since > answerLifetime {
			delete(t.flows, flow)
		}
	}
	for id, q := range t.pending {
		if now-q.at > answerLifetime {
			delete(t.pending, id)
		}
	}
}

// Len returns the number of flows whose owners are asked for.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.flows)
}
