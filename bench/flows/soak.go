package flows

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"lacewinglever.dev/platform/platformtest"
)

// SoakOptions describe one run of the fault soak.
type SoakOptions struct {
	Cluster Options
	Seed    uint64
	Faults  time.Duration // how long faults are injected
	Callers int
	// Churn adds work that changes the instances: growth, releases at new addresses, rolls.
	Churn bool
	// Evacuations, BadTargets and ScarceRoom add evacuations of data centres, targets that are slow or mute, and bursts of
	// callers of the lowest priority. They are drawn from a random source of their own.
	Evacuations, BadTargets, ScarceRoom bool
	// Spacing is the mean time between two faults, defaultSpacing if it is 0.
	Spacing time.Duration
	Log     io.Writer // receives a line per fault
}

const (
	warmUp         = 3 * time.Second
	defaultSpacing = 450 * time.Millisecond
	// recoveryTime is the time after the last fault until callers must be served again.
	recoveryTime = 8 * time.Second
	// servedWindow is the time after recoveryTime in which the share of served requests is
	// measured.
	servedWindow = 2 * time.Second
	// maxEntriesAway is more than the time for which overlapping restarts take all entries away.
	maxEntriesAway = 15 * time.Second
	// minServedShare is the share of requests that must be answered in servedWindow. By then
	// crashed targets are replaced and no fault is active.
	minServedShare = 0.99
)

// faultKind is a kind of fault or of planned work.
type faultKind uint8

const (
	killOne faultKind = iota
	killMany
	freezeOne
	failStore
	restoreStore
	degradeLink
	crashOne
	restartEntry
	restartAgent
	hangup
	drainOne
	changeSettings
	resizeService
	releaseService
	rollNodes
	loseInstance
	changeWeights
)

// plannedWorkEvery is the divisor of the seeds that have planned work only. Some guarantees hold
// for undisturbed instances only; planned work doesn't suspend them, so these runs check them all
// the time.
const plannedWorkEvery = 3

// Kinds to draw from. A kind that is listed more than once is drawn more often.
var (
	plannedWork = []faultKind{restartEntry, restartAgent, hangup, drainOne, changeSettings, changeSettings}
	anyFault    = append([]faultKind{
		killOne, killOne, freezeOne, freezeOne, failStore, failStore, restoreStore, restoreStore, degradeLink, degradeLink,
		crashOne, crashOne, killMany,
	}, plannedWork...)
	plannedChurn = append([]faultKind{
		resizeService, resizeService, releaseService, releaseService, rollNodes, rollNodes, changeWeights,
	}, plannedWork...)
	instanceFaults = append([]faultKind{
		killOne, killOne, freezeOne, freezeOne, degradeLink, crashOne, crashOne, loseInstance, killMany,
	}, plannedChurn...)
)

// storeFaultsIn is the remainder of plannedWorkEvery of the seeds with faults of the store, if instances
// are changed too. The other seeds show what is suspended while the store is disturbed.
const storeFaultsIn = 1

// soak is one run of the fault soak.
type soak struct {
	options SoakOptions
	rand    *rand.Rand
	cluster *Cluster
	load    *Load
	running sync.WaitGroup

	mu            sync.Mutex
	busy          map[*Node]bool // nodes with a fault in progress
	routesVersion int
	routes        []platformtest.Route // those with traffic first
	removed       []platformtest.Route
	evacuated     string // data centre whose evacuation is requested, empty if none is
	permanent     int    // number of routes with traffic, which are never removed

	storeCopy  platformtest.StoreCopy // to which the store is restored
	changesDue int                    // changes of the routes that come before the next fault
	instances  atomic.Int32           // added so far
}

var soakServices = []string{"a", "b"}

