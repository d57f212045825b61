// Package socket reads and writes UDP datagrams in batches, with one system call per batch
// (recvmmsg, sendmmsg) and no allocation per datagram. The batch calls of golang.org/x/net allocate
// the address of each datagram that they read.
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

// BatchSize is the largest number of datagrams in a batch.
const BatchSize = 32

const (
	cacheLine = 64
	// bufferSkew is added to the distance between receive buffers, in bytes. Buffers at multiples
	// of 64 KB would share a few cache sets.
	bufferSkew = 5 * cacheLine
	// maxAddressSize is the size of the largest socket address, in bytes.
	maxAddressSize = unix.SizeofSockaddrInet6
)

// mmsghdr is the kernel's struct mmsghdr.
type mmsghdr struct {
	header unix.Msghdr
	length uint32
}

// batch holds the message headers of a batch and the memory that they point to.
type batch struct {
	rawConn     syscall.RawConn
	messages    [BatchSize]mmsghdr
	ioVectors   [BatchSize]unix.Iovec
	addresses   [BatchSize][maxAddressSize]byte
	transferred int // messages that the last system call transferred
	err         error
}

func (b *batch) init() {
	for i := range b.messages {
		h := &b.messages[i].header
		h.Iov = &b.ioVectors[i]
		h.SetIovlen(1)
	}
}

// transfer makes the system call trap for the messages from first to before limit. It returns false
// if the socket isn't ready.
func (b *batch) transfer(trap, fd uintptr, first, limit int) bool {
	for {
		n, _, errno := unix.Syscall6(
			trap, fd, uintptr(unsafe.Pointer(&b.messages[first])), uintptr(limit-first), 0, 0, 0)
		switch errno {
		case 0:
			b.transferred, b.err = int(n), nil
		case unix.EINTR:
			continue
		case unix.EAGAIN:
			b.transferred, b.err = 0, errno
			return false
		default:
			b.transferred, b.err = 0, errno
		}
		return true
	}
}

// Reader reads datagrams from one socket. It may be used by one goroutine at a time.
type Reader struct {
	batch
	payloads    [BatchSize][]byte
	controls    [BatchSize][]byte
	ready       bool // result of tryReceive
	tryReceive  func(uintptr)
	waitReceive func(uintptr) bool // like tryReceive, a field because a closure per call would allocate
}

// NewReader returns a reader of conn for datagrams of up to size bytes, with up to controlSize
// bytes of control messages each.
func NewReader(conn Conn, size, controlSize int) *Reader {
	r := &Reader{}
	r.rawConn = conn.rawConn
	r.init()
	stride := (size+cacheLine-1)/cacheLine*cacheLine + bufferSkew
	memory := make([]byte, BatchSize*stride)
	controls := make([]byte, BatchSize*controlSize)
	for i := range r.payloads {
		r.payloads[i] = memory[i*stride:][:size:size]
		r.ioVectors[i].Base = &r.payloads[i][0]
		r.ioVectors[i].SetLen(size)
		r.messages[i].header.Name = &r.addresses[i][0]
		if controlSize > 0 {
			r.controls[i] = controls[i*controlSize:][:controlSize:controlSize]
			r.messages[i].header.Control = &r.controls[i][0]
		}
	}
	r.tryReceive = func(fd uintptr) { r.ready = r.transfer(unix.SYS_RECVMMSG, fd, 0, BatchSize) }
	r.waitReceive = func(fd uintptr) bool { return r.transfer(unix.SYS_RECVMMSG, fd, 0, BatchSize) }
	return r
}

// Read waits for datagrams and returns their number. The error is net.ErrClosed when the socket is
// closed; any other error belongs to an earlier send.
func (r *Reader) Read() (int, error) {
	r.resetLengths()
	err := r.rawConn.Control(r.tryReceive) // takes no lock, unlike Read, which serializes the readers of a socket
	if err == nil && !r.ready {
		err = r.rawConn.Read(r.waitReceive)
	}
	if err != nil {
		return 0, net.ErrClosed
	}
	return r.transferred, r.err
}

// TryRead reads the available datagrams without waiting, from the descriptor of any socket. It
// returns false if there are none.
func (r *Reader) TryRead(fd uintptr) (n int, ready bool) {
	r.resetLengths()
	ready = r.transfer(unix.SYS_RECVMMSG, fd, 0, BatchSize)
	return r.transferred, ready
}

// resetLengths sets the lengths in the message headers, which the kernel overwrites.
func (r *Reader) resetLengths() {
	for i := range r.messages {
		h := &r.messages[i].header
		h.Namelen = maxAddressSize
		h.SetControllen(len(r.controls[i]))
	}
}

// Payload returns datagram i of the last batch. It is valid until the next Read.
func (r *Reader) Payload(i int) []byte { return r.payloads[i][:r.messages[i].length] }

// Control returns the control messages of datagram i.
func (r *Reader) Control(i int) []byte { return r.controls[i][:r.messages[i].header.Controllen] }

