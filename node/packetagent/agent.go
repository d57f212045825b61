package packetagent

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"net/netip"
	"slices"
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
	"lacewinglever.dev/policy/admission"
	"lacewinglever.dev/policy/coldlimit"
	"lacewinglever.dev/policy/flowlist"
	"lacewinglever.dev/policy/holding"
	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/inflight"
	"lacewinglever.dev/policy/outlier"
	"lacewinglever.dev/policy/resetpacing"
	"lacewinglever.dev/policy/roster"
	"lacewinglever.dev/policy/routes"
	"lacewinglever.dev/policy/steering"
	"lacewinglever.dev/policy/targetstate"
)

const (
	// checkInterval is the interval at which the agent checks whether the target's silence or load
	// changes its state.
	checkInterval = 50 * time.Millisecond
	// announcedLoadStep is the change of the load, in requests per slot, above which a heartbeat is
	// sent to the recent entries before the next round. Entries that act on a stale load
	// all place their flows on the same target.
	announcedLoadStep = 0.25
	// maxCheckGap is the time between two checks above which the process was stalled, and packets may have been lost.
	maxCheckGap = time.Second
	// startSlack allows for the difference between the clocks by which a target's start and a packet's arrival are known.
	startSlack = 100 * time.Millisecond
	// checksPerExpiry is the number of checks of which one removes idle flows.
	checksPerExpiry = 20
	// stopGrace is how long an agent continues to forward packets that are on the way, after it has
	// announced its stop. It is short because the target may outlive the agent: what counts then is
	// that the next agent starts soon.
	stopGrace = 300 * time.Millisecond
	// maxStopTime bounds the time in which a stopping agent waits for its target and deletes the node's
	// record. The platform kills a process some 6 s after the signal.
	maxStopTime             = 5500*time.Millisecond - stopGrace
	deregisterRetryInterval = 250 * time.Millisecond
	// maxOffersWhenFull is the number of agents without capacity that forward a new flow. The next
	// one holds it until its target has capacity: after the loss of many targets, all others are
	// full.
	maxOffersWhenFull = 2
	// flowIdleTimeout is the idle time after which a flow no longer counts as load, unless the routes have a longer one.
	flowIdleTimeout = 20 * time.Second
	// idleSlack is added to the idle timeout of the routes: a flow that may still be used has to be known.
	idleSlack = 5 * time.Second
)

// reasonEvacuated is the reason why an agent refuses new flows while its data centre is evacuated.
const reasonEvacuated = "data centre evacuated"

// Agent forwards packets between callers and the target beside it.
type Agent struct {
	settings   *Settings
	logger     log.Logger
	fleet      *fleet.Fleet
	conn       *net.UDPConn // sends to the target and to callers, receives from the target
	target     netip.AddrPort
	callerPort uint16 // port of the address to which callers' packets are sent
	// knownSince is the time since which all packets of the target's flows have been seen, unless the agent has listened
	// since the target's start: the start of the process, the end of a stall, or the time at which the flows were cleared.
	knownSince atomic.Int64
	// cleared is set while the flows were cleared because the target counted as ended, and no other one has started.
	cleared       atomic.Bool
	targetState   *targetstate.Target
	flows         *inflight.Table
	offers        offers
	lastStatus    atomic.Pointer[targetstate.Status] // at the last check
	announcedLoad atomic.Uint64                      // load in the last heartbeat, the bits of a float64
	former        routes.Former                      // only used by the goroutine of watchTarget
	formerRoutes  atomic.Pointer[[]netip.AddrPort]   // at the last check
	logs          fleet.DecisionLogs
	counters      counters
	agentBuffers  sync.Pool // *[]roster.Peer
	held          *holding.Queue[fleet.ForwardedPacket]
	awaiting      *holding.Queue[fleet.ForwardedPacket] // of flows that other agents have listed
	pacer         resetpacing.Pacer
	outlier       atomic.Bool   // the target is judged an outlier
	judgement     outlier.Watch // only used by the goroutine of watchTarget
	poolTime      time.Duration // mean time of a request in the pool; as for judgement
	cold          coldlimit.Limiter
	wasEvacuated  atomic.Bool // this data centre was evacuated at the last check

	admission        *admission.Controller
	admissionMetrics fleet.AdmissionMetrics
}

