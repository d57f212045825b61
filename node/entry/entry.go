// Package entry is the data plane of an entry. It receives callers' datagrams on the addresses of
// the services, forwards them to the homes of their flows, and sends return datagrams to the
// callers from the services' own sockets.
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
	socketBufferBytes = 1 << 20 // of each service's socket
	// bindRetryInterval is how often binding is retried for services whose address could not be
	// bound.
	bindRetryInterval = time.Second
	// coalesceTime is how long the entry waits after a change for further ones, so that a burst of
	// changes rebuilds a route once.
	coalesceTime = 10 * time.Millisecond
	// singleReaderServices is the number of bound services from which each further service gets one
	// reader, to bound the number of goroutines.
	singleReaderServices = 64
	readersPerService    = 4
	// decisionSampleSize is the sampling interval of the decision log: each reader offers one in
	// this many datagrams to it.
	decisionSampleSize = 16
)

// Options configure an Entry.
type Options struct {
	Mesh        peer.Mesh
	Transport   *transport.Transport
	Keys        *wire.Keyring // checks the tags of connection IDs
	ServiceHost string        // address on which service ports are bound; empty: the service's own address
	Logger      log.Logger
	Decisions   *logging.Decisions
	Metrics     *metrics.Set
}

type dropCounter = *metrics.Counter

// Entry is the data plane of an entry.
type Entry struct {
	options    Options
	self       ident.NodeID
	bindHost   netip.Addr // invalid: the service's own address
	services   atomic.Pointer[map[ident.ServiceID]*service]
	readers    sync.WaitGroup
	bufferPool sync.Pool // *buffers, shared by the readers of all services

	dirtyMu            sync.Mutex
	dirty              map[ident.ServiceID]struct{}
	allDirty           bool // every service is dirty
	reconcileRequested chan struct{}

	newestAccepted    atomic.Int64 // Unix milliseconds at which the newest applied revision was accepted
	forwarded         *metrics.Counter
	returned          *metrics.Counter
	droppedTooLarge   dropCounter
	droppedNoHome     dropCounter
	droppedSendFailed dropCounter
	droppedReturn     dropCounter
	bindFailures      *metrics.Counter
	invalidSettings   *metrics.Counter
}

// New makes the data plane and subscribes it to the mesh.
func New(o Options) (*Entry, error) {
	e := &Entry{
		options:            o,
		self:               o.Mesh.Self().ID,
		dirty:              map[ident.ServiceID]struct{}{},
		allDirty:           true,
		reconcileRequested: make(chan struct{}, 1),
	}
	if o.ServiceHost != "" {
		host, err := netip.ParseAddr(o.ServiceHost)
		if err != nil {
			return nil, errors.Wrap(err, "service host")
		}
		e.bindHost = host
	}
	e.services.Store(&map[ident.ServiceID]*service{})
	e.addMetrics(o.Metrics)
	o.Mesh.Subscribe(e.markChanged)
	peer.HandleAppliedQueries(o.Mesh, e.AppliedRevision)
	return e, nil
}

func (e *Entry) addMetrics(m *metrics.Set) {
	drop := func(reason string) *metrics.Counter {
		return m.NewCounter(`lacewing_entry_dropped_total{reason="` + reason + `"}`)
	}
	e.forwarded = m.NewCounter("lacewing_entry_forwarded_total")
	e.returned = m.NewCounter("lacewing_entry_returned_total")
	e.droppedTooLarge = drop("datagram too large")
	e.droppedNoHome = drop("pool without a home")
	e.droppedSendFailed = drop("send to the home failed")
	e.droppedReturn = drop("return for an unknown service or another node")
	e.bindFailures = m.NewCounter("lacewing_entry_bind_failures_total")
	e.invalidSettings = m.NewCounter("lacewing_entry_invalid_settings_total")
	m.NewGauge("lacewing_entry_services", func() float64 { return float64(len(*e.services.Load())) })
	m.NewGauge("lacewing_settings_age_seconds", func() float64 {
		newest := e.newestAccepted.Load()
		if newest == 0 {
			return 0
		}
		return time.Since(time.UnixMilli(newest)).Seconds()
	})
}

