package steering

import (
	"slices"
	"time"

	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/roster"
)

// SearchResult is the outcome of one step of the search for the agent that holds a flow.
type SearchResult uint8

// Results of a search step.
const (
	Continue SearchResult = iota // another agent may hold the flow
	NotFound                     // no target holds the flow: it can be reset
	Unknown                      // an agent that may hold the flow can't be reached at present
)

// Asked is what is known of the agents that were asked in a search for the owner of a flow.
type Asked struct {
	Tried      []ident.NodeID // have bounced the flow's packet, or an earlier one
	Remembered int            // the first of Tried have bounced earlier packets only
	Silent     []ident.NodeID // got an earlier packet and haven't answered, the least recently asked first
}

// Next returns the index of the next agent that may hold a flow, as NextCandidate, and the agents asked as to be sent
// along with the packet. Agents that were silent come last. What earlier packets have shown doesn't end a search: with no
// agent left, the search starts again without it.
func Next(now time.Duration, agents []roster.Peer, asked Asked, complete bool) (int, SearchResult, Asked) {
	index, result := nextCandidate(now, agents, asked.Tried, asked.Silent, complete)
	if result == NotFound && asked.Remembered > 0 {
		asked = Asked{Tried: asked.Tried[asked.Remembered:]}
		index, result = NextCandidate(now, agents, asked.Tried, complete)
	}
	return index, result, asked
}

// Listing says that an agent, at its stop, has listed a flow as one that its target has served.
type Listing struct {
	Agent       ident.NodeID
	Incarnation ident.Incarnation // that has stopped
}

// NextListed is Next for a flow that agents have listed, the latest listing first. The packet waits for an agent that is
// away, and goes to it first once it is back. Other targets are asked only if the agent is gone or has ended, or if its
// target has bounced the packet or doesn't answer. listed is whether the result is due to a listing.
func NextListed(now time.Duration, agents []roster.Peer, asked Asked, complete bool, listings []Listing,
) (index int, result SearchResult, next Asked, listed bool) {
	if index, result := listedCandidate(now, agents, asked, listings); result != NotFound {
		return index, result, asked, true
	}
	index, result, next = Next(now, agents, asked, complete)
	return index, result, next, false
}

// listedCandidate returns the index of the agent to which a listed flow goes, with Continue if it is back and Unknown if
// it is awaited. It returns NotFound if no listing applies.
func listedCandidate(now time.Duration, agents []roster.Peer, asked Asked, listings []Listing) (int, SearchResult) {
	awaited := -1
	for _, l := range listings {
		i := slices.IndexFunc(agents, func(p roster.Peer) bool { return p.ID == l.Agent })
		if i < 0 || agents[i].Target.Ended || slices.Contains(asked.Tried, l.Agent) {
			continue
		}
		p := &agents[i]
		health := p.Health(now)
		switch {
		case p.Incarnation <= l.Incarnation: // it has stopped, even if its last heartbeat doesn't say so
			if !p.Leaving || health != roster.Gone {
				awaited = firstValid(awaited, i)
			}
		case health == roster.Live:
			if !p.Target.MayHaveEnded && !slices.Contains(asked.Silent, l.Agent) {
				return i, Continue
			}
		case health == roster.Suspect && (p.Leaving || !p.HeartbeatSeen): // is restarted again, or has just started
			awaited = firstValid(awaited, i)
		}
	}
	if awaited >= 0 {
		return awaited, Unknown
	}
	return -1, NotFound
}

// NextCandidate returns the index of the next agent that may hold a flow. agents must be ranked;
// those in tried have bounced the flow's packet. complete means that agents is the complete list.
// With Unknown, the index is that of the agent to wait for, or -1 if there is none and the list
// isn't complete. Targets that may have ended come last: an ended target doesn't bounce packets,
// and the search would stop there. So do agents of which nothing was heard because digests of their
// data centre stay away. An agent that is gone is left out once it has not answered a request for a
// heartbeat; with Unknown, the caller sends these requests (UnconfirmedCandidates).
func NextCandidate(now time.Duration, agents []roster.Peer, tried []ident.NodeID, complete bool) (int, SearchResult) {
	return nextCandidate(now, agents, tried, nil, complete)
}

func nextCandidate(now time.Duration, agents []roster.Peer, tried, silentAgents []ident.NodeID, complete bool,
) (int, SearchResult) {
	mayHaveEnded, unreported, silent, suspect, unconfirmed := -1, -1, -1, -1, -1
	silentRank := len(silentAgents) // of the agent at the index silent
	for i := range agents {
		p := &agents[i]
		if slices.Contains(tried, p.ID) || p.Target.Ended {
			continue
		}
		health, awaitsDigests := p.Health(now), p.AwaitsDigests(now)
		if rank := slices.Index(silentAgents, p.ID); rank >= 0 && (health == roster.Live || awaitsDigests) {
			if rank < silentRank {
				silent, silentRank = i, rank
			}
			continue
		}
		switch {
		case health == roster.Live && !p.Target.MayHaveEnded:
			return i, Continue
		case health == roster.Live:
			mayHaveEnded = firstValid(mayHaveEnded, i)
		case awaitsDigests:
			unreported = firstValid(unreported, i)
		case health == roster.Suspect:
			suspect = firstValid(suspect, i)
		case p.IsUnconfirmed(now):
			unconfirmed = firstValid(unconfirmed, i)
		}
	}
	switch {
	case mayHaveEnded >= 0:
		return mayHaveEnded, Continue
	case unreported >= 0:
		return unreported, Continue
	case silent >= 0:
		return silent, Continue
	case suspect >= 0 && len(tried) == 0:
		return suspect, Continue // the only agent left
	case suspect >= 0 || !complete:
		return suspect, Unknown
	case unconfirmed >= 0:
		return unconfirmed, Unknown
	}
	return -1, NotFound
}

// AwaitsReturn reports whether an agent that may hold a flow is being restarted. Its target keeps running, and no
// search finds the flows there meanwhile.
func AwaitsReturn(now time.Duration, agents []roster.Peer) bool {
	for i := range agents {
		if p := &agents[i]; p.Leaving && !p.Target.Ended && p.Health(now) != roster.Gone {
			return true
		}
	}
	return false
}

// HasUnseen reports whether an agent that may hold a flow is known only from its record or from other nodes.
func HasUnseen(now time.Duration, agents []roster.Peer) bool {
	for i := range agents {
		if p := &agents[i]; !p.HeartbeatSeen && !p.Target.Ended && p.Health(now) != roster.Gone {
			return true
		}
	}
	return false
}

// UnconfirmedCandidates returns the agents that may hold a flow, at most n, in their order, and are gone by
// their silence alone.
func UnconfirmedCandidates(now time.Duration, agents []roster.Peer, tried []ident.NodeID, n int) []*roster.Peer {
	var unconfirmed []*roster.Peer
	for i := range agents {
		p := &agents[i]
		if len(unconfirmed) >= n {
			break
		}
		if !slices.Contains(tried, p.ID) && !p.Target.Ended && p.IsUnconfirmed(now) {
			unconfirmed = append(unconfirmed, p)
		}
	}
	return unconfirmed
}

// firstValid returns before unless it is -1, which stands for none, and else i.
func firstValid(before, i int) int {
	if before >= 0 {
		return before
	}
	return i
}
