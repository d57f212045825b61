// Package transport owns a node's UDP socket. It authenticates the received frames, rejects replays
// and passes the frames to the handlers of the data path and the control path.
package transport

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"

	lacewingv1 "lacewinglever.dev/node/gen/lacewing/v1"
	"lacewinglever.dev/node/socket"
	"lacewinglever.dev/node/wire"
	"lacewinglever.dev/policy/ident"
)

// socketBufferSize is the size of the kernel's receive and send buffers, in bytes. The default
// overflows within a few milliseconds of a burst of full datagrams.
const socketBufferSize = 4 << 20

// Options configure a Transport.
type Options struct {
	Self      ident.NodeID
	Listen    string // host:port
	Advertise string // host:port that other nodes use
	Keys      *wire.Keyring
	Readers   int // goroutines that read the socket; at least 1
	Metrics   *metrics.Set
}

// Handlers receive the authentic frames that are not replays. They are called from several
// goroutines. Data is valid only during the call, its Payload until Flush returns.
type Handlers struct {
	Data    func(d *wire.Data)
	Return  func(d *wire.Data)
	Control func(c *lacewingv1.Control)
	// Flush, if set, is called after each batch of frames that were read together.
	Flush func()
	// PerReader, if set, is called once for each reader and returns the handlers for that reader
	// alone.
	PerReader func() Handlers
}

// Transport sends and receives the frames of a node over its UDP socket.
type Transport struct {
	options     Options
	conn        *net.UDPConn
	socket      socket.Conn
	keys        atomic.Pointer[wire.Keyring]
	replay      *wire.ReplayFilter
	sequence    atomic.Uint64
	drops       map[error]*metrics.Counter
	replayed    *metrics.Counter
	unknownType *metrics.Counter
}

// Open binds the socket.
func Open(o Options) (*Transport, error) {
	address, err := net.ResolveUDPAddr("udp", o.Listen)
	if err != nil {
		return nil, errors.Wrap(err, "resolve listen address")
	}
	conn, err := net.ListenUDP("udp", address)
	if err != nil {
		return nil, errors.Wrap(err, "bind node socket")
	}
	_ = conn.SetReadBuffer(socketBufferSize)
	_ = conn.SetWriteBuffer(socketBufferSize)
	batched, err := socket.NewConn(conn)
	if err != nil {
		_ = conn.Close()
		return nil, errors.Wrap(err, "prepare node socket")
	}
	t := &Transport{options: o, conn: conn, socket: batched, replay: wire.NewReplayFilter()}
	t.keys.Store(o.Keys)
	t.sequence.Store(wire.FirstSequence(time.Now()))
	t.drops = map[error]*metrics.Counter{}
	for _, reason := range []error{wire.ErrShort, wire.ErrUnknownKey, wire.ErrBadTag, wire.ErrMalformed} {
		t.drops[reason] = o.Metrics.NewCounter(`lacewing_frames_dropped_total{reason="` + reason.Error() + `"}`)
	}
	t.replayed = o.Metrics.NewCounter(`lacewing_frames_dropped_total{reason="replayed or out of time"}`)
	t.unknownType = o.Metrics.NewCounter(`lacewing_frames_dropped_total{reason="unknown type"}`)
	return t, nil
}

// SetKeys replaces the keyring, for key rotation.
func (t *Transport) SetKeys(k *wire.Keyring) { t.keys.Store(k) }

// Self returns the ID of this node.
func (t *Transport) Self() ident.NodeID { return t.options.Self }

// LocalAddr returns the IP address that the socket is bound to.
func (t *Transport) LocalAddr() netip.Addr {
	return t.conn.LocalAddr().(*net.UDPAddr).AddrPort().Addr().Unmap()
}

// Run reads frames until ctx ends, then closes the socket.
func (t *Transport) Run(ctx context.Context, h Handlers) error {
	stop := context.AfterFunc(ctx, func() { _ = t.conn.Close() })
	defer stop()
	readers := max(t.options.Readers, 1)
	done := make(chan error, readers)
	for range readers {
		go func() { done <- t.readFrames(h) }()
	}
	err := <-done
	if ctx.Err() != nil {
		return nil
	}
	return errors.Wrap(err, "read node socket")
}

