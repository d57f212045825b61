package steering

import (
	"time"

	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/roster"
)

const (
	// flowLoad is the part of a slot that an open flow takes in the mean, between its requests.
	flowLoad = 0.03
	// placedLoad is the part of a slot that a flow placed since the last heartbeat takes: it opens with a request.
	placedLoad = 1
	// farLoad and coldLoad are added to the load per slot of targets in another data centre, and of targets that have just started.
	farLoad  = 0.15
	coldLoad = 0.3
	// failingLoad is added for a target that breaks off all of its requests. One that breaks off a third weighs as much as a full one.
	failingLoad = 9
	// quickest is the part of the pool's mean time of a request that a request counts for at least. A target that fails its requests at once is
	// idle, and would get most of the new flows.
	quickest = 0.5
)

// Load returns the load per slot that a new flow of a caller in the data centre origin would meet at a target of a pool where requests take typical in
// the mean.
func Load(now time.Duration, p *roster.Peer, origin ident.DataCentre, typical time.Duration) float64 {
	busy := max(p.Target.Busy, p.Target.Rate*quickest*typical.Seconds())
	load := (busy + flowLoad*float64(p.Target.Flows) + placedLoad*p.PlacedLoad(now)) / float64(max(p.Target.Slots, 1))
	load += failingLoad * p.Target.Failing
	if p.DataCentre != origin {
		load += farLoad
	}
	if p.Target.WarmingUp {
		load += coldLoad
	}
	return load
}

// MeanRequestTime returns the mean time of a request in the pool: by Little's law, requests in progress over requests a second.
func MeanRequestTime(agents []roster.Peer) time.Duration {
	busy, rate := 0.0, 0.0
	for i := range agents {
		busy += agents[i].Target.Busy
		rate += agents[i].Target.Rate
	}
	return RequestTime(busy, rate)
}

// RequestTime returns the mean time of a request where busy are in progress and rate a second begin, 0 if none do.
func RequestTime(busy, rate float64) time.Duration {
	if rate == 0 {
		return 0
	}
	return time.Duration(busy / rate * float64(time.Second))
}

// MeanLoad returns the mean number of requests in progress a slot of the live agents, 0 if there are none.
func MeanLoad(now time.Duration, agents []roster.Peer) float64 {
	busy, slots := 0.0, 0
	for i := range agents {
		if p := &agents[i]; p.Health(now) == roster.Live && !p.Target.Ended {
			busy += p.Target.Busy
			slots += p.Target.Slots
		}
	}
	if slots == 0 {
		return 0
	}
	return busy / float64(slots)
}
