package routes

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
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
