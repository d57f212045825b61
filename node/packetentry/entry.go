package packetentry

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"

	"lacewinglever.dev/node/fleet"
	"lacewinglever.dev/node/logging"
	"lacewinglever.dev/node/timing"
	"lacewinglever.dev/platform"
	"lacewinglever.dev/policy/admission"
	"lacewinglever.dev/policy/flowsearch"
	"lacewinglever.dev/policy/holding"
	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/limit"
	"lacewinglever.dev/policy/ownerquery"
	"lacewinglever.dev/policy/roster"
	"lacewinglever.dev/policy/routes"
	"lacewinglever.dev/policy/steering"
)

const (
	// forwardGrace is how long an entry continues to forward after its readiness endpoint has
	// started to fail. The fabric probes it twice a second and takes an entry out after two
	// failures.
	forwardGrace = 2200 * time.Millisecond
	// stopMargin is kept between the end of the process and the moment at which the platform would
	// kill it.
	stopMargin = 500 * time.Millisecond
	// maxStopWait bounds how long a stopping entry waits for other entries that are being
	// restarted. The platform wants an entry out of rotation within 4 s of the signal, of which the
	// fabric takes up to 1.5 s to notice.
	maxStopWait = 1500 * time.Millisecond
	// stopCheckInterval is the interval at which a stopping entry checks whether another one is
	// still being restarted.
	stopCheckInterval = 50 * time.Millisecond
	// expiryInterval is the interval at which idle flows are removed.
	expiryInterval = time.Second
	// idleSlack is added to the idle timeout of flows, for clock differences and packets on the
	// way.
	idleSlack = 5 * time.Second
	// defaultIdleTimeout is the idle timeout until routes are known.
	defaultIdleTimeout = 30 * time.Second
	// progressPerSecond and progressBurst bound the packets of searches of which progress is requested. After the
	// loss of all targets each search asks all agents, and their messages would add to the load.
	progressPerSecond = 10
	progressBurst     = 100
)

// Entry receives callers' packets and forwards them to agents.
type Entry struct {
	settings   *Settings
	fleet      *fleet.Fleet
	conn       *net.UDPConn
	callerPort uint16 // port of the address to which resets are sent
	flows      *flowTable
	unrouted   steering.UnroutedFlows
	searches   *flowsearch.Table // for the owners of flows that aren't in flows
	owners     *ownerquery.Table // the same, in large pools
	stopping   atomic.Bool
	wasReady   atomic.Bool // ready has returned true
	logs       fleet.DecisionLogs
	counters   counters
	held       *holding.Queue[platform.Packet]
	unanswered *holding.Queue[platform.Packet] // sent in searches that are overdue

	mu             sync.Mutex         // serialises the decisions about packets
	progressBudget *limit.TokenBucket // for packets of which progress is requested
	agentBuffer    []roster.Peer      // used by rankedAgents and searchCandidates
	pools          map[string]*pool   // by service

	admission        *admission.Controller
	admissionMetrics fleet.AdmissionMetrics
}

type counters struct {
	fleet.DropCounters
	flowsOpened    *metrics.Counter
	sentToOwner    *metrics.Counter
	searched       *metrics.Counter
	searchedAgain  *metrics.Counter   // searches of flows whose last search has had no result
	resumed        *metrics.Counter   // of these, those that continue with what was known
	resent         *metrics.Counter   // packets of searches that were sent past an agent that didn't answer
	ownerQueries   *metrics.Counter   // queries for the owners of flows that were sent
	progress       *metrics.Counter   // messages of agents that have passed on a packet of a search
	searchSeconds  *metrics.Histogram // from the first search of a flow until its owner is known
	forwardSeconds *metrics.Histogram
}

func newCounters(set *metrics.Set) counters {
	return counters{
		DropCounters:   fleet.DropCounters{Set: set},
		flowsOpened:    set.NewCounter("lacewing_flows_opened_total"),
		sentToOwner:    set.NewCounter("lacewing_packets_carried_total"),
		searched:       set.NewCounter("lacewing_packets_searched_total"),
		searchedAgain:  set.NewCounter("lacewing_searches_repeated_total"),
		resumed:        set.NewCounter("lacewing_searches_resumed_total"),
		resent:         set.NewCounter("lacewing_search_packets_resent_total"),
		ownerQueries:   set.NewCounter("lacewing_owner_queries_total"),
		progress:       set.NewCounter("lacewing_search_progress_received_total"),
		searchSeconds:  set.NewHistogram("lacewing_search_seconds"),
		forwardSeconds: set.NewHistogram("lacewing_forward_seconds"),
	}
}

