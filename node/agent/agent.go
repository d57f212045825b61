package agent

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"
	"github.com/go-kit/log"

	lacewingv1 "lacewinglever.dev/node/gen/lacewing/v1"
	"lacewinglever.dev/node/logging"
	"lacewinglever.dev/node/peer"
	"lacewinglever.dev/node/transport"
	"lacewinglever.dev/node/wire"
	"lacewinglever.dev/policy/flow"
	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/placement"
	"lacewinglever.dev/policy/settings"
)

const defaultIdleTimeout = time.Minute

// Errors of SendToCaller.
var (
	ErrNoFlow  = errors.New("no such flow")
	ErrNoEntry = errors.New("no live entry, or the service was deleted")
)

// Options configure an Agent.
type Options struct {
	Mesh         peer.Mesh
	Transport    *transport.Transport
	Service      ident.ServiceName
	TargetUDP    string // host:port; unused with NewFlowServer
	TargetURL    string // base URL of GET /load; empty: the target is always ready
	Slots        uint32
	DrainTimeout time.Duration
	Parse        func(name string, service ident.ServiceName, text []byte) (*settings.Spec, error)
	// NewFlowServer makes the server of the owned flows. With nil, they are served by the UDP
	// socket to the target.
	NewFlowServer func(*Agent) (FlowServer, error)
	Logger        log.Logger
	Metrics       *metrics.Set
}

// LoadReporter is an optional interface of a FlowServer that reports its own busy slots, slots,
// queue and latency.
type LoadReporter interface {
	Load() *lacewingv1.Load
}

// ConnectionMatcher is an optional interface of a FlowServer that recognises the datagrams of its
// connections by their payload, whatever the caller's address is.
type ConnectionMatcher interface {
	MatchesConnection(payload []byte) bool
}

// Agent is the data plane of one target.
type Agent struct {
	options           Options
	self              ident.NodeID
	service           ident.ServiceID
	start             time.Time
	table             *flow.Table
	chooser           *placement.Chooser
	health            *health
	flowServer        FlowServer
	connectionMatcher ConnectionMatcher // flowServer, if it implements the interface; else nil
	targetSocket      *targetSocket     // flowServer, if it is the UDP socket to the target; else nil
	pool              poolState
	routes            atomic.Pointer[routes]
	scratch           sync.Pool
	decisions         *logging.Decisions
	reasonCounters    []*metrics.Counter
	unroutable        *metrics.Counter
	refreshRequested  chan struct{}
	stopping          atomic.Bool
	drainForced       atomic.Bool // by the Drain RPC
	announcedReady    atomic.Bool
	// deleted is set while the service is deleted. An entry that has not received the deletion,
	// because it was cut off or frozen, still has the service's address bound, and may forward
	// datagrams that callers send to the service that has the address now.
	deleted atomic.Bool
}

// scratch is reusable memory for handling a batch of datagrams.
type scratch struct {
	effects      flow.Effects
	batch        *transport.Batch
	toTarget     *deliveryBatch // nil without a target socket
	data         wire.Data
	datagram     flow.Datagram
	now          time.Duration // time of the batch, 0 before its first datagram
	lastSender   ident.NodeID  // sender of the latest datagram of this batch, 0 before the first
	reasonCounts []int         // number of datagrams of this batch by flow.Reason
}

func (a *Agent) newScratch() *scratch {
	s := &scratch{batch: a.options.Transport.NewBatch(), reasonCounts: make([]int, len(a.reasonCounters))}
	if a.targetSocket != nil {
		s.toTarget = a.targetSocket.newDeliveryBatch()
	}
	return s
}

// borrowScratch returns a scratch from the pool, for work outside the readers. releaseScratch sends
// what was added to it.
func (a *Agent) borrowScratch() *scratch {
	s := a.scratch.Get().(*scratch)
	s.effects.Reset()
	return s
}

func (a *Agent) releaseScratch(s *scratch) {
	a.flush(s)
	a.scratch.Put(s)
}

// flush sends the collected datagrams and updates the counters.
func (a *Agent) flush(s *scratch) {
	if failed := s.batch.Flush(); failed > 0 {
		a.unroutable.Add(failed)
	}
	if s.toTarget != nil {
		s.toTarget.flush()
	}
	for i, n := range s.reasonCounts {
		if n > 0 {
			a.reasonCounters[i].Add(n)
			s.reasonCounts[i] = 0
		}
	}
	s.now, s.lastSender = 0, 0
}

