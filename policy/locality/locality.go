// Package locality decides which part of the new flows of a data centre opens in other data centres.
// Traffic between data centres is slower and costs money, but a data centre's own targets are
// sometimes too few.
//
// Each node decides by itself, from the loads that it knows and from the share that it has sent so far.
// The same flows leave at all nodes with the same share, because the flow's hash selects them.
package locality

import (
	"math"
	"slices"
	"sync"
	"time"

	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/rendezvous"
	"lacewinglever.dev/policy/roster"
	"lacewinglever.dev/policy/steering"
)

const (
	// DefaultRoundTrip is assumed between data centres until the round trip is measured. It is that of
	// the slowest links in use.
	DefaultRoundTrip = 10 * time.Millisecond
	// priceOfBytes is the additional wait at home that is accepted to save bytes between data centres.
	// Waits are spread about exponentially: with a mean of 15 ms, one in a hundred exceeds 70 ms, a
	// quarter of the usual latency objectives of 250 to 300 ms.
	priceOfBytes = 15 * time.Millisecond
	// aimedPrice and returnPrice are the parts of priceOfBytes that the wait at home exceeds the wait
	// far away by while flows leave, and below which the decision to leave ends. The gaps between the
	// three are the hysteresis.
	aimedPrice  = 0.6
	returnPrice = 0.3
	// returnAfter is how long the wait at home must be below the limit before the decision ends. It is
	// longer than a digest is old.
	returnAfter = time.Second
	// updateInterval is the interval at which a decision is reconsidered. Loads change with
	// heartbeats, every 200 ms.
	updateInterval = 100 * time.Millisecond
	// maxPause is the time without an update after which a decision starts anew.
	maxPause = 5 * time.Second
	// rampUp and rampDown are the greatest changes of the share per second. Demand grows by a half
	// within seconds and lasts 4 to 5 s, so leaving may take one second. Coming back is slower, because
	// the load that it brings shows only in the next heartbeats.
	rampUp   = 0.5
	rampDown = 0.25
	// shareTimeConstant smooths small changes of the share: half of what the load of a few targets varies
	// by would otherwise show in it.
	shareTimeConstant = 500 * time.Millisecond
	// leak is the part of the share that is given up per second, less from a half on. Without it, the
	// shares of nodes with slightly different loads would drift apart for as long as flows leave.
	leak = 0.12
	// maxShare keeps some flows at home, by whose load the node sees when it has room again.
	maxShare = 0.95
	// minShare is the share below which no flow leaves.
	minShare = 0.01
	// farLoad is the load per slot up to which a data centre gets flows of others. It is below the
	// load at which its own flows begin to leave, from 0.8 on with requests of 20 to 30 ms, so that it
	// doesn't pass the burden on. farStop is the load from which it gets no more of them at all.
	farLoad = 0.75
	farStop = 0.9
	// freshness is the age by which the weight of a load falls to a third. In large fleets, digests report
	// a few targets of a data centre at a time; the latest show how busy it is, and the others may be
	// many seconds old.
	freshness = 500 * time.Millisecond
	// staleAfter is the age of a data centre's loads from which the room that they show isn't used.
	// Digests are up to a second old.
	staleAfter = 1100 * time.Millisecond
	// loadTimeConstant smooths the loads. Requests in progress vary by a sixth from one heartbeat to
	// the next in a pool of 30 slots.
	loadTimeConstant = 400 * time.Millisecond
	// measurementDelay is added to the age of a heartbeat: the load in it is a moving average.
	measurementDelay = 100 * time.Millisecond
	// rateTimeConstant is that with which agents smooth the rate of requests. The requests in service
	// are smoothed likewise, so that a burst doesn't look as if the work per request had grown.
	rateTimeConstant = 2 * time.Second
	// defaultRequestTime is assumed until requests were seen.
	defaultRequestTime = 25 * time.Millisecond
	// queueDrainTime is the time in which a queue at home is to be served: some four requests.
	queueDrainTime = 100 * time.Millisecond
	// sharedTargets is the number of targets that serve one queue in the approximation of the wait. A
	// flow chooses among three by loads that are a heartbeat old, which is worth less than three.
	sharedTargets = 2
	// maxUtilisation bounds the utilisation in that approximation, which is infinite at 1.
	maxUtilisation = 0.98
	// maxStates bounds the memory for decisions, at some 2 KB each. Agents decide for the callers of all
	// data centres.
	maxStates = 1024
	// maxPenalty bounds the requests per slot that a target elsewhere must be ahead by. Targets get no
	// new flows from 3 requests per slot on.
	maxPenalty = 2
)

