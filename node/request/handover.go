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

// Limits of the hand-over of permits by an agent that leaves.
const (
	// adoptPart is the size of the results in one message, in bytes, well below maxMessage.
	adoptPart = 4 << 20
	// adoptResult is the largest result that is passed on, in bytes. Of larger ones only the outcome is.
	adoptResult = 1 << 20
	// adoptTimeout bounds one message.
	adoptTimeout = time.Second
	// admittedTimeout bounds the wait for requests that were admitted after the drain. Longer ones have the outcome "unknown" at the successor.
	admittedTimeout = 5 * time.Second
	// adoptTries is how many agents are asked to take the permits over.
	adoptTries = 3
)

var (
	errHandedOver = connect.NewError(connect.CodeAborted, errors.New("the permits are being handed over to another agent"))
	errAdoptPart  = errors.New("admission without a response")
)

// issuer is a process that issues permits.
type issuer struct {
	agent       ident.NodeID
	incarnation ident.Incarnation
}

// permitKey identifies a permit of any issuer.
type permitKey struct {
	issuer
	number uint64
}

func issuerOf(p permit.Permit) issuer { return issuer{p.Agent, p.Incarnation} }

func keyOf(p permit.Permit) permitKey { return permitKey{issuerOf(p), p.Number} }

// adoption is the book of an agent that left.
type adoption struct {
	book     *permit.Registry[*lacewingv1.Response]
	complete bool      // all parts have arrived
	until    time.Time // when the last permit and its outcome have expired
}

func (s *Server) newBook(of issuer) *permit.Registry[*lacewingv1.Response] {
	return permit.NewRegistry(permit.Options[*lacewingv1.Response]{
		Service:        s.service,
		Agent:          of.agent,
		Incarnation:    of.incarnation,
		Tagger:         s.keys.Load(),
		MaxEntries:     rememberedPermits,
		MaxResultBytes: permitBytes,
		Shrink:         withoutBody,
	})
}

// bookOf returns the book that admits a permit, nil if this process has none. The caller holds the lock of the permits.
func (s *Server) bookOf(p permit.Permit) *permit.Registry[*lacewingv1.Response] {
	if p.Agent == s.self.ID {
		return s.permits.book
	}
	if a := s.permits.adopted[issuerOf(p)]; a != nil && a.complete {
		return a.book
	}
	return nil
}

