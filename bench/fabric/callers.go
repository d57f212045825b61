package fabric

import (
	"context"
	"encoding/binary"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"lacewinglever.dev/bench/pktinfo"
)

const (
	upstreams = 4 // sockets towards entries
	// firstInner and innerCount are the addresses that entries see for callers: 127.128.0.0/10.
	firstInner = 127<<24 | 128<<16
	innerCount = 1 << 22
)

// service is one service address.
type service struct {
	name    string
	socket  socket
	callers *end
	entries atomic.Pointer[[]netip.AddrPort]
}

// caller is one caller address as entries see it: an address of its own at the port of one of the sockets towards entries.
type caller struct {
	address  netip.AddrPort
	inner    netip.Addr
	upstream *upstream
	lastSeen atomic.Int64 // seconds since the epoch
}

// callers knows the callers that were heard lately. A caller keeps its inner address for all services and all entries, and
// an inner address is not given again until all others were.
type callers struct {
	mu        sync.RWMutex
	upstreams [upstreams]*upstream
	byAddress map[netip.AddrPort]*caller
	byInner   map[netip.Addr]*caller
	next      uint32
	limit     int
}

type upstream struct {
	conn   *pktinfo.Conn
	failed *atomic.Uint64
}

func (u *upstream) send(b []byte, from netip.Addr, to netip.AddrPort) {
	if u.conn.WriteFrom(b, from, to) != nil {
		u.failed.Add(1)
	}
}

// startCallers opens the sockets towards entries.
func (f *Fabric) startCallers(ctx context.Context) error {
	f.callers = &callers{
		byAddress: map[netip.AddrPort]*caller{}, byInner: map[netip.Addr]*caller{}, limit: f.config.MaxCallers,
	}
	for i := range f.callers.upstreams {
		conn, err := pktinfo.Listen()
		if err != nil {
			return err
		}
		f.closeLater(conn)
		f.callers.upstreams[i] = &upstream{conn, &f.SendFailed}
	}
	for _, u := range f.callers.upstreams {
		go f.receiveAnswers(ctx, u)
	}
	go f.expireCallers(ctx)
	return nil
}

func (f *Fabric) startService(ctx context.Context, config Service) error {
	s := &service{name: config.Name, callers: &end{names: []string{config.Name, Callers, Any}}}
	f.mu.Lock()
	f.services[config.Name] = s
	f.mu.Unlock()
	if err := f.setEntries(config.Name, config.Entries); err != nil {
		return err
	}
	var err error
	s.socket, err = f.listenUDP(config.Address)
	if err != nil {
		return err
	}
	go s.socket.receive(ctx, func(b []byte, from netip.AddrPort) { f.fromCaller(s, b, from) })
	return nil
}

// setEntries puts other entries in rotation for a service.
func (f *Fabric) setEntries(name string, addresses []string) error {
	entries := make([]netip.AddrPort, len(addresses))
	for i, a := range addresses {
		var err error
		if entries[i], err = netip.ParseAddrPort(a); err != nil {
			return err
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.services[name]
	if s == nil {
		return errors.Errorf("service %q is not known", name)
	}
	for _, e := range entries {
		f.byEntry[e] = s
	}
	s.entries.Store(&entries)
	return nil
}

func (f *Fabric) fromCaller(s *service, b []byte, from netip.AddrPort) {
	f.FromCallers.Add(1)
	c := f.callers.get(from)
	if c == nil {
		f.TooManyCallers.Add(1)
		return
	}
	entries := *s.entries.Load()
	if len(entries) == 0 {
		f.NoEntry.Add(1)
		return
	}
	entry := entries[f.links.pick(len(entries))]
	f.forward(f.links.path(s.callers, f.endOf(entry.Addr())), b, c.upstream, c.inner, entry)
}

func (f *Fabric) receiveAnswers(ctx context.Context, u *upstream) {
	b := make([]byte, maxDatagram)
	for {
		n, from, at, err := u.conn.Read(b)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			f.fromEntry(b[:n], from, at)
		}
	}
}

func (f *Fabric) fromEntry(b []byte, from netip.AddrPort, at netip.Addr) {
	f.mu.RLock()
	s := f.byEntry[from]
	f.mu.RUnlock()
	if s == nil {
		f.UnknownEntry.Add(1)
		return
	}
	c := f.callers.inner(at)
	if c == nil {
		f.UnknownCaller.Add(1)
		return
	}
	f.ToCallers.Add(1)
	f.forward(f.links.path(f.endOf(from.Addr()), s.callers), b, s.socket, netip.Addr{}, c.address)
}

func (c *callers) inner(at netip.Addr) *caller {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.byInner[at]
}

// get returns the caller at the address, or nil if there are too many.
func (c *callers) get(address netip.AddrPort) *caller {
	now := time.Now().Unix()
	c.mu.RLock()
	known := c.byAddress[address]
	c.mu.RUnlock()
	if known != nil {
		known.lastSeen.Store(now)
		return known
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if known = c.byAddress[address]; known != nil || len(c.byAddress) >= c.limit {
		return known
	}
	fresh := &caller{address: address, inner: c.freeInner(), upstream: c.upstreams[c.next%upstreams]}
	fresh.lastSeen.Store(now)
	c.byAddress[address], c.byInner[fresh.inner] = fresh, fresh
	return fresh
}

func (c *callers) freeInner() netip.Addr {
	for {
		c.next = c.next%(innerCount-1) + 1
		var b [4]byte
		binary.BigEndian.PutUint32(b[:], firstInner+c.next)
		inner := netip.AddrFrom4(b)
		if c.byInner[inner] == nil {
			return inner
		}
	}
}

func (f *Fabric) expireCallers(ctx context.Context) {
	tick := time.NewTicker(f.config.CallerIdle / 4)
	defer tick.Stop()
	for {
		select {
		case now := <-tick.C:
			f.callers.expire(now.Add(-f.config.CallerIdle).Unix())
		case <-ctx.Done():
			return
		}
	}
}

func (c *callers) expire(before int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, known := range c.byAddress {
		if known.lastSeen.Load() < before {
			delete(c.byAddress, address)
			delete(c.byInner, known.inner)
		}
	}
}
