package agent

import (
	"bytes"
	"context"
	"encoding/binary"
	"net"
	"net/netip"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"
	"golang.org/x/net/ipv4"
	"golang.org/x/sys/unix"

	"lacewinglever.dev/node/socket"
	"lacewinglever.dev/node/wire"
	"lacewinglever.dev/policy/flow"
	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/record"
)

// Source addresses towards the target. The slot of a flow is the host part of its source address.
const (
	sourceBase = 127<<24 | 64<<16
	slotMask   = 1<<flow.SlotBits - 1
	// pktinfoSourceOffset and pktinfoDestinationOffset are in bytes. The first is the offset of the
	// source address in an IP_PKTINFO control message that is sent, the second the offset of the
	// destination address in the data of one that is received.
	pktinfoSourceOffset      = 20
	pktinfoDestinationOffset = 8
	controlBytes             = 64
	socketBufferBytes        = 4 << 20
	drainPoll                = 100 * time.Millisecond
)

// targetSocket exchanges datagrams between the flows and the target. One socket serves all flows;
// each flow has its own source address.
type targetSocket struct {
	conn            *net.UDPConn
	socket          socket.Conn
	targetAddress   netip.AddrPort
	controlTemplate []byte
	table           *flow.Table
	sendErrors      *metrics.Counter
	dropped         *metrics.Counter
}

// newTargetSocket binds the socket.
func newTargetSocket(target string, table *flow.Table, set *metrics.Set) (*targetSocket, error) {
	address, err := netip.ParseAddrPort(target)
	if err != nil {
		return nil, errors.Wrap(err, "target address")
	}
	address = netip.AddrPortFrom(address.Addr().Unmap(), address.Port())
	conn, err := net.ListenUDP("udp4", nil)
	if err != nil {
		return nil, errors.Wrap(err, "bind target socket")
	}
	if err := ipv4.NewPacketConn(conn).SetControlMessage(ipv4.FlagDst, true); err != nil {
		_ = conn.Close()
		return nil, errors.Wrap(err, "enable IP_PKTINFO on target socket")
	}
	batched, err := socket.NewConn(conn)
	if err != nil {
		_ = conn.Close()
		return nil, errors.Wrap(err, "target socket")
	}
	_ = conn.SetReadBuffer(socketBufferBytes)
	_ = conn.SetWriteBuffer(socketBufferBytes)
	template := (&ipv4.ControlMessage{Src: net.IPv4(127, 64, 0, 0)}).Marshal()
	return &targetSocket{
		conn: conn, socket: batched, targetAddress: address, controlTemplate: template, table: table,
		sendErrors: set.NewCounter("lacewing_agent_target_send_errors_total"),
		dropped:    set.NewCounter(`lacewing_agent_target_dropped_total{reason="not from the target, too large or no such flow"}`),
	}, nil
}

// deliveryBatch sends datagrams to the target in batches. It is not safe for concurrent use.
type deliveryBatch struct {
	socket   *targetSocket
	writer   *socket.Writer
	controls [socket.BatchSize][]byte
}

func (t *targetSocket) newDeliveryBatch() *deliveryBatch {
	d := &deliveryBatch{socket: t, writer: socket.NewWriter(t.socket)}
	for i := range d.controls {
		d.controls[i] = bytes.Clone(t.controlTemplate)
	}
	return d
}

// add adds a datagram to the batch, with the slot's source address. The payload is in use until
// flush.
func (d *deliveryBatch) add(slot uint32, payload []byte) {
	control := d.controls[d.writer.Len()]
	binary.BigEndian.PutUint32(control[pktinfoSourceOffset:], sourceBase|slot)
	d.writer.Add(d.socket.targetAddress, payload, control)
}

func (d *deliveryBatch) flush() {
	if failed := d.writer.Flush(); failed > 0 {
		d.socket.sendErrors.Add(failed)
	}
}

// Deliver implements FlowServer.
func (t *targetSocket) Deliver(caller ident.Caller, payload []byte) {
	if slot, _, ok := t.table.Lookup(caller); ok {
		d := t.newDeliveryBatch()
		d.add(slot, payload)
		d.flush()
	}
}

// Drain returns when no flow is left. The end of a feed is not visible to the agent, so a flow ends
// when it has been idle for the idle timeout.
func (t *targetSocket) Drain(ctx context.Context) error {
	poll := time.NewTicker(drainPoll)
	defer poll.Stop()
	for t.table.OwnedFlows() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-poll.C:
		}
	}
	return nil
}

// HandOver implements FlowServer. A feed has no state that outlives its flows.
func (f *targetSocket) HandOver(context.Context) record.Successor { return record.Successor{} }

// read passes each datagram of the target to handle until the socket is closed. It calls flush
// after each batch; the payloads are valid until then.
func (t *targetSocket) read(handle func(slot uint32, payload []byte), flush func()) {
	r := socket.NewReader(t.socket, wire.MaxFrameSize, controlBytes)
	for {
		n, err := r.Read() // other errors are ICMP errors for earlier sends
		if errors.Is(err, net.ErrClosed) {
			return
		}
		for i := range n {
			slot, ok := slotFrom(r.Control(i))
			if !ok || r.From(i) != t.targetAddress || len(r.Payload(i)) > wire.MaxPayloadSize {
				t.dropped.Inc()
				continue
			}
			handle(slot, r.Payload(i))
		}
		flush()
	}
}

// slotFrom returns the slot to whose address a datagram was sent. IP_PKTINFO is the only control
// message that the socket requests.
func slotFrom(control []byte) (uint32, bool) {
	if len(control) < unix.SizeofCmsghdr {
		return 0, false
	}
	header, data, _, err := unix.ParseOneSocketControlMessage(control)
	if err != nil || header.Level != unix.IPPROTO_IP || header.Type != unix.IP_PKTINFO || len(data) < unix.SizeofInet4Pktinfo {
		return 0, false
	}
	address := binary.BigEndian.Uint32(data[pktinfoDestinationOffset:])
	return address & slotMask, address&^slotMask == sourceBase
}

func (t *targetSocket) close() { _ = t.conn.Close() }
