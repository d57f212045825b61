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
		r := &returner{entry: e, writer: socket.NewWriter(socket.Conn{})}
		return transport.Handlers{Return: r.add, Flush: r.flush, Control: control}
	}}
}

// returner sends the datagrams of one batch of return frames to their callers, from the services' sockets.
type returner struct {
	entry   *Entry
	writer  *socket.Writer
	waiting [socket.BatchSize]returning
	count   int
	heard   ident.NodeID // sender of the last frame of this batch
}

// returning is a datagram that waits. service is nil once it was sent.
type returning struct {
	service *service
	to      netip.AddrPort
	payload []byte
}

// add takes a return frame. Its payload is used until flush.
func (r *returner) add(d *wire.Data) {
	e := r.entry
	if d.Sender != r.heard {
		r.heard = d.Sender
		e.options.Mesh.MarkSeen(d.Sender)
	}
	s := (*e.services.Load())[d.Service]
	if s == nil || d.Destination != e.self {
		e.dropReturn.Inc()
		return
	}
	if r.count == len(r.waiting) {
		r.flush()
	}
	r.waiting[r.count] = returning{s, d.Caller.AddrPort(), d.Payload}
	r.count++
}

// flush sends what waits, the datagrams of each service together.
func (r *returner) flush() {
	failed := 0
	for i := range r.count {
		s := r.waiting[i].service
		if s == nil {
			continue
		}
		r.writer.SetConn(s.socket)
		for j := i; j < r.count; j++ {
			if w := &r.waiting[j]; w.service == s {
				r.writer.Add(w.to, w.payload, nil)
				w.service = nil
			}
		}
		failed += r.writer.Flush()
	}
	r.entry.dropSend.Add(failed)
	r.entry.returned.Add(r.count - failed)
	r.count, r.heard = 0, 0
}