type counters struct {
	fleet.DropCounters
	delivered *metrics.Counter
	bounced   *metrics.Counter
	toCallers *metrics.Counter
	forwarded *metrics.Counter
	// flowsAsked counts the flows for whose owner entries have asked.
	flowsAsked *metrics.Counter
}

func newCounters(set *metrics.Set) counters {
	return counters{
		DropCounters: fleet.DropCounters{Set: set},
		delivered:    set.NewCounter("lacewing_packets_delivered_total"),
		bounced:      set.NewCounter("lacewing_packets_given_back_total"),
		toCallers:    set.NewCounter("lacewing_packets_to_callers_total"),
		forwarded:    set.NewCounter("lacewing_packets_passed_on_total"),
		flowsAsked:   set.NewCounter("lacewing_owner_queries_flows_total"),
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
		a.fleet.Run, a.receive, a.retry, a.retryAwaiting, a.watchTarget,
		fleet.Serve(settings.Reports, platform.TargetHandler(a)),
		fleet.Serve(settings.Ready, platform.ReadyHandler(func() bool { return true })),
		fleet.WatchSettings(p, a.fleet, path, settings, LoadSettings,
			func(s *Settings) *fleet.Settings { return &s.Settings }),
	)
}

func newAgent(s *Settings, p *fleet.Program) (*Agent, error) {
	a := &Agent{
		held: holding.NewQueue[fleet.ForwardedPacket](), awaiting: holding.NewQueue[fleet.ForwardedPacket](),
		settings: s, logger: p.Logger, counters: newCounters(p.Metrics), flows: inflight.New(),
		targetState: targetstate.New(fleet.Now(), targetstate.Options{Heartbeat: s.Heartbeat, AddressReuse: s.AddressReuse}),
		logs:        p.NewDecisionLogs(),
		admission:   admission.New(),
	}
	a.admissionMetrics = fleet.AdmissionMetrics{Set: p.Metrics, Waiting: a.held.Waiting}
	a.knownSince.Store(int64(fleet.Now()))
	a.agentBuffers.New = func() any { return new([]roster.Peer) }
	a.lastStatus.Store(&targetstate.Status{})
	p.Metrics.NewGauge("lacewing_flows", func() float64 { return float64(a.flows.Load(fleet.Now()).Flows) })
	p.Metrics.NewGauge("lacewing_requests_in_progress", func() float64 { return a.flows.Load(fleet.Now()).Busy })
	p.Metrics.NewGauge("lacewing_packets_held", func() float64 { return float64(a.held.Len() + a.awaiting.Len()) })
	p.Metrics.NewGauge("lacewing_requests_broken_off_share", func() float64 { return a.flows.Load(fleet.Now()).Failing })
	p.Metrics.NewGauge("lacewing_target_outlier", a.outlierValue)
	p.Metrics.NewGauge("lacewing_target_slowdown_seconds", func() float64 { return a.flows.Load(fleet.Now()).Slowdown.Seconds() })
	callers, err := netip.ParseAddrPort(s.CallersAddress)
	if err != nil {
		return nil, errors.Wrap(err, "callers_address")
	}
	a.callerPort = callers.Port()
	if a.target, err = netip.ParseAddrPort(s.Target); err != nil {
		return nil, errors.Wrap(err, "target")
	}
	if a.conn, err = fleet.ListenUDP(s.FromTarget); err != nil {
		return nil, err
	}
	a.fleet, err = fleet.New(fleet.Options{
		Settings: &s.Settings, Service: s.Service, OnDrained: a.onDrained, Handler: a, Logger: p.Logger,
		Metrics: p.Metrics,
	})
	return a, err
}

// RecordOwner counts a message that was sent to an agent by mistake.
func (a *Agent) RecordOwner(steering.Flow, ident.NodeID) {
	a.counters.CountDrop("owner told to an agent")
}

// RecordProgress counts a message that was sent to an agent by mistake.
func (a *Agent) RecordProgress(time.Duration, steering.Flow, ident.NodeID, ident.NodeID) {
	a.counters.CountDrop("search progress told to an agent")
}

