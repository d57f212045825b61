package request

import (
	"net"
	"os"
	"sync"
	"time"

	"lacewinglever.dev/node/agent"
	"lacewinglever.dev/policy/ident"
)

// receiveQueue bounds the callers' datagrams that wait for the QUIC stack. Further ones are dropped, as a socket buffer does.
const receiveQueue = 1024

// packet is a received datagram in a buffer of the pool.
type packet struct {
	caller ident.Caller
	buffer *[]byte
	size   int
}

// packetConn is the net.PacketConn of the QUIC stack. What it reads was passed to Deliver, and what it writes goes to an entry.
type packetConn struct {
	send     agent.ReturnFunc
	received chan packet
	buffers  sync.Pool
	closed   chan struct{}
	close    sync.Once

	mu       sync.Mutex
	deadline chan struct{} // closed when the read deadline has passed
}

// maxDatagram is the largest QUIC packet that is read, in bytes. The QUIC stack truncates longer ones too.
const maxDatagram = 1500

func newPacketConn(send agent.ReturnFunc) *packetConn {
	c := &packetConn{
		send:     send,
		received: make(chan packet, receiveQueue),
		closed:   make(chan struct{}),
		deadline: make(chan struct{}),
	}
	c.buffers.New = func() any {
		b := make([]byte, maxDatagram)
		return &b
	}
	return c
}

// deliver queues a copy of payload. It returns false if the queue is full or the datagram too large.
func (c *packetConn) deliver(caller ident.Caller, payload []byte) bool {
	if len(payload) > maxDatagram {
		return false
	}
	buffer := c.buffers.Get().(*[]byte)
	size := copy(*buffer, payload)
	select {
	case c.received <- packet{caller: caller, buffer: buffer, size: size}:
		return true
	default:
		c.buffers.Put(buffer)
		return false
	}
}

// ReadFrom is part of net.PacketConn.
func (c *packetConn) ReadFrom(b []byte) (int, net.Addr, error) {
	c.mu.Lock()
	deadline := c.deadline
	c.mu.Unlock()
	select {
	case p := <-c.received:
		n := copy(b, (*p.buffer)[:p.size])
		c.buffers.Put(p.buffer)
		return n, net.UDPAddrFromAddrPort(p.caller.AddrPort()), nil
	case <-deadline:
		return 0, nil, os.ErrDeadlineExceeded
	case <-c.closed:
		return 0, nil, net.ErrClosed
	}
}

// WriteTo is part of net.PacketConn. A datagram that could not be sent is lost, which QUIC repairs.
func (c *packetConn) WriteTo(b []byte, to net.Addr) (int, error) {
	address, ok := to.(*net.UDPAddr)
	if !ok {
		return 0, net.InvalidAddrError("not a UDP address")
	}
	_ = c.send(ident.CallerFrom(address.AddrPort()), b)
	return len(b), nil
}

// SetReadDeadline is part of net.PacketConn. The QUIC stack sets a deadline only to end a read, so a deadline in the future isn't supported.
func (c *packetConn) SetReadDeadline(t time.Time) error {
	if time.Until(t) > 0 {
		return os.ErrNoDeadline
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	passed := isClosed(c.deadline)
	switch {
	case t.IsZero() && passed:
		c.deadline = make(chan struct{})
	case !t.IsZero() && !passed:
		close(c.deadline)
	}
	return nil
}

func isClosed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// SetDeadline is part of net.PacketConn.
func (c *packetConn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// SetWriteDeadline is part of net.PacketConn. Writes don't block.
func (c *packetConn) SetWriteDeadline(time.Time) error { return nil }

// SetReadBuffer satisfies the QUIC stack, which asks for larger kernel buffers.
func (c *packetConn) SetReadBuffer(int) error { return nil }

// SetWriteBuffer satisfies the QUIC stack, which asks for larger kernel buffers.
func (c *packetConn) SetWriteBuffer(int) error { return nil }

// LocalAddr is part of net.PacketConn.
func (c *packetConn) LocalAddr() net.Addr { return &net.UDPAddr{IP: net.IPv4zero} }

// Close is part of net.PacketConn.
func (c *packetConn) Close() error {
	c.close.Do(func() { close(c.closed) })
	return nil
}
