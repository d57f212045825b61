package steering

import (
	"slices"
	"time"

	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/roster"
)

// SearchResult tells what the search for a flow's target came to.
type SearchResult uint8

// Verdicts.
const (
	Continue SearchResult = iota // another agent may hold the flow
	NotFound                     // no target holds the flow: it can be reset
	Unknown                      // an agent that may hold the flow can't be asked at present
)

// NextCandidate returns the index of the next agent that may hold a flow. agents are ranked; those in tried have given the flow's packet back. complete
// tells that agents are all that exist. For Unknown it is the agent that is waited for, -1 if agents are not all. Targets that may have ended come last:
// such a target gives nothing back, and the search would end there.
func NextCandidate(now time.Duration, agents []roster.Peer, tried []ident.NodeID, complete bool) (int, SearchResult) {
	doubtful, quiet := -1, -1
	for i := range agents {
		p := &agents[i]
		if slices.Contains(tried, p.ID) || p.Target.Ended {
			continue
		}
		switch health := p.Health(now); {
		case health == roster.Live && !p.Target.MayHaveEnded:
			return i, Continue
		case health == roster.Live:
			doubtful = firstOf(doubtful, i)
		case health == roster.Suspect:
			quiet = firstOf(quiet, i)
		}
	}
	switch {
	case doubtful >= 0:
		return doubtful, Continue
	case quiet >= 0 && len(tried) == 0:
		return quiet, Continue // nobody else is left to ask
	case quiet >= 0 || !complete:
		return quiet, Unknown
	}
	return -1, NotFound
}

// firstOf returns the first of two indices, of which before may be -1.
func firstOf(before, i int) int {
	if before >= 0 {
		return before
	}
	return i
}