// FillHeartbeat sets the state and load of the target.
func (a *Agent) FillHeartbeat(now time.Duration, hb *roster.Heartbeat) {
	s := a.targetState.Status(now)
	load := a.flows.Load(now)
	a.announcedLoad.Store(math.Float64bits(load.Busy))
	var former []netip.AddrPort
	if p := a.formerRoutes.Load(); p != nil {
		former = *p
	}
	flowLoad := 0.0 // unknown
	if a.settings.LocalityFailover {
		flowLoad = a.flows.FlowLoad(now, s.Slots)
	}
	hb.Target = roster.Target{
		FormerRoutes: former,
		Service:      a.service(&s), ID: s.ID, StartUnixMs: s.StartUnixMs, Accepting: s.Accepting, Ended: s.Ended,
		MayHaveEnded: s.MayHaveEnded, WarmingUp: s.WarmingUp || a.cold.IsCold(now, a.coldLimits(&s), s.WarmingUp), Slots: s.Slots,
		Flows: load.Flows, Busy: load.Busy, Rate: load.Rate, Failing: load.Failing,
		FlowLoad: flowLoad, Slowdown: load.Slowdown,
	}
}

// service returns the service that the target has reported, else the one that the settings expect.
func (a *Agent) service(s *targetstate.Status) string {
	if s.Service != "" {
		return s.Service
	}
	return a.settings.Service
}

// HandleHeartbeat handles a report of the target. An error means that the report is not of this
// agent's target or names an unknown service that the target wasn't known or expected to have.
func (a *Agent) HandleHeartbeat(r targetstate.Report, address string) error {
	if from, err := netip.ParseAddrPort(address); err != nil || from != a.target {
		return errors.Errorf("report of %s names another target: %q", r.ID, address)
	}
	now := fleet.Now()
	before := a.targetState.Status(now)
	// A running target keeps its flows when its service is removed, or not in force here yet.
	if t := a.fleet.Routes.Load(); t != nil && r.Service != a.service(&before) {
		if _, ok := t.Services[r.Service]; !ok {
			return errors.Errorf("report of %s names unknown service %q", r.ID, r.Service)
		}
	}
	result := a.targetState.RecordReport(now, r)
	if result == targetstate.Accepted {
		return nil
	}
	if result == targetstate.Changed {
		if before.StartUnixMs != r.StartUnixMs {
			start := now - r.Age - startSlack
			if r.Age < 0 {
				start = 0
			}
			a.flows.ClearBefore(start)
			a.cleared.Store(false)
			a.cold.RecordCold(now - max(0, time.Since(time.UnixMilli(r.StartUnixMs))))
		}
		if before.StartUnixMs != 0 && before.StartUnixMs != r.StartUnixMs {
			a.fleet.OwnFlows().Clear()
		}
		a.fleet.RecordTargetReport(a.targetState.Draining())
	}
	a.announceCall("report "+string(result), &r)
	return nil
}

// HandleLeave handles the target's call that it is ending.
func (a *Agent) HandleLeave(id string, startUnixMs int64) {
	a.announceCall("leave "+string(a.targetState.RecordLeave(id, startUnixMs)), &targetstate.Report{ID: id, StartUnixMs: startUnixMs})
}

// onDrained marks the target as drained, because the node's record contains that it announced its
// end before this process started.
func (a *Agent) onDrained() {
	a.targetState.MarkDrained()
	_ = level.Info(a.logger).Log(logging.KeyMessage, "target: drained before the agent started",
		logging.KeyService, a.settings.Service)
}

// announceCall logs what a call of the target has changed, and announces the target's state.
func (a *Agent) announceCall(change string, r *targetstate.Report) {
	_ = level.Info(a.logger).Log(
		logging.KeyMessage, "target: "+change, logging.KeyTarget, r.ID, logging.KeyService, r.Service,
		"version", r.Version, "born", r.StartUnixMs, "sequence", r.Sequence, "draining", r.Draining,
		"cold", r.WarmUpLeft, "slots", r.Slots)
	a.fleet.Announce()
}

// RejectCall counts and logs a call that is malformed or is not of this agent's target.
func (a *Agent) RejectCall(call string, err error) {
	a.counters.Set.GetOrCreateCounter(`lacewing_target_calls_refused_total{call="` + call + `"}`).Inc()
	if a.logs.Unusual.Allow() {
		a.logs.Unusual.Log("target call rejected", "call", call, logging.KeyError, err)
	}
}

