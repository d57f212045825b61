package admission

import (
	"math"
	"time"
)

// demandTimeConstant is the time constant with which demand is forgotten. Bursts last 4 to 5 s: room
// that was kept for a higher priority is given up well within one.
const demandTimeConstant = 2 * time.Second

// Demand is the recent demand at a node from the view of one priority.
type Demand struct {
	// Higher is the demand of higher priorities, as a share of all requests that are admitted, 0 to 1.
	// A burst of lower priorities, most of which isn't admitted, doesn't change it.
	Higher    float64
	Admitted  float64 // share of the admitted requests that have this priority, 0 to 1
	Rate      float64 // admitted requests of this priority per second
	TotalRate float64 // admitted requests per second
}

// decayingCount is a number of events that decays exponentially with demandTimeConstant.
type decayingCount struct {
	sum float64
	at  time.Duration
}

func (d *decayingCount) value(now time.Duration) float64 {
	if now <= d.at {
		return d.sum
	}
	return d.sum * math.Exp(-float64(now-d.at)/float64(demandTimeConstant))
}

func (d *decayingCount) add(now time.Duration) { d.sum, d.at = d.value(now)+1, max(now, d.at) }

// class is the state of one priority of a service at a node.
type class struct {
	priority          int
	offered, admitted decayingCount
	fullSince         time.Duration // no target has had room since, while lastChecked is recent
	lastChecked       time.Duration // when the priority was last found to have no room, 0 if it has
}

// demandOf returns the demand from the view of a priority.
func demandOf(now time.Duration, classes []*class, priority int) Demand {
	var higher, admitted, own float64
	for _, c := range classes {
		admitted += c.admitted.value(now)
		switch {
		case c.priority < priority:
			higher += c.offered.value(now)
		case c.priority == priority:
			own = c.admitted.value(now)
		}
	}
	d := Demand{Rate: own / demandTimeConstant.Seconds(), TotalRate: admitted / demandTimeConstant.Seconds()}
	if admitted > 0 {
		d.Higher, d.Admitted = min(1, higher/admitted), own/admitted
	}
	return d
}
