// Package settings defines the settings of a service, their validation, their revisions and who performs the control duty.
package settings

import (
	"net/netip"
	"time"

	"lacewinglever.dev/policy/ident"
)

// Kind tells how a service's datagrams are served.
type Kind string

// Kinds of service.
const (
	KindFeed    Kind = "feed"    // datagrams go to the target unchanged
	KindRequest Kind = "request" // HTTP/3 ends at the agent
)

// Spec is the validated settings of one service.
type Spec struct {
	Service       ident.ServiceName
	Kind          Kind
	Address       netip.AddrPort               // where callers reach the service
	IdleTimeout   time.Duration                // of a flow
	HashSlots     int                          // a power of two
	WarmUp        time.Duration                // of a cold target
	DataCentres   []ident.DataCentre           // whose agents may announce themselves; empty: all
	Weights       map[ident.DataCentre]float64 // relative weight of each data centre's targets; 1 if absent
	Drain         []string                     // names of the agents whose targets drain
	QueueLimit    int                          // waiting requests per agent
	Deadline      time.Duration                // of a request that names none
	NonIdempotent []Rule                       // requests that need a permit
}

// Rule matches requests by method and path prefix. An empty field matches everything.
type Rule struct {
	Method string
	Path   string
}

// Weight returns the weight of a target of this data centre; 0 if its agents may not announce themselves.
func (s *Spec) Weight(dc ident.DataCentre) float64 {
	if !s.admits(dc) {
		return 0
	}
	if w, ok := s.Weights[dc]; ok {
		return w
	}
	return 1
}

func (s *Spec) admits(dc ident.DataCentre) bool {
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

// IsDraining tells whether the agent of this name is set to drain.
func (s *Spec) IsDraining(agent string) bool {
	for _, name := range s.Drain {
		if name == agent {
			return true
		}
	}
	return false
}
