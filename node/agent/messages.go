package agent

import (
	lacewingv1 "lacewinglever.dev/node/gen/lacewing/v1"
	"lacewinglever.dev/policy/flow"
	"lacewinglever.dev/policy/ident"
)

// toControl encodes a message of the flow table.
func toControl(service ident.ServiceID, m *flow.Message) *lacewingv1.Control {
	id := uint64(service)
	switch {
	case m.Claim != nil:
		claim := &lacewingv1.Claim{Service: id, Id: m.Claim.ID, Caller: m.Claim.Caller[:]}
		return &lacewingv1.Control{Body: &lacewingv1.Control_Claim{Claim: claim}}
	case m.ClaimReply != nil:
		r := m.ClaimReply
		reply := &lacewingv1.ClaimReply{Service: id, Id: r.ID, Caller: r.Caller[:], Owner: uint64(r.Owner)}
		return &lacewingv1.Control{Body: &lacewingv1.Control_ClaimReply{ClaimReply: reply}}
	case m.Register != nil:
		r := m.Register
		register := &lacewingv1.Register{Service: id, Batch: r.Batch, View: r.View, Last: r.Complete}
		for i := range r.Flows {
			register.Flows = append(register.Flows, &lacewingv1.FlowOwner{Caller: r.Flows[i].Caller[:], Owner: uint64(r.Flows[i].Node)})
		}
		return &lacewingv1.Control{Body: &lacewingv1.Control_Register{Register: register}}
	default:
		ack := &lacewingv1.RegisterAck{Service: id, Batch: m.Ack.Batch, View: m.Ack.View}
		return &lacewingv1.Control{Body: &lacewingv1.Control_RegisterAck{RegisterAck: ack}}
	}
}

// fromControl decodes a message for the flow table. It returns false for other messages, other services and malformed callers.
func fromControl(service ident.ServiceID, c *lacewingv1.Control) (flow.Message, bool) {
	switch {
	case c.GetClaim() != nil:
		m := c.GetClaim()
		caller, ok := parseCaller(m.GetCaller())
		return flow.Message{Claim: &flow.Claim{ID: m.GetId(), Caller: caller}}, ok && m.GetService() == uint64(service)
	case c.GetClaimReply() != nil:
		m := c.GetClaimReply()
		caller, ok := parseCaller(m.GetCaller())
		reply := &flow.ClaimReply{ID: m.GetId(), Caller: caller, Owner: ident.NodeID(m.GetOwner())}
		return flow.Message{ClaimReply: reply}, ok && m.GetService() == uint64(service)
	case c.GetRegister() != nil:
		return parseRegister(c.GetRegister()), c.GetRegister().GetService() == uint64(service)
	case c.GetRegisterAck() != nil:
		m := c.GetRegisterAck()
		ack := &flow.RegisterAck{Batch: m.GetBatch(), View: m.GetView()}
		return flow.Message{Ack: ack}, m.GetService() == uint64(service)
	}
	return flow.Message{}, false
}

// parseRegister decodes a Register. Flows with a malformed caller are left out.
func parseRegister(m *lacewingv1.Register) flow.Message {
	r := &flow.Register{Batch: m.GetBatch(), View: m.GetView(), Complete: m.GetLast()}
	for _, f := range m.GetFlows() {
		if caller, ok := parseCaller(f.GetCaller()); ok {
			r.Flows = append(r.Flows, flow.Owner{Caller: caller, Node: ident.NodeID(f.GetOwner())})
		}
	}
	return flow.Message{Register: r}
}

func parseCaller(b []byte) (ident.Caller, bool) {
	var c ident.Caller
	ok := copy(c[:], b) == len(c) && len(b) == len(c)
	return c, ok
}