// Soak runs the programs under faults drawn from the seed and returns the violated guarantees.
func Soak(o SoakOptions) ([]string, error) {
	l := NewLoad()
	o.Cluster.OnPacket = NewFlowJudge(l.OnMisdirected).RecordPacket
	if o.Evacuations {
		o.Cluster.EvacuateWithin = evacuationBound
	}
	if o.Spacing == 0 {
		o.Spacing = defaultSpacing
	}
	c, err := Start(o.Cluster, l.OnRun, l.OnAltered)
	if c != nil {
		defer c.Close()
	}
	if err != nil {
		return nil, err
	}
	s := &soak{options: o, rand: rand.New(rand.NewPCG(o.Seed, 1)), cluster: c, load: l, busy: map[*Node]bool{},
		routesVersion: 1}
	s.routes = []platformtest.Route{
		{Name: "a", Host: addressA.Addr().String(), Port: int(addressA.Port()), Service: "a"},
		{Name: "b", Host: addressB.Addr().String(), Port: int(addressB.Port()), Service: "b"},
	}
	if o.ScarceRoom {
		s.addPriorities()
	}
	if o.Churn {
		l.idleTo = addressSplit
		s.routes = append(s.routes, splitRoute(0.5))
	}
	s.permanent = len(s.routes)
	s.putRoutes()
	s.storeCopy = c.Store.Copy()
	time.Sleep(warmUp)
	if err := l.Start(c, o.Callers); err != nil {
		return nil, err
	}
	time.Sleep(time.Second)
	s.running.Go(s.addFaults)
	for end := time.Now().Add(o.Faults); time.Now().Before(end); {
		s.copyStore()
		s.startFault()
		time.Sleep(time.Duration(s.rand.IntN(int(2*o.Spacing.Milliseconds()))) * time.Millisecond)
	}
	s.running.Wait()
	s.logf("no more faults; waiting for the recovery")
	time.Sleep(recoveryTime)
	windowStart := time.Now()
	time.Sleep(servedWindow)
	s.checkStoredState()
	s.checkReturned()
	var burstBegun time.Time
	if o.ScarceRoom {
		burstBegun = time.Now()
		s.burst(highestBurst)
	}
	l.Stop()
	if o.ScarceRoom {
		s.checkHighestPriority(burstBegun)
	}
	share, total, unanswered := l.ServedShare(windowStart)
	if share < minServedShare {
		l.RecordViolation("only %.3f of %d requests answered after the recovery: %s", share, total,
			strings.Join(unanswered, ", "))
	}
	for _, n := range c.Nodes() {
		if n.UnexpectedExits() > 0 {
			l.RecordViolation("%s exited unexpectedly %d times", n.Name, n.UnexpectedExits())
		}
	}
	s.logf("%d resets or misdirections of living flows not counted", l.Excused())
	return l.Violations(), nil
}

func (s *soak) logf(format string, args ...any) {
	fmt.Fprintf(s.options.Log, "%s seed %d: %s\n", time.Now().Format("15:04:05.000"), s.options.Seed,
		fmt.Sprintf(format, args...))
}

func (s *soak) putRoutes() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.routesVersion += 1 + s.rand.IntN(5)
	s.cluster.Store.PutRoutes(s.routesVersion, soakServices, s.routes)
}

// reserve picks a random node for a fault. It returns nil if the node has a fault in progress: two
// faults on one node could cancel each other.
func (s *soak) reserve(nodes []*Node) *Node {
	return s.reserveNode(nodes[s.rand.IntN(len(nodes))])
}

// reserveNode reserves a node for a fault, or returns nil.
func (s *soak) reserveNode(n *Node) *Node {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy[n] {
		return nil
	}
	s.busy[n] = true
	return n
}

func (s *soak) release(n *Node) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.busy, n)
}

// runAfter runs a later step of a fault. Soak waits for it.
func (s *soak) runAfter(d time.Duration, f func()) {
	s.running.Go(func() {
		time.Sleep(d)
		f()
	})
}

func (s *soak) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(s.rand.Int64N(int64(high-low)))
}

