package flows

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"strings"
	"sync"
	"syscall"
	"time"

	"lacewinglever.dev/platform/platformtest"
)

// SoakOptions describe one run of the fault soak.
type SoakOptions struct {
	Cluster Options
	Seed    uint64
	Faults  time.Duration // how long faults come
	Callers int
	Log     io.Writer // the faults, as they come
}

const (
	warmUp = 3 * time.Second
	// recovery is how long after the last fault callers must be served again.
	recovery = 8 * time.Second
	// judged is the time at the end in which callers must be served.
	judged = 2 * time.Second
	// servedAtEnd is the share of requests that must be answered then. Targets that crashed are back, and nothing is disturbed.
	servedAtEnd = 0.99
)

// faultKind is one kind of fault or of planned work.
type faultKind uint8

const (
	killOne faultKind = iota
	killMany
	freezeOne
	failStore
	harmLink
	crashOne
	restartEntry
	restartAgent
	hangup
	drainOne
	changeSettings
)

// plannedEvery is the number of seeds of which one has planned work only. Some promises hold for calm instances only, and planned work excuses
// nothing.
const plannedEvery = 3

// Kinds by how often they come.
var (
	plannedWork = []faultKind{restartEntry, restartAgent, hangup, drainOne, changeSettings, changeSettings}
	anyFault    = append([]faultKind{
		killOne, killOne, freezeOne, freezeOne, failStore, failStore, harmLink, harmLink, crashOne, crashOne, killMany,
	}, plannedWork...)
)

// soak is one run.
type soak struct {
	o       SoakOptions
	rand    *rand.Rand
	cluster *Cluster
	load    *Load
	running sync.WaitGroup

	mu      sync.Mutex
	busy    map[*Node]bool // a fault is under way there
	version int
	routes  []platformtest.Route
}

// Soak runs the programs under faults that the seed chooses, and returns the broken promises.
func Soak(o SoakOptions) ([]string, error) {
	l := NewLoad()
	c, err := Start(o.Cluster, l.Ran, l.Altered)
	if c != nil {
		defer c.Close()
	}
	if err != nil {
		return nil, err
	}
	s := &soak{o: o, rand: rand.New(rand.NewPCG(o.Seed, 1)), cluster: c, load: l, busy: map[*Node]bool{}, version: 1}
	s.routes = []platformtest.Route{
		{Name: "a", Host: addressA.Addr().String(), Port: int(addressA.Port()), Service: "a"},
		{Name: "b", Host: addressB.Addr().String(), Port: int(addressB.Port()), Service: "b"},
	}
	s.putRoutes()
	time.Sleep(warmUp)
	if err := l.Start(c, o.Callers); err != nil {
		return nil, err
	}
	time.Sleep(time.Second)
	for end := time.Now().Add(o.Faults); time.Now().Before(end); {
		s.fault()
		time.Sleep(time.Duration(s.rand.IntN(900)) * time.Millisecond)
	}
	s.running.Wait()
	s.say("calm")
	time.Sleep(recovery)
	from := time.Now()
	time.Sleep(judged)
	l.Stop()
	share, total, missed := l.Served(from)
	if share < servedAtEnd {
		l.Violate("only %.3f of %d requests served after the recovery: %s", share, total, strings.Join(missed, ", "))
	}
	for _, n := range append(append([]*Node{}, c.Entries...), c.Agents...) {
		if n.Exits() > 0 {
			l.Violate("%s ended by itself %d times", n.Name, n.Exits())
		}
	}
	return l.Violations(), nil
}

func (s *soak) say(format string, args ...any) {
	fmt.Fprintf(s.o.Log, "%s seed %d: %s\n", time.Now().Format("15:04:05.000"), s.o.Seed, fmt.Sprintf(format, args...))
}

func (s *soak) putRoutes() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version += 1 + s.rand.IntN(5)
	s.cluster.Store.PutRoutes(s.version, []string{"a", "b"}, s.routes)
}

// claim reserves a node for a fault, so that faults on one node don't undo each other.
func (s *soak) claim(nodes []*Node) *Node {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := nodes[s.rand.IntN(len(nodes))]
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

// after runs a step of a fault later.
func (s *soak) after(d time.Duration, f func()) {
	s.running.Go(func() {
		time.Sleep(d)
		f()
	})
}

func (s *soak) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.rand.Int64N(int64(high-low)))
}

