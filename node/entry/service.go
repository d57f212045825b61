package entry

import (
	"net"
	"net/netip"
	"sync/atomic"

	"github.com/go-faster/errors"

	"lacewinglever.dev/node/connid"
	"lacewinglever.dev/node/logging"
	"lacewinglever.dev/node/socket"
	"lacewinglever.dev/node/transport"
	"lacewinglever.dev/node/wire"
	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/settings"
)

// service is one service with its socket.
type service struct {
	// The fields that a forwarding decision reads come first, to share one cache line.
	id           ident.ServiceID
	route        atomic.Pointer[route]
	entry        *Entry
	name         string
	settings     atomic.Pointer[appliedSettings]
	boundAddress netip.AddrPort
	conn         *net.UDPConn
	socket       socket.Conn // conn, for batched reads and writes
}

// appliedSettings is the revision that the socket serves.
type appliedSettings struct {
	number uint64
	spec   *settings.Spec
}

// open binds the service's socket. start starts its readers.
func (e *Entry) open(a *appliedSettings, address netip.AddrPort) (*service, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, errors.Wrapf(err, "bind address of service %s", a.spec.Service)
	}
	_ = conn.SetReadBuffer(socketBufferBytes)
	_ = conn.SetWriteBuffer(socketBufferBytes)
	batched, err := socket.NewConn(conn)
	if err != nil {
		_ = conn.Close()
		return nil, errors.Wrapf(err, "socket of service %s", a.spec.Service)
	}
	s := &service{entry: e, id: a.spec.Service.ID(), name: a.spec.Service.String(), boundAddress: address, conn: conn,
		socket: batched}
	s.settings.Store(a)
	return s, nil
}

// start starts the readers.
func (s *service) start(readers int) {
	for range readers {
		s.entry.readers.Go(s.read)
	}
}

// buffers is the memory that a reader needs for one batch of datagrams.
type buffers struct {
	reader    *socket.Reader
	batch     *transport.Batch
	data      wire.Data
	datagrams uint64 // forwarded so far, for sampling
}

func (s *service) newBuffers() *buffers {
	return &buffers{reader: socket.NewReader(s.socket, wire.MaxFrameSize, 0), batch: s.entry.options.Transport.NewBatch()}
}

// read forwards datagrams until the socket is closed. It takes buffers from the pool only while
// datagrams wait: a set of buffers takes 2 MB, so 13,000 readers with buffers of their own would
// take gigabytes, and most services are idle at any time.
func (s *service) read() {
	pool := &s.entry.bufferPool
	var b *buffers
	var n int
	ready := func(fd uintptr) bool {
		b, _ = pool.Get().(*buffers)
		if b == nil {
			b = s.newBuffers()
		}
		var ok bool
		if n, ok = b.reader.TryRead(fd); !ok {
			pool.Put(b)
		}
		return ok
	}
	for s.socket.WaitReadable(ready) == nil {
		s.forwardBatch(b, n)
		pool.Put(b)
	}
}

// forwardBatch forwards the n datagrams that were read together.
func (s *service) forwardBatch(b *buffers, n int) {
	e := s.entry
	forwarded := 0
	for i := range n {
		if s.forward(b, b.reader.From(i), b.reader.Payload(i)) {
			forwarded++
		}
	}
	failed := b.batch.Flush()
	e.droppedSendFailed.Add(failed)
	e.forwarded.Add(forwarded - failed)
}

// forward adds a caller's datagram to the batch, addressed to the home of its flow. It returns
// false if the datagram is dropped.
func (s *service) forward(b *buffers, from netip.AddrPort, payload []byte) bool {
	e := s.entry
	to, reason := s.decide(&b.data, from, payload)
	if reason != nil {
		reason.Inc()
		return false
	}
	// The reader samples before it checks the rate limit, which all readers share under a lock.
	if b.datagrams++; b.datagrams%decisionSampleSize == 1 && e.options.Decisions.Allow() {
		e.options.Decisions.Log("forward", logging.KeyService, s.name, logging.KeyCaller, from, logging.KeyHome, to.id)
	}
	b.batch.Add(to.address, wire.TypeData, &b.data)
	return true
}

// decide fills in d and returns its destination, or the drop counter to increment.
func (s *service) decide(d *wire.Data, from netip.AddrPort, payload []byte) (*destination, dropCounter) {
	if len(payload) > wire.MaxPayloadSize {
		return nil, s.entry.droppedTooLarge
	}
	key := ident.FlowKey{Service: s.id, Caller: ident.CallerFrom(from)}
	r := s.route.Load()
	to, ok := s.chooseDestination(r, key, payload)
	if !ok {
		return nil, s.entry.droppedNoHome
	}
	*d = wire.Data{
		Service:     s.id,
		Destination: to.id,
		Caller:      key.Caller,
		View:        r.digest,
		Entry:       s.entry.self,
		Payload:     payload,
	}
	return to, nil
}

// chooseDestination returns the agent that the connection ID names, if it is in the pool, and the
// flow's home otherwise.
func (s *service) chooseDestination(r *route, key ident.FlowKey, payload []byte) (*destination, bool) {
	if r.byAgent != nil {
		if id, ok := connid.FromDatagram(s.entry.options.Keys, payload); ok {
			if i, ok := r.byAgent[id.Agent]; ok {
				return &r.destinations[i], r.destinations[i].address.IsValid()
			}
		}
	}
	return r.home(key)
}