// Input is what a decision depends on.
type Input struct {
	Service string
	Origin  ident.DataCentre // data centre of the callers
	Agents  []roster.Peer    // of the service
	// Excluded reports whether a data centre gets no new flows, nil if none is excluded.
	Excluded func(ident.DataCentre) bool
	// RoundTrip returns the round trip from Origin to another data centre.
	RoundTrip func(ident.DataCentre) time.Duration
}

// Reasons for a change of state.
const (
	ReasonNoTarget = "no target in the data centre"
	ReasonWait     = "shorter wait elsewhere"
	ReasonRoom     = "room in the data centre"
	ReasonFull     = "no room elsewhere"
)

// Decision is the state of one service for the callers of one data centre.
type Decision struct {
	Leaving bool
	// Share is the part of the new flows that leaves, Limit the part that may leave: those between open
	// elsewhere only if they are served sooner there than at the first targets of their rank.
	Share, Limit float64
	Destinations []steering.Destination
	Reason       string        // of the last change of Leaving
	HomeWait     time.Duration // expected wait for a slot in the data centre
	FarWait      time.Duration // the shortest one elsewhere, without the way there
}

// flowSalt makes the part of a flow independent from other choices by its hash.
const flowSalt = 0x6c6f63616c697479

// Locality returns the placement of a flow with this hash.
func (d *Decision) Locality(flow uint64) steering.Locality {
	l := steering.Locality{Reach: steering.ReachHome, Destinations: d.Destinations}
	if len(d.Destinations) == 0 {
		return l
	}
	switch part := float64(rendezvous.Hash(flow, flowSalt)>>11) / (1 << 53); {
	case part < d.Share:
		l.Reach = steering.ReachRemote
	case part < d.Limit:
		l.Reach = steering.ReachEither
	}
	return l
}

// Table holds a node's decisions. The zero value is ready for use. Its methods are safe for concurrent
// use.
type Table struct {
	mu     sync.Mutex
	states map[key]*state
}

type key struct {
	service string
	origin  ident.DataCentre
}

// Decide returns the decision in force at the time now, and whether Leaving has changed.
func (t *Table) Decide(now time.Duration, in Input) (Decision, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := key{in.Service, in.Origin}
	s := t.states[k]
	if s == nil || now-s.updated > maxPause {
		t.makeRoom(now)
		wasLeaving := s != nil && s.Leaving
		s = &state{Decision: Decision{Leaving: wasLeaving}, sites: map[ident.DataCentre]*site{}, updated: now - updateInterval}
		t.states[k] = s
	}
	if now-s.updated < updateInterval {
		return s.Decision, false
	}
	before := s.Leaving
	s.update(now, in)
	return s.Decision, s.Leaving != before
}

// makeRoom forgets the decisions that were not asked for lately if there are too many.
func (t *Table) makeRoom(now time.Duration) {
	if t.states == nil {
		t.states = map[key]*state{}
	}
	if len(t.states) < maxStates {
		return
	}
	for k, s := range t.states {
		if now-s.updated > maxPause {
			delete(t.states, k)
		}
	}
}

// Share returns the share that leaves, 0 if there was no decision lately.
func (t *Table) Share(now time.Duration, service string, origin ident.DataCentre) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.states[key{service, origin}]; s != nil && now-s.updated <= maxPause {
		return s.Share
	}
	return 0
}

