// Package pktinfo provides a UDP socket that sends from, and receives at, any number of loopback
// addresses. One socket serves many simulated callers, which keeps the number of sockets bounded.
package pktinfo

import (
	"net"
	"net/netip"
	"syscall"
	"unsafe"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

// BufferBytes is the size of the socket buffers that test programs request, so that they do not
// lose datagrams in a burst themselves.
const BufferBytes = 8 << 20

// controlBytes is the size of one IP_PKTINFO control message.
var controlBytes = unix.CmsgSpace(unix.SizeofInet4Pktinfo)

// Conn is a UDP socket bound to all addresses at one port.
type Conn struct {
	udp  *net.UDPConn
	port uint16
}

// Listen binds a free port.
func Listen() (*Conn, error) {
	udp, err := net.ListenUDP("udp4", &net.UDPAddr{})
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	raw, err := udp.SyscallConn()
	if err != nil {
		return nil, errors.Wrap(err, "raw socket")
	}
	var setErr error
	err = raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_IP, unix.IP_PKTINFO, 1)
	})
	if err = errors.Join(err, setErr); err != nil {
		_ = udp.Close()
		return nil, errors.Wrap(err, "set IP_PKTINFO")
	}
	EnlargeBuffers(udp)
	return &Conn{udp: udp, port: udp.LocalAddr().(*net.UDPAddr).AddrPort().Port()}, nil
}

// EnlargeBuffers requests large socket buffers. If the system refuses, its limit applies.
func EnlargeBuffers(udp *net.UDPConn) {
	_ = udp.SetReadBuffer(BufferBytes)
	_ = udp.SetWriteBuffer(BufferBytes)
}

// Port returns the port that the socket is bound to.
func (c *Conn) Port() uint16 { return c.port }

// Close closes the socket.
func (c *Conn) Close() error { return c.udp.Close() }

// WriteFrom sends b from one address to another.
func (c *Conn) WriteFrom(b []byte, from netip.Addr, to netip.AddrPort) error {
	var control [64]byte
	oob := control[:controlBytes]
	h := (*unix.Cmsghdr)(unsafe.Pointer(&oob[0]))
	h.Level, h.Type = unix.IPPROTO_IP, unix.IP_PKTINFO
	h.SetLen(unix.CmsgLen(unix.SizeofInet4Pktinfo))
	info := (*unix.Inet4Pktinfo)(unsafe.Pointer(&oob[unix.CmsgLen(0)]))
	info.Spec_dst = from.As4()
	_, _, err := c.udp.WriteMsgUDPAddrPort(b, oob, to)
	return err
}

// Read reads a datagram. It returns its length, its sender and the address that it was sent to.
func (c *Conn) Read(b []byte) (n int, from netip.AddrPort, at netip.Addr, err error) {
	var control [64]byte
	n, oobn, _, from, err := c.udp.ReadMsgUDPAddrPort(b, control[:])
	if err != nil {
		return 0, from, at, err
	}
	messages, err := syscall.ParseSocketControlMessage(control[:oobn])
	if err != nil {
		return 0, from, at, err
	}
	for _, m := range messages {
		if m.Header.Level == unix.IPPROTO_IP && m.Header.Type == unix.IP_PKTINFO && len(m.Data) >= unix.SizeofInet4Pktinfo {
			info := (*unix.Inet4Pktinfo)(unsafe.Pointer(&m.Data[0]))
			at = netip.AddrFrom4(info.Addr)
		}
	}
	return n, netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), at, nil
}