// From returns the sender of datagram i. IPv4-mapped addresses are returned as IPv4.
func (r *Reader) From(i int) netip.AddrPort {
	address := &r.addresses[i]
	port := binary.BigEndian.Uint16(address[2:])
	if *(*uint16)(unsafe.Pointer(address)) == unix.AF_INET {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte(address[4:8])), port)
	}
	return netip.AddrPortFrom(netip.AddrFrom16([16]byte(address[8:24])).Unmap(), port)
}

// Conn is a socket for readers and writers.
type Conn struct {
	rawConn syscall.RawConn
	isIPv6  bool // the socket requires IPv6 addresses, with IPv4 ones mapped
}

// NewConn prepares conn for readers and writers.
func NewConn(conn *net.UDPConn) (Conn, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return Conn{}, errors.Wrap(err, "access socket descriptor")
	}
	var domain int
	var optionErr error
	err = raw.Control(func(fd uintptr) {
		domain, optionErr = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_DOMAIN)
	})
	if err = errors.Join(err, optionErr); err != nil {
		return Conn{}, errors.Wrap(err, "read socket domain")
	}
	return Conn{raw, domain == unix.AF_INET6}, nil
}

// WaitReadable calls ready whenever the socket has become readable, until ready returns true. It
// returns an error when the socket is closed.
func (c Conn) WaitReadable(ready func(fd uintptr) bool) error { return c.rawConn.Read(ready) }

// Writer collects datagrams and sends them together. It may be used by one goroutine at a time.
type Writer struct {
	batch
	conn     Conn
	count    int  // collected datagrams
	next     int  // next datagram to send
	failed   int  // datagrams not sent since the last Flush
	ready    bool // result of trySend
	trySend  func(uintptr)
	waitSend func(uintptr) bool
}

// NewWriter returns a writer to conn.
func NewWriter(conn Conn) *Writer {
	w := &Writer{}
	w.init()
	w.SetConn(conn)
	w.trySend = func(fd uintptr) { w.ready = w.transfer(unix.SYS_SENDMMSG, fd, w.next, w.count) }
	w.waitSend = func(fd uintptr) bool { return w.transfer(unix.SYS_SENDMMSG, fd, w.next, w.count) }
	return w
}

// SetConn makes the writer send from another socket. The batch must be empty.
func (w *Writer) SetConn(conn Conn) { w.conn, w.rawConn = conn, conn.rawConn }

// Len returns the number of collected datagrams.
func (w *Writer) Len() int { return w.count }

// Add adds a datagram to the batch, and sends the batch when it is full. payload and control must
// not change until the batch is sent.
func (w *Writer) Add(to netip.AddrPort, payload, control []byte) {
	i := w.count
	h := &w.messages[i].header
	address := &w.addresses[i]
	h.Name, h.Namelen = &address[0], w.conn.putAddress(address, to)
	w.ioVectors[i].Base = unsafe.SliceData(payload)
	w.ioVectors[i].SetLen(len(payload))
	h.Control = unsafe.SliceData(control)
	h.SetControllen(len(control))
	if w.count++; w.count == BatchSize {
		w.sendBatch()
	}
}

// putAddress writes an address in the form that the socket requires, and returns its length in
// bytes. For an IPv6 address on an IPv4 socket the length is 0, which makes the kernel reject the
// datagram.
func (c Conn) putAddress(address *[maxAddressSize]byte, to netip.AddrPort) uint32 {
	*address = [maxAddressSize]byte{}
	binary.BigEndian.PutUint16(address[2:], to.Port())
	family := (*uint16)(unsafe.Pointer(address))
	if !c.isIPv6 {
		*family = unix.AF_INET
		a := to.Addr().Unmap()
		if !a.Is4() {
			return 0
		}
		ip := a.As4()
		copy(address[4:], ip[:])
		return unix.SizeofSockaddrInet4
	}
	*family = unix.AF_INET6
	ip := to.Addr().As16()
	copy(address[8:], ip[:])
	return unix.SizeofSockaddrInet6
}

// Flush sends the collected datagrams. It returns how many datagrams since the last Flush could not
// be sent.
func (w *Writer) Flush() (failed int) {
	w.sendBatch()
	failed, w.failed = w.failed, 0
	return failed
}

// sendBatch passes the batch to the kernel. A datagram that fails is skipped, because those after
// it may have other destinations.
func (w *Writer) sendBatch() {
	for w.next = 0; w.next < w.count; {
		err := w.rawConn.Control(w.trySend) // takes no lock, unlike Write
		if err == nil && !w.ready {
			err = w.rawConn.Write(w.waitSend)
		}
		if err != nil { // the socket is closed
			w.failed += w.count - w.next
			break
		}
		if w.err != nil {
			w.failed++
			w.next++
			continue
		}
		w.next += w.transferred
	}
	w.count = 0
}
