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
	suspectTarget, silentAgent := -1, -1
	for i := range agents {
		p := &agents[i]
		if slices.Contains(tried, p.ID) || p.Target.Ended {
			continue
		}
		switch health := p.Health(now); {
		case health == roster.Live && !p.Target.MayHaveEnded:
			return i, Continue
		case health == roster.Live:
			suspectTarget = firstValid(suspectTarget, i)
		case health == roster.Suspect:
			silentAgent = firstValid(silentAgent, i)
		}
	}
	switch {
	case suspectTarget >= 0:
		return suspectTarget, Continue
	case silentAgent >= 0 && len(tried) == 0:
		return silentAgent, Continue // nobody else is left to ask
	case silentAgent >= 0 || !complete:
		return silentAgent, Unknown
	}
	return -1, NotFound
}

// firstValid returns the first of two indices, of which before may be -1.
func firstValid(before, i int) int {
	if before >= 0 {
		return before
	}
	return i
}