// watchTarget checks the state of the target periodically, until the context ends.
func (a *Agent) watchTarget(ctx context.Context) error {
	round, lastCheck := 0, time.Duration(0)
	var checked routes.Position // of the table in force at the last check of the former routes
	return timing.Every(ctx, checkInterval, func(time.Time) {
		now := fleet.Now()
		a.targetState.RecordRunning(now)
		a.admission.RecordRunning(now)
		if lastCheck != 0 && now-lastCheck > maxCheckGap {
			a.knownSince.Store(int64(now))
		}
		lastCheck = now
		round++
		expires := round%checksPerExpiry == 0
		if table := a.fleet.Routes.Load(); expires || table.PositionOrZero() != checked {
			checked = table.PositionOrZero()
			a.checkFormerRoutes(now, table)
		}
		if expires {
			a.fleet.OwnFlows().Record(now, flowlist.ListOf(a.flows.Expire(now, a.idleTimeout())))
		}
		a.checkTarget(now)
		if round%checksPerJudgement == 0 {
			a.judgeTarget(now)
		}
	})
}

// checkFormerRoutes announces a change of the addresses of open flows whose route doesn't lead to the service
// of the target any more. Nodes that start later find these flows only by them.
func (a *Agent) checkFormerRoutes(now time.Duration, table *routes.Table) {
	s := a.targetState.Status(now)
	former := a.former.Update(now, table, a.service(&s), a.flows.ServiceAddresses())
	if before := a.formerRoutes.Swap(&former); before == nil && len(former) == 0 || before != nil && slices.Equal(*before, former) {
		return
	}
	_ = level.Info(a.logger).Log(logging.KeyMessage, "flows of former routes", logging.KeyService, a.service(&s),
		"addresses", fmt.Sprint(former))
	a.fleet.Announce()
}

// checkTarget sends heartbeats if the load or the state of the target has changed.
func (a *Agent) checkTarget(now time.Duration) {
	a.evacuationReason(now)
	s := a.targetState.Status(now)
	before := a.lastStatus.Swap(&s)
	a.flows.SetPool(now, s.Slots, a.poolTime)
	if busy := a.flows.Load(now).Busy; math.Abs(
		busy-math.Float64frombits(a.announcedLoad.Load())) > announcedLoadStep*float64(max(s.Slots, 1)) {
		a.fleet.AnnounceLoad()
	}
	if s.Accepting == before.Accepting && s.Ended == before.Ended && s.MayHaveEnded == before.MayHaveEnded {
		return
	}
	if s.Ended && !before.Ended {
		a.flows.Clear()
		a.cleared.Store(true) // a target that was only silent still holds its flows
		a.knownSince.Store(int64(now))
		a.fleet.OwnFlows().Clear()
	}
	_ = level.Info(a.logger).Log(
		logging.KeyMessage, "target state", logging.KeyTarget, s.ID, logging.KeyService, s.Service,
		"accepting", s.Accepting, "absent", s.Ended, "doubtful", s.MayHaveEnded, logging.KeyReason, s.Reason,
		logging.KeyAge, s.Age)
	a.fleet.Announce()
}

// stop announces the stop and forwards the packets that are on the way. It deletes the node's record
// only if the target has ended: otherwise the process is being restarted, and the target holds flows.
func (a *Agent) stop(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, maxStopTime)
	defer cancel()
	for a.targetState.AwaitsFirstReport(fleet.Now()) && timing.Sleep(bounded, checkInterval) {
		// If the target's state stayed unknown, searches of other nodes would wait much longer for
		// this agent.
		continue
	}
	ended := a.targetState.MarkStopping(fleet.Now())
	_ = level.Info(a.logger).Log(logging.KeyMessage, "leaving", logging.KeyTarget, a.targetState.Status(fleet.Now()).ID,
		"draining", a.targetState.Draining(), "absent", ended)
	a.fleet.Leave()
	if ended {
		a.deregister(bounded)
		timing.Sleep(ctx, stopGrace)
		return
	}
	a.fleet.SendFlowList(a.flows.Served())
	timing.Sleep(ctx, stopGrace/2)
	a.fleet.SendFlowList(a.flows.Served()) // datagrams may be lost, and more flows have been served
	timing.Sleep(ctx, stopGrace/2)
}

