package fabric

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"lacewinglever.dev/bench/pktinfo"
	"lacewinglever.dev/bench/program"
)

const (
	queues      = 4
	maxDatagram = 65_535
)

// Counters counts datagrams since the start.
type Counters struct {
	FromCallers, ToCallers, BetweenNodes atomic.Uint64
	Lost, Cut, Duplicated                atomic.Uint64
	QueueFull, SendFailed                atomic.Uint64
	NoEntry, TooManyCallers              atomic.Uint64
	UnknownCaller, UnknownEntry          atomic.Uint64 // answers without a known caller, or not from a service's entry
	Connections                          atomic.Uint64 // TCP connections relayed
}

// Fabric is a running fabric.
type Fabric struct {
	config  Config
	logger  log.Logger
	links   *links
	queues  [queues]*queue
	callers *callers
	relays  relays
	Counters

	mu       sync.RWMutex
	byHost   map[netip.Addr]*end
	closers  []io.Closer
	services map[string]*service
	byEntry  map[netip.AddrPort]*service // every entry address that was ever in rotation
}

// New prepares a fabric.
func New(config Config, logger log.Logger) *Fabric {
	f := &Fabric{
		config: config, logger: logger, links: newLinks(config.Seed, config.Links),
		byHost: map[netip.Addr]*end{}, services: map[string]*service{}, byEntry: map[netip.AddrPort]*service{},
	}
	for i := range f.queues {
		f.queues[i] = newQueue()
	}
	return f
}

// Run binds all addresses and serves until the context ends.
func (f *Fabric) Run(ctx context.Context) error {
	defer f.close()
	if err := f.start(ctx); err != nil {
		return err
	}
	_ = level.Info(f.logger).Log("msg", "fabric is running", "services", len(f.config.Services), "nodes", len(f.config.Nodes))
	<-ctx.Done()
	return nil
}

// closeLater has a socket closed at the end of Run.
func (f *Fabric) closeLater(c io.Closer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closers = append(f.closers, c)
}

func (f *Fabric) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.closers {
		_ = c.Close()
	}
	f.closers = nil
}

func (f *Fabric) start(ctx context.Context) error {
	for _, q := range f.queues {
		go q.run(ctx)
	}
	for _, n := range f.config.Nodes {
		if err := f.startNode(ctx, n); err != nil {
			return errors.Wrapf(err, "node %s", n.Name)
		}
	}
	if err := f.startCallers(ctx); err != nil {
		return errors.Wrap(err, "sockets towards entries")
	}
	for _, s := range f.config.Services {
		if err := f.startService(ctx, s); err != nil {
			return errors.Wrapf(err, "service %s", s.Name)
		}
	}
	admin, err := program.Serve(ctx, f.config.Admin, f.handler())
	if err != nil {
		return errors.Wrap(err, "admin endpoint")
	}
	f.closeLater(admin)
	return nil
}

// endOf returns the end that a host of 127.n.0.x belongs to: the node of that host, else only data centre n.
func (f *Fabric) endOf(host netip.Addr) *end {
	f.mu.RLock()
	e := f.byHost[host]
	f.mu.RUnlock()
	if e != nil {
		return e
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if e = f.byHost[host]; e != nil {
		return e
	}
	e = &end{names: []string{dataCentreOf(host), Any}}
	if len(f.byHost) < f.config.MaxCallers {
		f.byHost[host] = e
	}
	return e
}

// forward sends a datagram along a path: now, later, twice or never.
func (f *Fabric) forward(p *path, b []byte, out sender, from netip.Addr, to netip.AddrPort) {
	switch {
	case p.link.Cut:
		f.Cut.Add(1)
		return
	case f.links.chance(p.link.Loss):
		f.Lost.Add(1)
		return
	}
	f.schedule(p, b, out, from, to)
	if f.links.chance(p.link.Duplicate) {
		f.Duplicated.Add(1)
		f.schedule(p, b, out, from, to)
	}
}

func (f *Fabric) schedule(p *path, b []byte, out sender, from netip.Addr, to netip.AddrPort) {
	if p.link.Delay == 0 && p.link.Jitter == 0 && p.link.Reorder == 0 {
		out.send(b, from, to)
		return
	}
	q := f.queues[(uint(to.Port())+uint(to.Addr().As4()[3]))%queues]
	if !q.add(f.links.due(p, time.Now()), b, out, from, to) {
		f.QueueFull.Add(1)
	}
}

// socket is a plain UDP socket as a sender: it sends from its own address.
type socket struct {
	udp    *net.UDPConn
	failed *atomic.Uint64
}

func (s socket) send(b []byte, _ netip.Addr, to netip.AddrPort) {
	if _, err := s.udp.WriteToUDPAddrPort(b, to); err != nil {
		s.failed.Add(1)
	}
}

// listenUDP binds the address until the end of Run.
func (f *Fabric) listenUDP(address string) (socket, error) {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return socket{}, err
	}
	udp, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return socket{}, err
	}
	pktinfo.EnlargeBuffers(udp)
	f.closeLater(udp)
	return socket{udp, &f.SendFailed}, nil
}

// receive calls handle for each datagram until the socket is closed.
func (s socket) receive(ctx context.Context, handle func(b []byte, from netip.AddrPort)) {
	b := make([]byte, maxDatagram)
	for {
		n, from, err := s.udp.ReadFromUDPAddrPort(b)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			handle(b[:n], netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
		}
	}
}
