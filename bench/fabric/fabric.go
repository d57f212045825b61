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

	"lacewinglever.dev/bench/cli"
	"lacewinglever.dev/bench/pktinfo"
)

const (
	queueCount  = 4
	maxDatagram = 65_535 // bytes
)

// Counters counts datagrams, and in Connections TCP connections, since the start. UnknownCaller
// counts return datagrams to a NAT address that has no caller, UnknownEntry those from an address
// that no service has had as an entry.
type Counters struct {
	FromCallers, ToCallers, BetweenNodes    atomic.Uint64
	DroppedByLoss, DroppedByCut, Duplicated atomic.Uint64
	QueueFull, SendFailed                   atomic.Uint64
	NoEntry, TooManyCallers                 atomic.Uint64
	UnknownCaller, UnknownEntry             atomic.Uint64
	Connections                             atomic.Uint64 // TCP connections relayed
}

// Fabric emulates the network that its Config describes.
type Fabric struct {
	config    Config
	logger    log.Logger
	links     *links
	queues    [queueCount]*queue
	callers   *callers
	openConns openConns
	Counters

	mu       sync.RWMutex
	byHost   map[netip.Addr]*endpoint
	closers  []io.Closer
	services map[string]*service
	byEntry  map[netip.AddrPort]*service // every entry address that has been in rotation
}

// New returns a fabric that binds its addresses in Run.
func New(config Config, logger log.Logger) *Fabric {
	f := &Fabric{
		config: config, logger: logger, links: newLinks(config.Seed, config.Links),
		byHost: map[netip.Addr]*endpoint{}, services: map[string]*service{}, byEntry: map[netip.AddrPort]*service{},
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
	_ = level.Info(f.logger).Log("msg", "fabric is running",
		"services", len(f.config.Services), "nodes", len(f.config.Nodes))
	<-ctx.Done()
	return nil
}

// addCloser registers c to be closed at the end of Run.
func (f *Fabric) addCloser(c io.Closer) {
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
	admin, err := cli.Serve(ctx, f.config.Admin, f.handler())
	if err != nil {
		return errors.Wrap(err, "admin endpoint")
	}
	f.addCloser(admin)
	return nil
}

// endpointOf returns the endpoint of the host 127.n.0.x: the node with that listen host, or else
// data centre n.
func (f *Fabric) endpointOf(host netip.Addr) *endpoint {
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
	e = &endpoint{names: []string{dataCentreOf(host), AnyEndpoint}}
	if len(f.byHost) < f.config.MaxCallers {
		f.byHost[host] = e
	}
	return e
}

// forward sends a datagram along a path and applies the link's cut, loss and duplication.
func (f *Fabric) forward(p *path, b []byte, out sender, from netip.Addr, to netip.AddrPort) {
	switch {
	case p.link.Cut:
		f.DroppedByCut.Add(1)
		return
	case f.links.drawEvent(p.link.Loss):
		f.DroppedByLoss.Add(1)
		return
	}
	f.schedule(p, b, out, from, to)
	if f.links.drawEvent(p.link.Duplicate) {
		f.Duplicated.Add(1)
		f.schedule(p, b, out, from, to)
	}
}

// schedule sends a datagram immediately if the link has no delay, jitter or reordering, and
// otherwise queues it. All datagrams to one address use the same queue.
func (f *Fabric) schedule(p *path, b []byte, out sender, from netip.Addr, to netip.AddrPort) {
	if p.link.Delay == 0 && p.link.Jitter == 0 && p.link.Reorder == 0 {
		out.send(b, from, to)
		return
	}
	q := f.queues[(uint(to.Port())+uint(to.Addr().As4()[3]))%queueCount]
	if !q.add(f.links.due(p, time.Now()), b, out, from, to) {
		f.QueueFull.Add(1)
	}
}

// socket is a sender on a UDP socket. It sends from the address to which the socket is bound.
type socket struct {
	udp    *net.UDPConn
	failed *atomic.Uint64
}

func (s socket) send(b []byte, _ netip.Addr, to netip.AddrPort) {
	if _, err := s.udp.WriteToUDPAddrPort(b, to); err != nil {
		s.failed.Add(1)
	}
}

// listenUDP binds a socket that is closed at the end of Run.
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
	f.addCloser(udp)
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
