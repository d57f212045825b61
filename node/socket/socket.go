// Package socket reads and writes UDP datagrams in batches, with one system call for each batch (recvmmsg, sendmmsg) and no allocation per
// datagram. The batches of golang.org/x/net allocate the address of each datagram that they read.
package socket

import (
	"encoding/binary"
	"net"
	"net/netip"
	"syscall"
	"unsafe"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

// BatchSize is the number of datagrams of a batch.
const BatchSize = 32

const (
	cacheLine = 64
	// skew is added to the distance between receive buffers, in bytes. Buffers at multiples of 64 KB would share a few cache sets.
	skew = 5 * cacheLine
	// nameSize is the size of the largest address, in bytes.
	nameSize = unix.SizeofSockaddrInet6
)

// message is struct mmsghdr of the kernel.
type message struct {
	header unix.Msghdr
	length uint32
}

// vectors are the headers of a batch with what they point to.
type vectors struct {
	raw      syscall.RawConn
	messages [BatchSize]message
	buffers  [BatchSize]unix.Iovec
	names    [BatchSize][nameSize]byte
	sent     int // messages that the last call transferred
	err      error
}

func (v *vectors) init() {
	for i := range v.messages {
		h := &v.messages[i].header
		h.Iov = &v.buffers[i]
		h.SetIovlen(1)
	}
}

// call transfers the messages from first to limit. It returns false if the socket isn't ready.
func (v *vectors) call(trap, fd uintptr, first, limit int) bool {
	for {
		n, _, errno := unix.Syscall6(trap, fd, uintptr(unsafe.Pointer(&v.messages[first])), uintptr(limit-first), 0, 0, 0)
		switch errno {
		case 0:
			v.sent, v.err = int(n), nil
		case unix.EINTR:
			continue
		case unix.EAGAIN:
			v.sent, v.err = 0, errno
			return false
		default:
			v.sent, v.err = 0, errno
		}
		return true
	}
}

// Reader reads datagrams of one socket. It may be used by one goroutine at a time.
type Reader struct {
	vectors
	payloads [BatchSize][]byte
	controls [BatchSize][]byte
	ready    bool
	try      func(uintptr)
	wait     func(uintptr) bool
}

// NewReader returns a reader of conn for datagrams of up to size bytes, with up to controlSize bytes of control messages.
func NewReader(conn Conn, size, controlSize int) *Reader {
	r := &Reader{}
	r.raw = conn.raw
	r.init()
	stride := (size+cacheLine-1)/cacheLine*cacheLine + skew
	memory := make([]byte, BatchSize*stride)
	controls := make([]byte, BatchSize*controlSize)
	for i := range r.payloads {
		r.payloads[i] = memory[i*stride:][:size:size]
		r.buffers[i].Base = &r.payloads[i][0]
		r.buffers[i].SetLen(size)
		r.messages[i].header.Name = &r.names[i][0]
		if controlSize > 0 {
			r.controls[i] = controls[i*controlSize:][:controlSize:controlSize]
			r.messages[i].header.Control = &r.controls[i][0]
		}
	}
	r.try = func(fd uintptr) { r.ready = r.call(unix.SYS_RECVMMSG, fd, 0, BatchSize) }
	r.wait = func(fd uintptr) bool { return r.call(unix.SYS_RECVMMSG, fd, 0, BatchSize) }
	return r
}

// Read waits for datagrams and returns their number. The error is net.ErrClosed when the socket is closed; others are those of earlier sends.
func (r *Reader) Read() (int, error) {
	r.prepare()
	err := r.raw.Control(r.try) // takes no lock, unlike Read, which serializes the readers of a socket
	if err == nil && !r.ready {
		err = r.raw.Read(r.wait)
	}
	if err != nil {
		return 0, net.ErrClosed
	}
	return r.sent, r.err
}

// TryRead reads what is there from the descriptor, which is that of any socket, without waiting. It returns false if nothing is there.
func (r *Reader) TryRead(fd uintptr) (n int, ready bool) {
	r.prepare()
	ready = r.call(unix.SYS_RECVMMSG, fd, 0, BatchSize)
	return r.sent, ready
}

// prepare sets the lengths, which the kernel changes.
func (r *Reader) prepare() {
	for i := range r.messages {
		h := &r.messages[i].header
		h.Namelen = nameSize
		h.SetControllen(len(r.controls[i]))
	}
}

// Payload returns datagram i of the last batch. It is valid until the next Read.
func (r *Reader) Payload(i int) []byte { return r.payloads[i][:r.messages[i].length] }

// Control returns the control messages of datagram i.
func (r *Reader) Control(i int) []byte { return r.controls[i][:r.messages[i].header.Controllen] }

// From returns the sender of datagram i. IPv4-mapped addresses are returned as IPv4.
func (r *Reader) From(i int) netip.AddrPort {
	name := &r.names[i]
	port := binary.BigEndian.Uint16(name[2:])
	if *(*uint16)(unsafe.Pointer(name)) == unix.AF_INET {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte(name[4:8])), port)
	}
	return netip.AddrPortFrom(netip.AddrFrom16([16]byte(name[8:24])).Unmap(), port)
}