// deregister deletes the node's record. It retries while the store is unavailable, until the context
// ends.
func (a *Agent) deregister(ctx context.Context) {
	for {
		err := a.fleet.Deregister(ctx)
		if err == nil {
			return
		}
		if !timing.Sleep(ctx, deregisterRetryInterval) {
			_ = level.Warn(a.logger).Log(logging.KeyMessage, "deleting the node record failed", logging.KeyError, err)
			return
		}
	}
}

// receive handles packets of the target until the context ends.
func (a *Agent) receive(ctx context.Context) error {
	return fleet.ReadPackets(ctx, a.conn, a.counters.DropCounters, func(now time.Duration, p platform.Packet) {
		if p.Accepts() || p.HasData() && !p.Bounced() {
			a.targetState.RecordSent(now)
		} else {
			a.targetState.RecordAnswer()
		}
		if p.Bounced() {
			a.handleBounced(now, p)
			return
		}
		a.sendToCaller(now, p)
	})
}

// eventOf returns the event that a packet means for its flow.
func eventOf(p platform.Packet) inflight.Event {
	return inflight.Event{Data: p.HasData(), Sequence: p.Sequence(), Finishes: p.Finishes(), Resets: p.Resets()}
}

// sendToCaller sends a packet of the target to its caller, and sends the owner of the flow to the
// entry that requested it.
func (a *Agent) sendToCaller(now time.Duration, p platform.Packet) {
	flow := p.TargetFlow()
	a.flows.RecordSent(now, flow, eventOf(p))
	a.counters.toCallers.Inc()
	a.send(netip.AddrPortFrom(flow.Caller().Addr(), a.callerPort), p)
	if entry, ok := a.offers.takeOwnerRequest(flow); ok {
		a.fleet.SendOwner(entry, flow)
	}
}

func (a *Agent) send(to netip.AddrPort, p platform.Packet) {
	if _, err := a.conn.WriteToUDPAddrPort(p, to); err != nil {
		a.counters.CountDrop("send failed")
	}
}

// pendingPacket is a packet from another node that waits for a decision.
type pendingPacket = holding.Item[fleet.ForwardedPacket]

// HandlePacket handles a caller's packet from another node.
func (a *Agent) HandlePacket(now time.Duration, fp *fleet.ForwardedPacket) {
	a.handleCallerPacket(now, &pendingPacket{Arrived: now, Value: *fp})
}

// retry decides again about held packets until the context ends.
func (a *Agent) retry(ctx context.Context) error {
	return fleet.Retry(ctx, a.held, func(item *pendingPacket) { a.retryPacket(fleet.Now(), item) })
}

// retryPacket decides again about a held packet. A new flow may be accepted by any target by now,
// so the list of tried agents is cleared. An open flow keeps it: targets that bounced its packet do
// not hold the flow.
func (a *Agent) retryPacket(now time.Duration, item *pendingPacket) {
	if platform.Packet(item.Value.Packet).Opens() {
		item.Value.Tried = nil
		a.handleCallerPacket(now, item)
		return
	}
	a.forwardToNextAgent(now, item)
}

// hold queues a packet until a decision is possible, and returns whether it was queued. If not, the
// packet is dropped, and the caller's retransmission replaces it.
func (a *Agent) hold(now time.Duration, pending *pendingPacket, reason string) bool {
	return a.holdIn(a.held, now, pending, reason)
}

// holdIn is hold with the given queue.
func (a *Agent) holdIn(q *holding.Queue[fleet.ForwardedPacket], now time.Duration, pending *pendingPacket, reason string) bool {
	item, fp := *pending, &pending.Value
	p := platform.Packet(fp.Packet)
	item.Flow = p.CallerFlow()
	if p.Opens() {
		item.HoldTime = p.ValidFor()
		in := a.admissionInput(now, pending)
		item.Rank = in.Rank()
		a.admissionMetrics.ExportWaiting(&in)
	}
	if item.Arrived == now { // the receive buffers are reused for the next packet
		item.Value.Packet = bytes.Clone(fp.Packet)
		item.Value.Tried = slices.Clone(fp.Tried)
		item.Value.Silent = slices.Clone(fp.Silent)
	}
	kept := q.Put(now, item)
	if !kept {
		a.counters.CountDrop(reason)
	}
	return kept
}