// startFault starts a random fault. Faults may overlap.
func (s *soak) startFault() {
	if s.changesDue > 0 {
		s.changesDue--
		s.changeRoutes()
		return
	}
	all := s.cluster.Nodes()
	kinds, work := anyFault, plannedWork
	if s.options.Churn {
		kinds, work = instanceFaults, plannedChurn
		if s.options.Seed%plannedWorkEvery == storeFaultsIn {
			kinds = append(slices.Clone(kinds), anyFault...)
		}
	}
	if s.options.Seed%plannedWorkEvery == 0 {
		kinds = work
	}
	agents := s.cluster.currentAgents()
	switch kinds[s.rand.IntN(len(kinds))] {
	case killOne:
		s.killNode(s.reserve(all), s.randomDuration(100*time.Millisecond, 2*time.Second))
	case restartEntry:
		s.restartNode(s.reserve(s.cluster.Entries), s.restartTime())
	case restartAgent:
		s.restartNode(s.reserve(agents), s.restartTime())
	case freezeOne:
		s.freezeNode(s.reserve(all), s.randomDuration(300*time.Millisecond, 3*time.Second), s.options.Churn && s.rand.IntN(2) == 0)
	case hangup:
		n := all[s.rand.IntN(len(all))]
		s.logf("SIGHUP to %s", n.Name)
		n.Signal(syscall.SIGHUP)
	case failStore:
		s.failStoreFor(s.randomDuration(500*time.Millisecond, 4*time.Second))
	case restoreStore:
		s.restoreStore(s.randomDuration(100*time.Millisecond, 2*time.Second))
	case degradeLink:
		s.setLinkFault(s.reserve(all), s.randomDuration(500*time.Millisecond, 4*time.Second))
	case crashOne:
		s.crashTarget(s.reserve(agents), s.randomDuration(100*time.Millisecond, 3*time.Second))
	case drainOne:
		s.drainTarget(s.reserve(agents), s.randomDuration(500*time.Millisecond, 2*time.Second))
	case changeSettings:
		s.changeRoutes()
	case killMany:
		s.killNodes(s.randomDuration(300*time.Millisecond, 1500*time.Millisecond))
	case resizeService:
		s.resize(agents)
	case releaseService:
		s.releaseInstances(agents)
	case changeWeights:
		s.changeWeights(s.rand.Float64())
	case rollNodes:
		s.roll(agents)
	case loseInstance:
		s.loseInstance(s.reserve(agents), s.randomDuration(500*time.Millisecond, 4*time.Second))
	}
}

func (s *soak) killNode(n *Node, down time.Duration) {
	if n == nil {
		return
	}
	s.logf("SIGKILL to %s, back after %v", n.Name, down)
	s.load.RecordDisturbance(time.Now().Add(down), n)
	s.load.RecordOutOfTouch(time.Now().Add(down), n)
	n.Kill()
	s.runAfter(down, func() {
		s.load.RecordDisturbance(time.Now(), n)
		s.load.RecordOutOfTouch(time.Now(), n)
		s.launchNode(n)
		s.release(n)
	})
}

func (s *soak) launchNode(n *Node) {
	if err := n.Launch(); err != nil {
		s.load.RecordViolation("%s failed to start: %v", n.Name, err)
	}
}

// restartNode stops a node and starts it again after a time. As planned work it suspends no guarantee.
func (s *soak) restartNode(n *Node, away time.Duration) {
	if n == nil {
		return
	}
	s.logf("SIGTERM to %s, away for %v", n.Name, away)
	s.running.Go(func() {
		n.Stop()
		time.Sleep(away)
		s.launchNode(n)
		time.Sleep(time.Second)
		s.release(n)
	})
}

