package entry

import (
	"net/netip"

	lacewingv1 "lacewinglever.dev/node/gen/lacewing/v1"
	"lacewinglever.dev/node/socket"
	"lacewinglever.dev/node/transport"
	"lacewinglever.dev/node/wire"
	"lacewinglever.dev/policy/ident"
)

// Handlers returns the handlers of the entry's transport. control handles control messages.
func (e *Entry) Handlers(control func(*lacewingv1.Control)) transport.Handlers {
	return transport.Handlers{PerReader: func() transport.Handlers {
		r := &returnSender{entry: e, writer: socket.NewWriter(socket.Conn{})}
		return transport.Handlers{Return: r.add, Flush: r.flush, Control: control}
	}}
}

// returnSender sends the datagrams of one batch of return frames to their callers, from the
// services' sockets.
type returnSender struct {
	entry      *Entry
	writer     *socket.Writer
	pending    [socket.BatchSize]pendingReturn
	count      int
	lastSender ident.NodeID // sender of the latest frame of this batch, 0 before the first
}

// pendingReturn is a datagram that waits for flush. service is nil once it was sent.
type pendingReturn struct {
	service *service
	to      netip.AddrPort
	payload []byte
}

// add adds a return frame to the batch. Its payload is in use until flush.
func (r *returnSender) add(d *wire.Data) {
	e := r.entry
	if d.Sender != r.lastSender {
		r.lastSender = d.Sender
		e.options.Mesh.MarkSeen(d.Sender)
	}
	s := (*e.services.Load())[d.Service]
	if s == nil || d.Destination != e.self {
		e.droppedReturn.Inc()
		return
	}
	if r.count == len(r.pending) {
		r.flush()
	}
	r.pending[r.count] = pendingReturn{s, d.Caller.AddrPort(), d.Payload}
	r.count++
}

// flush sends the pending datagrams, grouped by service.
func (r *returnSender) flush() {
	failed := 0
	for i := range r.count {
		s := r.pending[i].service
		if s == nil {
			continue
		}
		r.writer.SetConn(s.socket)
		for j := i; j < r.count; j++ {
			if w := &r.pending[j]; w.service == s {
				r.writer.Add(w.to, w.payload, nil)
				w.service = nil
			}
		}
		failed += r.writer.Flush()
	}
	r.entry.droppedSendFailed.Add(failed)
	r.entry.returned.Add(r.count - failed)
	r.count, r.lastSender = 0, 0
}
