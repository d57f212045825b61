package packetagent

import (
	"bytes"
	"context"
	"io"
	"math"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"lacewinglever.dev/node/fleet"
	"lacewinglever.dev/node/logging"
	"lacewinglever.dev/node/timing"
	"lacewinglever.dev/platform"
	"lacewinglever.dev/policy/holding"
	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/inflight"
	"lacewinglever.dev/policy/lifecycle"
	"lacewinglever.dev/policy/readmission"
	"lacewinglever.dev/policy/roster"
	"lacewinglever.dev/policy/steering"
)

const (
	// checkEvery is the interval in which the agent notices what the target's silence says.
	checkEvery = 50 * time.Millisecond
	// tellLoad is the change of the load, in requests a slot, that is told between two heartbeats. Entries that act on old loads all
	// place on the same target.
	tellLoad = 0.25
	// expireChecks is the number of checks of which one forgets idle flows.
	expireChecks = 20
	// stopGrace is how long an agent goes on passing packets after it announced its stop, for those on the way. Its target may live on,
	// so that a short absence is better than a long goodbye.
	stopGrace = 300 * time.Millisecond
	// deregisterTimeout bounds the removal of the record at the stop. The platform kills a process some 6 s after the signal.
	deregisterTimeout = 4 * time.Second
	deregisterPause   = 250 * time.Millisecond
	// offersWhenFull is the number of agents without room that pass a new flow on. The next one keeps it until its target has room: in an outage of
	// many, all are full.
	offersWhenFull = 2
	// idleFlow is the idle time after which a flow no longer counts as load.
	idleFlow = 20 * time.Second
)

// Agent passes packets between callers and the target beside it.
type Agent struct {
	settings *Settings
	logger   log.Logger
	fleet    *fleet.Fleet
	conn     *net.UDPConn // towards the target and the callers
	target   netip.AddrPort
	port     uint16 // of callers' addresses
	life     *lifecycle.Target
	flows    *inflight.Table
	offers   offers
	status   atomic.Pointer[lifecycle.Status] // at the last check
	told     atomic.Uint64                    // load in the last heartbeat, the bits of a float64
	logs     fleet.DecisionLogs
	counters counters
	scratch  sync.Pool // *[]roster.Peer
	held     *holding.Queue[fleet.ForwardedPacket]
	pacer    readmission.Pacer
}

type counters struct {
	fleet.DropCounters
	delivered *metrics.Counter
	returned  *metrics.Counter
	toCallers *metrics.Counter
	passedOn  *metrics.Counter
}

func newCounters(set *metrics.Set) counters {
	return counters{
		DropCounters: fleet.DropCounters{Set: set},
		delivered:    set.NewCounter("lacewing_packets_delivered_total"),
		returned:     set.NewCounter("lacewing_packets_given_back_total"),
		toCallers:    set.NewCounter("lacewing_packets_to_callers_total"),
		passedOn:     set.NewCounter("lacewing_packets_passed_on_total"),
	}
}

// Main runs an agent until the context ends.
func Main(ctx context.Context, path string, logs io.Writer) error {
	settings, err := LoadSettings(path)
	if err != nil {
		return err
	}
	p := fleet.NewProgram(&settings.Settings, logs)
	a, err := newAgent(settings, p)
	if err != nil {
		return err
	}
	return p.Run(ctx, a.stop,
		a.fleet.Run, a.receive, a.retry, a.watch,
		fleet.Serve(settings.Reports, platform.TargetHandler(a)),
		fleet.Serve(settings.Ready, platform.ReadyHandler(func() bool { return true })),
		fleet.WatchSettings(p, a.fleet, path, settings, LoadSettings, func(s *Settings) *fleet.Settings { return &s.Settings }),
	)
}

