package steering

import (
	"time"

	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/roster"
)

const (
	// OpenFlowLoad is the mean part of a slot that an open flow occupies after its first request. It
	// is assumed of targets whose agent doesn't report the measured one.
	OpenFlowLoad = 0.03
	// placedFlowLoad is the number of slots that a flow placed since the last heartbeat occupies:
	// it opens with a request.
	placedFlowLoad = 1
	// remotePenalty and coldPenalty are added to the load per slot of targets in another data
	// centre, unless a locality decision gives another penalty, and of targets that have just started.
	remotePenalty = 0.15
	coldPenalty   = 0.3
	// failingPenalty is added for a target that breaks off all of its requests, or leaves them
	// unanswered. A target that fails a third of them weighs as much as a full one.
	failingPenalty = 9
	// minRequestTimeShare is the least time that a request counts for, as a part of the pool's mean
	// request time. Without it, a target that fails its requests immediately looks idle and
	// attracts most of the new flows.
	minRequestTimeShare = 0.5
)

// Load returns the load per slot that a new flow of a caller in the data centre origin meets at a
// target. meanRequestTime is that of the target's pool.
func Load(now time.Duration, p *roster.Peer, origin ident.DataCentre, meanRequestTime time.Duration) float64 {
	load := loadWithoutWay(now, p, meanRequestTime)
	if p.DataCentre != origin {
		load += remotePenalty
	}
	return load
}

// loadWithoutWay returns Load without what is added for a target in another data centre.
func loadWithoutWay(now time.Duration, p *roster.Peer, meanRequestTime time.Duration) float64 {
	busy := max(p.Target.Busy, p.Target.Rate*minRequestTimeShare*meanRequestTime.Seconds())
	flowLoad := p.Target.FlowLoad
	if flowLoad == 0 {
		flowLoad = OpenFlowLoad
	}
	load := (busy + flowLoad*float64(p.Target.Flows) + placedFlowLoad*p.PlacedLoad(now)) /
		float64(max(p.Target.Slots, 1))
	load += failingPenalty * p.Target.Failing
	if p.Target.WarmingUp {
		load += coldPenalty
	}
	return load
}

// MeanRequestTime returns the mean time of a request in the pool. By Little's law it is the number
// of requests in progress divided by the request rate.
func MeanRequestTime(agents []roster.Peer) time.Duration {
	busy, rate := 0.0, 0.0
	for i := range agents {
		busy += agents[i].Target.Busy
		rate += agents[i].Target.Rate
	}
	return RequestTime(busy, rate)
}

// RequestTime returns the mean time of a request, given the requests in progress and the requests
// that begin per second. It is 0 if none begin.
func RequestTime(busy, rate float64) time.Duration {
	if rate == 0 {
		return 0
	}
	return time.Duration(busy / rate * float64(time.Second))
}

// MeanLoad returns the mean number of requests in progress per slot over the live agents, 0 if there
// are none. If some send heartbeats here themselves, only those count: loads that digests report may be
// seconds old.
func MeanLoad(now time.Duration, agents []roster.Peer) float64 {
	var recent, relayed meanLoad
	for i := range agents {
		p := &agents[i]
		switch {
		case p.Health(now) != roster.Live || p.Target.Ended:
		case p.ViaDigest:
			relayed.add(&p.Target)
		default:
			recent.add(&p.Target)
		}
	}
	if recent.slots > 0 {
		return recent.value()
	}
	return relayed.value()
}

type meanLoad struct {
	busy  float64
	slots int
}

func (m *meanLoad) add(t *roster.Target) {
	m.busy += t.Busy
	m.slots += t.Slots
}

func (m *meanLoad) value() float64 {
	if m.slots == 0 {
		return 0
	}
	return m.busy / float64(m.slots)
}
