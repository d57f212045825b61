package agent

import (
	"context"
	"fmt"
	"net/netip"

	"connectrpc.com/connect"

	lacewingv1 "lacewinglever.dev/node/gen/lacewing/v1"
	"lacewinglever.dev/node/gen/lacewing/v1/lacewingv1connect"
	"lacewinglever.dev/policy/ident"
)

// service serves the RPCs of AgentService that are not about requests.
type service struct {
	lacewingv1connect.UnimplementedAgentServiceHandler
	agent *Agent
}

// Drain makes the target get no new flows for as long as the process runs.
func (s *service) Drain(context.Context, *connect.Request[lacewingv1.DrainRequest]) (*connect.Response[lacewingv1.DrainResponse], error) {
	s.agent.forceDrain()
	return connect.NewResponse(&lacewingv1.DrainResponse{FlowsLeft: uint32(s.agent.table.OwnedFlows())}), nil
}

// Explain tells what this agent would do with a datagram of the caller now. Without a caller it tells its state only.
func (s *service) Explain(_ context.Context, m *connect.Request[lacewingv1.ExplainRequest]) (*connect.Response[lacewingv1.ExplainResponse], error) {
	if m.Msg.GetCaller() == "" {
		return connect.NewResponse(&lacewingv1.ExplainResponse{Lines: s.agent.describe()}), nil
	}
	address, err := netip.ParseAddrPort(m.Msg.GetCaller())
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, fmt.Errorf("caller: %w", err))
	}
	return connect.NewResponse(&lacewingv1.ExplainResponse{Lines: s.agent.explain(ident.CallerFrom(address))}), nil
}

func (a *Agent) describe() []string {
	self := a.options.Mesh.Self()
	return []string{
		fmt.Sprintf("agent %s (%s) of %s: state %s, settled %t, revision %d",
			self.Name, self.ID, a.options.Service, self.State, a.table.Settled(a.now()), a.pool.applied()),
	}
}

func (a *Agent) explain(c ident.Caller) []string {
	owner, home := a.table.Explain(c)
	return append(a.describe(), "home: "+a.nodeName(home), "owner known here: "+a.nodeName(owner))
}

// nodeName formats a node's id with its name, where that is known.
func (a *Agent) nodeName(id ident.NodeID) string {
	if id == 0 {
		return "none"
	}
	n, ok := a.options.Mesh.Node(id)
	if !ok {
		return id.String()
	}
	return fmt.Sprintf("%s (%s, %s)", n.Name, id, n.State)
}
