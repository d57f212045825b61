package request

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	lacewingv1 "lacewinglever.dev/node/gen/lacewing/v1"
	"lacewinglever.dev/node/logging"
	"lacewinglever.dev/node/timing"
	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/permit"
	"lacewinglever.dev/policy/record"
	"lacewinglever.dev/policy/request"
)

// Limits of the hand-over of permits by an agent that stops.
const (
	// handOverPartBytes is the size of the results above which a message takes no further one. With
	// the last result, a message is still well below maxMessage.
	handOverPartBytes = 4 << 20
	// maxHandedOverResultBytes is the largest result that is handed over whole. Of a larger one
	// only the outcome is handed over.
	maxHandedOverResultBytes = 1 << 20
	// handOverTimeout bounds the RPC of one message.
	handOverTimeout = time.Second
	// finishAdmittedTimeout bounds the wait for requests that were admitted after the drain. A
	// request that takes longer gets the outcome "unknown" at the successor.
	finishAdmittedTimeout = 5 * time.Second
	// maxHandOverAttempts is how many agents are tried as successor.
	maxHandOverAttempts = 3
)

var (
	errHandedOver = connect.NewError(connect.CodeAborted,
		errors.New("the permits are being handed over to another agent"))
	errAdmissionWithoutResponse = errors.New("admission without a response")
)

// issuer identifies a process that issues permits.
type issuer struct {
	agent       ident.NodeID
	incarnation ident.Incarnation
}

// permitKey identifies a permit of any issuer.
type permitKey struct {
	issuer
	number uint64
}

func issuerOfPermit(p permit.Permit) issuer { return issuer{p.Agent, p.Incarnation} }

func keyOf(p permit.Permit) permitKey { return permitKey{issuerOfPermit(p), p.Number} }

// adoption holds the permits of an agent that has stopped.
type adoption struct {
	registry  *permit.Registry[*lacewingv1.Response]
	complete  bool      // all parts were received
	expiresAt time.Time // when the newest possible permit and its outcome have expired
}

func (s *Server) newRegistry(id issuer) *permit.Registry[*lacewingv1.Response] {
	return permit.NewRegistry(permit.Options[*lacewingv1.Response]{
		Service:        s.service,
		Agent:          id.agent,
		Incarnation:    id.incarnation,
		Tagger:         s.keys.Load(),
		MaxEntries:     maxPermitRecords,
		MaxResultBytes: maxPermitResultBytes,
		Shrink:         outcomeOnly,
	})
}

// registryOf returns the permit registry that admits a permit, or nil if this process has none.
// s.permits must be locked.
func (s *Server) registryOf(p permit.Permit) *permit.Registry[*lacewingv1.Response] {
	if p.Agent == s.self.ID {
		return s.permits.registry
	}
	if a := s.permits.adopted[issuerOfPermit(p)]; a != nil && a.complete {
		return a.registry
	}
	return nil
}

// HandOver passes the permits of this process, and those that it has adopted, to another agent of
// the service. It implements agent.FlowServer.
//
// At most one process admits a permit: from here on this process admits none, and requests are sent
// only to the successor that the last record of this process names.
func (s *Server) HandOver(ctx context.Context) record.Successor {
	s.stopAdmissions()
	s.waitForAdmitted(ctx)
	parts := s.closeRegistries()
	attempts := 0
	for _, n := range s.options.Mesh.Pool(s.service) {
		if n.ID == s.self.ID || n.State != record.Ready || s.options.Mesh.IsSuspect(n.ID) {
			continue
		}
		err := s.sendParts(ctx, &n, parts)
		s.decisions.Log("permits handed over", logging.KeyPeer, n.Name, "messages", len(parts), logging.KeyError, err)
		if err == nil {
			return record.Successor{ID: n.ID, Incarnation: n.Incarnation}
		}
		if attempts++; attempts == maxHandOverAttempts || ctx.Err() != nil {
			break
		}
	}
	return record.Successor{}
}

func (s *Server) sendParts(ctx context.Context, to *record.Node, parts []*lacewingv1.AdoptRequest) error {
	for _, part := range parts {
		if err := s.sendAdopt(ctx, to, part); err != nil {
			return err
		}
	}
	return nil
}

func (s *Server) sendAdopt(ctx context.Context, to *record.Node, part *lacewingv1.AdoptRequest) error {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	message := connect.NewRequest(part)
	message.Header().Set(headerIncarnation, formatIncarnation(to.Incarnation))
	_, err := s.clients.get(to).Adopt(ctx, message)
	return err
}

