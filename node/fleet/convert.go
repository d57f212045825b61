package fleet

import (
	"encoding/binary"
	"maps"
	"math"
	"net/netip"
	"slices"
	"time"
	"unicode/utf8"

	"github.com/go-faster/errors"

	fleetv1 "lacewinglever.dev/node/gen/lacewing/fleet/v1"
	"lacewinglever.dev/policy/digest"
	"lacewinglever.dev/policy/evacuation"
	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/roster"
	"lacewinglever.dev/policy/routes"
)

const (
	// perMille converts between requests in progress and the thousandths in heartbeats.
	perMille = 1000
	// maxNameBytes bounds the names of nodes and data centres.
	maxNameBytes = 253
	// maxClockAhead is more than clocks usually differ.
	maxClockAhead = time.Minute
	// maxIncarnation is later than any clock shows, and maxSequence more than any node counts up to.
	maxIncarnation = 1 << 53
	maxSequence    = 1 << 53
	// maxInterval is more than any interval of heartbeats. A node that promised none for longer would be
	// taken for running after its end.
	maxInterval = 2 * time.Minute
	// maxSlots is more than any target has.
	maxSlots = 1 << 20
	// maxSlowdown is longer than any request takes.
	maxSlowdown = time.Hour
	// maxStoreEra is more than the number of times that a store is restored. Nodes keep the highest era that
	// they hear of, and pass it on.
	maxStoreEra = 1 << 32
	// maxStoreRevision is more than the number of writes to a store.
	maxStoreRevision = 1 << 53
)

// latestIncarnation returns the latest incarnation that a node has by this node's clock if no clock is
// wrong. It is read once a message, because a digest describes many nodes.
func latestIncarnation() ident.Incarnation {
	return ident.Incarnation(time.Now().Add(maxClockAhead).UnixMicro())
}

// checkNode checks a node as another node or a record in the store, which may be of another writer,
// describes it.
func checkNode(n *roster.Node) error {
	address := n.Address.Addr()
	switch {
	case n.Name == "" || len(n.Name) > maxNameBytes || !utf8.ValidString(n.Name):
		return errors.Errorf("node name of %d bytes", len(n.Name))
	case len(n.DataCentre) > maxNameBytes || !utf8.ValidString(string(n.DataCentre)):
		return errors.Errorf("data centre of %d bytes", len(n.DataCentre))
	case !address.Is4() || address.IsUnspecified() || address.IsMulticast() || n.Address.Port() == 0:
		return errors.Errorf("node address %v", n.Address)
	case n.Incarnation == 0 || n.Incarnation > maxIncarnation:
		return errors.Errorf("incarnation %d", n.Incarnation)
	}
	return nil
}

// checkHeartbeat checks a heartbeat of a node.
func checkHeartbeat(latest ident.Incarnation, n *roster.Node, hb *roster.Heartbeat) error {
	limit := uint64(maxSequence)
	if n.Incarnation <= latest {
		// Even a node that sent a heartbeat in each microsecond since its start would not have sent more.
		limit = uint64(latest - n.Incarnation)
	}
	t := &hb.Target
	switch {
	case hb.Sequence > limit:
		return errors.Errorf("sequence %d", hb.Sequence)
	case hb.Interval > maxInterval:
		return errors.Errorf("interval of %v", hb.Interval)
	case hb.StoreEra > maxStoreEra:
		return errors.Errorf("store era %d", hb.StoreEra)
	case t.Slots > maxSlots:
		return errors.Errorf("%d slots", t.Slots)
	case !isAmount(t.FlowLoad):
		return errors.Errorf("load of %g per flow", t.FlowLoad)
	case !isAmount(t.Rate) || !isAmount(t.Failing) || t.Failing > 1:
		return errors.Errorf("rate %g, failing %g", t.Rate, t.Failing)
	case t.Slowdown < 0 || t.Slowdown > maxSlowdown:
		return errors.Errorf("slowdown %v", t.Slowdown)
	}
	return nil
}

