package agent

import (
	"context"
	"encoding/binary"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"
	"golang.org/x/net/ipv4"

	"lacewinglever.dev/node/wire"
	"lacewinglever.dev/policy/flow"
	"lacewinglever.dev/policy/ident"
)

// Source addresses towards the target. The slot of a flow is the host part of its address.
const (
	sourceBase = 127<<24 | 64<<16
	sourceMask = 1<<flow.SlotBits - 1
	// controlSize is the size of a control message with IP_PKTINFO, and pktinfoSource the offset of the source address in it, in bytes.
	controlSize   = 64
	pktinfoSource = 20
	feedBuffer    = 4 << 20
	drainPoll     = 100 * time.Millisecond
)

// feed passes datagrams between the flows and the target. One socket serves all flows; each flow has its own source address.
type feed struct {
	conn     *net.UDPConn
	target   netip.AddrPort
	template []byte
	table    *flow.Table
	back     func(slot uint32, payload []byte)
	buffers  sync.Pool
	refused  *metrics.Counter
	strange  *metrics.Counter
}

// newFeed binds the socket. back is called for each datagram of the target.
func newFeed(target string, table *flow.Table, set *metrics.Set, back func(uint32, []byte)) (*feed, error) {
	address, err := netip.ParseAddrPort(target)
	if err != nil {
		return nil, errors.Wrap(err, "target address")
	}
	conn, err := net.ListenUDP("udp4", nil)
	if err != nil {
		return nil, errors.Wrap(err, "bind target socket")
	}
	if err := ipv4.NewPacketConn(conn).SetControlMessage(ipv4.FlagDst, true); err != nil {
		_ = conn.Close()
		return nil, errors.Wrap(err, "enable IP_PKTINFO on target socket")
	}
	_ = conn.SetReadBuffer(feedBuffer)
	_ = conn.SetWriteBuffer(feedBuffer)
	template := (&ipv4.ControlMessage{Src: net.IPv4(127, 64, 0, 0)}).Marshal()
	return &feed{
		conn: conn, target: address, template: template, table: table, back: back,
		buffers: sync.Pool{New: func() any { b := make([]byte, len(template)); return &b }},
		refused: set.NewCounter("lacewing_agent_target_send_errors_total"),
		strange: set.NewCounter(`lacewing_agent_target_dropped_total{reason="not from the target or no such flow"}`),
	}, nil
}

// DeliverSlot sends the payload to the target from the address of the slot.
func (f *feed) DeliverSlot(slot uint32, payload []byte) {
	control := f.buffers.Get().(*[]byte)
	defer f.buffers.Put(control)
	copy(*control, f.template)
	binary.BigEndian.PutUint32((*control)[pktinfoSource:], sourceBase|slot)
	if _, _, err := f.conn.WriteMsgUDPAddrPort(payload, *control, f.target); err != nil {
		f.refused.Inc()
	}
}

// Deliver implements Local.
func (f *feed) Deliver(caller ident.Caller, payload []byte) {
	if slot, _, ok := f.table.Lookup(caller); ok {
		f.DeliverSlot(slot, payload)
	}
}

// Drain returns when no flow is left. Feeds have no end that the agent could see, so that is when they are idle.
func (f *feed) Drain(ctx context.Context) error {
	poll := time.NewTicker(drainPoll)
	defer poll.Stop()
	for f.table.Owned() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-poll.C:
		}
	}
	return nil
}

// run reads the target's datagrams until the socket is closed.
func (f *feed) run() {
	payload, control := make([]byte, wire.MaxPayload), make([]byte, controlSize)
	for {
		n, nc, _, from, err := f.conn.ReadMsgUDPAddrPort(payload, control)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // ICMP errors of earlier sends are reported here
		}
		slot, ok := slotFrom(control[:nc])
		if !ok || from.Port() != f.target.Port() || from.Addr().Unmap() != f.target.Addr() {
			f.strange.Inc()
			continue
		}
		f.back(slot, payload[:n])
	}
}

// slotFrom returns the slot that a datagram was addressed to.
func slotFrom(control []byte) (uint32, bool) {
	var m ipv4.ControlMessage
	if err := m.Parse(control); err != nil {
		return 0, false
	}
	ip := m.Dst.To4()
	if ip == nil {
		return 0, false
	}
	address := binary.BigEndian.Uint32(ip)
	return address & sourceMask, address&^sourceMask == sourceBase
}

func (f *feed) close() { _ = f.conn.Close() }
