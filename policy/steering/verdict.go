package steering

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/roster"
)

// maxNamesPerVerdict bounds the agents that one verdict of DescribeCandidates names.
const maxNamesPerVerdict = 6

// Verdicts of a search on its candidates, in the order in which DescribeCandidates lists them.
const (
	verdictTried        = "tried"          // its target has bounced the packet
	verdictEnded        = "ended"          // its target holds no flow
	verdictGone         = "gone"           // silent for too long, and didn't answer
	verdictUnconfirmed  = "unconfirmed"    // silent for too long, may still answer
	verdictSuspect      = "suspect"        // silent, may return
	verdictUnreported   = "unreported"     // digests of its data centre stay away
	verdictMayHaveEnded = "may have ended" // the packet may get lost at its target
	verdictLive         = "live"
)

var verdicts = []string{verdictTried, verdictEnded, verdictGone, verdictUnconfirmed, verdictSuspect, verdictUnreported, verdictMayHaveEnded,
	verdictLive}

// DescribeCandidates returns, for logs, what NextCandidate knows of each agent: the verdicts, each with
// the number of agents, the names of the first few, and how long each of them has been silent.
func DescribeCandidates(now time.Duration, agents []roster.Peer, tried []ident.NodeID) string {
	counts := map[string]int{}
	names := map[string][]string{}
	for i := range agents {
		p := &agents[i]
		v := verdictOf(now, p, tried)
		if counts[v]++; counts[v] <= maxNamesPerVerdict {
			names[v] = append(names[v], fmt.Sprintf("%s(%v)", p.Name, (now-p.LastSeen).Round(time.Millisecond)))
		}
	}
	var parts []string
	for _, v := range verdicts {
		if counts[v] > 0 {
			parts = append(parts, fmt.Sprintf("%s %d: %s", v, counts[v], strings.Join(names[v], " ")))
		}
	}
	return strings.Join(parts, "; ")
}

func verdictOf(now time.Duration, p *roster.Peer, tried []ident.NodeID) string {
	health := p.Health(now)
	switch {
	case slices.Contains(tried, p.ID):
		return verdictTried
	case p.Target.Ended:
		return verdictEnded
	case p.IsUnconfirmed(now):
		return verdictUnconfirmed
	case health == roster.Gone:
		return verdictGone
	case p.AwaitsDigests(now):
		return verdictUnreported
	case health == roster.Suspect:
		return verdictSuspect
	case p.Target.MayHaveEnded:
		return verdictMayHaveEnded
	}
	return verdictLive
}