// handleCallerPacket delivers a caller's packet to the target, or forwards or holds it.
func (a *Agent) handleCallerPacket(now time.Duration, pending *pendingPacket) {
	fp := &pending.Value
	p, err := platform.ParsePacket(fp.Packet)
	if err != nil {
		a.counters.CountDrop("malformed")
		return
	}
	s := a.targetState.Status(now)
	if p.Opens() {
		if pending.Arrived == now {
			a.fleet.RecordOffer(now, fp.Origin, fp.Entry)
			a.recordOffered(now, pending)
		}
		if reason := a.refusalReason(&s, p, fp); reason != "" {
			a.forwardOpening(now, pending, reason)
			return
		}
		if reason := a.evacuationReason(now); reason != "" {
			if pending.Arrived == now {
				a.fleet.CountEvacuated()
			}
			a.forwardOpening(now, pending, reason)
			return
		}
		req, requests := a.requirements(now, pending), a.flows.Outstanding(now)
		in := a.admissionInput(now, pending)
		in.HasRoom = req.Fits(float64(requests), s.Slots)
		a.admission.RecordRoom(now, &in)
		if !in.HasRoom {
			a.waitForCapacity(now, pending, &req, requests, &in)
			return
		}
		if a.refuseWithoutChance(now, pending, &in) {
			return
		}
		if !a.cold.Admit(now, a.coldLimits(&s), s.WarmingUp) { // which counts the flow if it returns true
			in.HasRoom = false
			a.waitForCapacity(now, pending, &req, requests, &in)
			return
		}
		a.admission.RecordAdmitted(now, p.CallerFlow(), &in)
		a.targetState.RecordOffer(now)
		a.flows.RecordOpening(now, p.CallerFlow())
		if a.logs.Usual.Allow() {
			load := a.flows.Load(now)
			a.logs.Usual.Log("flow offered", logging.KeyFlow, p.CallerFlow(), "copy", p.CopyIndex(),
				logging.KeyService, s.Service, logging.KeyTarget, s.ID, logging.KeyRevision, fp.Routes.Revision,
				logging.KeyVersion, fp.Routes.Version, "tried", len(fp.Tried), "flows", load.Flows,
				"busy", float32(load.Busy), "failing", float32(load.Failing),
				logging.KeyAge, s.Age)
		}
	} else if reason := a.skipReason(&s, fp); reason != "" {
		if a.logs.Unusual.Allow() {
			a.logs.Unusual.Log("search skips the target", logging.KeyFlow, p.CallerFlow(), "sequence", p.Sequence(),
				logging.KeyReason, reason, logging.KeyService, fp.Service, logging.KeyTarget, s.ID, logging.KeyAge, s.Age)
		}
		a.forwardToNextAgent(now, pending)
		return
	} else if a.passToListed(now, pending) {
		return
	} else if fp.WantsOwner && a.logs.Unusual.Allow() {
		a.logs.Unusual.Log("search asks the target", logging.KeyFlow, p.CallerFlow(), "sequence", p.Sequence(),
			logging.KeyTarget, s.ID, "doubtful", s.MayHaveEnded, "tried", len(fp.Tried), logging.KeyAge, s.Age)
	}
	a.deliver(now, fp, p)
}

// waitForCapacity handles a new flow for which the target has no capacity. It offers the flow to
// another agent, unless the flow has waited here before or has been offered to maxOffersWhenFull
// agents; the flow then waits here.
func (a *Agent) waitForCapacity(
	now time.Duration, pending *pendingPacket, requirements *steering.Requirements, requests int, in *admission.Input) {
	waited := pending.NoCapacitySince != 0
	pending.MarkNoCapacity(now)
	if !waited && len(pending.Value.Tried) < maxOffersWhenFull {
		a.forwardOpening(now, pending, "full")
		return
	}
	if a.refuseWithoutChance(now, pending, in) {
		return
	}
	kept := a.hold(now, pending, "full")
	if (!waited || !kept) && a.logs.Unusual.Allow() {
		p := platform.Packet(pending.Value.Packet)
		a.logs.Unusual.Log("flow waits for capacity", logging.KeyFlow, p.CallerFlow(), "copy", p.CopyIndex(),
			logging.KeyService, pending.Value.Service, "requests", requests, "late", requirements.Late,
			"kept", kept, logging.KeyAge, now-pending.Arrived)
	}
}