// Main runs an entry until the context ends, then stops it gracefully.
func Main(ctx context.Context, path string, logs io.Writer) error {
	settings, err := LoadSettings(path)
	if err != nil {
		return err
	}
	p := fleet.NewProgram(&settings.Settings, logs)
	e, err := newEntry(settings, p)
	if err != nil {
		return err
	}
	return p.Run(ctx, e.stop,
		e.fleet.Run, e.receive, e.retry, e.resend, e.askOwners, e.expire, e.recordRunning,
		fleet.Serve(settings.Ready, platform.ReadyHandler(e.ready)),
		fleet.WatchSettings(p, e.fleet, path, settings, LoadSettings,
			func(s *Settings) *fleet.Settings { return &s.Settings }),
	)
}

func newEntry(s *Settings, p *fleet.Program) (*Entry, error) {
	address, err := netip.ParseAddrPort(s.Callers)
	if err != nil {
		return nil, errors.Wrap(err, "callers")
	}
	e := &Entry{
		settings: s, callerPort: address.Port(), flows: newFlowTable(), searches: flowsearch.New(),
		owners: ownerquery.New(rand.Uint32()), pools: map[string]*pool{},
		progressBudget: limit.NewTokenBucket(timeOf(fleet.Now()), progressPerSecond, progressBurst),
		counters:       newCounters(p.Metrics),
		held:           holding.NewQueue[platform.Packet](), unanswered: holding.NewQueue[platform.Packet](),
		logs: p.NewDecisionLogs(), admission: admission.New(),
	}
	e.admissionMetrics = fleet.AdmissionMetrics{Set: p.Metrics, Waiting: e.held.Waiting}
	p.Metrics.NewGauge("lacewing_flows", func() float64 { return float64(e.flows.size()) })
	p.Metrics.NewGauge("lacewing_packets_held", func() float64 { return float64(e.held.Len()) })
	p.Metrics.NewGauge("lacewing_owners_asked", func() float64 { return float64(e.owners.Len()) })
	if e.conn, err = fleet.ListenUDP(s.Callers); err != nil {
		return nil, err
	}
	e.fleet, err = fleet.New(fleet.Options{Settings: &s.Settings, Entry: true, Handler: e, Logger: p.Logger,
		Metrics: p.Metrics})
	return e, err
}

// HandlePacket counts a packet that was sent to an entry by mistake.
func (e *Entry) HandlePacket(time.Duration, *fleet.ForwardedPacket) {
	e.counters.CountDrop("relayed to an entry")
}

// RecordOwner records which agent's target holds a flow.
func (e *Entry) RecordOwner(flow steering.Flow, owner ident.NodeID) {
	now := fleet.Now()
	if since, ok := e.searches.End(flow); ok {
		e.counters.searchSeconds.Update((now - since).Seconds())
	}
	e.owners.End(flow)
	e.flows.put(now, flow, owner)
}

// FillHeartbeat adds nothing: an entry's heartbeat has no fields of the data path.
func (e *Entry) FillHeartbeat(time.Duration, *roster.Heartbeat) {}

// ready reports whether the fabric may deliver packets here. Once ready, an entry stays ready until
// it stops, because its routes and roster remain usable when the store is unavailable.
func (e *Entry) ready() bool {
	if e.stopping.Load() {
		return false
	}
	if e.wasReady.Load() {
		return true
	}
	if e.fleet.Routes.Load() == nil {
		return false
	}
	now := fleet.Now()
	for _, p := range e.fleet.Roster.Agents(nil, "") {
		if steering.AcceptsNewFlows(&p, now) {
			e.wasReady.Store(true)
			return true
		}
	}
	return false
}

// stopWait returns how long an entry with this grace period may wait for other entries that are
// being restarted.
func stopWait(grace time.Duration) time.Duration {
	return min(grace-forwardGrace-stopMargin, maxStopWait)
}

// stop waits while another entry of the data centre is being restarted, as long as the grace period
// allows. It then reports not ready, and continues to forward until the fabric has taken the entry
// out.
func (e *Entry) stop(ctx context.Context) {
	waitCtx, cancel := context.WithTimeout(ctx, stopWait(e.settings.StopGrace))
	defer cancel()
	for waitCtx.Err() == nil && e.fleet.Roster.HasLeavingEntry(fleet.Now(), e.fleet.Self.DataCentre) {
		timing.Sleep(waitCtx, stopCheckInterval)
	}
	e.stopping.Store(true)
	e.fleet.Leave()
	timing.Sleep(ctx, forwardGrace)
}