// state is a decision with what the next one depends on.
type state struct {
	Decision
	updated     time.Duration
	sites       map[ident.DataCentre]*site
	centres     []ident.DataCentre // those of sites, sorted: sums must not depend on the order of a map
	inService   float64            // requests in service, smoothed as long as agents smooth the rate of requests
	requestTime float64            // seconds that a target works on a request; 0 if unknown
	roomSince   time.Duration
	emptySince  time.Duration // since when no target of the data centre is heard of although some may run; 0 if one is
	beforeEmpty struct {      // Share and Leaving at that time
		share   float64
		leaving bool
	}
	history     [historyLength]float64 // shares of the last updates, the latest at the index historyNext-1
	historyNext int
}

// historyLength is the number of updates of which the share is known: more than loads are old.
const historyLength = 30

// site is what a node knows of the targets of one data centre.
type site struct {
	slots, targets int
	silent         int // targets that may accept flows, but haven't been heard of lately
	sums           sums
	age            time.Duration // mean age of the loads, the fresh ones having more weight
	known          bool          // utilisation, queue and share are set
	utilisation    float64       // requests in service per slot, smoothed
	queue          float64       // requests per slot that wait for one, smoothed
	share          float64       // that left when the loads were measured, smoothed likewise
}

// sums are totals over the targets of a data centre at the time of an update, weighted by freshness.
type sums struct{ inService, queued, slots, weight, age float64 }

// update reconsiders the decision.
func (s *state) update(now time.Duration, in Input) {
	elapsed := now - s.updated
	s.updated = now
	s.measure(now, elapsed, in)
	home := s.sites[in.Origin]
	s.Destinations = s.Destinations[:0:0] // placements may still use the ones before
	if home.slots == 0 {
		s.leaveEntirely(now, in)
		return
	}
	// Heartbeats that were late, at a node that has just started or was frozen, say nothing about the room at home.
	if s.emptySince != 0 && now-s.emptySince < returnAfter {
		s.Share, s.Leaving = s.beforeEmpty.share, s.beforeEmpty.leaving
	}
	s.emptySince = 0
	work := s.workTime()
	s.HomeWait = home.wait(work)
	cheapest, room, foreign := s.assessOthers(in, work)
	s.FarWait = max(0, cheapest)
	goal := 0.0
	s.Limit = 0
	if len(s.Destinations) > 0 {
		homeShare := max(1-home.share, 1-maxShare)
		aim := utilisationOf(cheapest+scale(priceOfBytes, aimedPrice), work, home.servers())
		load := max(home.load(work, aim), minShare)
		goal = 1 - aim*homeShare/load
		s.Limit = min(max(foreign+room*homeShare/(load*float64(home.slots)), 0), maxShare)
	}
	s.decide(now, cheapest, home)
	if !s.Leaving {
		goal = 0
	}
	goal = min(max(goal, 0), s.Limit)
	up, down := rampUp*elapsed.Seconds(), rampDown*elapsed.Seconds()
	correction := (goal - s.Share) * (1 - math.Exp(-elapsed.Seconds()/shareTimeConstant.Seconds()))
	s.Share += min(max(correction, -down), up)
	s.Share -= s.Share * min(1, 2*(1-s.Share)) * leak * elapsed.Seconds()
	if s.Share < minShare && goal < minShare {
		s.Share = 0
	}
	s.remember(s.Share)
}

// decide updates Leaving. cheapest is the shortest wait elsewhere, with the way there.
func (s *state) decide(now time.Duration, cheapest time.Duration, home *site) {
	hasRoom := s.HomeWait < cheapest+scale(priceOfBytes, returnPrice)
	if !hasRoom || s.roomSince == 0 {
		s.roomSince = now
	}
	switch {
	case !s.Leaving && len(s.Destinations) > 0 && s.Limit >= minShare && s.HomeWait > cheapest+priceOfBytes:
		s.Leaving, s.Reason = true, ReasonWait
	case s.Leaving && s.Share == 0 && len(s.Destinations) == 0:
		s.Leaving, s.Reason = false, ReasonFull
	case s.Leaving && s.Share == 0 && now-s.roomSince >= returnAfter:
		s.Leaving, s.Reason = false, ReasonRoom
	}
}

