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

// NextCandidate returns the index of the next agent that may hold a flow. agents must be ranked;
// those in tried have bounced the flow's packet. complete means that agents is the complete list.
// With Unknown, the index is that of the agent to wait for, or -1 if there is none and the list
// isn't complete. Targets that may have ended come last: an ended target doesn't bounce packets,
// and the search would stop there. So do agents of which nothing was heard because digests of their
// data centre stay away. An agent that is gone is left out once it has not answered a request for a
// heartbeat; with Unknown, the caller sends these requests (SilentCandidates).
func NextCandidate(now time.Duration, agents []roster.Peer, tried []ident.NodeID, complete bool) (int, SearchResult) {
	mayHaveEnded, unreported, suspect, unconfirmed := -1, -1, -1, -1
	for i := range agents {
		p := &agents[i]
		if slices.Contains(tried, p.ID) || p.Target.Ended {
			continue
		}
		switch health := p.Health(now); {
		case health == roster.Live && !p.Target.MayHaveEnded:
			return i, Continue
		case health == roster.Live:
			mayHaveEnded = firstValid(mayHaveEnded, i)
		case p.AwaitsDigests(now):
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
	case suspect >= 0 && len(tried) == 0:
		return suspect, Continue // the only agent left
	case suspect >= 0 || !complete:
		return suspect, Unknown
	case unconfirmed >= 0:
		return unconfirmed, Unknown
	}
	return -1, NotFound
}

// SilentCandidates returns the agents that a search waits for, at most n, in their order: those that are
// silent and may hold the flow.
func SilentCandidates(now time.Duration, agents []roster.Peer, tried []ident.NodeID, n int) []*roster.Peer {
	var silent []*roster.Peer
	for i := range agents {
		p := &agents[i]
		if len(silent) >= n {
			break
		}
		if !slices.Contains(tried, p.ID) && !p.Target.Ended && (p.Health(now) == roster.Suspect || p.IsUnconfirmed(now)) {
			silent = append(silent, p)
		}
	}
	return silent
}

// firstValid returns before unless it is -1, which stands for none, and else i.
func firstValid(before, i int) int {
	if before >= 0 {
		return before
	}
	return i
}
