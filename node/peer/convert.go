package peer

import (
	"time"

	"github.com/go-faster/errors"

	lacewingv1 "lacewinglever.dev/node/gen/lacewing/v1"
	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/record"
)

// ErrMalformedRecord is the cause of errors about records that a peer sent and that don't hold together.
var ErrMalformedRecord = errors.New("malformed record")

// ToProto converts a record to its message.
func ToProto(r record.Record) *lacewingv1.Record {
	out := &lacewingv1.Record{
		Key:     r.Key,
		Version: &lacewingv1.Version{Major: r.Version.Major, Minor: r.Version.Minor, Rank: r.Version.Rank},
	}
	switch {
	case r.Service != nil:
		out.Body = &lacewingv1.Record_Service{Service: revisionToProto(r.Service)}
	case r.Node != nil:
		out.Body = &lacewingv1.Record_Node{Node: nodeToProto(r.Node)}
	case r.Scope != nil:
		out.Body = &lacewingv1.Record_Scope{Scope: &lacewingv1.ScopeLoss{
			Kind: string(r.Scope.Kind), Name: r.Scope.Name, Down: r.Scope.Down, IssuedUnixMs: uint64(r.Scope.Issued.UnixMilli()),
		}}
	}
	return out
}

func revisionToProto(r *record.Revision) *lacewingv1.ServiceRevision {
	return &lacewingv1.ServiceRevision{
		Team:           r.Service.Team,
		Name:           r.Service.Name,
		Number:         r.Number,
		Spec:           r.Spec,
		Writer:         r.Writer,
		AcceptedUnixMs: uint64(r.Accepted.UnixMilli()),
		SourceVersion:  r.SourceVersion,
		WriteId:        r.WriteID,
		Deleted:        r.Deleted,
	}
}

func nodeToProto(n *record.Node) *lacewingv1.Node {
	return &lacewingv1.Node{
		Id:          uint64(n.ID),
		Name:        n.Name,
		Entry:       n.Entry,
		DataCentre:  string(n.DataCentre),
		Rack:        n.Rack,
		UdpAddress:  n.UDPAddress,
		RpcAddress:  n.RPCAddress,
		Service:     uint64(n.Service),
		Team:        n.ServiceName.Team,
		ServiceName: n.ServiceName.Name,
		Incarnation: uint64(n.Incarnation),
		State:       lacewingv1.State(n.State),
		Weight:      n.Weight,
		EndedUnixMs: endedMs(n),

		Successor:            uint64(n.Successor.ID),
		SuccessorIncarnation: uint64(n.Successor.Incarnation),
	}
}

func endedMs(n *record.Node) uint64 {
	if n.Ended.IsZero() {
		return 0
	}
	return uint64(n.Ended.UnixMilli())
}

// FromProto converts a message to a record. Key and version must be those that the body gives.
func FromProto(p *lacewingv1.Record) (record.Record, error) {
	var r record.Record
	switch {
	case p.GetService() != nil:
		r = record.ForRevision(revisionFromProto(p.GetService()))
	case p.GetNode() != nil:
		n := nodeFromProto(p.GetNode())
		n.Sequence = p.GetVersion().GetMinor()
		if n.State < record.Joining || n.State > record.Left {
			return record.Record{}, errors.Wrapf(ErrMalformedRecord, "%q: state %d", p.GetKey(), n.State)
		}
		r = record.ForNode(n)
	case p.GetScope() != nil:
		s := p.GetScope()
		r = record.ForScope(record.Scope{
			Kind:   record.ScopeKind(s.GetKind()),
			Name:   s.GetName(),
			Down:   s.GetDown(),
			Issued: time.UnixMilli(int64(s.GetIssuedUnixMs())),
			Issuer: ident.NodeID(p.GetVersion().GetMinor()),
		})
	default:
		return record.Record{}, errors.Wrapf(ErrMalformedRecord, "%q: no body", p.GetKey())
	}
	version := record.Version{Major: p.GetVersion().GetMajor(), Minor: p.GetVersion().GetMinor(), Rank: p.GetVersion().GetRank()}
	if r.Key != p.GetKey() || r.Version != version {
		return record.Record{}, errors.Wrapf(ErrMalformedRecord, "%q: key or version differs from the body", p.GetKey())
	}
	return r, nil
}

func revisionFromProto(s *lacewingv1.ServiceRevision) record.Revision {
	return record.Revision{
		Service:       ident.ServiceName{Team: s.GetTeam(), Name: s.GetName()},
		Number:        s.GetNumber(),
		Spec:          s.GetSpec(),
		Writer:        s.GetWriter(),
		Accepted:      time.UnixMilli(int64(s.GetAcceptedUnixMs())),
		SourceVersion: s.GetSourceVersion(),
		WriteID:       s.GetWriteId(),
		Deleted:       s.GetDeleted(),
	}
}

func nodeFromProto(n *lacewingv1.Node) record.Node {
	var ended time.Time
	if ms := n.GetEndedUnixMs(); ms != 0 {
		ended = time.UnixMilli(int64(ms))
	}
	return record.Node{
		Ended:       ended,
		Successor:   record.Successor{ID: ident.NodeID(n.GetSuccessor()), Incarnation: ident.Incarnation(n.GetSuccessorIncarnation())},
		ID:          ident.NodeID(n.GetId()),
		Name:        n.GetName(),
		Entry:       n.GetEntry(),
		DataCentre:  ident.DataCentre(n.GetDataCentre()),
		Rack:        n.GetRack(),
		UDPAddress:  n.GetUdpAddress(),
		RPCAddress:  n.GetRpcAddress(),
		Service:     ident.ServiceID(n.GetService()),
		ServiceName: ident.ServiceName{Team: n.GetTeam(), Name: n.GetServiceName()},
		Incarnation: ident.Incarnation(n.GetIncarnation()),
		State:       record.State(n.GetState()),
		Weight:      n.GetWeight(),
	}
}