// leaveEntirely sends all flows to the data centres that have targets, if any has.
func (s *state) leaveEntirely(now time.Duration, in Input) {
	if s.emptySince == 0 && s.sites[in.Origin].silent > 0 {
		s.emptySince = now
		s.beforeEmpty.share, s.beforeEmpty.leaving = s.Share, s.Leaving
	}
	for _, dc := range s.centres {
		if s.sites[dc].slots > 0 {
			s.Destinations = append(s.Destinations, steering.Destination{DataCentre: dc})
		}
	}
	s.Share, s.Limit = 1, 1
	if !s.Leaving {
		s.Leaving, s.Reason = true, ReasonNoTarget
	}
	s.HomeWait, s.FarWait, s.roomSince = 0, 0, 0
	s.remember(1)
}

// assessOthers sets Destinations. It returns the shortest wait elsewhere, with the way there, the slots
// that may be used in addition, and the share that left when their load was measured.
func (s *state) assessOthers(in Input, work float64) (cheapest time.Duration, room, foreign float64) {
	type offer struct {
		dc         ident.DataCentre
		cost, way  time.Duration
		free       float64
		slots      int
		shareThere float64
	}
	var offers []offer
	cheapest = time.Hour
	for _, dc := range s.centres {
		site := s.sites[dc]
		load := site.load(work, farLoad)
		free := (farLoad - load) * float64(site.slots)
		if site.age > staleAfter {
			free = min(free, 0)
		}
		if dc == in.Origin || site.slots == 0 || load >= farStop || !s.Leaving && free <= 0 {
			continue
		}
		way := DefaultRoundTrip
		if in.RoundTrip != nil {
			way = in.RoundTrip(dc)
		}
		o := offer{dc, site.wait(work) + way, way, free, site.slots, site.share}
		cheapest = min(cheapest, o.cost)
		offers = append(offers, o)
	}
	slots := 0
	for _, o := range offers {
		if o.cost > cheapest+priceOfBytes {
			continue
		}
		s.Destinations = append(s.Destinations, steering.Destination{
			DataCentre: o.dc, Penalty: min((o.way+priceOfBytes).Seconds()/work, maxPenalty),
		})
		room += o.free / s.senders(in.Origin, o.dc, work)
		foreign += o.shareThere * float64(o.slots)
		slots += o.slots
	}
	return cheapest, room, foreign / float64(max(slots, 1))
}

// senders returns the number of data centres that may send flows to one now: the origin, and the others
// that are short themselves.
func (s *state) senders(origin, to ident.DataCentre, work float64) float64 {
	n := 1.0
	for _, dc := range s.centres {
		site := s.sites[dc]
		if dc != origin && dc != to && (site.slots == 0 || site.load(work, farLoad) > farLoad) {
			n++
		}
	}
	return n
}

// siteOf returns the site of a data centre, which is added if it is new.
func (s *state) siteOf(dc ident.DataCentre) *site {
	if at := s.sites[dc]; at != nil {
		return at
	}
	at := &site{}
	s.sites[dc] = at
	s.centres = append(s.centres, dc)
	slices.Sort(s.centres)
	return at
}

// measure updates the sites by the agents' last heartbeats.
func (s *state) measure(now, elapsed time.Duration, in Input) {
	for _, site := range s.sites {
		site.slots, site.targets, site.silent, site.sums = 0, 0, 0, sums{}
	}
	s.siteOf(in.Origin)
	inService, rate := 0.0, 0.0
	for i := range in.Agents {
		p := &in.Agents[i]
		at := s.siteOf(p.DataCentre)
		if in.Excluded != nil && in.Excluded(p.DataCentre) {
			continue
		}
		if !steering.AcceptsNewFlows(p, now) {
			if !p.Leaving && (!p.HeartbeatSeen || p.Target.Accepting) {
				at.silent++
			}
			continue
		}
		slots := max(p.Target.Slots, 1)
		busy, age := min(p.Target.Busy, float64(slots)), now-p.LastSeen
		weight := math.Exp(-float64(age) / float64(freshness))
		at.targets++
		at.slots += slots
		at.sums.inService += weight * busy
		at.sums.queued += weight * (p.Target.Busy - busy)
		at.sums.slots += weight * float64(slots)
		at.sums.weight += weight
		at.sums.age += weight * age.Seconds()
		inService += busy
		rate += p.Target.Rate
	}
	s.inService = smooth(s.inService, inService, elapsed, rateTimeConstant, s.inService > 0)
	if rate > 0 {
		s.requestTime = s.inService / rate
	}
	for _, site := range s.sites {
		site.smooth(elapsed, s.shareAt)
	}
}

