package steering

import (
	"slices"

	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/roster"
)

// WithoutEvacuated returns the agents that are not in an evacuated data centre, in their order. It changes agents.
func WithoutEvacuated(agents []roster.Peer, evacuated []ident.DataCentre) []roster.Peer {
	if len(evacuated) == 0 {
		return agents
	}
	return slices.DeleteFunc(agents, func(p roster.Peer) bool { return slices.Contains(evacuated, p.DataCentre) })
}

// AllEnded reports whether all targets of the agents have ended.
func AllEnded(agents []roster.Peer) bool {
	return !slices.ContainsFunc(agents, func(p roster.Peer) bool { return !p.Target.Ended })
}