// New makes an agent. It sends nothing before Run.
func New(o Options) (*Agent, error) {
	self := o.Mesh.Self()
	a := &Agent{
		options: o, self: self.ID, service: o.Service.ID(), start: time.Now(),
		chooser: placement.New(self.ID, uint64(self.Incarnation)),
		health:  newHealth(o.TargetURL), decisions: logging.NewDecisions(o.Logger),
		refreshRequested: make(chan struct{}, 1),
	}
	a.scratch.New = func() any { return a.newScratch() }
	a.routes.Store(&routes{})
	a.table = flow.New(flow.Options{
		Self: self.ID, Service: a.service, Placer: a.chooser, Seed: uint64(self.Incarnation)},
		0, defaultIdleTimeout)
	a.pool.init(a.service)
	a.addMetrics()
	if err := a.makeFlowServer(); err != nil {
		return nil, err
	}
	o.Mesh.SetLoadFunc(a.Load)
	o.Mesh.HandleControl(a.handleControl)
	peer.HandleAppliedQueries(o.Mesh, a.appliedRevision)
	o.Mesh.Subscribe(func(peer.Change) { a.requestRefresh() })
	return a, nil
}

func (a *Agent) makeFlowServer() error {
	if a.options.NewFlowServer == nil {
		socket, err := newTargetSocket(a.options.TargetUDP, a.table, a.options.Metrics)
		if err != nil {
			return err
		}
		a.targetSocket, a.flowServer = socket, socket
		return nil
	}
	server, err := a.options.NewFlowServer(a)
	if err != nil {
		return err
	}
	a.flowServer = server
	a.connectionMatcher, _ = server.(ConnectionMatcher)
	return nil
}

func (a *Agent) addMetrics() {
	set := a.options.Metrics
	for _, r := range flow.Reasons() {
		a.reasonCounters = append(a.reasonCounters,
			set.NewCounter(`lacewing_agent_datagrams_total{reason="`+r.String()+`"}`))
	}
	a.unroutable = set.NewCounter("lacewing_agent_unroutable_total")
	set.NewGauge("lacewing_agent_flows", func() float64 { return float64(a.table.OwnedFlows()) })
	set.NewGauge("lacewing_agent_directory_entries", func() float64 { return float64(a.table.DirectorySize()) })
}

func (a *Agent) now() time.Duration { return time.Since(a.start) }

// Load returns the load report for heartbeats.
func (a *Agent) Load() *lacewingv1.Load {
	target, warm := a.health.snapshot(time.Now(), a.pool.warmUp())
	load := &lacewingv1.Load{
		Connections:  uint32(a.table.OwnedFlows()),
		BusySlots:    target.Busy,
		Slots:        a.options.Slots,
		Shedding:     target.Shedding,
		WarmPerMille: warm,
	}
	if l, ok := a.flowServer.(LoadReporter); ok {
		own := l.Load()
		load.BusySlots, load.Slots = own.GetBusySlots(), own.GetSlots()
		load.Queued, load.LatencyUs = own.GetQueued(), own.GetLatencyUs()
		load.Shedding = load.Shedding || own.GetShedding()
	}
	return load
}

// Handlers returns the handlers of the agent's transport. control handles control messages.
func (a *Agent) Handlers(control func(*lacewingv1.Control)) transport.Handlers {
	return transport.Handlers{PerReader: func() transport.Handlers {
		s := a.newScratch()
		return transport.Handlers{
			Data:    func(d *wire.Data) { a.handleData(s, d) },
			Flush:   func() { a.flush(s) },
			Control: control,
		}
	}}
}

// HandleDatagram handles one encapsulated datagram. Handlers does the same in batches.
func (a *Agent) HandleDatagram(d *wire.Data) {
	s := a.borrowScratch()
	defer a.releaseScratch(s)
	a.handleData(s, d)
}

// handleData handles a datagram of a batch. The payload is in use until flush.
func (a *Agent) handleData(s *scratch, d *wire.Data) {
	if d.Sender != s.lastSender {
		s.lastSender = d.Sender
		a.options.Mesh.MarkSeen(d.Sender)
	}
	if s.now == 0 {
		s.now = a.now()
	}
	if a.deleted.Load() {
		s.reasonCounts[flow.WrongDestination]++
		return
	}
	s.effects.Reset()
	s.datagram = flow.Datagram{
		Service: d.Service, Sender: d.Sender, Destination: d.Destination, Caller: d.Caller, Entry: d.Entry,
		View: d.View, Hops: d.Hops, Placed: d.Placed, Payload: d.Payload,
	}
	s.datagram.NamesReceiver = a.connectionMatcher != nil && a.connectionMatcher.MatchesConnection(d.Payload)
	decision := a.table.HandleDatagram(s.now, &s.datagram, &s.effects)
	a.applyDecision(s, &s.datagram, decision)
	a.sendEffects(s)
}