// freezeNode stops a process for a while, or most of the time for a while if it is to be slow.
func (s *soak) freezeNode(n *Node, d time.Duration, slow bool) {
	if n == nil {
		return
	}
	s.logf("SIGSTOP to %s for %v, slow %v", n.Name, d, slow)
	s.load.RecordDisturbance(time.Now().Add(d), n)
	s.load.RecordOutOfTouch(time.Now().Add(d), n)
	n.Signal(syscall.SIGSTOP)
	s.runAfter(0, func() {
		end := time.Now().Add(d)
		for slow && time.Until(end) > slowPause {
			time.Sleep(slowPause)
			n.Signal(syscall.SIGCONT)
			time.Sleep(slowPause / 4)
			n.Signal(syscall.SIGSTOP)
		}
		time.Sleep(time.Until(end))
		n.Signal(syscall.SIGCONT)
		s.release(n)
	})
}

func (s *soak) failStoreFor(d time.Duration) {
	faults := []platformtest.FaultMode{
		platformtest.Unavailable, platformtest.RateLimited, platformtest.Unanswered, platformtest.Reset,
		platformtest.AnswersLost, platformtest.Slow,
	}
	s.load.RecordDisturbance(time.Now().Add(d), nil)
	if s.rand.IntN(4) == 0 {
		s.load.recordHistoryLoss(time.Now().Add(time.Second))
		s.logf("store without watch events for 1 s, then compacted")
		s.cluster.Store.Compact(time.Second)
		s.changeRoutes()
		return
	}
	f := faults[s.rand.IntN(len(faults))]
	s.logf("store %s for %v", f, d)
	s.cluster.Store.SetFault(f)
	s.runAfter(d, func() { s.cluster.Store.SetFault(platformtest.Healthy) })
}

func (s *soak) setLinkFault(n *Node, d time.Duration) {
	if n == nil {
		return
	}
	s.load.RecordDisturbance(time.Now().Add(d), n)
	state := []Link{Silence, Cut, OneWay, Delay}[s.rand.IntN(4)]
	proxy, farEnd := n.peerProxy, "other nodes"
	if s.rand.IntN(2) == 0 {
		proxy, farEnd = n.storeProxy, "the store"
		s.load.RecordOutOfTouch(time.Now().Add(d), n)
	}
	s.logf("link of %s to %s: %s for %v", n.Name, farEnd, state, d)
	proxy.Set(state)
	s.runAfter(d, func() {
		proxy.Set(Pass)
		s.release(n)
	})
}

// crashTarget ends a target without notice and starts another at its address: of the same service,
// or sometimes of the other one.
func (s *soak) crashTarget(n *Node, down time.Duration) {
	if n == nil {
		return
	}
	t, service := s.cluster.Target(n)
	next := service
	if s.rand.IntN(4) == 0 && s.hasOtherTargets(n, service) {
		// The platform reuses an address after 2 s at the earliest.
		next, down = map[string]string{"a": "b", "b": "a"}[service], max(down, 2*time.Second)
	}
	dark := s.options.Churn && s.rand.IntN(2) == 0
	s.logf("target beside %s crashes (dark %v), one of service %s replaces it after %v", n.Name, dark, next, down)
	s.load.RecordDisturbance(time.Now().Add(down), n)
	if dark {
		t.GoDark()
	} else {
		t.Crash()
	}
	s.runAfter(down, func() {
		t.Crash()
		s.startTarget(n, next)
		s.release(n)
	})
}

// hasOtherTargets reports whether the service has at least two targets besides that of the excluded
// agent.
func (s *soak) hasOtherTargets(excluded *Node, service string) bool {
	count := 0
	for _, n := range s.cluster.currentAgents() {
		if _, other := s.cluster.Target(n); n != excluded && other == service {
			count++
		}
	}
	return count >= 2
}

func (s *soak) startTarget(n *Node, service string) {
	if err := s.cluster.StartTarget(n, service); err != nil {
		s.load.RecordViolation("target beside %s failed to start: %v", n.Name, err)
	}
}

