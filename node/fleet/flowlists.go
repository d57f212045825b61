package fleet

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"
	"github.com/go-kit/log/level"

	fleetv1 "lacewinglever.dev/node/gen/lacewing/fleet/v1"
	"lacewinglever.dev/node/logging"
	"lacewinglever.dev/policy/flowlist"
	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/roster"
	"lacewinglever.dev/policy/steering"
)

const (
	// maxListDatagrams bounds the datagrams, of about 1 KB, in which an agent sends its list. It does so twice at its stop.
	// An agent that is restarted every 9 minutes then sends no more than 4 KB/s.
	maxListDatagrams = 1024
	// maxAnswerDatagrams bounds the datagrams with lists in the answer to a join request.
	maxAnswerDatagrams = 64
	// listsTimeout is how long a starting node waits for the lists of others, which come with the first answer to its join
	// requests, before it searches for flows. It allows for the loss of the first request.
	listsTimeout     = 2*joinInterval + 100*time.Millisecond
	fingerprintBytes = 4
)

// flowLists are the flow lists of a node.
type flowLists struct {
	received flowlist.Lists
	own      flowlist.Own // of an agent
	awaiting *metrics.Counter
}

// OwnFlows returns the flows that an agent lists although it doesn't keep track of them.
func (f *Fleet) OwnFlows() *flowlist.Own { return &f.flowLists.own }

// SendFlowList sends the list of an agent that is stopping to all nodes that may search for its flows. served are the
// flows that its target has served, the latest first. If the pool is large, the flows without a packet for the longest
// time are left out.
func (f *Fleet) SendFlowList(served []steering.Flow) {
	now := Now()
	flows := f.flowLists.own.List(now, served)
	receivers := flowlist.Receivers(now, &f.Self, f.Roster.Peers(), f.searchedWith(f.service()))
	sent := 0
	for part := range slices.Chunk(flows, flowlist.FlowsPerMessage) {
		b := f.encode(toFlowList(steering.Listing{Agent: f.Self.ID, Incarnation: f.self().Incarnation}, part))
		for i := range receivers[:min(len(receivers), maxListDatagrams-sent)] {
			f.write(receivers[i].Address, b)
			sent++
		}
	}
	_ = level.Info(f.options.Logger).Log(logging.KeyMessage, "flow list sent", "flows", len(flows),
		"nodes", len(receivers), "datagrams", sent)
}

// searchedWith returns the services of the routes that lead to a service.
func (f *Fleet) searchedWith(service string) map[string]struct{} {
	services := map[string]struct{}{service: {}}
	t := f.Routes.Load()
	if t == nil {
		return services
	}
	for _, route := range t.Routes {
		of := route.SearchServices(0)
		if len(of) > 1 && slices.Contains(of, service) {
			for _, s := range of {
				services[s] = struct{}{}
			}
		}
	}
	return services
}

// sendKeptLists sends a starting node the lists of the agents that are away, and that of the process before if the node is
// an agent that is back.
func (f *Fleet) sendKeptLists(now time.Duration, to roster.Node) {
	left := maxAnswerDatagrams
	for _, list := range f.flowLists.received.Kept(now) {
		p, ok := f.Roster.Find(list.Agent)
		if list.Agent != to.ID && (!ok || !p.Leaving || p.Target.Ended || p.Health(now) == roster.Gone) {
			continue
		}
		for part := range slices.Chunk(list.Flows, flowlist.FlowsPerMessage) {
			if left == 0 {
				return
			}
			f.sendMessage(to.Address, toFlowList(list.Listing, part))
			left--
		}
	}
}

// handleFlowList records flows that an agent has listed.
func (f *Fleet) handleFlowList(now time.Duration, m *fleetv1.FlowList) {
	listing, flows, err := fromFlowList(m)
	if err != nil {
		f.rejectMessage("flow list", err)
		return
	}
	f.RecordFlowList(now, listing, flows)
}

// RecordFlowList records flows that an agent has listed. Those of this agent's process before are added to its next list.
func (f *Fleet) RecordFlowList(now time.Duration, listing steering.Listing, flows []flowlist.Fingerprint) {
	if listing.Agent == f.Self.ID {
		if listing.Incarnation < f.self().Incarnation {
			f.flowLists.own.Record(now, flows)
		}
		return
	}
	kept := f.flowLists.received.Record(now, listing, flows)
	if f.nodeLog.Allow() {
		name := listing.Agent.String()
		if p, ok := f.Roster.Find(listing.Agent); ok {
			name = p.Name
		}
		f.nodeLog.Log("flow list received", logging.KeyPeer, name, "flows", kept, "incarnation", uint64(listing.Incarnation))
	}
}

// NextCandidate returns the next step of the search for the agent that holds a flow: see steering.NextListed.
func (f *Fleet) NextCandidate(now time.Duration, flow steering.Flow, agents []roster.Peer, asked steering.Asked, complete bool,
) (int, steering.SearchResult, steering.Asked, bool) {
	return steering.NextListed(now, agents, asked, complete, f.flowLists.received.Lookup(now, flow))
}

// IsListed reports whether an agent has listed a flow.
func (f *Fleet) IsListed(now time.Duration, flow steering.Flow) bool {
	return len(f.flowLists.received.Lookup(now, flow)) > 0
}

// CountAwaiting counts a packet that waits for an agent that has listed its flow.
func (f *Fleet) CountAwaiting() { f.flowLists.awaiting.Inc() }

// AwaitsLists reports whether this node has just started, and may still get the lists of agents that are away.
func (f *Fleet) AwaitsLists(now time.Duration) bool {
	return f.joining.Load() && !f.answered.Load() && now-f.started < listsTimeout
}

func toFlowList(l steering.Listing, flows []flowlist.Fingerprint) *fleetv1.Message {
	b := make([]byte, 0, fingerprintBytes*len(flows))
	for _, f := range flows {
		b = binary.BigEndian.AppendUint32(b, uint32(f))
	}
	return &fleetv1.Message{FlowList: &fleetv1.FlowList{Agent: uint64(l.Agent), Incarnation: uint64(l.Incarnation), Flows: b}}
}

func fromFlowList(m *fleetv1.FlowList) (steering.Listing, []flowlist.Fingerprint, error) {
	l := steering.Listing{Agent: ident.NodeID(m.GetAgent()), Incarnation: ident.Incarnation(m.GetIncarnation())}
	b := m.GetFlows()
	switch {
	case len(b) == 0 || len(b)%fingerprintBytes != 0 || len(b) > fingerprintBytes*flowlist.FlowsPerMessage:
		return l, nil, errors.Errorf("%d bytes of flows", len(b))
	case l.Incarnation == 0 || l.Incarnation > latestIncarnation():
		return l, nil, errors.Errorf("incarnation %d", l.Incarnation)
	}
	var flows []flowlist.Fingerprint
	for ; len(b) > 0; b = b[fingerprintBytes:] {
		flows = append(flows, flowlist.Fingerprint(binary.BigEndian.Uint32(b)))
	}
	return l, flows, nil
}