// expire removes idle flows until the context ends.
func (e *Entry) expire(ctx context.Context) error {
	return timing.Every(ctx, expiryInterval, func(time.Time) {
		idle := defaultIdleTimeout
		if t := e.fleet.Routes.Load(); t != nil && t.IdleTimeout > 0 {
			idle = t.IdleTimeout
		}
		now := fleet.Now()
		e.flows.expire(now, idle+idleSlack)
		e.unrouted.Expire(now)
		e.searches.Expire(now)
		e.owners.Expire(now)
	})
}

// receive forwards callers' packets until the context ends.
func (e *Entry) receive(ctx context.Context) error {
	return fleet.ReadPackets(ctx, e.conn, e.counters.DropCounters, func(now time.Duration, p platform.Packet) {
		if p.Bounced() || p.Accepts() {
			e.counters.CountDrop("malformed")
			return
		}
		e.forward(now, &pendingPacket{Arrived: now, Value: p})
		e.counters.forwardSeconds.Update((fleet.Now() - now).Seconds())
	})
}

// retry decides again about held packets until the context ends.
func (e *Entry) retry(ctx context.Context) error {
	return fleet.Retry(ctx, e.held, func(item *pendingPacket) { e.forward(fleet.Now(), item) })
}

// resend sends the packets of searches again that an agent hasn't answered, until the context ends.
func (e *Entry) resend(ctx context.Context) error {
	return fleet.Retry(ctx, e.unanswered, func(item *pendingPacket) { e.resendPacket(fleet.Now(), item) })
}

// pendingPacket is a packet that waits for a decision.
type pendingPacket = holding.Item[platform.Packet]

// forward forwards, holds or drops a packet.
func (e *Entry) forward(now time.Duration, pending *pendingPacket) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if pending.Value.Opens() {
		e.openFlow(now, pending)
	} else {
		e.forwardToOwner(now, pending)
	}
}

// openFlow forwards an opening packet to the agent whose target gets the flow.
func (e *Entry) openFlow(now time.Duration, pending *pendingPacket) {
	p := pending.Value
	flow := p.CallerFlow()
	table := e.fleet.Routes.Load()
	if table == nil {
		e.hold(now, pending, "no routes known yet", routes.Position{})
		return
	}
	route, ok := table.Lookup(flow.Service())
	if !ok {
		e.resetFlow(flow, p, "no route", table)
		return
	}
	service := route.PickService(flow.Hash())
	all := e.rankedAgents(flow, service)
	agents := steering.WithoutEvacuated(all, e.fleet.Evacuated(now))
	if len(agents) < len(all) && steering.AllEnded(agents) && e.fleet.RosterComplete(now) {
		e.refuseEvacuated(now, pending, table)
		return
	}
	meanRequestTime := steering.MeanRequestTime(agents)
	late := steering.MissesObjective(p.Age()+now-pending.Arrived, route.Objective, meanRequestTime)
	in := e.admissionInput(now, pending, admission.Offer{Service: service, Route: route}, late, table, agents)
	index, tried := e.chooseAgent(now, pending, &in, service, agents, late)
	if in.HasRoom = index >= 0; e.refuseWithoutChance(now, pending, &in, table) {
		return
	}
	if index < 0 {
		if anyAccepts(now, agents) {
			pending.MarkNoCapacity(now)
			e.hold(now, pending, "all targets are full", table.Position)
			return
		}
		if e.fleet.RosterComplete(now) && steering.AllEnded(agents) {
			e.resetFlow(flow, p, "service without targets", table)
			return
		}
		e.hold(now, pending, "no target accepts", table.Position)
		return
	}
	agent := &agents[index]
	e.flows.put(now, flow, agent.ID)
	e.searches.End(flow)
	e.owners.End(flow)
	e.fleet.Roster.RecordPlacement(now, agent.ID)
	e.admission.RecordAdmitted(now, flow, &in)
	e.counters.flowsOpened.Inc()
	e.send(agent, &fleet.ForwardedPacket{Service: service, Routes: table.Position, Tried: tried, Packet: p})
	if e.logs.Usual.Allow() {
		e.logs.Usual.Log("flow opens", logging.KeyFlow, flow, "copy", p.CopyIndex(), "route", route.Name,
			logging.KeyService, service, logging.KeyRevision, table.Revision, logging.KeyVersion, table.Version,
			logging.KeyPeer, agent.Name, logging.KeyTarget, agent.Target.ID,
			"load", float32(steering.Load(now, agent, e.fleet.Self.DataCentre, meanRequestTime)), "late", late,
			logging.KeyAge, now-agent.LastSeen, "candidates", len(agents))
	}
}

