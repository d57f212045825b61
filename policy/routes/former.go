package routes

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"
)

// MaxFormer is the number of addresses of which an agent tells that it holds flows although their route
// doesn't lead to its service any more.
const MaxFormer = 8

// Former records, for an agent, to which addresses its target holds flows whose route doesn't lead to the
// target's service any more. Such flows stay where they opened, and nodes that don't know the earlier
// routes can't find them by the routes in force. It is not safe for concurrent use.
type Former struct {
	lastFlow map[netip.AddrPort]time.Duration // time of the last check at which the target held a flow
}

// Update returns these addresses in ascending order, at most MaxFormer of those with the most recent flows.
// flows are the addresses of the flows that the agent knows of. An address is kept for the idle timeout of
// flows after the last of them, because the agent doesn't know of all. Addresses without a route are left
// out: their flows end with the route.
func (f *Former) Update(now time.Duration, t *Table, service string, flows []netip.AddrPort) []netip.AddrPort {
	if t == nil {
		return nil
	}
	if f.lastFlow == nil {
		f.lastFlow = map[netip.AddrPort]time.Duration{}
	}
	for _, a := range flows {
		if t.isFormer(a, service) {
			f.lastFlow[a] = now
		}
	}
	for a, at := range f.lastFlow {
		if now-at > t.IdleTimeout || !t.isFormer(a, service) {
			delete(f.lastFlow, a)
		}
	}
	addresses := slices.SortedFunc(maps.Keys(f.lastFlow), func(a, b netip.AddrPort) int {
		return cmp.Or(cmp.Compare(f.lastFlow[b], f.lastFlow[a]), a.Compare(b))
	})
	addresses = addresses[:min(len(addresses), MaxFormer)]
	slices.SortFunc(addresses, netip.AddrPort.Compare)
	return addresses
}

// isFormer reports whether an address has a route that doesn't lead to the service.
func (t *Table) isFormer(a netip.AddrPort, service string) bool {
	route, ok := t.Routes[a]
	return ok && !slices.ContainsFunc(route.Shares, func(s Share) bool { return s.Service == service })
}

const (
	// formerServiceTime is how long a node searches the former services of a route after it got the routes that have
	// replaced them. Agents learn of the change within 3 s, and their heartbeats then name the route (Former).
	formerServiceTime = 10 * time.Second
	// maxFormerServices bounds the memory of the former services, at some 60 bytes each.
	maxFormerServices = 8192
)

// FormerServices records, for a node that searches for flows, which services the routes have lost lately. The agents of a
// former service may not have told yet that they hold flows of the route. The zero value is ready for use. Its methods are
// safe for concurrent use.
type FormerServices struct {
	mu     sync.Mutex
	former []formerService
}

type formerService struct {
	address netip.AddrPort
	service string
	until   time.Duration
}

// Record records what the routes have lost with the change from one table to a later one. before may be nil.
func (f *FormerServices) Record(now time.Duration, before, after *Table) {
	if before == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.former = slices.DeleteFunc(f.former, func(s formerService) bool { return now > s.until })
	for address, old := range before.Routes {
		if _, ok := after.Routes[address]; !ok {
			continue // the flows of a removed route end with it
		}
		for _, share := range old.Shares {
			if after.isFormer(address, share.Service) && len(f.former) < maxFormerServices {
				f.former = append(f.former, formerService{address, share.Service, now + formerServiceTime})
			}
		}
	}
}

// Append appends the services that the route of an address has lost lately to services, unless they are in it.
func (f *FormerServices) Append(now time.Duration, services []string, address netip.AddrPort) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.former {
		if s.address == address && now <= s.until && !slices.Contains(services, s.service) {
			services = append(services, s.service)
		}
	}
	return services
}
