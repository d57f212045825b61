// Package entry is the data plane of an entry: it receives callers' datagrams on the services' addresses, forwards them to the homes of
// their flows, and sends what comes back from the services' own sockets.
package entry

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"lacewinglever.dev/node/logging"
	"lacewinglever.dev/node/peer"
	"lacewinglever.dev/node/transport"
	"lacewinglever.dev/node/wire"
	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/record"
	"lacewinglever.dev/policy/settings"
)

// Sizes and times of the data plane.
const (
	socketBuffer = 1 << 20 // bytes, of each service's socket
	// retryEvery is how often services are brought up again whose address couldn't be bound.
	retryEvery = time.Second
	// settleFor collects changes that arrive together, so that a burst rebuilds a route once.
	settleFor = 10 * time.Millisecond
	// manyServices is the number of services from which each has one reader, to bound the number of goroutines.
	manyServices = 64
	readersEach  = 4
	// decisionSample is the number of datagrams of a reader of which one is logged.
	decisionSample = 16
)

// Options configure an Entry.
type Options struct {
	Mesh        peer.Mesh
	Transport   *transport.Transport
	Keys        *wire.Keyring // checks connection ids
	ServiceHost string        // host on which service ports are bound; empty: the service's own address
	Logger      log.Logger
	Decisions   *logging.Decisions
	Metrics     *metrics.Set
}

type dropCounter = *metrics.Counter

// Entry is the data plane of an entry.
type Entry struct {
	options  Options
	self     ident.NodeID
	host     netip.Addr // not valid: the service's own address
	services atomic.Pointer[map[ident.ServiceID]*service]
	readers  sync.WaitGroup
	buffers  sync.Pool // *buffers, for the readers of many services

	dirtyMu sync.Mutex
	dirty   map[ident.ServiceID]struct{}
	all     bool // every service is dirty
	wake    chan struct{}

	newest     atomic.Int64 // time at which the newest applied revision was accepted, unix milliseconds
	forwarded  *metrics.Counter
	returned   *metrics.Counter
	dropSize   dropCounter
	dropNoHome dropCounter
	dropSend   dropCounter
	dropReturn dropCounter
	bindFails  *metrics.Counter
	badSpecs   *metrics.Counter
}

// New makes the data plane and subscribes it to the mesh.
func New(o Options) (*Entry, error) {
	e := &Entry{
		options: o,
		self:    o.Mesh.Self().ID,
		dirty:   map[ident.ServiceID]struct{}{},
		all:     true,
		wake:    make(chan struct{}, 1),
	}
	if o.ServiceHost != "" {
		host, err := netip.ParseAddr(o.ServiceHost)
		if err != nil {
			return nil, errors.Wrap(err, "service host")
		}
		e.host = host
	}
	e.services.Store(&map[ident.ServiceID]*service{})
	e.addMetrics(o.Metrics)
	o.Mesh.Subscribe(e.changed)
	peer.HandleAppliedQueries(o.Mesh, e.AppliedRevision)
	return e, nil
}

func (e *Entry) addMetrics(m *metrics.Set) {
	drop := func(reason string) *metrics.Counter {
		return m.NewCounter(`lacewing_entry_dropped_total{reason="` + reason + `"}`)
	}
	e.forwarded = m.NewCounter("lacewing_entry_forwarded_total")
	e.returned = m.NewCounter("lacewing_entry_returned_total")
	e.dropSize = drop("datagram too large")
	e.dropNoHome = drop("pool without a home")
	e.dropSend = drop("send to the home failed")
	e.dropReturn = drop("return for an unknown service or another node")
	e.bindFails = m.NewCounter("lacewing_entry_bind_failures_total")
	e.badSpecs = m.NewCounter("lacewing_entry_invalid_settings_total")
	m.NewGauge("lacewing_entry_services", func() float64 { return float64(len(*e.services.Load())) })
	m.NewGauge("lacewing_settings_age_seconds", func() float64 {
		newest := e.newest.Load()
		if newest == 0 {
			return 0
		}
		return time.Since(time.UnixMilli(newest)).Seconds()
	})
}

// AppliedRevision returns the revision that the service's socket serves, 0 if it has none. A deleted service is in force at its last revision
// once its socket is closed.
func (e *Entry) AppliedRevision(id ident.ServiceID) uint64 {
	if s := (*e.services.Load())[id]; s != nil {
		return s.settings.Load().number
	}
	if r, ok := e.options.Mesh.Revision(id); ok && r.Deleted {
		return r.Number
	}
	return 0
}