// refuseEvacuated resets a new flow whose targets are all in evacuated data centres. A flow that may have been sent to
// an agent before, by this entry or another one, may have opened there, and must not be reset.
func (e *Entry) refuseEvacuated(now time.Duration, pending *pendingPacket, table *routes.Table) {
	p := pending.Value
	flow := p.CallerFlow()
	if _, sent := e.flows.get(now, flow); sent || p.CopyIndex() > 0 {
		e.hold(now, pending, "all data centres evacuated", table.Position)
		return
	}
	e.fleet.CountEvacuated()
	e.resetFlow(flow, p, "all data centres evacuated", table)
}

// chooseAgent returns the index of the agent for an opening packet, and the agents that are not to
// be tried again. Copies go to the same agent as the first packet, even if one of them was held in
// the meantime, unless that agent has to be replaced.
func (e *Entry) chooseAgent(
	now time.Duration, pending *pendingPacket, in *admission.Input, service string, agents []roster.Peer, late bool,
) (int, []ident.NodeID) {
	p := pending.Value
	requirements := in.Restrict(steering.Requirements{
		Origin: e.fleet.Self.DataCentre, CapacityWait: pending.CapacityWait(now), Late: late,
		Flow:     p.CallerFlow().Hash(),
		Locality: e.fleet.Locality(now, service, e.fleet.Self.DataCentre, p.CallerFlow(), agents),
	})
	if owner, ok := e.flows.get(now, p.CallerFlow()); ok {
		for i := range agents {
			if agents[i].ID == owner && steering.ReusesAgent(now, &agents[i], int(p.CopyIndex())) {
				return i, nil
			}
		}
		requirements.Tried = []ident.NodeID{owner}
	}
	index := steering.Place(now, requirements, agents)
	if index < 0 && len(requirements.Tried) > 0 { // no other agent can take the flow
		requirements.Tried = nil
		index = steering.Place(now, requirements, agents)
	}
	return index, requirements.Tried
}

// anyAccepts reports whether a target accepts new flows. A flow that finds no target then lacks
// only capacity.
func anyAccepts(now time.Duration, agents []roster.Peer) bool {
	for i := range agents {
		if steering.AcceptsNewFlows(&agents[i], now) {
			return true
		}
	}
	return false
}

// rankedAgents returns the agents of a service in the order in which they are tried for a new flow. The
// result is valid until the next call of it or of searchCandidates.
func (e *Entry) rankedAgents(flow steering.Flow, service string) []roster.Peer {
	e.agentBuffer = fleet.RankedAgents(e.fleet.Roster, e.agentBuffer, flow, e.fleet.Self.DataCentre, service)
	return e.agentBuffer
}

func (e *Entry) send(a *roster.Peer, fp *fleet.ForwardedPacket) {
	fp.Entry, fp.Origin = e.fleet.Self.Address, e.fleet.Self.DataCentre
	e.fleet.Send(a.Address, fp)
}

// resetFlow sends a reset for a flow that no target holds.
func (e *Entry) resetFlow(flow steering.Flow, p platform.Packet, reason string, table *routes.Table) {
	if p.Resets() {
		return
	}
	e.counters.CountReset(reason)
	to := netip.AddrPortFrom(flow.Caller().Addr(), e.callerPort)
	if _, err := e.conn.WriteToUDPAddrPort(platform.NewReset(p), to); err != nil {
		e.counters.CountDrop("send failed")
	}
	if e.logs.Unusual.Allow() {
		e.logs.Unusual.Log("flow reset", logging.KeyFlow, flow, "sequence", p.Sequence(), "opening", p.Opens(),
			logging.KeyReason, reason, logging.KeyRevision, table.Revision, logging.KeyVersion, table.Version)
	}
}

// hold queues a packet until a decision is possible. If the queue does not accept the packet it is
// dropped, and the caller's retransmission replaces it.
func (e *Entry) hold(now time.Duration, pending *pendingPacket, reason string, at routes.Position) {
	item, p := *pending, pending.Value
	item.Flow, item.Data = p.CallerFlow(), p.HasData()
	isNew := item.Arrived == now
	if p.Opens() {
		item.HoldTime = p.ValidFor()
	}
	if isNew {
		item.Value = platform.Packet(bytes.Clone(p)) // the receive buffer is reused for the next packet
	}
	kept := e.held.Put(now, item)
	if !kept {
		e.counters.CountDrop(reason)
	}
	if (!kept || isNew) && e.logs.Unusual.Allow() {
		e.logs.Unusual.Log("packet held", logging.KeyFlow, item.Flow, "sequence", p.Sequence(),
			"opening", p.Opens(), logging.KeyReason, reason, "kept", kept,
			logging.KeyAge, now-item.Arrived, logging.KeyRevision, at.Revision, logging.KeyVersion, at.Version)
	}
}
