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

// Errors of Return.
var (
	ErrNoFlow  = errors.New("no such flow")
	ErrNoEntry = errors.New("no live entry is known, or the service was deleted")
)

// Options configure an Agent.
type Options struct {
	Mesh         peer.Mesh
	Transport    *transport.Transport
	Service      ident.ServiceName
	TargetUDP    string // host:port; unused with NewFlowServer
	TargetURL    string // of GET /load; empty: the target is always ready
	Slots        uint32
	DrainTimeout time.Duration
	Parse        func(name string, service ident.ServiceName, text []byte) (*settings.Spec, error)
	// NewFlowServer makes what serves the owned flows; nil for the UDP socket to the target.
	NewFlowServer func(*Agent) (FlowServer, error)
	Logger        log.Logger
	Metrics       *metrics.Set
}

// LoadReporter is a Local that reports its busy slots, slots, queue and latency itself.
type LoadReporter interface {
	Load() *lacewingv1.Load
}

// ConnectionMatcher is a Local that recognizes datagrams of its connections by their payload, whatever the caller address.
type ConnectionMatcher interface {
	MatchesConnection(payload []byte) bool
}

// Agent is the data plane of one target.
type Agent struct {
	options    Options
	self       ident.NodeID
	service    ident.ServiceID
	start      time.Time
	table      *flow.Table
	chooser    *placement.Chooser
	health     *health
	local      FlowServer
	recognizer ConnectionMatcher // local, if it recognizes payloads
	feed       *feed             // local, if it is the UDP socket to the target
	pool       pool
	routes     atomic.Pointer[routes]
	scratch    sync.Pool
	decisions  *logging.Decisions
	reasons    []*metrics.Counter
	unroutable *metrics.Counter
	changed    chan struct{}
	exiting    atomic.Bool
	drained    atomic.Bool // by RPC
	ready      atomic.Bool
	// deleted tells that the service was deleted. An entry that does not know it, because it was cut off or frozen, still has the service's
	// address bound, and may forward what callers send to the service that has the address now.
	deleted atomic.Bool
}

// scratch is the memory for handling a batch of datagrams.
type scratch struct {
	effects flow.Effects
	batch   *transport.Batch
	target  *deliveries // nil without a feed
	data    wire.Data
	in      flow.Datagram
	now     time.Duration // of the batch, 0 before its first datagram
	heard   ident.NodeID  // sender of the last datagram of this batch
	reasons []int         // datagrams of this batch by flow.Reason
}

func (a *Agent) newScratch() *scratch {
	s := &scratch{batch: a.options.Transport.NewBatch(), reasons: make([]int, len(a.reasons))}
	if a.feed != nil {
		s.target = a.feed.deliveries()
	}
	return s
}

// borrow returns a scratch from the pool, for work outside the readers. giveBack sends what it has collected.
func (a *Agent) borrow() *scratch {
	s := a.scratch.Get().(*scratch)
	s.effects.Reset()
	return s
}

func (a *Agent) giveBack(s *scratch) {
	a.flush(s)
	a.scratch.Put(s)
}

// flush sends what s has collected, and counts it.
func (a *Agent) flush(s *scratch) {
	if failed := s.batch.Flush(); failed > 0 {
		a.unroutable.Add(failed)
	}
	if s.target != nil {
		s.target.flush()
	}
	for i, n := range s.reasons {
		if n > 0 {
			a.reasons[i].Add(n)
			s.reasons[i] = 0
		}
	}
	s.now, s.heard = 0, 0
}