// drainTarget drains a target, stops it after some time and starts a replacement. As planned work
// it suspends no guarantee.
func (s *soak) drainTarget(n *Node, extra time.Duration) {
	if n == nil {
		return
	}
	t, service := s.cluster.Target(n)
	s.logf("target beside %s drains", n.Name)
	s.running.Go(func() {
		t.Drain()
		time.Sleep(3*time.Second + extra)
		t.Leave()
		time.Sleep(500 * time.Millisecond)
		s.startTarget(n, service)
		s.release(n)
	})
}

// changeRoutes adds or removes a route without traffic, and checks after routesBound (3 s) that the
// change is in force.
func (s *soak) changeRoutes() {
	s.mu.Lock()
	added := len(s.routes) == s.permanent || s.rand.IntN(2) == 0
	var route platformtest.Route
	if added {
		port := 9000 + s.routesVersion
		route = platformtest.Route{Name: fmt.Sprint("idle-", port), Host: "198.18.0.3", Port: port, Service: "b"}
		s.routes = append(s.routes, route)
	} else {
		route = s.routes[len(s.routes)-1]
		s.routes = s.routes[:len(s.routes)-1]
		s.removed = append(s.removed, route)
	}
	s.mu.Unlock()
	s.logf("route %s: added %v", route.Name, added)
	s.putRoutes()
	s.runAfter(routesBound, func() { s.checkRoute(route, added) })
}

// checkRoute opens a flow on a route that was added or removed. The bound is checked only while the instances are
// undisturbed. Planned restarts may take all entries away at once, and then no flow opens whatever the routes are. The check
// therefore opens a flow on a permanent route to the same service at the same time, and is repeated until that one opens.
func (s *soak) checkRoute(r platformtest.Route, added bool) {
	for until := time.Now().Add(maxEntriesAway); s.load.Undisturbed() && s.isCurrent(r, added); {
		var isServed bool
		var control sync.WaitGroup
		control.Go(func() { isServed = s.opens(addressB) })
		opened := s.opens(netip.AddrPortFrom(netip.MustParseAddr(r.Host), uint16(r.Port)))
		control.Wait()
		switch {
		case !s.load.Undisturbed() || !s.isCurrent(r, added):
			return
		case opened && added:
			return
		case opened || isServed && added:
			s.load.RecordViolation("route %s, added %v, is not in force after %v", r.Name, added, routesBound)
			return
		case isServed:
			return
		case time.Now().After(until):
			s.load.RecordViolation("route %s, added %v, can't be checked: no flow opens for %v", r.Name, added, maxEntriesAway)
			return
		}
	}
}

// opens reports whether a flow to an address opens.
func (s *soak) opens(to netip.AddrPort) bool {
	flow := s.load.callers[0].Open(to)
	if flow != nil {
		flow.Close()
	}
	return flow != nil
}

// isCurrent reports whether no later change has undone this one.
func (s *soak) isCurrent(r platformtest.Route, added bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, present := range s.routes {
		if present == r {
			return added
		}
	}
	return !added
}

// killNodes kills all nodes at once, or herdShare of them if instances are changed.
func (s *soak) killNodes(down time.Duration) {
	nodes := s.cluster.Nodes()
	if s.options.Churn {
		s.rand.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
		nodes = nodes[:int(herdShare*float64(len(nodes)))]
	}
	var reserved []*Node
	for _, n := range nodes {
		if s.reserveNode(n) != nil {
			reserved = append(reserved, n)
		}
	}
	s.logf("SIGKILL to %d nodes at once, back after %v", len(reserved), down)
	s.load.RecordDisturbance(time.Now().Add(down), reserved...)
	s.load.RecordOutOfTouch(time.Now().Add(down), reserved...)
	for _, n := range reserved {
		n.Signal(syscall.SIGKILL)
	}
	for _, n := range reserved {
		n.Kill()
	}
	s.runAfter(down, func() {
		s.load.RecordDisturbance(time.Now(), reserved...)
		s.load.RecordOutOfTouch(time.Now(), reserved...)
		for _, n := range reserved {
			s.launchNode(n)
			s.release(n)
		}
	})
}
