package peer

import (
	lacewingv1 "lacewinglever.dev/node/gen/lacewing/v1"
	"lacewinglever.dev/policy/ident"
)

// HandleAppliedQueries answers AppliedQuery messages with the revision that applied returns for a service, 0 if none is in force.
func HandleAppliedQueries(m Mesh, applied func(ident.ServiceID) uint64) {
	m.HandleControl(func(c *lacewingv1.Control) {
		q := c.GetAppliedQuery()
		if q == nil {
			return
		}
		reply := &lacewingv1.AppliedReply{
			Service:  q.GetService(),
			Query:    q.GetQuery(),
			Revision: applied(ident.ServiceID(q.GetService())),
		}
		_ = m.SendControl(ident.NodeID(c.GetSender()), &lacewingv1.Control{Body: &lacewingv1.Control_AppliedReply{AppliedReply: reply}})
	})
}
