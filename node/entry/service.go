package entry

import (
	"net"
	"net/netip"
	"sync/atomic"

	"github.com/go-faster/errors"

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

// start starts the readers.
func (s *service) start(readers int) {
	for range readers {
		s.entry.readers.Add(1)
		go func() {
			defer s.entry.readers.Done()
			s.read()
		}()
	}
}

// read forwards datagrams until the socket is closed.
func (s *service) read() {
	buffer := make([]byte, wire.MaxFrame)
	scratch := make([]byte, 0, initialScratch)
	var d wire.Data
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // ICMP errors of earlier sends are reported here
		}
		scratch = s.forward(scratch, &d, from, buffer[:n])
	}
}

// forward sends a caller's datagram to the home of its flow.
func (s *service) forward(scratch []byte, d *wire.Data, from netip.AddrPort, payload []byte) []byte {
	e := s.entry
	to, reason := s.decide(d, from, payload)
	if reason != nil {
		reason.Inc()
		return scratch
	}
	if e.options.Decisions.Allow() {
		e.options.Decisions.Log("forward", logging.KeyService, s.name, logging.KeyCaller, from, logging.KeyHome, to.id)
	}
	scratch, err := e.options.Transport.SendData(scratch, to.address, wire.TypeData, d)
	if err != nil {
		e.dropSend.Inc()
		return scratch
	}
	e.forwarded.Inc()
	return scratch
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