// AppliedRevision returns the revision that the service's socket serves, 0 if it has no socket. A
// deletion is in force, with its own revision number, once the socket is closed.
func (e *Entry) AppliedRevision(id ident.ServiceID) uint64 {
	if s := (*e.services.Load())[id]; s != nil {
		return s.settings.Load().number
	}
	if r, ok := e.options.Mesh.Revision(id); ok && r.Deleted {
		return r.Number
	}
	return 0
}

// markChanged marks the services that a change concerns as dirty.
func (e *Entry) markChanged(c peer.Change) {
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
		e.allDirty = true
	}
	e.dirtyMu.Unlock()
	select {
	case e.reconcileRequested <- struct{}{}:
	default:
	}
}

// Run serves until the context ends, then closes all sockets.
func (e *Entry) Run(ctx context.Context) error {
	ticker := time.NewTicker(bindRetryInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		e.reconcile()
		select {
		case <-ctx.Done():
		case <-ticker.C:
			e.markUnbound()
		case <-e.reconcileRequested:
			time.Sleep(coalesceTime)
		}
	}
	for _, s := range *e.services.Load() {
		_ = s.conn.Close()
	}
	e.readers.Wait()
	return nil
}

// markUnbound marks services as dirty whose newest revision is not in force.
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

// reconcile applies the mesh's state to the sockets and routes of dirty services.
func (e *Entry) reconcile() {
	e.dirtyMu.Lock()
	dirty, all := e.dirty, e.allDirty
	e.dirty, e.allDirty = map[ident.ServiceID]struct{}{}, false
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
	// Deleted services are closed first, because a new service may take over an address.
	for id := range dirty {
		e.remove(next, id)
	}
	for id := range dirty {
		e.apply(next, id)
	}
	e.services.Store(&next)
}

// remove closes the socket of a deleted service.
func (e *Entry) remove(services map[ident.ServiceID]*service, id ident.ServiceID) {
	r, ok := e.options.Mesh.Revision(id)
	s := services[id]
	if s == nil || !ok || !r.Deleted {
		return
	}
	_ = s.conn.Close()
	delete(services, id)
	e.recordApplied(&r, "service removed")
}

// apply brings one service to its newest revision. If the settings cannot be applied, the service
// stays as it was.
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

// update returns the service at revision r: the same with new settings, or a new one if its address
// changed. It returns nil on failure. bound is the number of bound services, including those of the
// same round, because an entry that joins a fleet receives all services at once.
func (e *Entry) update(old *service, r *record.Revision, bound int) *service {
	spec, err := settings.Parse(r.Service.String(), r.Service, r.Spec)
	if err != nil {
		e.invalidSettings.Inc()
		e.logFailure(r, "settings not applied", err)
		return nil
	}
	address := spec.Address
	if e.bindHost.IsValid() {
		address = netip.AddrPortFrom(e.bindHost, address.Port())
	}
	a := &appliedSettings{r.Number, spec}
	var before *route
	if old != nil {
		before = old.route.Load()
	}
	next := newRoute(before, spec, e.options.Mesh.Pool(spec.Service.ID()))
	if old != nil && old.boundAddress == address {
		old.settings.Store(a)
		old.route.Store(next)
		e.recordApplied(r, "settings applied")
		return old
	}
	s, err := e.open(a, address)
	if err != nil {
		e.bindFailures.Inc()
		e.logFailure(r, "address not bound", err)
		return nil
	}
	s.route.Store(next)
	readers := readersPerService
	if bound >= singleReaderServices {
		readers = 1
	}
	s.start(readers)
	if old != nil {
		_ = old.conn.Close()
	}
	e.recordApplied(r, "service bound")
	return s
}

func (e *Entry) recordApplied(r *record.Revision, message string) {
	if at := r.Accepted.UnixMilli(); at > e.newestAccepted.Load() {
		e.newestAccepted.Store(at)
	}
	_ = level.Info(e.options.Logger).Log(logging.KeyMessage, message, logging.KeyService, r.Service,
		logging.KeyRevision, r.Number)
}

func (e *Entry) logFailure(r *record.Revision, message string, err error) {
	_ = level.Error(e.options.Logger).Log(
		logging.KeyMessage, message, logging.KeyService, r.Service, logging.KeyRevision, r.Number, logging.KeyError, err)
}