// applyDecision delivers, forwards or drops one datagram as the flow table decided.
func (a *Agent) applyDecision(s *scratch, d *flow.Datagram, decision flow.Decision) {
	s.reasonCounts[decision.Reason]++
	if decision.Reason != flow.Owned {
		a.logDecision(d, decision)
	}
	switch decision.Action {
	case flow.Deliver:
		if s.toTarget != nil {
			s.toTarget.add(decision.Slot, d.Payload)
			return
		}
		a.flowServer.Deliver(d.Caller, d.Payload)
	case flow.Forward:
		r := a.routes.Load()
		s.data = wire.Data{
			Service: d.Service, Destination: decision.To, Caller: d.Caller, Hops: decision.Hops,
			Placed: decision.Placed, View: r.digest, Entry: d.Entry, Payload: d.Payload,
		}
		to, ok := r.agents[decision.To]
		if !ok {
			a.unroutable.Inc()
			return
		}
		s.batch.Add(to, wire.TypeData, &s.data)
	}
}

// logDecision writes new flows, placements and drops to the decision log. Datagrams of known flows
// are only counted.
func (a *Agent) logDecision(d *flow.Datagram, decision flow.Decision) {
	switch decision.Reason {
	case flow.InDirectory, flow.Redirected, flow.ToHome:
		return
	}
	if !a.decisions.Allow() {
		return
	}
	owner := decision.To
	if decision.Action == flow.Deliver {
		owner = a.self
	}
	a.decisions.Log(decision.Reason.String(), logging.KeyCaller, d.Caller, logging.KeyService, a.options.Service,
		logging.KeyOwner, owner)
}

// sendEffects sends the messages that the flow table returned and handles the datagrams that it
// released.
func (a *Agent) sendEffects(s *scratch) {
	for i := range s.effects.Outgoing {
		send := &s.effects.Outgoing[i]
		_ = a.options.Mesh.SendControl(send.To, toControl(a.service, &send.Message))
	}
	for i := range s.effects.Released {
		r := &s.effects.Released[i]
		a.applyDecision(s, &r.Datagram, r.Decision)
	}
}

// handleControl handles a control message that the peer received.
func (a *Agent) handleControl(c *lacewingv1.Control) {
	m, ok := fromControl(a.service, c)
	if !ok {
		return
	}
	s := a.borrowScratch()
	defer a.releaseScratch(s)
	a.table.HandleMessage(a.now(), ident.NodeID(c.GetSender()), m, &s.effects)
	a.sendEffects(s)
}

// appliedRevision returns the revision in force for the agent's own service, 0 for others.
func (a *Agent) appliedRevision(id ident.ServiceID) uint64 {
	if id != a.service {
		return 0
	}
	return a.pool.appliedRevision()
}

// tick runs the flow table's timers.
func (a *Agent) tick() {
	s := a.borrowScratch()
	defer a.releaseScratch(s)
	a.table.Tick(a.now(), &s.effects)
	a.sendEffects(s)
}

// SendToCaller sends a datagram of an owned flow to its caller. It returns ErrNoFlow or ErrNoEntry,
// or the error of the socket.
func (a *Agent) SendToCaller(caller ident.Caller, payload []byte) error {
	_, entry, ok := a.table.Lookup(caller)
	if !ok {
		return ErrNoFlow
	}
	id, to, ok := a.routes.Load().entryFor(entry, caller)
	if !ok || a.deleted.Load() {
		return ErrNoEntry
	}
	s := a.borrowScratch()
	defer a.scratch.Put(s)
	a.sendViaEntry(s, id, to, caller, payload)
	if s.batch.Flush() > 0 {
		return errors.New("send return datagram: rejected by the node's socket")
	}
	return nil
}

// sendSlotToCaller adds a datagram from the target to the batch of s. The slot identifies its flow.
// The payload is in use until flush.
func (a *Agent) sendSlotToCaller(s *scratch, slot uint32, payload []byte) {
	if s.now == 0 {
		s.now = a.now()
	}
	caller, entry, ok := a.table.LookupSlot(s.now, slot)
	if !ok {
		a.targetSocket.dropped.Inc()
		return
	}
	id, to, ok := a.routes.Load().entryFor(entry, caller)
	if !ok || a.deleted.Load() {
		a.unroutable.Inc()
		return
	}
	a.sendViaEntry(s, id, to, caller, payload)
}

func (a *Agent) sendViaEntry(s *scratch, entry ident.NodeID, to netip.AddrPort, caller ident.Caller, payload []byte) {
	s.data = wire.Data{Service: a.service, Destination: entry, Caller: caller, Entry: entry, Payload: payload}
	s.batch.Add(to, wire.TypeReturn, &s.data)
}

func (a *Agent) requestRefresh() {
	select {
	case a.refreshRequested <- struct{}{}:
	default:
	}
}
