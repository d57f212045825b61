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
	TargetUDP    string // host:port; unused with NewLocal
	TargetURL    string // of GET /load; empty: the target is always ready
	Slots        uint32
	DrainTimeout time.Duration
	Parse        func(name string, service ident.ServiceName, text []byte) (*settings.Spec, error)
	// NewLocal makes what serves the owned flows; nil for the UDP socket to the target.
	NewLocal func(*Agent) (Local, error)
	Logger   log.Logger
	Metrics  *metrics.Set
}

// Loader is a Local that reports its busy slots, slots, queue and latency itself.
type Loader interface {
	Load() *lacewingv1.Load
}

// Recognizer is a Local that recognizes datagrams of its connections by their payload, whatever the caller address.
type Recognizer interface {
	Recognize(payload []byte) bool
}

// slotLocal is a Local that addresses flows by slot, which saves a lookup.
type slotLocal interface {
	DeliverSlot(slot uint32, payload []byte)
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
	local      Local
	slots      slotLocal  // local, if it addresses flows by slot
	recognizer Recognizer // local, if it recognizes payloads
	feed       *feed      // local, if it is the UDP socket to the target
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

// scratch is the memory for handling one datagram.
type scratch struct {
	effects flow.Effects
	frame   []byte
	data    wire.Data
	in      flow.Datagram
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
	a.scratch.New = func() any { return &scratch{} }
	a.routes.Store(&routes{})
	a.table = flow.New(flow.Options{Self: self.ID, Service: a.service, Placer: a.chooser, Seed: uint64(self.Incarnation)}, 0, defaultIdleTimeout)
	a.pool.init(a.service)
	a.addMetrics()
	if err := a.makeLocal(); err != nil {
		return nil, err
	}
	o.Mesh.SetLoad(a.Load)
	o.Mesh.HandleControl(a.control)
	peer.AnswerApplied(o.Mesh, a.applied)
	o.Mesh.Subscribe(func(peer.Change) { a.wake() })
	return a, nil
}

func (a *Agent) makeLocal() error {
	if a.options.NewLocal == nil {
		f, err := newFeed(a.options.TargetUDP, a.table, a.options.Metrics, a.returnSlot)
		if err != nil {
			return err
		}
		a.feed, a.slots, a.local = f, f, f
		return nil
	}
	local, err := a.options.NewLocal(a)
	if err != nil {
		return err
	}
	a.local = local
	a.slots, _ = local.(slotLocal)
	a.recognizer, _ = local.(Recognizer)
	return nil
}

func (a *Agent) addMetrics() {
	set := a.options.Metrics
	for _, r := range flow.Reasons() {
		a.reasons = append(a.reasons, set.NewCounter(`lacewing_agent_datagrams_total{reason="`+r.String()+`"}`))
	}
	a.unroutable = set.NewCounter("lacewing_agent_unroutable_total")
	set.NewGauge("lacewing_agent_flows", func() float64 { return float64(a.table.Owned()) })
	set.NewGauge("lacewing_agent_directory_entries", func() float64 { return float64(a.table.Directory()) })
}

func (a *Agent) now() time.Duration { return time.Since(a.start) }

// Load returns the load for heartbeats.
func (a *Agent) Load() *lacewingv1.Load {
	target, warm := a.health.snapshot(time.Now(), a.pool.warmUp())
	load := &lacewingv1.Load{
		Connections:  uint32(a.table.Owned()),
		BusySlots:    target.Busy,
		Slots:        a.options.Slots,
		Shedding:     target.Shedding,
		WarmPerMille: warm,
	}
	if l, ok := a.local.(Loader); ok {
		own := l.Load()
		load.BusySlots, load.Slots = own.GetBusySlots(), own.GetSlots()
		load.Queued, load.LatencyUs = own.GetQueued(), own.GetLatencyUs()
		load.Shedding = load.Shedding || own.GetShedding()
	}
	return load
}

// Data handles an encapsulated datagram. It is the transport's data handler.
func (a *Agent) Data(d *wire.Data) {
	a.options.Mesh.Touch(d.Sender)
	if a.deleted.Load() {
		a.reasons[flow.WrongDestination].Inc()
		return
	}
	s := a.scratch.Get().(*scratch)
	defer a.scratch.Put(s)
	s.effects.Reset()
	s.in = flow.Datagram{
		Service: d.Service, Sender: d.Sender, Destination: d.Destination, Caller: d.Caller, Entry: d.Entry,
		View: d.View, Hops: d.Hops, Placed: d.Placed, Payload: d.Payload,
	}
	s.in.Own = a.recognizer != nil && a.recognizer.Recognize(d.Payload)
	decision := a.table.Datagram(a.now(), &s.in, &s.effects)
	a.carryOut(s, &s.in, decision)
	a.perform(s)
}

// carryOut does what the table decided for one datagram.
func (a *Agent) carryOut(s *scratch, d *flow.Datagram, decision flow.Decision) {
	a.reasons[decision.Reason].Inc()
	if decision.Reason != flow.Owned {
		a.log(d, decision)
	}
	switch decision.Action {
	case flow.Deliver:
		if a.slots != nil {
			a.slots.DeliverSlot(decision.Slot, d.Payload)
			return
		}
		a.local.Deliver(d.Caller, d.Payload)
	case flow.Forward:
		s.data = wire.Data{
			Service: d.Service, Destination: decision.To, Caller: d.Caller, Hops: decision.Hops, Placed: decision.Placed,
			View: a.routes.Load().digest, Entry: d.Entry, Payload: d.Payload,
		}
		to, ok := a.routes.Load().agents[decision.To]
		if !ok {
			a.unroutable.Inc()
			return
		}
		a.send(s, to, wire.TypeData)
	}
}

func (a *Agent) send(s *scratch, to netip.AddrPort, kind wire.Type) {
	frame, err := a.options.Transport.SendData(s.frame, to, kind, &s.data)
	s.frame = frame
	if err != nil {
		a.unroutable.Inc()
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
	for i := range s.effects.Sends {
		send := &s.effects.Sends[i]
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
	s := a.scratch.Get().(*scratch)
	defer a.scratch.Put(s)
	s.effects.Reset()
	a.table.Receive(a.now(), ident.NodeID(c.GetSender()), m, &s.effects)
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
	s := a.scratch.Get().(*scratch)
	defer a.scratch.Put(s)
	s.effects.Reset()
	a.table.Tick(a.now(), &s.effects)
	a.perform(s)
}

// Return sends a datagram of an owned flow to its caller. It returns ErrNoFlow or ErrNoEntry, or the error of the socket.
func (a *Agent) Return(caller ident.Caller, payload []byte) error {
	_, entry, ok := a.table.Lookup(caller)
	if !ok {
		return ErrNoFlow
	}
	return a.returnVia(entry, caller, payload)
}

func (a *Agent) returnSlot(slot uint32, payload []byte) {
	caller, entry, ok := a.table.Return(a.now(), slot)
	if !ok {
		a.feed.strange.Inc()
		return
	}
	if err := a.returnVia(entry, caller, payload); err != nil {
		a.unroutable.Inc()
	}
}

func (a *Agent) returnVia(entry ident.NodeID, caller ident.Caller, payload []byte) error {
	id, to, ok := a.routes.Load().entry(entry, caller)
	if !ok || a.deleted.Load() {
		return ErrNoEntry
	}
	s := a.scratch.Get().(*scratch)
	defer a.scratch.Put(s)
	s.data = wire.Data{Service: a.service, Destination: id, Caller: caller, Entry: id, Payload: payload}
	frame, err := a.options.Transport.SendData(s.frame, to, wire.TypeReturn, &s.data)
	s.frame = frame
	if err != nil {
		return errors.Wrap(err, "send return datagram")
	}
	return nil
}

func (a *Agent) wake() {
	select {
	case a.changed <- struct{}{}:
	default:
	}
}