func (t *Transport) readFrames(h Handlers) error {
	if h.PerReader != nil {
		h = h.PerReader()
	}
	reader := socket.NewReader(t.socket, wire.MaxFrameSize, 0)
	var d wire.Data
	for {
		n, err := reader.Read() // errors other than ErrClosed are ICMP errors from earlier sends
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		now := nowMs()
		for i := range n {
			t.dispatch(&h, reader.Payload(i), &d, now)
		}
		if h.Flush != nil {
			h.Flush()
		}
	}
}

func (t *Transport) dispatch(h *Handlers, frame []byte, d *wire.Data, now uint64) {
	kind, body, err := t.keys.Load().Open(frame)
	if err != nil {
		t.drops[err].Inc()
		return
	}
	switch kind {
	case wire.TypeData, wire.TypeReturn:
		t.dispatchData(h, kind, body, d, now)
	case wire.TypeControl:
		t.dispatchControl(h, body, now)
	default:
		t.unknownType.Inc()
	}
}

func (t *Transport) dispatchData(h *Handlers, kind wire.Type, body []byte, d *wire.Data, now uint64) {
	if err := wire.ParseData(body, d); err != nil {
		t.drops[wire.ErrMalformed].Inc()
		return
	}
	if !t.replay.Accept(d.Sender, d.Sequence, d.SentUnixMs, now) {
		t.replayed.Inc()
		return
	}
	handler := h.Data
	if kind == wire.TypeReturn {
		handler = h.Return
	}
	if handler == nil {
		t.unknownType.Inc()
		return
	}
	handler(d)
}

func (t *Transport) dispatchControl(h *Handlers, body []byte, now uint64) {
	c, err := wire.ParseControl(body)
	if err != nil {
		t.drops[wire.ErrMalformed].Inc()
		return
	}
	if !t.replay.Accept(ident.NodeID(c.GetSender()), c.GetSequence(), c.GetSentUnixMs(), now) {
		t.replayed.Inc()
		return
	}
	if h.Control != nil {
		h.Control(c)
	}
}

// SendData signs and sends d, with sender, sequence and time filled in. It encodes into scratch and
// returns the buffer, which may have grown, for the next call.
func (t *Transport) SendData(scratch []byte, to netip.AddrPort, kind wire.Type, d *wire.Data) ([]byte, error) {
	d.Sender = t.options.Self
	d.Sequence = t.sequence.Add(1)
	d.SentUnixMs = nowMs()
	scratch = t.keys.Load().AppendData(scratch[:0], kind, d)
	_, err := t.conn.WriteToUDPAddrPort(scratch, to)
	return scratch, err
}

// Batch collects data frames and sends them together. It may be used by one goroutine at a time.
type Batch struct {
	transport *Transport
	writer    *socket.Writer
	keys      *wire.Keyring
	nowMs     uint64
	frames    [socket.BatchSize][]byte
}

// NewBatch returns an empty batch.
func (t *Transport) NewBatch() *Batch {
	return &Batch{transport: t, writer: socket.NewWriter(t.socket)}
}

// Add signs and encodes d, with sender, sequence and time filled in. The frame is sent when the
// batch is full or flushed.
func (b *Batch) Add(to netip.AddrPort, kind wire.Type, d *wire.Data) {
	t := b.transport
	if b.nowMs == 0 {
		b.nowMs, b.keys = nowMs(), t.keys.Load()
	}
	d.Sender = t.options.Self
	d.Sequence = t.sequence.Add(1)
	d.SentUnixMs = b.nowMs
	frame := &b.frames[b.writer.Len()]
	*frame = b.keys.AppendData((*frame)[:0], kind, d)
	b.writer.Add(to, *frame, nil)
}

// Flush sends the collected frames. It returns how many frames since the last Flush could not be
// sent.
func (b *Batch) Flush() (failed int) {
	b.nowMs = 0
	return b.writer.Flush()
}

// SendControl signs and sends c, with sender, sequence and time filled in. It returns the size of
// the datagram in bytes.
func (t *Transport) SendControl(to netip.AddrPort, c *lacewingv1.Control) (int, error) {
	c.Sender = uint64(t.options.Self)
	c.Sequence = t.sequence.Add(1)
	c.SentUnixMs = nowMs()
	frame, err := t.keys.Load().AppendControl(nil, c)
	if err != nil {
		return 0, errors.Wrap(err, "encode control message")
	}
	if _, err := t.conn.WriteToUDPAddrPort(frame, to); err != nil {
		return 0, errors.Wrap(err, "send control message")
	}
	return len(frame), nil
}

func nowMs() uint64 { return uint64(time.Now().UnixMilli()) }