// isAmount reports whether x is a number that can be compared and added up.
func isAmount(x float64) bool { return x >= 0 && x <= math.MaxFloat32 }

// fromSeconds returns a duration, -1 if it is not a number that can be compared or longer than any is.
func fromSeconds(x float32) time.Duration {
	if !isAmount(float64(x)) || float64(x) > maxSlowdown.Seconds() {
		return -1
	}
	return time.Duration(float64(x) * float64(time.Second))
}

func toNode(n *roster.Node) *fleetv1.Node {
	return &fleetv1.Node{
		Name: n.Name, Incarnation: uint64(n.Incarnation), Entry: n.Entry, DataCentre: string(n.DataCentre),
		Address: n.Address.String(),
	}
}

// toListedNode returns a node for a list of nodes, with the service of its target.
func toListedNode(n *roster.Node, service string) *fleetv1.Node {
	m := toNode(n)
	if len(service) <= maxNameBytes { // otherwise the list might exceed a datagram
		m.Service = service
	}
	return m
}

func fromNode(m *fleetv1.Node) (roster.Node, error) {
	address, err := netip.ParseAddrPort(m.GetAddress())
	if err != nil {
		return roster.Node{}, errors.Wrap(err, "node address")
	}
	n := roster.Node{
		ID: ident.NewNodeID(m.GetName()), Name: m.GetName(), Incarnation: ident.Incarnation(m.GetIncarnation()),
		Entry: m.GetEntry(), DataCentre: ident.DataCentre(m.GetDataCentre()), Address: address,
	}
	return n, checkNode(&n)
}

func toHeartbeat(n *roster.Node, hb *roster.Heartbeat, join bool) *fleetv1.Heartbeat {
	h := &fleetv1.Heartbeat{
		Sender: toNode(n), Sequence: hb.Sequence, Leaving: hb.Leaving, Join: join,
		Revision: hb.Routes.Revision, Era: hb.Routes.Era, Version: hb.Routes.Version, StoreEra: hb.StoreEra,
		IntervalMs: uint32(hb.Interval.Milliseconds()), Digested: hb.ViaDigest, Direct: hb.Direct, StoreLost: hb.StoreLost,
		UptimeMs: uint32(min(hb.Uptime, roster.MaxUptime).Milliseconds()),
	}
	if n.Entry {
		return h
	}
	t := &hb.Target
	h.Target = &fleetv1.Target{
		Service: t.Service, Id: t.ID, BornUnixMs: t.StartUnixMs, Accepting: t.Accepting, Absent: t.Ended,
		Cold: t.WarmingUp, Flows: uint32(t.Flows), Slots: uint32(t.Slots), BusyPerMille: uint32(t.Busy * perMille),
		Doubtful: t.MayHaveEnded, Rate: float32(t.Rate), Failing: float32(t.Failing),
		FlowLoad: float32(t.FlowLoad), Slowdown: float32(t.Slowdown.Seconds()),
	}
	for _, a := range t.FormerRoutes {
		h.Target.FormerRoutes = append(h.Target.FormerRoutes, toAddress(a))
	}
	return h
}

