package entry

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"

	"lacewinglever.dev/node/connid"
	"lacewinglever.dev/node/logging"
	"lacewinglever.dev/node/wire"
	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/settings"
)

// service is one service with its socket.
type service struct {
	entry    *Entry
	id       ident.ServiceID
	name     string
	settings atomic.Pointer[applied]
	route    atomic.Pointer[route]
	bound    netip.AddrPort
	conn     *net.UDPConn
}

// applied is the revision that the socket serves.
type applied struct {
	number uint64
	spec   *settings.Spec
}

// open binds the service's socket and starts its readers.
func (e *Entry) open(a *applied, at netip.AddrPort) (*service, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, errors.Wrapf(err, "bind address of service %s", a.spec.Service)
	}
	_ = conn.SetReadBuffer(socketBuffer)
	_ = conn.SetWriteBuffer(socketBuffer)
	s := &service{entry: e, id: a.spec.Service.ID(), name: a.spec.Service.String(), bound: at, conn: conn}
	s.settings.Store(a)
	return s, nil
}

// start starts the readers. A single reader borrows its buffers, because there are many services then.
func (s *service) start(readers int) {
	read := s.read
	if readers == 1 {
		read = s.readShared
	}
	for range readers {
		s.entry.readers.Add(1)
		go func() {
			defer s.entry.readers.Done()
			read()
		}()
	}
}

// buffers is what a reader needs for one datagram.
type buffers struct {
	datagram  []byte
	scratch   []byte
	data      wire.Data
	datagrams uint64 // forwarded
}

func newBuffers() *buffers {
	return &buffers{datagram: make([]byte, wire.MaxFrame), scratch: make([]byte, 0, initialScratch)}
}

// bufferPool lends buffers to the readers of many services, most of which are idle at any time: 13,000 readers with buffers of their own
// would take 850 MB.
var bufferPool = sync.Pool{New: func() any { return newBuffers() }}

// read forwards datagrams until the socket is closed.
func (s *service) read() {
	b := newBuffers()
	for s.readOne(b) {
	}
}

// readShared forwards datagrams until the socket is closed, and holds buffers only while datagrams wait.
func (s *service) readShared() {
	raw, err := s.conn.SyscallConn()
	if err != nil {
		return
	}
	poll := []unix.PollFd{{Events: unix.POLLIN}}
	ready := func(fd uintptr) bool {
		poll[0].Fd = int32(fd)
		n, _ := unix.Poll(poll, 0)
		return n > 0
	}
	// Read calls ready again each time the socket becomes readable, and fails when it is closed.
	for raw.Read(ready) == nil {
		b := bufferPool.Get().(*buffers)
		open := s.readOne(b)
		bufferPool.Put(b)
		if !open {
			return
		}
	}
}

// readOne forwards one datagram. It returns false when the socket is closed.
func (s *service) readOne(b *buffers) bool {
	n, from, err := s.conn.ReadFromUDPAddrPort(b.datagram)
	if err != nil {
		return !errors.Is(err, net.ErrClosed) // ICMP errors of earlier sends are reported here
	}
	s.forward(b, from, b.datagram[:n])
	return true
}

// forward sends a caller's datagram to the home of its flow.
func (s *service) forward(b *buffers, from netip.AddrPort, payload []byte) {
	e := s.entry
	to, reason := s.decide(&b.data, from, payload)
	if reason != nil {
		reason.Inc()
		return
	}
	// The reader samples before it asks, because the limit is shared by all readers under a lock.
	if b.datagrams++; b.datagrams%decisionSample == 1 && e.options.Decisions.Allow() {
		e.options.Decisions.Log("forward", logging.KeyService, s.name, logging.KeyCaller, from, logging.KeyHome, to.id)
	}
	var err error
	b.scratch, err = e.options.Transport.SendData(b.scratch, to.address, wire.TypeData, &b.data)
	if err != nil {
		e.dropSend.Inc()
		return
	}
	e.forwarded.Inc()
}

// decide fills in d and returns where it goes, or the counter of the reason why it is dropped.
func (s *service) decide(d *wire.Data, from netip.AddrPort, payload []byte) (*destination, dropCounter) {
	if len(payload) > wire.MaxPayload {
		return nil, s.entry.dropSize
	}
	key := ident.FlowKey{Service: s.id, Caller: ident.CallerFrom(from)}
	r := s.route.Load()
	to, ok := s.destination(r, key, payload)
	if !ok {
		return nil, s.entry.dropNoHome
	}
	*d = wire.Data{
		Service:     s.id,
		Destination: to.id,
		Caller:      key.Caller,
		View:        r.view.Digest,
		Entry:       s.entry.self,
		Payload:     payload,
	}
	return to, nil
}

// destination returns the agent that a connection ID names, if there is one of the pool, and the flow's home otherwise.
func (s *service) destination(r *route, key ident.FlowKey, payload []byte) (*destination, bool) {
	if r.byAgent != nil {
		if id, ok := connid.FromDatagram(s.entry.options.Keys, payload); ok {
			if i, ok := r.byAgent[id.Agent]; ok {
				return &r.destinations[i], r.destinations[i].address.IsValid()
			}
		}
	}
	return r.home(key)
}