// changed notes which services a change concerns.
func (e *Entry) changed(c peer.Change) {
	r := c.Record
	if r == nil || r.Node != nil && r.Node.Entry {
		return
	}
	e.dirtyMu.Lock()
	switch {
	case r.Service != nil:
		e.dirty[r.Service.Service.ID()] = struct{}{}
	case r.Node != nil:
		e.dirty[r.Node.Service] = struct{}{}
	default:
		e.all = true
	}
	e.dirtyMu.Unlock()
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// Run serves until the context ends, then closes all sockets.
func (e *Entry) Run(ctx context.Context) error {
	ticker := time.NewTicker(retryEvery)
	defer ticker.Stop()
	for ctx.Err() == nil {
		e.reconcile()
		select {
		case <-ctx.Done():
		case <-ticker.C:
			e.markUnbound()
		case <-e.wake:
			time.Sleep(settleFor)
		}
	}
	for _, s := range *e.services.Load() {
		_ = s.conn.Close()
	}
	e.readers.Wait()
	return nil
}

// markUnbound makes services dirty that should have a socket and have none.
func (e *Entry) markUnbound() {
	present := *e.services.Load()
	for _, r := range e.options.Mesh.Services() {
		id := r.Service.ID()
		if s := present[id]; s == nil || s.settings.Load().number != r.Number {
			e.dirtyMu.Lock()
			e.dirty[id] = struct{}{}
			e.dirtyMu.Unlock()
		}
	}
}

// reconcile brings the sockets and routes of dirty services in line with the mesh.
func (e *Entry) reconcile() {
	e.dirtyMu.Lock()
	dirty, all := e.dirty, e.all
	e.dirty, e.all = map[ident.ServiceID]struct{}{}, false
	e.dirtyMu.Unlock()
	if all {
		for _, r := range e.options.Mesh.Services() {
			dirty[r.Service.ID()] = struct{}{}
		}
	}
	if len(dirty) == 0 {
		return
	}
	present := *e.services.Load()
	next := make(map[ident.ServiceID]*service, len(present))
	for id, s := range present {
		next[id] = s
	}
	// Removed services are closed before others are opened, which may take over an address.
	for id := range dirty {
		e.remove(next, id)
	}
	for id := range dirty {
		e.apply(next, id)
	}
	e.services.Store(&next)
}

// remove closes the socket of a service that was deleted.
func (e *Entry) remove(services map[ident.ServiceID]*service, id ident.ServiceID) {
	r, ok := e.options.Mesh.Revision(id)
	s := services[id]
	if s == nil || !ok || !r.Deleted {
		return
	}
	_ = s.conn.Close()
	delete(services, id)
	e.applied(&r, "service removed")
}

// apply brings one service to its newest revision. Settings that can't be applied leave the service as it was.
func (e *Entry) apply(services map[ident.ServiceID]*service, id ident.ServiceID) {
	r, ok := e.options.Mesh.Revision(id)
	if !ok || r.Deleted {
		return
	}
	s := services[id]
	if s == nil || s.settings.Load().number < r.Number {
		s = e.update(s, &r, len(services))
		if s == nil {
			return
		}
		services[id] = s
		return
	}
	s.route.Store(newRoute(s.route.Load(), s.settings.Load().spec, e.options.Mesh.Pool(id)))
}

// update returns the service at revision r: the same with new settings, or a new one if its address changed. It returns nil if it failed.
// bound is the number of services that are bound, those of the same round included: an entry that joins a fleet learns all at once.
func (e *Entry) update(old *service, r *record.Revision, bound int) *service {
	spec, err := settings.Parse(r.Service.String(), r.Service, r.Spec)
	if err != nil {
		e.badSpecs.Inc()
		e.fail(r, "settings not applied", err)
		return nil
	}
	at := spec.Address
	if e.host.IsValid() {
		at = netip.AddrPortFrom(e.host, at.Port())
	}
	a := &applied{r.Number, spec}
	var before *route
	if old != nil {
		before = old.route.Load()
	}
	next := newRoute(before, spec, e.options.Mesh.Pool(spec.Service.ID()))
	if old != nil && old.bound == at {
		old.settings.Store(a)
		old.route.Store(next)
		e.applied(r, "settings applied")
		return old
	}
	s, err := e.open(a, at)
	if err != nil {
		e.bindFails.Inc()
		e.fail(r, "address not bound", err)
		return nil
	}
	s.route.Store(next)
	readers := readersEach
	if bound >= manyServices {
		readers = 1
	}
	s.start(readers)
	if old != nil {
		_ = old.conn.Close()
	}
	e.applied(r, "service bound")
	return s
}

func (e *Entry) applied(r *record.Revision, message string) {
	if at := r.Accepted.UnixMilli(); at > e.newest.Load() {
		e.newest.Store(at)
	}
	_ = level.Info(e.options.Logger).Log(logging.KeyMessage, message, logging.KeyService, r.Service, logging.KeyRevision, r.Number)
}

func (e *Entry) fail(r *record.Revision, message string, err error) {
	_ = level.Error(e.options.Logger).Log(
		logging.KeyMessage, message, logging.KeyService, r.Service, logging.KeyRevision, r.Number, logging.KeyError, err)
}