func newAgent(s *Settings, p *fleet.Program) (*Agent, error) {
	a := &Agent{
		held:     holding.NewQueue[fleet.ForwardedPacket](),
		settings: s, logger: p.Logger, counters: newCounters(p.Metrics), flows: inflight.New(),
		life: lifecycle.New(fleet.Now(), lifecycle.Options{Heartbeat: s.Heartbeat, AddressReuse: s.AddressReuse}),
		logs: p.Decisions(),
	}
	a.scratch.New = func() any { return new([]roster.Peer) }
	a.status.Store(&lifecycle.Status{})
	p.Metrics.NewGauge("lacewing_flows", func() float64 { return float64(a.flows.Load(fleet.Now()).Flows) })
	p.Metrics.NewGauge("lacewing_requests_in_progress", func() float64 { return a.flows.Load(fleet.Now()).Busy })
	p.Metrics.NewGauge("lacewing_packets_held", func() float64 { return float64(a.held.Len()) })
	p.Metrics.NewGauge("lacewing_requests_broken_off_share", func() float64 { return a.flows.Load(fleet.Now()).Failing })
	callers, err := netip.ParseAddrPort(s.CallersAddress)
	if err != nil {
		return nil, errors.Wrap(err, "callers_address")
	}
	a.port = callers.Port()
	if a.target, err = netip.ParseAddrPort(s.Target); err != nil {
		return nil, errors.Wrap(err, "target")
	}
	if a.conn, err = fleet.ListenUDP(s.FromTarget); err != nil {
		return nil, err
	}
	a.fleet, err = fleet.New(fleet.Options{
		Settings: &s.Settings, Service: s.Service, OnDrained: a.drained, Handler: a, Logger: p.Logger, Metrics: p.Metrics,
	})
	return a, err
}

// RecordOwner counts a message that was sent to an agent by mistake.
func (a *Agent) RecordOwner(steering.Flow, ident.NodeID) {
	a.counters.CountDrop("owner told to an agent")
}

// FillHeartbeat tells what the target takes.
func (a *Agent) FillHeartbeat(now time.Duration, b *roster.Heartbeat) {
	s := a.life.Status(now)
	load := a.flows.Load(now)
	a.told.Store(math.Float64bits(load.Busy))
	b.Target = roster.Target{
		Service: a.service(&s), ID: s.ID, StartUnixMs: s.StartUnixMs, Accepting: s.Accepting, Ended: s.Ended, MayHaveEnded: s.MayHaveEnded, WarmingUp: s.WarmingUp, Slots: s.Slots,
		Flows: load.Flows, Busy: load.Busy, Rate: load.Rate, Failing: load.Failing,
	}
}

// service returns the service of the target: the one that it has reported, else the one that the settings expect.
func (a *Agent) service(s *lifecycle.Status) string {
	if s.Service != "" {
		return s.Service
	}
	return a.settings.Service
}

// HandleHeartbeat takes a report of the target.
func (a *Agent) HandleHeartbeat(r lifecycle.Report, address string) error {
	if from, err := netip.ParseAddrPort(address); err != nil || from != a.target {
		return errors.Errorf("report of %s names another target: %q", r.ID, address)
	}
	if t := a.fleet.Routes.Load(); t != nil {
		if _, ok := t.Services[r.Service]; !ok {
			return errors.Errorf("report of %s names unknown service %q", r.ID, r.Service)
		}
	}
	now := fleet.Now()
	before := a.life.Status(now)
	verdict := a.life.RecordReport(now, r)
	if verdict == lifecycle.Accepted {
		return nil
	}
	if before.StartUnixMs != r.StartUnixMs && verdict == lifecycle.Changed {
		a.flows.Clear()
	}
	a.fleet.SetDraining(a.life.Draining())
	a.believe("report "+string(verdict), &r)
	return nil
}

// HandleLeave takes the target's word that it ends.
func (a *Agent) HandleLeave(id string) {
	a.believe("leave "+string(a.life.RecordLeave(id)), &lifecycle.Report{ID: id})
}