// HandOver passes the permits of this process, and those that it has adopted, to another agent of the service. It implements agent.Local.
//
// A permit is admitted by at most one process: this one admits none from here on, and only the agent that its last record names is asked.
func (s *Server) HandOver(ctx context.Context) record.Successor {
	s.stopAdmissions()
	s.waitAdmitted(ctx)
	parts := s.closeBooks()
	tries := 0
	for _, n := range s.options.Mesh.Pool(s.service) {
		if n.ID == s.self.ID || n.State != record.Ready || s.options.Mesh.IsSuspect(n.ID) {
			continue
		}
		err := s.sendParts(ctx, &n, parts)
		s.decisions.Log("permits handed over", logging.KeyPeer, n.Name, "messages", len(parts), logging.KeyError, err)
		if err == nil {
			return record.Successor{ID: n.ID, Incarnation: n.Incarnation}
		}
		if tries++; tries == adoptTries || ctx.Err() != nil {
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
	ctx, cancel := context.WithTimeout(ctx, adoptTimeout)
	defer cancel()
	message := connect.NewRequest(part)
	message.Header().Set(headerIncarnation, formatIncarnation(to.Incarnation))
	_, err := s.clients.get(to).Adopt(ctx, message)
	return err
}

// stopAdmissions ends new admissions. Other agents may have passed some on after Drain had found nothing in progress.
func (s *Server) stopAdmissions() {
	s.permits.Lock()
	defer s.permits.Unlock()
	s.permits.book.Stop()
	for _, a := range s.permits.adopted {
		a.book.Stop()
	}
}

// waitAdmitted waits until the admitted requests have an outcome, admittedTimeout at most.
func (s *Server) waitAdmitted(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, admittedTimeout)
	defer cancel()
	for s.admitted() > 0 && timing.Sleep(ctx, drainPoll) {
	}
}

// admitted returns the number of admitted requests without an outcome.
func (s *Server) admitted() int {
	s.permits.Lock()
	defer s.permits.Unlock()
	return len(s.permits.flights)
}

// closeBooks ends all books and returns their contents.
func (s *Server) closeBooks() []*lacewingv1.AdoptRequest {
	s.permits.Lock()
	defer s.permits.Unlock()
	now := time.Now()
	parts := s.closeBook(now, issuer{s.self.ID, s.self.Incarnation}, s.permits.book)
	for of, a := range s.permits.adopted {
		if a.complete && now.Before(a.until) {
			parts = append(parts, s.closeBook(now, of, a.book)...)
		}
	}
	return parts
}

func (s *Server) closeBook(now time.Time, of issuer, book *permit.Registry[*lacewingv1.Response]) []*lacewingv1.AdoptRequest {
	admissions, voidBelow := book.Close(now, outcomeResponse(request.Unknown, "still running when the agent left"))
	newPart := func() *lacewingv1.AdoptRequest {
		return &lacewingv1.AdoptRequest{
			Service: uint64(s.service), Agent: uint64(of.agent), Incarnation: uint64(of.incarnation), VoidBelow: voidBelow,
		}
	}
	part, size := newPart(), 0
	var parts []*lacewingv1.AdoptRequest
	for _, a := range admissions {
		if a.Size > adoptResult {
			a.Result = withoutBody(a.Result)
		}
		if size > adoptPart {
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

// Adopt takes over permits of an agent that leaves.
func (r rpcs) Adopt(_ context.Context, m *connect.Request[lacewingv1.AdoptRequest]) (*connect.Response[lacewingv1.AdoptResponse], error) {
	if err := r.check(m.Msg.GetService(), m.Header()); err != nil {
		return nil, err
	}
	for _, a := range m.Msg.GetAdmissions() {
		if a.GetResponse() == nil {
			return nil, connect.NewError(connect.CodeInvalidArgument, errAdoptPart)
		}
	}
	if !r.server.adopt(m.Msg) {
		return nil, errHandedOver
	}
	return connect.NewResponse(&lacewingv1.AdoptResponse{}), nil
}

// adopt takes over a part of a book. It returns false if this process hands its own books over.
func (s *Server) adopt(m *lacewingv1.AdoptRequest) bool {
	s.permits.Lock()
	defer s.permits.Unlock()
	if s.permits.book.Stopped() {
		return false
	}
	now := time.Now()
	for of, a := range s.permits.adopted {
		if now.After(a.until) {
			delete(s.permits.adopted, of)
		}
	}
	of := issuer{ident.NodeID(m.GetAgent()), ident.Incarnation(m.GetIncarnation())}
	a := s.permits.adopted[of]
	if a == nil {
		a = &adoption{book: s.newBook(of), until: now.Add(permit.Validity + permit.Retention)}
		s.permits.adopted[of] = a
	}
	a.book.VoidUpTo(m.GetVoidBelow())
	for _, e := range m.GetAdmissions() {
		a.book.Adopt(permit.Admission[*lacewingv1.Response]{
			Number: e.GetNumber(), KeepUntil: time.UnixMilli(int64(e.GetKeepUntilUnixMs())), Digest: e.GetDigest(), Result: e.GetResponse(),
			Size: proto.Size(e.GetResponse()),
		})
	}
	if m.GetComplete() && !a.complete {
		a.complete = true
		s.decisions.Log("permits adopted", logging.KeyPeer, s.nameOf(of.agent), "incarnation", uint64(of.incarnation), "admitted", a.book.Len())
	}
	return true
}
