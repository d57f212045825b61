package flows

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"lacewinglever.dev/platform/platformtest"
)

const (
	// evacuationBound is the time after a confirmed request from which a data centre gets no new flow, in force until
	// the withdrawal. Request and flow have their times from one clock, so that no slack is needed.
	evacuationBound = 5 * time.Second
	// touchSlack is the time after the end of a node's fault in which its flows aren't checked, for the precision of the
	// timestamps: the proxies and signals end a fault later than they are told.
	touchSlack = 200 * time.Millisecond
	// historyGrace is the additional time for evacuations after the store has forgotten its history.
	historyGrace = 15 * time.Second
	// addedSpacing is the mean time between two faults of addFaults. They last some seconds, and more at a time would
	// leave too few targets well.
	addedSpacing = 2 * time.Second
	// slowFactor is the factor by which the disturbances of section 1 slow a target down.
	slowFactor = 5
	// kindBulk is the kind of the requests of the lowest priority. bulkRequestTime is their processing time: bursts of
	// few flows fill the slots of the service then.
	kindBulk        = "bulk"
	bulkRequestTime = 150 * time.Millisecond
	lowestPriority  = 2
	// highObjective is the latency objective of the requests of the highest priority, that of updates in section 1.
	highObjective = 300 * time.Millisecond
	// lowestBurst and highestBurst bound a burst, as a multiple of the rate that the slots of a service serve.
	lowestBurst, highestBurst = 1.6, 2.6
	burstTime                 = 4 * time.Second
)

// requestTimeOf returns the processing time of a request at the targets.
func requestTimeOf(id string) time.Duration {
	if strings.HasPrefix(id, kindBulk) {
		return bulkRequestTime
	}
	return targetRequestTime
}

// evacuation is a request to evacuate a data centre.
type evacuation struct {
	zone      int
	requested time.Time // the store's confirmation
	withdrawn time.Time // zero until then
	used      bool      // a flow has opened there since the withdrawal
}

// addFaults starts the faults that options add. They have a random source of their own, so that the other faults of a
// seed don't depend on them.
func (s *soak) addFaults() {
	var kinds []func(*rand.Rand)
	if s.options.Evacuations {
		kinds = append(kinds, s.evacuate)
	}
	if s.options.BadTargets {
		kinds = append(kinds, s.disturbTarget)
	}
	if s.options.ScarceRoom {
		kinds = append(kinds, func(r *rand.Rand) {
			load := lowestBurst + (highestBurst-lowestBurst)*r.Float64()
			s.running.Go(func() { s.burst(load) })
		})
	}
	if len(kinds) == 0 {
		return
	}
	r := rand.New(rand.NewPCG(s.options.Seed, 2))
	first := r.IntN(len(kinds)) // each kind in turn, so that short runs have all of them
	for i, end := first, time.Now().Add(s.options.Faults); time.Now().Before(end); i++ {
		kinds[i%len(kinds)](r)
		time.Sleep(durationOf(r, 0, 2*addedSpacing))
	}
}

// durationOf draws a time from low to high.
func durationOf(r *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(r.Int64N(int64(high-low)))
}

// evacuate evacuates a data centre for a time, unless one is evacuated.
func (s *soak) evacuate(r *rand.Rand) {
	zone, d := r.IntN(s.options.Cluster.Zones), durationOf(r, 3*time.Second, 8*time.Second)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.evacuated != "" {
		return
	}
	s.evacuated = fmt.Sprint("dc-", zone)
	s.logf("%s is evacuated for %v", s.evacuated, d)
	s.cluster.Store.Evacuate(s.evacuated)
	e := &evacuation{zone: zone, requested: time.Now()}
	s.load.recordEvacuation(e)
	s.runAfter(d, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.logf("evacuation of %s is withdrawn", s.evacuated)
		s.load.recordWithdrawal(e)
		s.cluster.Store.Withdraw(s.evacuated)
		s.evacuated = ""
	})
}

// writeEvacuation writes the operator's request again after a restore of the store, or withdraws those of an older copy.
// The caller holds the lock.
func (s *soak) writeEvacuation() {
	for zone := range s.options.Cluster.Zones {
		if name := fmt.Sprint("dc-", zone); name == s.evacuated {
			s.cluster.Store.Evacuate(name)
		} else {
			s.cluster.Store.Withdraw(name)
		}
	}
}

// disturbTarget makes a target slow or mute for a time. Its agent is well.
func (s *soak) disturbTarget(r *rand.Rand) {
	agents := s.cluster.currentAgents()
	n, mute, d := agents[r.IntN(len(agents))], r.IntN(2) == 0, durationOf(r, 2*time.Second, 5*time.Second)
	t, _ := s.cluster.Target(n)
	s.logf("target beside %s is slow (mute %v) for %v", n.Name, mute, d)
	s.load.recordTargetDisturbance(time.Now().Add(d), n)
	if mute {
		t.SetMute(true)
	} else {
		t.SetSlow(slowFactor)
	}
	s.runAfter(d, func() {
		t.SetMute(false)
		t.SetSlow(1)
	})
}

// addPriorities adds a route of the lowest priority to service b, and gives that of the reports the highest one.
func (s *soak) addPriorities() {
	s.routes[1].ObjectiveMS, s.routes[1].TimeoutMS = int(highObjective.Milliseconds()), int(commandTimeout.Milliseconds())
	s.routes = append(s.routes, platformtest.Route{Name: "low", Host: addressLow.Addr().String(), Port: int(addressLow.Port()),
		Service: "b", ObjectiveMS: 800, TimeoutMS: 4000, Priority: lowestPriority})
}

