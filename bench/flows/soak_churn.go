package flows

import (
	"slices"
	"time"

	"lacewinglever.dev/platform/platformtest"
)

const (
	// herdShare is the share of the nodes that are killed at once.
	herdShare = 0.55
	// releaseShare is the share of a service's instances that one release replaces.
	releaseShare = 0.45
	// maxGrowth is the number of instances by which a cluster grows at most.
	maxGrowth = 8
	// maxInstances is the number of instances that are started in one run at most; addresses aren't reused.
	maxInstances   = 240
	slowestRestart = 3 * time.Second
	// slowPause is the time for which a slow process stands still at a time.
	slowPause = 40 * time.Millisecond
	// drainTime is the time that a draining target goes on at least.
	drainTime = 3 * time.Second
)

// resize adds an instance with a target, or drains one and takes it away.
func (s *soak) resize(agents []*Node) {
	initial := s.options.Cluster.Targets["a"] + s.options.Cluster.Targets["b"]
	service := soakServices[s.rand.IntN(len(soakServices))]
	if len(agents) < initial+maxGrowth && (len(agents) < initial || s.rand.IntN(2) == 0) {
		s.addInstance(s.rand.IntN(s.options.Cluster.Zones), service)
		return
	}
	n, extra := agents[s.rand.IntN(len(agents))], s.randomDuration(0, 2*time.Second)
	if _, service := s.cluster.Target(n); s.hasOtherTargets(n, service) && s.reserveNode(n) != nil {
		s.running.Go(func() { s.retire(n, extra) })
	}
}

func (s *soak) addInstance(zone int, service string) {
	if s.instances.Add(1) > maxInstances {
		return
	}
	s.logf("instance of service %s added in zone %d", service, zone)
	if err := s.cluster.AddAgent(zone, service); err != nil {
		s.load.RecordViolation("instance failed to start: %v", err)
	}
}

// retire drains the target of a reserved instance, and then ends both for good. As planned work it
// suspends no guarantee.
func (s *soak) retire(n *Node, extra time.Duration) {
	t, _ := s.cluster.Target(n)
	s.logf("instance %s retires", n.Name)
	t.Drain()
	time.Sleep(drainTime + extra)
	t.Leave()
	s.cluster.Retire(n)
}

// releaseInstances replaces a share of a service's instances by new ones at other addresses, one after
// the other.
func (s *soak) releaseInstances(agents []*Node) {
	service := soakServices[s.rand.IntN(len(soakServices))]
	gap, extra := s.randomDuration(700*time.Millisecond, 1500*time.Millisecond), s.randomDuration(0, 4*time.Second)
	agents = s.ofService(agents, service)
	s.rand.Shuffle(len(agents), func(i, j int) { agents[i], agents[j] = agents[j], agents[i] })
	agents = agents[:max(1, int(releaseShare*float64(len(agents))))]
	s.running.Go(func() {
		for _, n := range agents {
			if s.reserveNode(n) == nil {
				continue
			}
			s.addInstance(n.Zone, service)
			s.running.Go(func() {
				time.Sleep(gap)
				s.retire(n, extra)
			})
			time.Sleep(gap)
		}
	})
}

// ofService returns the agents beside targets of a service.
func (s *soak) ofService(agents []*Node, service string) []*Node {
	return slices.DeleteFunc(slices.Clone(agents), func(n *Node) bool {
		_, of := s.cluster.Target(n)
		return of != service
	})
}

// roll restarts the agents of a service, or the entries, one after the other.
func (s *soak) roll(agents []*Node) {
	nodes := s.cluster.Entries
	if s.rand.IntN(2) == 0 {
		nodes = s.ofService(agents, soakServices[s.rand.IntN(len(soakServices))])
	}
	gap, away := s.randomDuration(time.Second, 2*time.Second), s.restartTime()
	s.logf("%d nodes are rolled, the first is %s", len(nodes), nodes[0].Name)
	s.running.Go(func() {
		for _, n := range nodes {
			s.restartNode(s.reserveNode(n), away)
			time.Sleep(gap)
		}
	})
}

// splitRoute returns the route that is split between the services, with the weight of the first one.
func splitRoute(weight float64) platformtest.Route {
	return platformtest.Route{Name: "split", Host: addressSplit.Addr().String(), Port: int(addressSplit.Port()),
		Split: [2]platformtest.Share{{Service: "a", Weight: weight}, {Service: "b", Weight: 1 - weight}}}
}

// changeWeights changes the weights of the split route. Open flows stay where they are.
func (s *soak) changeWeights(weight float64) {
	s.logf("weight of service a in the split route: %.2f", weight)
	s.mu.Lock()
	s.routes[s.permanent-1] = splitRoute(weight)
	s.mu.Unlock()
	s.putRoutes()
}

// restartTime draws the time for which a restarted node is away; 0 unless instances are changed.
func (s *soak) restartTime() time.Duration {
	if !s.options.Churn {
		return 0
	}
	return s.randomDuration(0, slowestRestart)
}

// loseInstance kills an agent and its target for good, and adds an instance in their place.
func (s *soak) loseInstance(n *Node, down time.Duration) {
	if n == nil {
		return
	}
	t, service := s.cluster.Target(n)
	s.logf("instance %s is lost, replaced after %v", n.Name, down)
	s.load.RecordDisturbance(time.Now().Add(down), n)
	t.Crash()
	n.Kill()
	s.cluster.Retire(n)
	s.runAfter(down, func() { s.addInstance(n.Zone, service) })
}
