// Package settings defines the settings of a service: their validation, their revisions, the next
// step of the controller that accepts them, and the entries that run it.
package settings

import (
	"net/netip"
	"time"

	"lacewinglever.dev/policy/ident"
)

// Kind selects how the datagrams of a service are handled.
type Kind string

// Kinds of service.
const (
	KindFeed    Kind = "feed"    // datagrams go to the target unchanged
	KindRequest Kind = "request" // HTTP/3, terminated by the agent
)

// Spec is the validated settings of one service.
type Spec struct {
	Service       ident.ServiceName
	Kind          Kind
	Address       netip.AddrPort               // to which callers send
	IdleTimeout   time.Duration                // of a flow
	HashSlots     int                          // a power of two
	WarmUp        time.Duration                // of a cold target
	DataCentres   []ident.DataCentre           // whose agents may join the pool; empty: all
	Weights       map[ident.DataCentre]float64 // relative weight of each data centre's targets; 1 if absent
	Drain         []string                     // names of agents with a draining target
	QueueLimit    int                          // queued requests per agent
	Deadline      time.Duration                // of a request without one
	NonIdempotent []Rule                       // requests that need a permit
}

// Rule matches requests by method and path prefix. An empty field matches every request.
type Rule struct {
	Method string
	Path   string
}

// Weight returns the weight of a target in this data centre; 0 if agents of the data centre may not
// join the pool.
func (s *Spec) Weight(dc ident.DataCentre) float64 {
	if !s.allows(dc) {
		return 0
	}
	if w, ok := s.Weights[dc]; ok {
		return w
	}
	return 1
}

func (s *Spec) allows(dc ident.DataCentre) bool {
	if len(s.DataCentres) == 0 {
		return true
	}
	for _, allowed := range s.DataCentres {
		if allowed == dc {
			return true
		}
	}
	return false
}

// IsDraining reports whether the target of this agent is set to drain.
func (s *Spec) IsDraining(agent string) bool {
	for _, name := range s.Drain {
		if name == agent {
			return true
		}
	}
	return false
}
