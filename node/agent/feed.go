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

// Source addresses towards the target. The slot of a flow is the host part of its address.
const (
	sourceBase = 127<<24 | 64<<16
	sourceMask = 1<<flow.SlotBits - 1
	// pktinfoSource and pktinfoDestination are the offsets in a control message with IP_PKTINFO, in bytes, of the address that a datagram is
	// sent from, and within its data of the address that one was sent to.
	pktinfoSource      = 20
	pktinfoDestination = 8
	controlSize        = 64
	feedBuffer         = 4 << 20
	drainPoll          = 100 * time.Millisecond
)

// feed passes datagrams between the flows and the target. One socket serves all flows; each flow has its own source address.
type feed struct {
	conn     *net.UDPConn
	socket   socket.Conn
	target   netip.AddrPort
	template []byte
	table    *flow.Table
	refused  *metrics.Counter
	strange  *metrics.Counter
}

// newFeed binds the socket.
func newFeed(target string, table *flow.Table, set *metrics.Set) (*feed, error) {
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
	_ = conn.SetReadBuffer(feedBuffer)
	_ = conn.SetWriteBuffer(feedBuffer)
	template := (&ipv4.ControlMessage{Src: net.IPv4(127, 64, 0, 0)}).Marshal()
	return &feed{
		conn: conn, socket: batched, target: address, template: template, table: table,
		refused: set.NewCounter("lacewing_agent_target_send_errors_total"),
		strange: set.NewCounter(`lacewing_agent_target_dropped_total{reason="not from the target, too large or no such flow"}`),
	}, nil
}

// deliveries sends datagrams to the target in batches. It may be used by one goroutine at a time.
type deliveries struct {
	feed     *feed
	writer   *socket.Writer
	controls [socket.BatchSize][]byte
}

func (f *feed) deliveries() *deliveries {
	d := &deliveries{feed: f, writer: socket.NewWriter(f.socket)}
	for i := range d.controls {
		d.controls[i] = bytes.Clone(f.template)
	}
	return d
}

// add puts a datagram from the address of the slot into the batch. The payload is used until flush.
func (d *deliveries) add(slot uint32, payload []byte) {
	control := d.controls[d.writer.Len()]
	binary.BigEndian.PutUint32(control[pktinfoSource:], sourceBase|slot)
	d.writer.Add(d.feed.target, payload, control)
}

func (d *deliveries) flush() {
	if failed := d.writer.Flush(); failed > 0 {
		d.feed.refused.Add(failed)
	}
}

// Deliver implements Local.
func (f *feed) Deliver(caller ident.Caller, payload []byte) {
	if slot, _, ok := f.table.Lookup(caller); ok {
		d := f.deliveries()
		d.add(slot, payload)
		d.flush()
	}
}

// Drain returns when no flow is left. Feeds have no end that the agent could see, so that is when they are idle.
func (f *feed) Drain(ctx context.Context) error {
	poll := time.NewTicker(drainPoll)
	defer poll.Stop()
	for f.table.OwnedFlows() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-poll.C:
		}
	}
	return nil
}

// HandOver implements Local. A feed has nothing that outlives its flows.
func (f *feed) HandOver(context.Context) record.Successor { return record.Successor{} }

// read passes the target's datagrams to back until the socket is closed. flush is called after each batch; until then the payloads are
// valid.
func (f *feed) read(back func(slot uint32, payload []byte), flush func()) {
	r := socket.NewReader(f.socket, wire.MaxFrame, controlSize)
	for {
		n, err := r.Read() // other errors are ICMP errors of earlier sends
		if errors.Is(err, net.ErrClosed) {
			return
		}
		for i := range n {
			slot, ok := slotFrom(r.Control(i))
			if !ok || r.From(i) != f.target || len(r.Payload(i)) > wire.MaxPayload {
				f.strange.Inc()
				continue
			}
			back(slot, r.Payload(i))
		}
		flush()
	}
}

// slotFrom returns the slot that a datagram was addressed to. IP_PKTINFO is the only control message that the socket asks for.
func slotFrom(control []byte) (uint32, bool) {
	if len(control) < unix.SizeofCmsghdr {
		return 0, false
	}
	header, data, _, err := unix.ParseOneSocketControlMessage(control)
	if err != nil || header.Level != unix.IPPROTO_IP || header.Type != unix.IP_PKTINFO || len(data) < unix.SizeofInet4Pktinfo {
		return 0, false
	}
	address := binary.BigEndian.Uint32(data[pktinfoDestination:])
	return address & sourceMask, address&^sourceMask == sourceBase
}

func (f *feed) close() { _ = f.conn.Close() }