// refusalReason returns why the target may not get a new flow, empty if it may.
func (a *Agent) refusalReason(s *targetstate.Status, p platform.Packet, fp *fleet.ForwardedPacket) string {
	if !s.Accepting {
		return s.Reason
	}
	if fp.Service != s.Service {
		return "target of another service"
	}
	// Routes of this node decide if they are at least as new as the entry's. Otherwise the service
	// in the packet, which the entry took from its newer routes, has been checked above.
	if t := a.fleet.Routes.Load(); t != nil && !fleet.AreRoutesNewer(fp.Routes, t.Position) {
		if route, ok := t.Lookup(p.CallerFlow().Service()); !ok || !route.HasService(s.Service) {
			return "route changed"
		}
	}
	return ""
}

// evacuationReason returns why no new flow may open in this data centre, empty if one may. The target is cold from the
// end of an evacuation.
func (a *Agent) evacuationReason(now time.Duration) string {
	evacuated := slices.Contains(a.fleet.Evacuated(now), a.fleet.Self.DataCentre)
	if a.wasEvacuated.Swap(evacuated) && !evacuated {
		a.cold.RecordCold(now)
	}
	switch {
	case evacuated:
		return reasonEvacuated
	case a.fleet.AwaitsEvacuations(now):
		return "evacuations not known yet"
	}
	return ""
}

// coldLimits returns the limits of the target's service while it is cold, none if the routes have none.
func (a *Agent) coldLimits(s *targetstate.Status) coldlimit.Limits {
	t := a.fleet.Routes.Load()
	if t == nil {
		return coldlimit.Limits{}
	}
	limits := t.Limits[s.Service]
	return coldlimit.Limits{PerSecond: limits.ColdPerSecond, For: limits.ColdStart}
}

// deliver sends a packet to the target.
func (a *Agent) deliver(now time.Duration, fp *fleet.ForwardedPacket, p platform.Packet) {
	flow := p.CallerFlow()
	p.ClearBounced()
	p.SetToken(a.offers.add(flow, fp))
	if !p.Opens() {
		if fp.WantsProgress && a.flows.Serves(flow) {
			a.fleet.SendOwner(fp.Entry, flow) // the answer may take longer than the entry waits for progress
		}
		e := eventOf(p)
		if e.Data {
			e.Objective = a.objective(flow)
			a.cold.RecordRequest(now)
		}
		if a.flows.RecordDelivered(now, flow, e) {
			a.recordRequest(now, flow)
		}
	}
	a.counters.delivered.Inc()
	a.send(a.target, p)
}

// handleBounced handles a packet that the target has bounced, because it does not hold the flow or
// cannot accept it.
func (a *Agent) handleBounced(now time.Duration, p platform.Packet) {
	flow := p.CallerFlow()
	a.counters.bounced.Inc()
	a.flows.RecordBounced(now, flow)
	a.fleet.OwnFlows().Remove(flow)
	fp, ok := a.offers.take(p.Token(), flow)
	if !ok {
		a.counters.CountDrop("given back without an offer")
		return
	}
	p.ClearBounced()
	fp.Packet = p
	if p.Opens() {
		a.targetState.RecordBounced(now)
		a.forwardOpening(now, &pendingPacket{Arrived: now, Value: fp}, "bounced by the target")
		return
	}
	a.forwardToNextAgent(now, &pendingPacket{Arrived: now, Value: fp})
}

// withRankedAgents calls f with the agents of the packet's service, in the order in which they are tried for
// the new flow.
func (a *Agent) withRankedAgents(flow steering.Flow, fp *fleet.ForwardedPacket, f func([]roster.Peer)) {
	agents := a.agentBuffers.Get().(*[]roster.Peer)
	defer a.agentBuffers.Put(agents)
	*agents = fleet.RankedAgents(a.fleet.Roster, *agents, flow, fp.Origin, fp.Service)
	f(*agents)
}

