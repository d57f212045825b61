package flows

import (
	"context"
	"net/netip"
	"time"

	"lacewinglever.dev/platform"
	"lacewinglever.dev/platform/platformtest"
)

// copyEvery is the mean number of faults after which the copy to which the store is restored is renewed.
const copyEvery = 6

// changesAfterRestore is the number of changes of the routes that are written in a row from the moment
// at which the store goes away.
const changesAfterRestore = 4

// copyStore renews the copy of the store now and then.
func (s *soak) copyStore() {
	if s.rand.IntN(copyEvery) == 0 {
		s.storeCopy = s.cluster.Store.Copy()
	}
}

// restoreStore makes the store unavailable and then restores it from its copy. The operator writes its
// last version again, after a while in which the store has an older one.
func (s *soak) restoreStore(down time.Duration) {
	s.changesDue = changesAfterRestore
	saved, rewriteAfter := s.storeCopy, s.randomDuration(0, 700*time.Millisecond)
	s.logf("store away for %v, then restored; routes are written again after %v", down, rewriteAfter)
	s.load.RecordDisturbance(time.Now().Add(down+rewriteAfter), nil)
	s.load.recordHistoryLoss(time.Now().Add(down + rewriteAfter))
	s.cluster.Store.SetFault(platformtest.Reset)
	s.runAfter(down, func() {
		s.cluster.Store.Restore(saved)
		s.cluster.Store.SetFault(platformtest.Healthy)
		time.Sleep(rewriteAfter)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.cluster.Store.PutRoutes(s.routesVersion, soakServices, s.routes)
		s.writeEvacuation()
	})
}

// checkStoredState checks after the recovery that the operator's last routes are in force and that the
// store has the records of all nodes.
func (s *soak) checkStoredState() {
	for route, present := range s.idleRoutes() {
		flow := s.load.callers[0].Open(netip.AddrPortFrom(netip.MustParseAddr(route.Host), uint16(route.Port)))
		if (flow != nil) != present {
			s.load.RecordViolation("route %s, present %v, is not in force after the recovery", route.Name, present)
		}
		if flow != nil {
			flow.Close()
		}
	}
	client := platform.NewStore(s.cluster.Store.Address(), func(platform.CallResult) {})
	records, _, err := client.Nodes(context.Background())
	if err != nil {
		s.load.RecordViolation("listing the node records failed: %v", err)
	}
	registered := map[string]bool{}
	for i := range records {
		registered[records[i].Name] = true
	}
	for _, n := range s.cluster.Nodes() {
		if !registered[n.Name] {
			s.load.RecordViolation("%s has no record in the store after the recovery", n.Name)
		}
	}
}

// idleRoutes returns the routes without traffic that were ever written, and whether they are present.
func (s *soak) idleRoutes() map[platformtest.Route]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	idle := map[platformtest.Route]bool{}
	for _, r := range s.removed {
		idle[r] = false
	}
	for _, r := range s.routes[s.permanent:] {
		idle[r] = true
	}
	return idle
}
