package fleet

import (
	"net/netip"

	"github.com/go-faster/errors"

	fleetv1 "lacewinglever.dev/node/gen/lacewing/fleet/v1"
	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/roster"
)

// perMille converts between requests in progress and the thousandths that heartbeats carry.
const perMille = 1000

func toNode(n *roster.Node) *fleetv1.Node {
	return &fleetv1.Node{
		Name: n.Name, Incarnation: uint64(n.Incarnation), Entry: n.Entry, DataCentre: string(n.DataCentre), Address: n.Address.String(),
	}
}

func fromNode(n *fleetv1.Node) (roster.Node, error) {
	address, err := netip.ParseAddrPort(n.GetAddress())
	if err != nil {
		return roster.Node{}, errors.Wrap(err, "node address")
	}
	if n.GetName() == "" || n.GetIncarnation() == 0 {
		return roster.Node{}, errors.New("node without name or incarnation")
	}
	return roster.Node{
		ID: ident.NewNodeID(n.GetName()), Name: n.GetName(), Incarnation: ident.Incarnation(n.GetIncarnation()), Entry: n.GetEntry(),
		DataCentre: ident.DataCentre(n.GetDataCentre()), Address: address,
	}, nil
}

func toHeartbeat(n *roster.Node, b *roster.Beat, join bool) *fleetv1.Heartbeat {
	h := &fleetv1.Heartbeat{Sender: toNode(n), Sequence: b.Sequence, Revision: b.Revision, Leaving: b.Leaving, Join: join}
	if n.Entry {
		return h
	}
	t := &b.Target
	h.Target = &fleetv1.Target{
		Service: t.Service, Id: t.ID, BornUnixMs: t.Born, Accepting: t.Accepting, Absent: t.Absent, Cold: t.Cold,
		Flows: uint32(t.Flows), Slots: uint32(t.Slots), BusyPerMille: uint32(t.Busy * perMille), Doubtful: t.Doubtful,
		Rate: float32(t.Rate), Failing: float32(t.Failing),
	}
	return h
}

func fromHeartbeat(h *fleetv1.Heartbeat) (roster.Node, roster.Beat, error) {
	n, err := fromNode(h.GetSender())
	if err != nil {
		return n, roster.Beat{}, err
	}
	t := h.GetTarget()
	return n, roster.Beat{
		Sequence: h.GetSequence(), Revision: h.GetRevision(), Leaving: h.GetLeaving(),
		Target: roster.Target{
			Service: t.GetService(), ID: t.GetId(), Born: t.GetBornUnixMs(), Accepting: t.GetAccepting(), Absent: t.GetAbsent(),
			Doubtful: t.GetDoubtful(), Rate: float64(t.GetRate()), Failing: float64(t.GetFailing()),
			Cold: t.GetCold(), Flows: int(t.GetFlows()), Slots: int(t.GetSlots()), Busy: float64(t.GetBusyPerMille()) / perMille,
		},
	}, nil
}
