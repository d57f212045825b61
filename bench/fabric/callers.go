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
	upstreamCount = 4 // sockets towards entries
	// Entries see callers at the NAT addresses 127.128.0.0/10.
	firstNATAddress = 127<<24 | 128<<16
	natAddressCount = 1 << 22
)

// service is one service address and the entries in its rotation.
type service struct {
	name      string
	socket    socket
	callerEnd *endpoint
	entries   atomic.Pointer[[]netip.AddrPort]
}

// caller maps the address of a caller to the source address that entries see: a NAT address that no
// other caller has, and the port of one of the sockets towards entries.
type caller struct {
	address    netip.AddrPort
	natAddress netip.Addr
	upstream   *upstream
	lastSeen   atomic.Int64 // seconds since the epoch
}

// callers is the NAT table of recently active callers. A caller has the same NAT address for all
// services and all entries. An address is reused only after all others have been allocated.
type callers struct {
	mu             sync.RWMutex
	upstreams      [upstreamCount]*upstream
	byAddress      map[netip.AddrPort]*caller
	byNATAddress   map[netip.Addr]*caller
	nextNATAddress uint32
	limit          int
}

// upstream is a socket towards entries.
type upstream struct {
	conn   *pktinfo.Conn
	failed *atomic.Uint64
}

func (u *upstream) send(b []byte, from netip.Addr, to netip.AddrPort) {
	if u.conn.WriteFrom(b, from, to) != nil {
		u.failed.Add(1)
	}
}

// startCallers opens the sockets towards entries and starts the expiry of idle callers.
func (f *Fabric) startCallers(ctx context.Context) error {
	f.callers = &callers{
		byAddress: map[netip.AddrPort]*caller{}, byNATAddress: map[netip.Addr]*caller{}, limit: f.config.MaxCallers,
	}
	for i := range f.callers.upstreams {
		conn, err := pktinfo.Listen()
		if err != nil {
			return err
		}
		f.addCloser(conn)
		f.callers.upstreams[i] = &upstream{conn, &f.SendFailed}
	}
	for _, u := range f.callers.upstreams {
		go f.receiveReturns(ctx, u)
	}
	go f.expireCallers(ctx)
	return nil
}

func (f *Fabric) startService(ctx context.Context, config Service) error {
	s := &service{name: config.Name, callerEnd: &endpoint{names: []string{config.Name, CallersEndpoint, AnyEndpoint}}}
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
	go s.socket.receive(ctx, func(b []byte, from netip.AddrPort) { f.handleCallerDatagram(s, b, from) })
	return nil
}

// setEntries replaces the entries in rotation for a service. Return datagrams from entries that
// were in rotation earlier are still forwarded.
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

func (f *Fabric) handleCallerDatagram(s *service, b []byte, from netip.AddrPort) {
	f.FromCallers.Add(1)
	c := f.callers.getOrAdd(from)
	if c == nil {
		f.TooManyCallers.Add(1)
		return
	}
	entries := *s.entries.Load()
	if len(entries) == 0 {
		f.NoEntry.Add(1)
		return
	}
	entry := entries[f.links.randomIndex(len(entries))]
	f.forward(f.links.path(s.callerEnd, f.endpointOf(entry.Addr())), b, c.upstream, c.natAddress, entry)
}

func (f *Fabric) receiveReturns(ctx context.Context, u *upstream) {
	b := make([]byte, maxDatagram)
	for {
		n, from, natAddress, err := u.conn.Read(b)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			f.handleReturnDatagram(b[:n], from, natAddress)
		}
	}
}

func (f *Fabric) handleReturnDatagram(b []byte, from netip.AddrPort, natAddress netip.Addr) {
	f.mu.RLock()
	s := f.byEntry[from]
	f.mu.RUnlock()
	if s == nil {
		f.UnknownEntry.Add(1)
		return
	}
	c := f.callers.findNATAddress(natAddress)
	if c == nil {
		f.UnknownCaller.Add(1)
		return
	}
	f.ToCallers.Add(1)
	f.forward(f.links.path(f.endpointOf(from.Addr()), s.callerEnd), b, s.socket, netip.Addr{}, c.address)
}

func (c *callers) findNATAddress(address netip.Addr) *caller {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.byNATAddress[address]
}

// getOrAdd returns the caller at the address and adds it if necessary. It returns nil when the
// table is full.
func (c *callers) getOrAdd(address netip.AddrPort) *caller {
	now := time.Now().Unix()
	c.mu.RLock()
	existing := c.byAddress[address]
	c.mu.RUnlock()
	if existing != nil {
		existing.lastSeen.Store(now)
		return existing
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if existing = c.byAddress[address]; existing != nil || len(c.byAddress) >= c.limit {
		return existing
	}
	added := &caller{
		address: address, natAddress: c.allocateNATAddress(), upstream: c.upstreams[c.nextNATAddress%upstreamCount],
	}
	added.lastSeen.Store(now)
	c.byAddress[address], c.byNATAddress[added.natAddress] = added, added
	return added
}

func (c *callers) allocateNATAddress() netip.Addr {
	for {
		c.nextNATAddress = c.nextNATAddress%(natAddressCount-1) + 1
		var b [4]byte
		binary.BigEndian.PutUint32(b[:], firstNATAddress+c.nextNATAddress)
		address := netip.AddrFrom4(b)
		if c.byNATAddress[address] == nil {
			return address
		}
	}
}

func (f *Fabric) expireCallers(ctx context.Context) {
	tick := time.NewTicker(f.config.CallerIdleTimeout / 4)
	defer tick.Stop()
	for {
		select {
		case now := <-tick.C:
			f.callers.expire(now.Add(-f.config.CallerIdleTimeout).Unix())
		case <-ctx.Done():
			return
		}
	}
}

func (c *callers) expire(before int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, existing := range c.byAddress {
		if existing.lastSeen.Load() < before {
			delete(c.byAddress, address)
			delete(c.byNATAddress, existing.natAddress)
		}
	}
}
