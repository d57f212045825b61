// Package pktinfo is a UDP socket that sends from, and receives at, any number of loopback addresses. One socket stands for
// many callers, which keeps the number of sockets bounded.
package pktinfo

import (
	"net"
	"net/netip"
	"syscall"
	"unsafe"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

// BufferBytes is the size of the socket buffers that the stand-ins ask for, so that a burst is not lost in the stand-in.
const BufferBytes = 8 << 20

// controlSize is the size of one IP_PKTINFO control message.
var controlSize = unix.CmsgSpace(unix.SizeofInet4Pktinfo)

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

// EnlargeBuffers asks for large socket buffers. A refusal leaves the system's limit in place.
func EnlargeBuffers(udp *net.UDPConn) {
	_ = udp.SetReadBuffer(BufferBytes)
	_ = udp.SetWriteBuffer(BufferBytes)
}

// Port returns the port that the socket is bound to.
func (c *Conn) Port() uint16 { return c.port }

// Close closes the socket.
func (c *Conn) Close() error { return c.udp.Close() }

// WriteFrom sends b from the address to the destination.
func (c *Conn) WriteFrom(b []byte, from netip.Addr, to netip.AddrPort) error {
	var control [64]byte
	oob := control[:controlSize]
	h := (*unix.Cmsghdr)(unsafe.Pointer(&oob[0]))
	h.Level, h.Type = unix.IPPROTO_IP, unix.IP_PKTINFO
	h.SetLen(unix.CmsgLen(unix.SizeofInet4Pktinfo))
	info := (*unix.Inet4Pktinfo)(unsafe.Pointer(&oob[unix.CmsgLen(0)]))
	info.Spec_dst = from.As4()
	_, _, err := c.udp.WriteMsgUDPAddrPort(b, oob, to)
	return err
}

// Read reads a datagram and returns its length, sender and the address that it was sent to.
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