// Conn is a socket, for readers and writers.
type Conn struct {
	raw syscall.RawConn
	ip6 bool // the socket takes IPv6 addresses, IPv4 ones mapped
}

// NewConn prepares conn for readers and writers.
func NewConn(conn *net.UDPConn) (Conn, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return Conn{}, errors.Wrap(err, "raw socket")
	}
	var domain int
	var failed error
	err = raw.Control(func(fd uintptr) { domain, failed = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_DOMAIN) })
	if err = errors.Join(err, failed); err != nil {
		return Conn{}, errors.Wrap(err, "socket domain")
	}
	return Conn{raw, domain == unix.AF_INET6}, nil
}

// WaitReadable calls ready each time the socket has become readable, until ready returns true. It fails when the socket is closed.
func (c Conn) WaitReadable(ready func(fd uintptr) bool) error { return c.raw.Read(ready) }

// Writer collects datagrams and sends them together. It may be used by one goroutine at a time.
type Writer struct {
	vectors
	conn   Conn
	count  int
	next   int
	failed int
	ready  bool
	try    func(uintptr)
	wait   func(uintptr) bool
}

// NewWriter returns a writer to conn.
func NewWriter(conn Conn) *Writer {
	w := &Writer{}
	w.init()
	w.SetConn(conn)
	w.try = func(fd uintptr) { w.ready = w.call(unix.SYS_SENDMMSG, fd, w.next, w.count) }
	w.wait = func(fd uintptr) bool { return w.call(unix.SYS_SENDMMSG, fd, w.next, w.count) }
	return w
}

// SetConn makes the writer send from another socket. No datagram may be waiting.
func (w *Writer) SetConn(conn Conn) { w.conn, w.raw = conn, conn.raw }

// Len returns the number of datagrams that wait.
func (w *Writer) Len() int { return w.count }

// Add puts a datagram into the batch, and sends the batch when it is full. payload and control must stay as they are until the batch
// is sent.
func (w *Writer) Add(to netip.AddrPort, payload, control []byte) {
	i := w.count
	h := &w.messages[i].header
	name := &w.names[i]
	h.Name, h.Namelen = &name[0], w.conn.putName(name, to)
	w.buffers[i].Base = unsafe.SliceData(payload)
	w.buffers[i].SetLen(len(payload))
	h.Control = unsafe.SliceData(control)
	h.SetControllen(len(control))
	if w.count++; w.count == BatchSize {
		w.send()
	}
}

// putName writes an address as the socket takes it, and returns its length in bytes. The length is 0, which makes the kernel refuse the
// datagram, for an IPv6 address on an IPv4 socket.
func (c Conn) putName(name *[nameSize]byte, to netip.AddrPort) uint32 {
	*name = [nameSize]byte{}
	binary.BigEndian.PutUint16(name[2:], to.Port())
	family := (*uint16)(unsafe.Pointer(name))
	if !c.ip6 {
		*family = unix.AF_INET
		a := to.Addr().Unmap()
		if !a.Is4() {
			return 0
		}
		ip := a.As4()
		copy(name[4:], ip[:])
		return unix.SizeofSockaddrInet4
	}
	*family = unix.AF_INET6
	ip := to.Addr().As16()
	copy(name[8:], ip[:])
	return unix.SizeofSockaddrInet6
}

// Flush sends what waits. It returns how many datagrams since the last Flush could not be sent.
func (w *Writer) Flush() (failed int) {
	w.send()
	failed, w.failed = w.failed, 0
	return failed
}

// send passes the batch to the kernel. A datagram that fails is skipped, because those after it have other destinations.
func (w *Writer) send() {
	for w.next = 0; w.next < w.count; {
		err := w.raw.Control(w.try) // takes no lock, unlike Write
		if err == nil && !w.ready {
			err = w.raw.Write(w.wait)
		}
		if err != nil { // closed
			w.failed += w.count - w.next
			break
		}
		if w.err != nil {
			w.failed++
			w.next++
			continue
		}
		w.next += w.sent
	}
	w.count = 0
}
