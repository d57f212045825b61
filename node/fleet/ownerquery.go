package fleet

import (
	"net/netip"
	"time"

	"github.com/go-faster/errors"

	fleetv1 "lacewinglever.dev/node/gen/lacewing/fleet/v1"
	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/ownerquery"
	"lacewinglever.dev/policy/steering"
)

// SendOwnerQuery asks an agent which flows its target holds.
func (f *Fleet) SendOwnerQuery(to netip.AddrPort, q *ownerquery.Query) {
	m := &fleetv1.OwnerQuery{Id: q.ID, Entry: toAddress(f.Self.Address)}
	for _, flow := range q.Flows {
		m.Flows = append(m.Flows, flow.Append(nil))
	}
	f.sendMessage(to, &fleetv1.Message{OwnerQuery: m})
}

// handleOwnerMessages answers a query for the owners of flows, or handles the answer to one of this node.
func (f *Fleet) handleOwnerMessages(now time.Duration, m *fleetv1.Message) {
	if q := m.GetOwnerQuery(); q != nil {
		if err := f.answerOwnerQuery(now, q); err != nil {
			f.rejectMessage("owner query", err)
		}
	}
	if a := m.GetOwnerAnswer(); a != nil {
		verdicts := make([]ownerquery.Verdict, len(a.GetVerdicts()))
		for i, v := range a.GetVerdicts() {
			if v <= byte(ownerquery.NotHeld) { // a later program may know others
				verdicts[i] = ownerquery.Verdict(v)
			}
		}
		f.options.Handler.RecordOwnerAnswer(now, ident.NodeID(a.GetAgent()), a.GetId(), verdicts)
	}
}

func (f *Fleet) answerOwnerQuery(now time.Duration, q *fleetv1.OwnerQuery) error {
	if len(q.GetFlows()) > ownerquery.MaxFlows {
		return errors.Errorf("%d flows, want at most %d", len(q.GetFlows()), ownerquery.MaxFlows)
	}
	to, err := fromAddress(q.GetEntry())
	if err != nil {
		return err
	}
	flows := make([]steering.Flow, 0, len(q.GetFlows()))
	for _, b := range q.GetFlows() {
		flow, err := steering.DecodeFlow(b)
		if err != nil {
			return err
		}
		flows = append(flows, flow)
	}
	answer := &fleetv1.OwnerAnswer{Id: q.GetId(), Agent: uint64(f.Self.ID)}
	for _, v := range f.options.Handler.AnswerOwnerQuery(now, flows) {
		answer.Verdicts = append(answer.Verdicts, byte(v))
	}
	f.sendMessage(to, &fleetv1.Message{OwnerAnswer: answer})
	return nil
}