// drained takes the record's word that the target had announced its end before this process started.
func (a *Agent) drained() {
	a.life.MarkDrained()
	_ = level.Info(a.logger).Log(logging.KeyMessage, "target: drained before this start", logging.KeyService, a.settings.Service)
}

// believe logs what a call of the target changed, and tells the fleet.
func (a *Agent) believe(what string, r *lifecycle.Report) {
	_ = level.Info(a.logger).Log(
		logging.KeyMessage, "target: "+what, logging.KeyTarget, r.ID, logging.KeyService, r.Service, "version", r.Version, "born", r.StartUnixMs,
		"sequence", r.Sequence, "draining", r.Draining, "cold", r.WarmUpLeft, "slots", r.Slots)
	a.fleet.Announce()
}

// RejectCall counts and logs a call that names no target to use.
func (a *Agent) RejectCall(call string, err error) {
	a.counters.Set.GetOrCreateCounter(`lacewing_target_calls_refused_total{call="` + call + `"}`).Inc()
	if a.logs.Unusual.Allow() {
		a.logs.Unusual.Log("target call refused", "call", call, logging.KeyError, err)
	}
}

// watch notices changes that time brings, until the context ends.
func (a *Agent) watch(ctx context.Context) error {
	round := 0
	return timing.Every(ctx, checkEvery, func(time.Time) {
		now := fleet.Now()
		if round++; round%expireChecks == 0 {
			a.flows.Expire(now, idleFlow)
		}
		a.notice(now)
	})
}

// notice tells the fleet of a changed load or state of the target.
func (a *Agent) notice(now time.Duration) {
	s := a.life.Status(now)
	before := a.status.Swap(&s)
	if busy := a.flows.Load(now).Busy; math.Abs(busy-math.Float64frombits(a.told.Load())) > tellLoad*float64(max(s.Slots, 1)) {
		a.fleet.AnnounceLoad()
	}
	if s.Accepting == before.Accepting && s.Ended == before.Ended && s.MayHaveEnded == before.MayHaveEnded {
		return
	}
	if s.Ended && !before.Ended {
		a.flows.Clear()
	}
	_ = level.Info(a.logger).Log(
		logging.KeyMessage, "target state", logging.KeyTarget, s.ID, logging.KeyService, s.Service, "accepting", s.Accepting,
		"absent", s.Ended, "doubtful", s.MayHaveEnded, logging.KeyReason, s.Reason, logging.KeyAge, s.Age)
	a.fleet.Announce()
}

// stop announces the stop and passes on what is on the way. The record goes only if the target has ended: else the process is being restarted. A
// target that has announced its end is gone by now, because the platform stops an agent after its target.
func (a *Agent) stop(ctx context.Context) {
	for a.life.AwaitsFirstReport(fleet.Now()) && timing.Sleep(ctx, checkEvery) {
		continue // others would have to wait for much longer for an agent that stops beside an unknown target
	}
	a.life.MarkStopping(fleet.Now())
	a.fleet.Leave()
	if a.life.Draining() {
		a.deregister(ctx)
	}
	timing.Sleep(ctx, stopGrace)
}

// deregister removes the record, and tries again while the store is away and the platform lets the process live.
func (a *Agent) deregister(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, deregisterTimeout)
	defer cancel()
	for {
		err := a.fleet.Deregister(ctx)
		if err == nil {
			return
		}
		if !timing.Sleep(ctx, deregisterPause) {
			_ = level.Warn(a.logger).Log(logging.KeyMessage, "record not removed", logging.KeyError, err)
			return
		}
	}
}

// receive reads what the target sends until the context ends.
func (a *Agent) receive(ctx context.Context) error {
	return fleet.ReadPackets(ctx, a.conn, a.counters.DropCounters, func(now time.Duration, p platform.Packet) {
		if p.Accepts() || p.HasData() && !p.Bounced() {
			a.life.RecordSent(now)
		} else {
			a.life.RecordAnswer()
		}
		if p.Bounced() {
			a.givenBack(now, p)
			return
		}
		a.toCaller(now, p)
	})
}

