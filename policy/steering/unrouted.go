package steering

import (
	"sync"
	"time"
)

const (
	// routesDelay is the time within which changed routes must be in force at all nodes.
	routesDelay = 3 * time.Second
	// unroutedTimeout is the time without a packet after which an unrouted flow is forgotten. It exceeds
	// the longest interval of retransmissions.
	unroutedTimeout = 5 * time.Second
	// maxUnrouted bounds the memory for unrouted flows, at some 50 bytes each.
	maxUnrouted = 8192
)

// UnroutedFlows decides about open flows whose route the table in force lacks. Such a flow has opened at a
// node that had the route: either the route was removed since, or the table here is older. The zero value
// is ready for use. Its methods are safe for concurrent use.
type UnroutedFlows struct {
	mu    sync.Mutex
	flows map[Flow]unroutedFlow
}

type unroutedFlow struct{ first, last time.Duration } // times of packets without a route

// Judge returns NotFound if the first packet of the flow without a route is older than routesDelay, so that
// a route added before the flow has opened would be in force here, else Unknown. It is called for each
// packet of the flow.
func (u *UnroutedFlows) Judge(now time.Duration, flow Flow) SearchResult {
	u.mu.Lock()
	defer u.mu.Unlock()
	f, ok := u.flows[flow]
	switch {
	case ok && now-f.last <= unroutedTimeout:
		f.last = now
	case !ok && len(u.flows) >= maxUnrouted:
		return Unknown
	default:
		f = unroutedFlow{now, now}
	}
	if u.flows == nil {
		u.flows = map[Flow]unroutedFlow{}
	}
	u.flows[flow] = f
	if now-f.first > routesDelay {
		return NotFound
	}
	return Unknown
}

// Expire removes the flows of which no packet has arrived for a while.
func (u *UnroutedFlows) Expire(now time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for flow, f := range u.flows {
		if now-f.last > unroutedTimeout {
			delete(u.flows, flow)
		}
	}
}