// fault starts one fault. Faults overlap.
func (s *soak) fault() {
	all := append(append([]*Node{}, s.cluster.Entries...), s.cluster.Agents...)
	kinds := anyFault
	if s.o.Seed%plannedEvery == 0 {
		kinds = plannedWork
	}
	switch kinds[s.rand.IntN(len(kinds))] {
	case killOne:
		s.kill(s.claim(all), s.between(100*time.Millisecond, 2*time.Second))
	case restartEntry:
		s.restart(s.claim(s.cluster.Entries))
	case restartAgent:
		s.restart(s.claim(s.cluster.Agents))
	case freezeOne:
		s.freeze(s.claim(all), s.between(300*time.Millisecond, 3*time.Second))
	case hangup:
		n := all[s.rand.IntN(len(all))]
		s.say("SIGHUP to %s", n.Name)
		n.Signal(syscall.SIGHUP)
	case failStore:
		s.storeFault(s.between(500*time.Millisecond, 4*time.Second))
	case harmLink:
		s.link(s.claim(all), s.between(500*time.Millisecond, 4*time.Second))
	case crashOne:
		s.crashTarget(s.claim(s.cluster.Agents), s.between(100*time.Millisecond, 3*time.Second))
	case drainOne:
		s.drainTarget(s.claim(s.cluster.Agents), s.between(500*time.Millisecond, 2*time.Second))
	case changeSettings:
		s.changeRoutes()
	case killMany:
		s.killAll(s.between(300*time.Millisecond, 1500*time.Millisecond))
	}
}

func (s *soak) kill(n *Node, down time.Duration) {
	if n == nil {
		return
	}
	s.say("SIGKILL to %s, back after %v", n.Name, down)
	s.load.Disturb(time.Now().Add(down))
	n.Kill()
	s.after(down, func() {
		s.launch(n)
		s.release(n)
	})
}

func (s *soak) launch(n *Node) {
	if err := n.Launch(); err != nil {
		s.load.Violate("%s doesn't start: %v", n.Name, err)
	}
}

// restart is planned work: it excuses nothing.
func (s *soak) restart(n *Node) {
	if n == nil {
		return
	}
	s.say("SIGTERM to %s", n.Name)
	s.running.Go(func() {
		n.Stop()
		s.launch(n)
		time.Sleep(time.Second)
		s.release(n)
	})
}

func (s *soak) freeze(n *Node, d time.Duration) {
	if n == nil {
		return
	}
	s.say("SIGSTOP to %s for %v", n.Name, d)
	s.load.Disturb(time.Now().Add(d))
	n.Signal(syscall.SIGSTOP)
	s.after(d, func() {
		n.Signal(syscall.SIGCONT)
		s.release(n)
	})
}

func (s *soak) storeFault(d time.Duration) {
	faults := []platformtest.FaultMode{
		platformtest.Unavailable, platformtest.RateLimited, platformtest.Unanswered, platformtest.Reset, platformtest.AnswersLost, platformtest.Slow,
	}
	s.load.Disturb(time.Now().Add(d))
	if s.rand.IntN(4) == 0 {
		s.say("store deaf for 1 s, then compacted")
		s.cluster.Store.Compact(time.Second)
		s.changeRoutes()
		return
	}
	f := faults[s.rand.IntN(len(faults))]
	s.say("store %s for %v", f, d)
	s.cluster.Store.SetFault(f)
	s.after(d, func() { s.cluster.Store.SetFault(platformtest.Healthy) })
}

func (s *soak) link(n *Node, d time.Duration) {
	if n == nil {
		return
	}
	s.load.Disturb(time.Now().Add(d))
	state := []Link{Silence, Cut, OneWay, Delay}[s.rand.IntN(4)]
	proxy, what := n.peers, "other nodes"
	if s.rand.IntN(2) == 0 {
		proxy, what = n.store, "the store"
	}
	s.say("link of %s to %s: %s for %v", n.Name, what, state, d)
	proxy.Set(state)
	s.after(d, func() {
		proxy.Set(Pass)
		s.release(n)
	})
}