// forward sends a packet to another agent.
func (a *Agent) forward(to netip.AddrPort, fp *fleet.ForwardedPacket) {
	if !a.fleet.Send(to, fp) {
		a.counters.CountDrop("offered to too many agents")
	}
}

// markTried adds this agent to those whose targets do not accept or hold the flow.
func (a *Agent) markTried(fp *fleet.ForwardedPacket) {
	if !slices.Contains(fp.Tried, a.fleet.Self.ID) {
		fp.Tried = append(fp.Tried, a.fleet.Self.ID)
	}
}

// requirements returns what a new flow requires of a target.
func (a *Agent) requirements(now time.Duration, pending *pendingPacket) steering.Requirements {
	fp := &pending.Value
	in := a.admissionInput(now, pending)
	return in.Restrict(steering.Requirements{
		Origin: fp.Origin, CapacityWait: pending.CapacityWait(now), Tried: fp.Tried, Late: a.isLate(now, pending),
		Flow: platform.Packet(fp.Packet).CallerFlow().Hash(),
	})
}

// isLate reports whether the answer to a new flow would exceed the latency objective of its route.
func (a *Agent) isLate(now time.Duration, pending *pendingPacket) bool {
	p := platform.Packet(pending.Value.Packet)
	meanRequestTime := a.flows.Load(now).MeanRequestTime()
	return steering.MissesObjective(p.Age()+now-pending.Arrived, a.objective(p.CallerFlow()), meanRequestTime)
}

// forwardOpening offers a new flow to another agent, or holds it if none accepts.
func (a *Agent) forwardOpening(now time.Duration, pending *pendingPacket, reason string) {
	fp, arrived := &pending.Value, pending.Arrived
	p := platform.Packet(fp.Packet)
	flow := p.CallerFlow()
	a.markTried(fp)
	a.withRankedAgents(flow, fp, func(agents []roster.Peer) {
		agents = steering.WithoutEvacuated(agents, a.fleet.Evacuated(now))
		if reason == reasonEvacuated && steering.AllEnded(agents) && a.fleet.RosterComplete(now) && a.refuseEvacuated(pending) {
			return
		}
		requirements := a.requirements(now, pending)
		requirements.Ahead = 0 // those flows wait here
		requirements.Locality = a.fleet.Locality(now, fp.Service, fp.Origin, flow, agents)
		index := steering.Place(now, requirements, agents)
		to := ""
		if index >= 0 {
			to = agents[index].Name
			a.counters.forwarded.Inc()
			fp.WantsOwner = true
			a.admission.RecordPassed(flow)
			a.forward(agents[index].Address, fp)
		} else if in := a.admissionInput(now, pending); a.refuseWithoutChance(now, pending, &in) {
			return
		} else {
			a.hold(now, pending, "no target accepts")
		}
		if (index >= 0 || arrived == now) && a.logs.Unusual.Allow() {
			a.logs.Unusual.Log("new flow not accepted", logging.KeyFlow, flow, "copy", p.CopyIndex(),
				logging.KeyReason, reason, logging.KeyService, fp.Service,
				"to", to, "tried", len(fp.Tried), "candidates", len(agents))
		}
	})
}

// refuseEvacuated resets a new flow whose targets are all in evacuated data centres, and returns whether it did. Only the
// first packet of a flow that no other agent has had is known to have opened nowhere.
func (a *Agent) refuseEvacuated(pending *pendingPacket) bool {
	fp := &pending.Value
	p := platform.Packet(fp.Packet)
	if p.CopyIndex() > 0 || len(fp.Tried) > 1 {
		return false
	}
	a.counters.CountReset("all data centres evacuated")
	a.send(netip.AddrPortFrom(p.CallerFlow().Caller().Addr(), a.callerPort), platform.NewReset(p))
	return true
}

// objective returns the latency objective of a flow's route, 0 if the route is unknown.
func (a *Agent) objective(flow steering.Flow) time.Duration {
	if t := a.fleet.Routes.Load(); t != nil {
		if route, ok := t.Lookup(flow.Service()); ok {
			return route.Objective
		}
	}
	return 0
}