// smooth updates the smoothed values by the sums.
func (a *site) smooth(elapsed time.Duration, shareAt func(time.Duration) float64) {
	if a.slots == 0 {
		a.known = false
		return
	}
	a.age = seconds(a.sums.age / a.sums.weight)
	a.utilisation = smooth(a.utilisation, a.sums.inService/a.sums.slots, elapsed, loadTimeConstant, a.known)
	a.queue = smooth(a.queue, a.sums.queued/a.sums.slots, elapsed, loadTimeConstant, a.known)
	a.share = smooth(a.share, shareAt(a.age+measurementDelay), elapsed, loadTimeConstant, a.known)
	a.known = true
}

// smooth returns the exponential moving average of a value after it was x for the elapsed time. known is
// whether there is a value before.
func smooth(before, x float64, elapsed, constant time.Duration, known bool) float64 {
	if !known {
		return x
	}
	return x + (before-x)*math.Exp(-float64(elapsed)/float64(constant))
}

func (s *state) remember(share float64) {
	s.history[s.historyNext%historyLength] = share
	s.historyNext++
}

// shareAt returns the share of that long ago.
func (s *state) shareAt(age time.Duration) float64 {
	back := min(int((age+updateInterval/2)/updateInterval), historyLength-1)
	if i := s.historyNext - 1 - back; i >= 0 {
		return s.history[i%historyLength]
	}
	return 0
}

// workTime returns the seconds that a target works on a request.
func (s *state) workTime() float64 {
	if s.requestTime > 0 {
		return s.requestTime
	}
	return defaultRequestTime.Seconds()
}

// servers returns the number of slots that serve one queue.
func (a *site) servers() float64 {
	return float64(sharedTargets*a.slots) / float64(max(a.targets, 1))
}

// wait returns the time that a new request waits for a slot: the longer one of what the utilisation lets
// expect and, by Little's law, of what the queue shows.
func (a *site) wait(work float64) time.Duration {
	shown := a.queue / max(a.utilisation, 1-maxUtilisation)
	return seconds(work * max(expectedWait(a.utilisation, a.servers()), shown))
}

// load returns the demand per slot: the requests in service and, of a longer queue than there is at the
// aimed utilisation, what is to be served in addition.
func (a *site) load(work, aim float64) float64 {
	excess := max(0, a.queue-aim*expectedWait(aim, a.servers()))
	return a.utilisation + excess*work/queueDrainTime.Seconds()
}

// expectedWait returns the mean wait in a queue with that many servers, in requests, by Sakasegawa's
// approximation.
func expectedWait(utilisation, servers float64) float64 {
	u := min(max(utilisation, 0), maxUtilisation)
	return math.Pow(u, math.Sqrt(2*(servers+1))-1) / (servers * (1 - u))
}

// utilisationOf returns the utilisation at which a new request waits for that long.
func utilisationOf(wait time.Duration, work, servers float64) float64 {
	low, high := 0.0, maxUtilisation
	const halvings = 12 // to a thousandth
	for range halvings {
		if middle := (low + high) / 2; work*expectedWait(middle, servers) < wait.Seconds() {
			low = middle
		} else {
			high = middle
		}
	}
	return low
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func scale(d time.Duration, by float64) time.Duration { return time.Duration(float64(d) * by) }