// New makes an agent. It sends nothing before Run.
func New(o Options) (*Agent, error) {
	self := o.Mesh.Self()
	a := &Agent{
		options: o, self: self.ID, service: o.Service.ID(), start: time.Now(),
		chooser: placement.New(self.ID, uint64(self.Incarnation)),
		health:  newHealth(o.TargetURL), decisions: logging.NewDecisions(o.Logger),
		changed: make(chan struct{}, 1),
	}
	a.scratch.New = func() any { return a.newScratch() }
	a.routes.Store(&routes{})
	a.table = flow.New(flow.Options{Self: self.ID, Service: a.service, Placer: a.chooser, Seed: uint64(self.Incarnation)}, 0, defaultIdleTimeout)
	a.pool.init(a.service)
	a.addMetrics()
	if err := a.makeLocal(); err != nil {
		return nil, err
	}
	o.Mesh.SetLoadFunc(a.Load)
	o.Mesh.HandleControl(a.control)
	peer.HandleAppliedQueries(o.Mesh, a.applied)
	o.Mesh.Subscribe(func(peer.Change) { a.wake() })
	return a, nil
}

func (a *Agent) makeLocal() error {
	if a.options.NewFlowServer == nil {
		f, err := newFeed(a.options.TargetUDP, a.table, a.options.Metrics)
		if err != nil {
			return err
		}
		a.feed, a.local = f, f
		return nil
	}
	local, err := a.options.NewFlowServer(a)
	if err != nil {
		return err
	}
	a.local = local
	a.recognizer, _ = local.(ConnectionMatcher)
	return nil
}

func (a *Agent) addMetrics() {
	set := a.options.Metrics
	for _, r := range flow.Reasons() {
		a.reasons = append(a.reasons, set.NewCounter(`lacewing_agent_datagrams_total{reason="`+r.String()+`"}`))
	}
	a.unroutable = set.NewCounter("lacewing_agent_unroutable_total")
	set.NewGauge("lacewing_agent_flows", func() float64 { return float64(a.table.OwnedFlows()) })
	set.NewGauge("lacewing_agent_directory_entries", func() float64 { return float64(a.table.DirectorySize()) })
}

func (a *Agent) now() time.Duration { return time.Since(a.start) }

// Load returns the load for heartbeats.
func (a *Agent) Load() *lacewingv1.Load {
	target, warm := a.health.snapshot(time.Now(), a.pool.warmUp())
	load := &lacewingv1.Load{
		Connections:  uint32(a.table.OwnedFlows()),
		BusySlots:    target.Busy,
		Slots:        a.options.Slots,
		Shedding:     target.Shedding,
		WarmPerMille: warm,
	}
	if l, ok := a.local.(LoadReporter); ok {
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
			Data:    func(d *wire.Data) { a.data(s, d) },
			Flush:   func() { a.flush(s) },
			Control: control,
		}
	}}
}

// Data handles an encapsulated datagram by itself. Handlers does the same for a batch.
func (a *Agent) Data(d *wire.Data) {
	s := a.borrow()
	defer a.giveBack(s)
	a.data(s, d)
}

// data handles a datagram of a batch. The payload is used until flush.
func (a *Agent) data(s *scratch, d *wire.Data) {
	if d.Sender != s.heard {
		s.heard = d.Sender
		a.options.Mesh.MarkSeen(d.Sender)
	}
	if s.now == 0 {
		s.now = a.now()
	}
	if a.deleted.Load() {
		s.reasons[flow.WrongDestination]++
		return
	}
	s.effects.Reset()
	s.in = flow.Datagram{
		Service: d.Service, Sender: d.Sender, Destination: d.Destination, Caller: d.Caller, Entry: d.Entry,
		View: d.View, Hops: d.Hops, Placed: d.Placed, Payload: d.Payload,
	}
	s.in.NamesReceiver = a.recognizer != nil && a.recognizer.MatchesConnection(d.Payload)
	decision := a.table.HandleDatagram(s.now, &s.in, &s.effects)
	a.carryOut(s, &s.in, decision)
	a.perform(s)
}