func fromHeartbeat(latest ident.Incarnation, h *fleetv1.Heartbeat) (roster.Node, roster.Heartbeat, error) {
	n, err := fromNode(h.GetSender())
	if err != nil {
		return n, roster.Heartbeat{}, err
	}
	t := h.GetTarget()
	hb := roster.Heartbeat{
		Sequence: h.GetSequence(), Leaving: h.GetLeaving(), StoreEra: h.GetStoreEra(),
		Routes:   routes.Position{Version: h.GetVersion(), Era: h.GetEra(), Revision: h.GetRevision()},
		Interval: time.Duration(h.GetIntervalMs()) * time.Millisecond, ViaDigest: h.GetDigested(),
		Direct: h.GetDirect(), StoreLost: h.GetStoreLost(), Uptime: time.Duration(h.GetUptimeMs()) * time.Millisecond,
		Target: roster.Target{
			Service: t.GetService(), ID: t.GetId(), StartUnixMs: t.GetBornUnixMs(), Accepting: t.GetAccepting(),
			Ended: t.GetAbsent(), MayHaveEnded: t.GetDoubtful(), Rate: float64(t.GetRate()), Failing: float64(t.GetFailing()),
			WarmingUp: t.GetCold(), Flows: int(t.GetFlows()), Slots: int(t.GetSlots()),
			Busy: float64(t.GetBusyPerMille()) / perMille, FlowLoad: float64(t.GetFlowLoad()),
			Slowdown: fromSeconds(t.GetSlowdown()),
		},
	}
	if len(t.GetFormerRoutes()) > routes.MaxFormer {
		return n, hb, errors.Errorf("%d former routes", len(t.GetFormerRoutes()))
	}
	for _, b := range t.GetFormerRoutes() {
		address, err := fromAddress(b)
		if err != nil {
			return n, hb, errors.Wrap(err, "former route")
		}
		hb.Target.FormerRoutes = append(hb.Target.FormerRoutes, address)
	}
	return n, hb, checkHeartbeat(latest, &n, &hb)
}

// toEvacuations returns the message for a set of evacuated data centres, nil if none is known.
func toEvacuations(s *evacuation.Set) *fleetv1.Evacuations {
	if s == nil {
		return nil
	}
	m := &fleetv1.Evacuations{Era: s.Era, Revision: s.Revision}
	for _, dc := range s.DataCentres {
		m.DataCentres = append(m.DataCentres, string(dc))
	}
	return m
}

// fromEvacuations returns the set that a heartbeat carries.
func fromEvacuations(m *fleetv1.Evacuations) (*evacuation.Set, error) {
	if m.GetEra() > maxStoreEra || m.GetRevision() > maxStoreRevision {
		return nil, errors.Errorf("evacuations of era %d, revision %d", m.GetEra(), m.GetRevision())
	}
	return evacuation.NewSet(evacuation.Position{Era: m.GetEra(), Revision: m.GetRevision()}, m.GetDataCentres()), nil
}

// toDigest returns the message for digest items of nodes of the data centre dc. passOn requests
// that the receiver forwards it within its own data centre.
func toDigest(dc ident.DataCentre, items []digest.NodeUpdate, passOn bool) *fleetv1.Digest {
	d := &fleetv1.Digest{DataCentre: string(dc), PassOn: passOn}
	for i := range items {
		d.News = append(d.News, toNews(&items[i]))
	}
	return d
}

func toNews(n *digest.NodeUpdate) *fleetv1.News {
	return &fleetv1.News{
		Heartbeat: toHeartbeat(&n.Node, &n.Heartbeat, false), AgeMs: uint32(max(0, n.Age).Milliseconds()), Silent: n.Silent,
	}
}

func fromNews(latest ident.Incarnation, m *fleetv1.News) (digest.NodeUpdate, error) {
	n, hb, err := fromHeartbeat(latest, m.GetHeartbeat())
	return digest.NodeUpdate{Node: n, Heartbeat: hb, Age: time.Duration(m.GetAgeMs()) * time.Millisecond,
		Silent: m.GetSilent()}, err
}

// addressBytes is the size of an encoded address, in bytes: IPv4 and port.
const addressBytes = 6

func toAddress(a netip.AddrPort) []byte {
	ip := a.Addr().As4()
	return binary.BigEndian.AppendUint16(ip[:], a.Port())
}

func fromAddress(b []byte) (netip.AddrPort, error) {
	if len(b) != addressBytes {
		return netip.AddrPort{}, errors.Errorf("address of %d bytes, want %d", len(b), addressBytes)
	}
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[:4])), binary.BigEndian.Uint16(b[4:])), nil
}