// burst opens flows of the lowest priority to service b for burstTime, with a request on each. load is the rate as a
// multiple of what the slots of the service serve.
func (s *soak) burst(load float64) {
	slots := targetSlots * len(s.ofService(s.cluster.currentAgents(), "b"))
	if slots == 0 {
		return
	}
	gap := time.Duration(float64(bulkRequestTime) / (load * float64(slots)))
	s.logf("a burst of %.2f times the room of service b for %v", load, burstTime)
	var requests sync.WaitGroup
	defer requests.Wait()
	l := s.load
	ticks := time.NewTicker(gap)
	defer ticks.Stop()
	for i, end := 0, time.Now().Add(burstTime); time.Now().Before(end); i++ {
		<-ticks.C
		requests.Go(func() {
			id, begun := l.newRequestID(kindBulk), time.Now()
			flow := l.callers[i%len(l.callers)].Open(addressLow)
			if flow == nil {
				l.recordResult(kindBulk, begun, false, id+" "+string(platformtest.NotOpened))
				return
			}
			node, holder := l.holderOf(flow.ID)
			outcome, _, _ := flow.Request(id, 4*time.Second)
			l.checkOutcome(id, flow, outcome, node, holder)
			l.recordResult(kindBulk, begun, outcome == platformtest.Answered, id+" "+string(outcome))
			flow.Close()
		})
	}
}

// checkHighestPriority checks that the requests of the highest priority were answered during a burst of the lowest one,
// after the callers have stopped. The burst follows the recovery: with all targets well, the requests of the highest
// priority alone leave room.
func (s *soak) checkHighestPriority(begun time.Time) {
	end := begun.Add(burstTime)
	ok, total, bulk, bulkOK, inTime := 0, 0, 0, 0, 0
	s.load.mu.Lock()
	for _, r := range s.load.results {
		switch {
		case r.begun.Before(begun) || r.begun.After(end):
		case r.kind == kindBulk:
			bulk++
			if r.ok {
				bulkOK++
			}
		case r.kind == "report":
			total++
			if r.ok {
				ok++
				if r.at.Sub(r.begun) <= highObjective {
					inTime++
				}
			}
		}
	}
	s.load.mu.Unlock()
	s.logf("burst: %d of %d requests of the highest priority answered, %d within %v, %d of %d of the lowest",
		ok, total, inTime, highObjective, bulkOK, bulk)
	if float64(ok) < minServedShare*float64(total) || total == 0 {
		s.load.RecordViolation("only %d of %d requests of the highest priority answered during a burst of the lowest", ok, total)
	}
}

// checkReturned checks that flows have opened in each data centre after its evacuation was withdrawn.
func (s *soak) checkReturned() {
	hasTargets := map[int]bool{}
	for _, n := range s.cluster.currentAgents() {
		hasTargets[n.Zone] = true
	}
	s.load.mu.Lock()
	var unused []int
	for _, e := range s.load.evacuations {
		if !e.used && hasTargets[e.zone] {
			unused = append(unused, e.zone)
		}
	}
	s.load.mu.Unlock()
	for _, zone := range unused {
		s.load.RecordViolation("no flow has opened in dc-%d since its evacuation was withdrawn", zone)
	}
}

// RecordOutOfTouch records that a node doesn't run, or has no path to the store, until the given time. Planned
// restarts are not recorded: an agent that starts must know the evacuations before its first flow.
func (l *Load) RecordOutOfTouch(until time.Time, nodes ...*Node) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, n := range nodes {
		if until.After(l.outOfTouchUntil[n]) {
			l.outOfTouchUntil[n] = until
		}
	}
}

// recordHistoryLoss records that the store has lost its history, or what was written, until the given time.
func (l *Load) recordHistoryLoss(until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if until.After(l.historyLostUntil) {
		l.historyLostUntil = until
	}
}

// recordTargetDisturbance records that the target beside a node is disturbed, and its agent isn't.
func (l *Load) recordTargetDisturbance(until time.Time, n *Node) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if until.After(l.targetDisturbedUntil[n]) {
		l.targetDisturbedUntil[n] = until
	}
}

func (l *Load) recordEvacuation(e *evacuation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.evacuations = append(l.evacuations, e)
}

func (l *Load) recordWithdrawal(e *evacuation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e.withdrawn = time.Now()
}

// checkEvacuated checks the flow of a request that runs against the evacuations. The rule applies to nodes that are in
// touch. A store that was down, slow or lost answers gets the whole bound from the end of that.
func (l *Load) checkEvacuated(r platformtest.Run) {
	agents := l.cluster.currentAgents()
	i := slices.IndexFunc(agents, func(n *Node) bool {
		t, _ := l.cluster.Target(n)
		return t.ID() == r.Target
	})
	if i < 0 {
		return
	}
	node := agents[i]
	l.mu.Lock()
	var late time.Duration
	for _, e := range l.evacuations {
		switch {
		case e.zone != node.Zone:
		case !e.withdrawn.IsZero() && r.Opened.After(e.withdrawn):
			e.used = true
		case r.Opened.Sub(e.requested) > evacuationBound && r.Opened.Sub(l.disturbedUntil[nil]) > evacuationBound &&
			r.Opened.Sub(l.historyLostUntil) > evacuationBound+historyGrace && r.Opened.Sub(l.outOfTouchUntil[node]) > touchSlack:
			late = r.Opened.Sub(e.requested)
		}
	}
	l.mu.Unlock()
	if late > 0 {
		l.RecordViolation("%s ran on a flow that %s beside %s accepted %v after the evacuation of dc-%d was requested",
			r.ID, r.Target, node.Name, late, node.Zone)
	}
}