// event returns what a packet says of its flow.
func event(p platform.Packet) inflight.Event {
	return inflight.Event{Data: p.HasData(), Sequence: p.Sequence(), Finishes: p.Finishes(), Resets: p.Resets()}
}

// toCaller sends a packet of the target to its caller.
func (a *Agent) toCaller(now time.Duration, p platform.Packet) {
	flow := p.TargetFlow()
	a.flows.RecordSent(now, flow, event(p))
	a.counters.toCallers.Inc()
	a.send(netip.AddrPortFrom(flow.Caller().Addr(), a.port), p)
	if entry, ok := a.offers.asker(flow); ok {
		a.fleet.SendOwner(entry, flow)
	}
}

func (a *Agent) send(to netip.AddrPort, p platform.Packet) {
	if _, err := a.conn.WriteToUDPAddrPort(p, to); err != nil {
		a.counters.CountDrop("send failed")
	}
}

// arrival is a packet from another node, which has perhaps been held.
type arrival = holding.Item[fleet.ForwardedPacket]

// HandlePacket takes a caller's packet from another node.
func (a *Agent) HandlePacket(now time.Duration, r *fleet.ForwardedPacket) {
	a.handle(now, &arrival{Arrived: now, Value: *r})
}

// retry decides again about packets that were held, until the context ends.
func (a *Agent) retry(ctx context.Context) error {
	return fleet.Retry(ctx, a.held, func(item *arrival) { a.again(fleet.Now(), item) })
}

// again decides about a held packet. A new flow may open at any target by now; an open flow is not held by those that gave its packet back.
func (a *Agent) again(now time.Duration, item *arrival) {
	if platform.Packet(item.Value.Packet).Opens() {
		item.Value.Tried = nil
		a.handle(now, item)
		return
	}
	a.passOn(now, item)
}

// hold keeps a packet until a decision is possible. A packet that can't be kept is left to be sent again by its caller.
func (a *Agent) hold(now time.Duration, arrived *arrival, reason string) bool {
	item, r := *arrived, &arrived.Value
	p := platform.Packet(r.Packet)
	item.Flow = p.CallerFlow()
	if p.Opens() {
		item.HoldTime = p.ValidFor()
	}
	if item.Arrived == now { // the buffers are used for the next packet
		item.Value.Packet = bytes.Clone(r.Packet)
		item.Value.Tried = slices.Clone(r.Tried)
	}
	kept := a.held.Put(now, item)
	if !kept {
		a.counters.CountDrop(reason)
	}
	return kept
}

// handle takes a caller's packet.
func (a *Agent) handle(now time.Duration, arrived *arrival) {
	r := &arrived.Value
	p, err := platform.ParsePacket(r.Packet)
	if err != nil {
		a.counters.CountDrop("malformed")
		return
	}
	s := a.life.Status(now)
	if p.Opens() {
		if arrived.Arrived == now {
			a.fleet.RecordOffer(now, r.Origin, r.Entry)
		}
		if reason := a.refuses(&s, p, r); reason != "" {
			a.passOpening(now, arrived, reason)
			return
		}
		if need, requests := a.need(now, arrived), a.flows.Outstanding(now); !need.Fits(float64(requests), s.Slots) {
			a.awaitRoom(now, arrived, &need, requests)
			return
		}
		a.life.RecordOffer(now)
		a.flows.RecordOpening(now, p.CallerFlow())
		if a.logs.Usual.Allow() {
			load := a.flows.Load(now)
			a.logs.Usual.Log("flow offered", logging.KeyFlow, p.CallerFlow(), "copy", p.CopyIndex(), logging.KeyService, s.Service,
				logging.KeyTarget, s.ID, logging.KeyRevision, r.Revision, "tried", len(r.Tried), "flows", load.Flows, "busy", float32(load.Busy), "failing", float32(load.Failing),
				logging.KeyAge, s.Age)
		}
	} else if s.Ended || r.Service != "" && r.Service != a.service(&s) {
		a.passOn(now, arrived)
		return
	}
	a.deliver(now, r, p)
}