func toChange(c *routes.Change) *fleetv1.RoutesChange {
	m := &fleetv1.RoutesChange{
		Base: c.Base.Revision, BaseEra: c.Base.Era, BaseVersion: c.Base.Version,
		Revision: c.Revision, Era: c.Era, Version: c.Version, IdleTimeoutMs: c.IdleTimeout.Milliseconds(),
		Services: c.Services, RemovedServices: c.RemovedServices,
	}
	for i := range c.Routes {
		route := &c.Routes[i].Route
		r := &fleetv1.Route{Address: toAddress(c.Routes[i].Address), Name: route.Name,
			ObjectiveMs: uint32(route.Objective.Milliseconds()), TimeoutMs: uint32(route.Timeout.Milliseconds()),
			Priority: uint32(route.Priority), Idempotent: route.Idempotent}
		for _, share := range route.Shares {
			r.Shares = append(r.Shares, &fleetv1.Share{Service: share.Service, Weight: share.Weight})
		}
		m.Routes = append(m.Routes, r)
	}
	for _, a := range c.RemovedRoutes {
		m.Removed = append(m.Removed, toAddress(a))
	}
	for _, service := range slices.Sorted(maps.Keys(c.Limits)) {
		limits := c.Limits[service]
		m.ServiceLimits = append(m.ServiceLimits, &fleetv1.ServiceLimits{
			Service: service, ColdPerSecond: float32(limits.ColdPerSecond), ColdStartMs: uint32(limits.ColdStart.Milliseconds()),
		})
	}
	return m
}

func basePosition(m *fleetv1.RoutesChange) routes.Position {
	return routes.Position{Version: m.GetBaseVersion(), Era: m.GetBaseEra(), Revision: m.GetBase()}
}

func fromChange(m *fleetv1.RoutesChange) (routes.Change, error) {
	c := routes.Change{
		Base:        basePosition(m),
		Position:    routes.Position{Version: m.GetVersion(), Era: m.GetEra(), Revision: m.GetRevision()},
		IdleTimeout: time.Duration(m.GetIdleTimeoutMs()) * time.Millisecond,
		Services:    m.GetServices(), RemovedServices: m.GetRemovedServices(),
	}
	if !c.NewerThan(c.Base) {
		return c, errors.Errorf("routes change leads to routes that are not newer: base %v, result %v", c.Base, c.Position)
	}
	for _, r := range m.GetRoutes() {
		address, err := fromAddress(r.GetAddress())
		if err != nil {
			return c, errors.Wrapf(err, "route %q", r.GetName())
		}
		route := routes.Route{
			Name: r.GetName(), Objective: time.Duration(r.GetObjectiveMs()) * time.Millisecond,
			Timeout: time.Duration(r.GetTimeoutMs()) * time.Millisecond, Priority: int(r.GetPriority()),
			Idempotent: r.GetIdempotent(),
		}
		for _, share := range r.GetShares() {
			if !isAmount(share.GetWeight()) {
				return c, errors.Errorf("route %q has weight %g", r.GetName(), share.GetWeight())
			}
			route.Shares = append(route.Shares, routes.Share{Service: share.GetService(), Weight: share.GetWeight()})
		}
		if len(route.Shares) == 0 {
			return c, errors.Errorf("route %q has no service", r.GetName())
		}
		c.Routes = append(c.Routes, routes.AddressRoute{Address: address, Route: route})
	}
	for _, s := range m.GetServiceLimits() {
		if !isAmount(float64(s.GetColdPerSecond())) {
			return c, errors.Errorf("service %q has a limit of %g requests per second", s.GetService(), s.GetColdPerSecond())
		}
		if c.Limits == nil {
			c.Limits = map[string]routes.ServiceLimits{}
		}
		c.Limits[s.GetService()] = routes.ServiceLimits{
			ColdPerSecond: float64(s.GetColdPerSecond()), ColdStart: time.Duration(s.GetColdStartMs()) * time.Millisecond,
		}
	}
	for _, b := range m.GetRemoved() {
		address, err := fromAddress(b)
		if err != nil {
			return c, errors.Wrap(err, "removed route")
		}
		c.RemovedRoutes = append(c.RemovedRoutes, address)
	}
	return c, nil
}