// stopAdmissions ends new admissions. Another agent may have forwarded a request after Drain found
// nothing in progress.
func (s *Server) stopAdmissions() {
	s.permits.Lock()
	defer s.permits.Unlock()
	s.permits.registry.Stop()
	for _, a := range s.permits.adopted {
		a.registry.Stop()
	}
}

// waitForAdmitted waits until the admitted requests have an outcome, for finishAdmittedTimeout at
// most.
func (s *Server) waitForAdmitted(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, finishAdmittedTimeout)
	defer cancel()
	for s.admittedInFlight() > 0 && timing.Sleep(ctx, drainPoll) {
	}
}

// admittedInFlight returns the number of admitted requests without an outcome.
func (s *Server) admittedInFlight() int {
	s.permits.Lock()
	defer s.permits.Unlock()
	return len(s.permits.inFlight)
}

// closeRegistries closes all permit registries and returns their contents as messages.
func (s *Server) closeRegistries() []*lacewingv1.AdoptRequest {
	s.permits.Lock()
	defer s.permits.Unlock()
	now := time.Now()
	parts := s.closeRegistry(now, issuer{s.self.ID, s.self.Incarnation}, s.permits.registry)
	for id, a := range s.permits.adopted {
		if a.complete && now.Before(a.expiresAt) {
			parts = append(parts, s.closeRegistry(now, id, a.registry)...)
		}
	}
	return parts
}

func (s *Server) closeRegistry(now time.Time, id issuer,
	registry *permit.Registry[*lacewingv1.Response]) []*lacewingv1.AdoptRequest {
	admissions, voidBelow := registry.Close(now, outcomeResponse(request.Unknown, "still running when the agent left"))
	newPart := func() *lacewingv1.AdoptRequest {
		return &lacewingv1.AdoptRequest{
			Service: uint64(s.service), Agent: uint64(id.agent),
			Incarnation: uint64(id.incarnation), VoidBelow: voidBelow,
		}
	}
	part, size := newPart(), 0
	var parts []*lacewingv1.AdoptRequest
	for _, a := range admissions {
		if a.Size > maxHandedOverResultBytes {
			a.Result = outcomeOnly(a.Result)
		}
		if size > handOverPartBytes {
			parts = append(parts, part)
			part, size = newPart(), 0
		}
		part.Admissions = append(part.Admissions, &lacewingv1.Admission{
			Number: a.Number, KeepUntilUnixMs: uint64(a.KeepUntil.UnixMilli()), Digest: a.Digest, Response: a.Result,
		})
		size += proto.Size(a.Result)
	}
	part.Complete = true
	return append(parts, part)
}

// Adopt takes over permits of an agent that is stopping.
func (r rpcHandler) Adopt(_ context.Context,
	m *connect.Request[lacewingv1.AdoptRequest]) (*connect.Response[lacewingv1.AdoptResponse], error) {
	if err := r.checkRecipient(m.Msg.GetService(), m.Header()); err != nil {
		return nil, err
	}
	for _, a := range m.Msg.GetAdmissions() {
		if a.GetResponse() == nil {
			return nil, connect.NewError(connect.CodeInvalidArgument, errAdmissionWithoutResponse)
		}
	}
	if !r.server.adopt(m.Msg) {
		return nil, errHandedOver
	}
	return connect.NewResponse(&lacewingv1.AdoptResponse{}), nil
}

// adopt takes over one part of a permit registry. It returns false if this process is handing over
// its own.
func (s *Server) adopt(m *lacewingv1.AdoptRequest) bool {
	s.permits.Lock()
	defer s.permits.Unlock()
	if s.permits.registry.Stopped() {
		return false
	}
	now := time.Now()
	for id, a := range s.permits.adopted {
		if now.After(a.expiresAt) {
			delete(s.permits.adopted, id)
		}
	}
	id := issuer{ident.NodeID(m.GetAgent()), ident.Incarnation(m.GetIncarnation())}
	a := s.permits.adopted[id]
	if a == nil {
		a = &adoption{registry: s.newRegistry(id), expiresAt: now.Add(permit.Validity + permit.Retention)}
		s.permits.adopted[id] = a
	}
	a.registry.VoidUpTo(m.GetVoidBelow())
	for _, e := range m.GetAdmissions() {
		a.registry.Adopt(permit.Admission[*lacewingv1.Response]{
			Number: e.GetNumber(), KeepUntil: time.UnixMilli(int64(e.GetKeepUntilUnixMs())), Digest: e.GetDigest(),
			Result: e.GetResponse(), Size: proto.Size(e.GetResponse()),
		})
	}
	if m.GetComplete() && !a.complete {
		a.complete = true
		s.decisions.Log("permits adopted", logging.KeyPeer, s.nameOf(id.agent),
			"incarnation", uint64(id.incarnation), "admitted", a.registry.Len())
	}
	return true
}