// awaitRoom offers a new flow that the target has no room for to another one, unless it has waited here before or been to as many as may have room: it
// then waits here.
func (a *Agent) awaitRoom(now time.Duration, arrived *arrival, need *steering.Requirements, requests int) {
	waited := arrived.NoCapacitySince != 0
	arrived.MarkNoCapacity(now)
	if !waited && len(arrived.Value.Tried) < offersWhenFull {
		a.passOpening(now, arrived, "full")
		return
	}
	kept := a.hold(now, arrived, "full")
	if (!waited || !kept) && a.logs.Unusual.Allow() {
		p := platform.Packet(arrived.Value.Packet)
		a.logs.Unusual.Log("flow waits for room", logging.KeyFlow, p.CallerFlow(), "copy", p.CopyIndex(), logging.KeyService, arrived.Value.Service,
			"requests", requests, "late", need.Late, "kept", kept, logging.KeyAge, now-arrived.Arrived)
	}
}

// refuses returns why the target may not take a new flow, empty if it may.
func (a *Agent) refuses(s *lifecycle.Status, p platform.Packet, r *fleet.ForwardedPacket) string {
	if !s.Accepting {
		return s.Reason
	}
	if r.Service != s.Service {
		return "target of another service"
	}
	// Routes that are newer here than at the entry decide; the entry's are checked by the service that it names.
	if t := a.fleet.Routes.Load(); t != nil && t.Revision >= r.Revision {
		if route, ok := t.Lookup(p.CallerFlow().Service()); !ok || !route.HasService(s.Service) {
			return "route changed"
		}
	}
	return ""
}

// deliver passes a packet to the target.
func (a *Agent) deliver(now time.Duration, r *fleet.ForwardedPacket, p platform.Packet) {
	flow := p.CallerFlow()
	p.ClearBounced()
	p.SetToken(a.offers.add(flow, r))
	if !p.Opens() {
		a.flows.RecordDelivered(now, flow, event(p))
	}
	a.counters.delivered.Inc()
	a.send(a.target, p)
}

// givenBack handles a packet whose flow the target doesn't hold or can't accept.
func (a *Agent) givenBack(now time.Duration, p platform.Packet) {
	flow := p.CallerFlow()
	a.counters.returned.Inc()
	a.flows.RecordBounced(now, flow)
	r, ok := a.offers.take(p.Token(), flow)
	if !ok {
		a.counters.CountDrop("given back without an offer")
		return
	}
	p.ClearBounced()
	r.Packet = p
	if p.Opens() {
		a.life.RecordBounced(now)
		a.passOpening(now, &arrival{Arrived: now, Value: r}, "given back by the target")
		return
	}
	a.passOn(now, &arrival{Arrived: now, Value: r})
}

// ranked calls f with the agents of the relay's service, in the order for the flow.
func (a *Agent) ranked(flow steering.Flow, r *fleet.ForwardedPacket, f func([]roster.Peer)) {
	agents := a.scratch.Get().(*[]roster.Peer)
	defer a.scratch.Put(agents)
	*agents = a.fleet.Roster.Agents((*agents)[:0], r.Service)
	steering.Rank(flow.Hash(), r.Origin, *agents)
	f(*agents)
}

// pass sends a packet to another agent.
func (a *Agent) pass(to netip.AddrPort, r *fleet.ForwardedPacket) {
	if !a.fleet.Send(to, r) {
		a.counters.CountDrop("offered to too many agents")
	}
}

// reset ends a flow that no target holds, as fast as the targets take its callers back. It returns what became of the packet.
func (a *Agent) reset(now time.Duration, arrived *arrival, load float64) string {
	p := platform.Packet(arrived.Value.Packet)
	if p.Resets() {
		return "dropped"
	}
	if !a.pacer.Admit(now, a.life.Status(now).Slots, load) {
		if a.hold(now, arrived, "reset paced") {
			return "held, reset paced"
		}
		return "dropped, reset paced"
	}
	a.counters.CountReset("no target holds the flow")
	a.send(netip.AddrPortFrom(p.CallerFlow().Caller().Addr(), a.port), platform.NewReset(p))
	return "reset"
}

