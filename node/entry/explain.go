package entry

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	lacewingv1 "lacewinglever.dev/node/gen/lacewing/v1"
	"lacewinglever.dev/node/gen/lacewing/v1/lacewingv1connect"
	"lacewinglever.dev/node/peer"
	"lacewinglever.dev/node/rpcauth"
	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/record"
)

// Handler returns the path and handler of EntryService. It checks the signature of requests.
func (e *Entry) Handler() (string, http.Handler) {
	path, h := lacewingv1connect.NewEntryServiceHandler(&entryService{e})
	return path, rpcauth.Handler(e.options.Keys, h)
}

type entryService struct{ entry *Entry }

// Status returns the records of the live entries and of the services with their agents.
func (x *entryService) Status(context.Context,
	*connect.Request[lacewingv1.StatusRequest]) (*connect.Response[lacewingv1.StatusResponse], error) {
	mesh := x.entry.options.Mesh
	out := &lacewingv1.StatusResponse{}
	addNodes := func(nodes []record.Node) {
		for _, n := range nodes {
			out.Records = append(out.Records, peer.ToProto(record.ForNode(n)))
		}
	}
	addNodes(mesh.Entries())
	for _, r := range mesh.Services() {
		out.Records = append(out.Records, peer.ToProto(record.ForRevision(r)))
		addNodes(mesh.Pool(r.Service.ID()))
	}
	return connect.NewResponse(out), nil
}

// Explain describes how this entry handles a caller's datagrams to a service.
func (x *entryService) Explain(_ context.Context,
	req *connect.Request[lacewingv1.ExplainRequest]) (*connect.Response[lacewingv1.ExplainResponse], error) {
	name, err := ident.ParseServiceName(req.Msg.GetService())
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	s := (*x.entry.services.Load())[name.ID()]
	if s == nil {
		return nil, connect.NewError(connect.CodeNotFound, errors.Errorf("service %s is not bound at this entry", name))
	}
	lines := x.describe(s)
	if req.Msg.GetCaller() != "" {
		caller, err := netip.ParseAddrPort(req.Msg.GetCaller())
		if err != nil {
			return nil, connect.NewError(connect.CodeInvalidArgument,
				errors.Wrapf(err, "caller %q", req.Msg.GetCaller()))
		}
		lines = append(lines, s.explainHome(caller))
	}
	return connect.NewResponse(&lacewingv1.ExplainResponse{Lines: lines}), nil
}

// describe describes the service and its pool.
func (x *entryService) describe(s *service) []string {
	mesh, a, r := x.entry.options.Mesh, s.settings.Load(), s.route.Load()
	lines := []string{fmt.Sprintf("%s: revision %d bound at %s, view %016x of %d agents",
		s.name, a.number, s.boundAddress, r.view.Digest, len(r.view.Members))}
	for i := range r.view.Members {
		m := &r.view.Members[i]
		line := fmt.Sprintf("agent %s (%s, %s): %s, weight %g", m.Node.Name, m.Node.ID, m.Node.DataCentre,
			m.Node.State, m.Weight)
		if age, ok := mesh.SinceLastSeen(m.Node.ID); ok {
			line += fmt.Sprintf(", heard %s ago", age.Round(time.Millisecond))
		}
		if mesh.IsSuspect(m.Node.ID) {
			line += ", suspect"
		}
		lines = append(lines, line)
	}
	return lines
}

func (s *service) explainHome(caller netip.AddrPort) string {
	key := ident.FlowKey{Service: s.id, Caller: ident.CallerFrom(caller)}
	home, ok := s.route.Load().home(key)
	if !ok {
		return fmt.Sprintf("flow of %s (hash %016x): no agent can be its home, datagrams are dropped",
			caller, key.Hash())
	}
	return fmt.Sprintf("flow of %s (hash %016x): home is agent %s at %s", caller, key.Hash(), home.id, home.address)
}
