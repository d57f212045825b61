package entry

import (
	"net/netip"

	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/record"
	"lacewinglever.dev/policy/settings"
	"lacewinglever.dev/policy/view"
)

// destination is an agent to which datagrams are forwarded.
type destination struct {
	id      ident.NodeID
	address netip.AddrPort
}

// nearby is the largest pool whose destinations are within the route.
const nearby = 8

// route is an immutable picture of where a service's flows go. It holds what a decision reads, because with thousands of services the cost of
// a decision is that of the memory that it touches: the route, one slot and one destination, which is next to the route in a small pool.
type route struct {
	slots        []uint16                // index in destinations by slot, shared with the view
	destinations []destination           // in the order of the view's members
	digest       uint64                  // of the view
	byAgent      map[ident.NodeID]uint16 // index of each agent; only for requests, whose connection ids name an agent
	view         *view.View
	near         [nearby]destination // memory of destinations in a small pool
}

// newRoute builds the route of a pool. With a previous route only what changed is computed.
func newRoute(prev *route, spec *settings.Spec, pool []record.Node) *route {
	var before *view.View
	if prev != nil {
		before = prev.view
	}
	v := view.Build(before, spec.Service.ID(), spec.HashSlots, ViewMembers(spec, pool))
	r := &route{view: v, slots: v.SlotTable(), digest: v.Digest}
	r.destinations = r.near[:0]
	for i := range v.Members {
		n := &v.Members[i].Node
		address, _ := netip.ParseAddrPort(n.UDPAddress)
		r.destinations = append(r.destinations, destination{n.ID, address})
	}
	if spec.Kind == settings.KindRequest {
		r.byAgent = make(map[ident.NodeID]uint16, len(r.destinations))
		for i := range r.destinations {
			r.byAgent[r.destinations[i].id] = uint16(i)
		}
	}
	return r
}

// home returns the agent that is the home of a flow.
func (r *route) home(key ident.FlowKey) (*destination, bool) {
	i := int(r.slots[key.Hash()&uint64(len(r.slots)-1)])
	if i >= len(r.destinations) { // no member can be a home
		return nil, false
	}
	d := &r.destinations[i]
	return d, d.address.IsValid()
}

// ViewMembers returns the members of a service's view: the agents of data centres from which the service admits any, weighted as its settings
// say. An agent that is set to drain counts as draining.
func ViewMembers(spec *settings.Spec, pool []record.Node) []view.Member {
	members := make([]view.Member, 0, len(pool))
	for _, n := range pool {
		weight := spec.Weight(n.DataCentre)
		if weight <= 0 {
			continue
		}
		if n.Weight > 0 {
			weight *= n.Weight
		}
		if n.State == record.Ready && spec.IsDraining(n.Name) {
			n.State = record.Draining
		}
		members = append(members, view.Member{Node: n, Weight: weight})
	}
	return members
}