// crashTarget ends a target without a word. Another comes at its address: of the same service, or of the other one.
func (s *soak) crashTarget(n *Node, down time.Duration) {
	if n == nil {
		return
	}
	t, service := s.cluster.Target(n)
	next := service
	if s.rand.IntN(4) == 0 && s.others(n, service) {
		// The platform reuses an address after 2 s at the earliest.
		next, down = map[string]string{"a": "b", "b": "a"}[service], max(down, 2*time.Second)
	}
	s.say("target beside %s crashes, %s comes after %v", n.Name, next, down)
	s.load.Disturb(time.Now().Add(down))
	t.Crash()
	s.after(down, func() {
		s.startTarget(n, next)
		s.release(n)
	})
}

// others tells whether the service keeps two targets without this one.
func (s *soak) others(without *Node, service string) bool {
	count := 0
	for _, n := range s.cluster.Agents {
		if _, other := s.cluster.Target(n); n != without && other == service {
			count++
		}
	}
	return count >= 2
}

func (s *soak) startTarget(n *Node, service string) {
	if err := s.cluster.StartTarget(n, service); err != nil {
		s.load.Violate("target beside %s doesn't start: %v", n.Name, err)
	}
}

// drainTarget is planned work: a target announces its end, serves on, leaves, and another takes its place.
func (s *soak) drainTarget(n *Node, more time.Duration) {
	if n == nil {
		return
	}
	t, service := s.cluster.Target(n)
	s.say("target beside %s drains", n.Name)
	s.running.Go(func() {
		t.Drain()
		time.Sleep(3*time.Second + more)
		t.Leave()
		time.Sleep(500 * time.Millisecond)
		s.startTarget(n, service)
		s.release(n)
	})
}

// changeRoutes adds an idle route or removes one, and checks 3 s later that it is in force.
func (s *soak) changeRoutes() {
	s.mu.Lock()
	added := len(s.routes) < 3 || s.rand.IntN(2) == 0
	var route platformtest.Route
	if added {
		port := 9000 + s.version
		route = platformtest.Route{Name: fmt.Sprint("idle-", port), Host: "198.18.0.3", Port: port, Service: "b"}
		s.routes = append(s.routes, route)
	} else {
		route = s.routes[len(s.routes)-1]
		s.routes = s.routes[:len(s.routes)-1]
	}
	s.mu.Unlock()
	s.say("route %s: added %v", route.Name, added)
	s.putRoutes()
	s.after(routesBound, func() { s.checkRoute(route, added) })
}

// checkRoute opens a flow on a route that was added or removed. Only calm instances are held to the bound.
func (s *soak) checkRoute(r platformtest.Route, added bool) {
	if !s.load.Calm() || !s.current(r, added) {
		return
	}
	flow := s.load.callers[0].Open(netip.AddrPortFrom(netip.MustParseAddr(r.Host), uint16(r.Port)))
	if (flow != nil) != added && s.load.Calm() && s.current(r, added) {
		s.load.Violate("route %s, added %v, is not in force after %v", r.Name, added, routesBound)
	}
	if flow != nil {
		flow.Close()
	}
}

// current tells whether no later change has undone this one.
func (s *soak) current(r platformtest.Route, added bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, present := range s.routes {
		if present == r {
			return added
		}
	}
	return !added
}

func (s *soak) killAll(down time.Duration) {
	var claimed []*Node
	s.mu.Lock()
	for _, n := range append(append([]*Node{}, s.cluster.Entries...), s.cluster.Agents...) {
		if !s.busy[n] {
			s.busy[n] = true
			claimed = append(claimed, n)
		}
	}
	s.mu.Unlock()
	s.say("SIGKILL to %d nodes at once, back after %v", len(claimed), down)
	s.load.Disturb(time.Now().Add(down))
	for _, n := range claimed {
		n.Signal(syscall.SIGKILL)
	}
	for _, n := range claimed {
		n.Kill()
	}
	s.after(down, func() {
		for _, n := range claimed {
			s.launch(n)
			s.release(n)
		}
	})
}