// carryOut does what the table decided for one datagram.
func (a *Agent) carryOut(s *scratch, d *flow.Datagram, decision flow.Decision) {
	s.reasons[decision.Reason]++
	if decision.Reason != flow.Owned {
		a.log(d, decision)
	}
	switch decision.Action {
	case flow.Deliver:
		if s.target != nil {
			s.target.add(decision.Slot, d.Payload)
			return
		}
		a.local.Deliver(d.Caller, d.Payload)
	case flow.Forward:
		r := a.routes.Load()
		s.data = wire.Data{
			Service: d.Service, Destination: decision.To, Caller: d.Caller, Hops: decision.Hops, Placed: decision.Placed,
			View: r.digest, Entry: d.Entry, Payload: d.Payload,
		}
		to, ok := r.agents[decision.To]
		if !ok {
			a.unroutable.Inc()
			return
		}
		s.batch.Add(to, wire.TypeData, &s.data)
	}
}

// log writes new flows, placements and drops to the decision log; datagrams of known flows are only counted.
func (a *Agent) log(d *flow.Datagram, decision flow.Decision) {
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
	a.decisions.Log(decision.Reason.String(), logging.KeyCaller, d.Caller, logging.KeyService, a.options.Service, logging.KeyOwner, owner)
}

// perform sends the messages and released datagrams that s has collected.
func (a *Agent) perform(s *scratch) {
	for i := range s.effects.Outgoing {
		send := &s.effects.Outgoing[i]
		_ = a.options.Mesh.SendControl(send.To, toControl(a.service, &send.Message))
	}
	for i := range s.effects.Released {
		r := &s.effects.Released[i]
		a.carryOut(s, &r.Datagram, r.Decision)
	}
}

// control handles a control message that the peer passes on.
func (a *Agent) control(c *lacewingv1.Control) {
	m, ok := fromControl(a.service, c)
	if !ok {
		return
	}
	s := a.borrow()
	defer a.giveBack(s)
	a.table.HandleMessage(a.now(), ident.NodeID(c.GetSender()), m, &s.effects)
	a.perform(s)
}

// applied returns the revision in force for the own service, 0 for others.
func (a *Agent) applied(id ident.ServiceID) uint64 {
	if id != a.service {
		return 0
	}
	return a.pool.applied()
}

// tick lets the table do what time requires.
func (a *Agent) tick() {
	s := a.borrow()
	defer a.giveBack(s)
	a.table.Tick(a.now(), &s.effects)
	a.perform(s)
}

// SendToCaller sends a datagram of an owned flow to its caller. It returns ErrNoFlow or ErrNoEntry, or the error of the socket.
func (a *Agent) SendToCaller(caller ident.Caller, payload []byte) error {
	_, entry, ok := a.table.Lookup(caller)
	if !ok {
		return ErrNoFlow
	}
	id, to, ok := a.routes.Load().entry(entry, caller)
	if !ok || a.deleted.Load() {
		return ErrNoEntry
	}
	s := a.borrow()
	defer a.scratch.Put(s)
	a.returnVia(s, id, to, caller, payload)
	if s.batch.Flush() > 0 {
		return errors.New("send return datagram: refused by the node's socket")
	}
	return nil
}

// returnSlot puts a datagram of the target into the batch of s. The payload is used until flush.
func (a *Agent) returnSlot(s *scratch, slot uint32, payload []byte) {
	if s.now == 0 {
		s.now = a.now()
	}
	caller, entry, ok := a.table.LookupSlot(s.now, slot)
	if !ok {
		a.feed.strange.Inc()
		return
	}
	id, to, ok := a.routes.Load().entry(entry, caller)
	if !ok || a.deleted.Load() {
		a.unroutable.Inc()
		return
	}
	a.returnVia(s, id, to, caller, payload)
}

func (a *Agent) returnVia(s *scratch, entry ident.NodeID, to netip.AddrPort, caller ident.Caller, payload []byte) {
	s.data = wire.Data{Service: a.service, Destination: entry, Caller: caller, Entry: entry, Payload: payload}
	s.batch.Add(to, wire.TypeReturn, &s.data)
}

func (a *Agent) wake() {
	select {
	case a.changed <- struct{}{}:
	default:
	}
}