// tried notes that the own target doesn't take or hold the flow.
func (a *Agent) tried(r *fleet.ForwardedPacket) {
	if !slices.Contains(r.Tried, a.fleet.Self.ID) {
		r.Tried = append(r.Tried, a.fleet.Self.ID)
	}
}

// need returns what a new flow asks of a target.
func (a *Agent) need(now time.Duration, arrived *arrival) steering.Requirements {
	r := &arrived.Value
	p := platform.Packet(r.Packet)
	typical := a.flows.Load(now).MeanRequestTime()
	return steering.Requirements{
		Origin: r.Origin, CapacityWait: arrived.CapacityWait(now), Tried: r.Tried,
		Late: steering.MissesObjective(p.Age()+now-arrived.Arrived, a.objective(p.CallerFlow()), typical),
	}
}

// passOpening offers a new flow to another target.
func (a *Agent) passOpening(now time.Duration, arrived *arrival, reason string) {
	r, since := &arrived.Value, arrived.Arrived
	p := platform.Packet(r.Packet)
	flow := p.CallerFlow()
	a.tried(r)
	a.ranked(flow, r, func(agents []roster.Peer) {
		at := steering.Place(now, a.need(now, arrived), agents)
		to := ""
		if at >= 0 {
			to = agents[at].Name
			a.counters.passedOn.Inc()
			r.WantsOwner = true
			a.pass(agents[at].Address, r)
		} else {
			a.hold(now, arrived, "no target accepts")
		}
		if (at >= 0 || since == now) && a.logs.Unusual.Allow() {
			a.logs.Unusual.Log("flow not accepted", logging.KeyFlow, flow, "copy", p.CopyIndex(), logging.KeyReason, reason, logging.KeyService, r.Service,
				"to", to, "tried", len(r.Tried), "candidates", len(agents))
		}
	})
}

// objective returns the latency objective of a flow's route, 0 if it is not known.
func (a *Agent) objective(flow steering.Flow) time.Duration {
	if t := a.fleet.Routes.Load(); t != nil {
		if route, ok := t.Lookup(flow.Service()); ok {
			return route.Objective
		}
	}
	return 0
}

// passOn passes a packet of an open flow to the next agent that may hold it. If there is none, the flow is reset.
func (a *Agent) passOn(now time.Duration, arrived *arrival) {
	r, since := &arrived.Value, arrived.Arrived
	p := platform.Packet(r.Packet)
	flow := p.CallerFlow()
	a.tried(r)
	a.ranked(flow, r, func(agents []roster.Peer) {
		at, verdict := steering.NextCandidate(now, agents, r.Tried, r.Service != "" && a.fleet.RosterComplete(now))
		outcome := ""
		switch verdict {
		case steering.Continue:
			outcome = "passed on to " + agents[at].Name
			a.counters.passedOn.Inc()
			a.pass(agents[at].Address, r)
		case steering.Unknown:
			outcome = "held, agents unknown"
			if at >= 0 {
				outcome = "held for " + agents[at].Name
			}
			if !a.hold(now, arrived, "agents unknown") {
				outcome = "dropped, agents unknown"
			}
		case steering.NotFound:
			outcome = a.reset(now, arrived, steering.MeanLoad(now, agents))
		}
		if (!strings.HasPrefix(outcome, "held") || since == now) && a.logs.Unusual.Allow() {
			a.logs.Unusual.Log("flow not held", logging.KeyFlow, flow, "sequence", p.Sequence(), logging.KeyService, r.Service,
				logging.KeyRevision, r.Revision, "outcome", outcome, "tried", len(r.Tried), "candidates", len(agents))
		}
	})
}
