package fleet

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/wrapperspb"
	"gotest.tools/v3/assert"

	fleetv1 "lacewinglever.dev/node/gen/lacewing/fleet/v1"
	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/roster"
	"lacewinglever.dev/policy/routes"
)

func peerAt(server *httptest.Server) *roster.Peer {
	return &roster.Peer{Node: roster.Node{Name: "peer", Address: netip.MustParseAddrPort(server.Listener.Addr().String())}}
}

// tableAt returns routes with n addresses at a position.
func tableAt(p routes.Position, n int) *routes.Table {
	table := tableOf(p.Revision, n, "a")
	table.Position = p
	return table
}

// Guards against a change that is applied to routes that had the revision of its base in another era.
func TestChangeBasedOnAnotherEraIsIgnored(t *testing.T) {
	f := newStoreFleet(t, "n")
	own := routes.Position{Version: 3, Era: 1, Revision: 5}
	f.Routes.Offer(tableAt(own, 4))
	elsewhere := tableAt(routes.Position{Version: 4, Era: 2, Revision: 5}, 9)
	c := routes.Diff(elsewhere, tableAt(routes.Position{Version: 6, Era: 2, Revision: 6}, 10))
	f.handleRoutesChange(toChange(&c), "peer")
	assert.Equal(t, f.Routes.Position(), own)
	assert.Equal(t, len(f.Routes.Load().Routes), 4)
}

// Guards against a node that gets no routes from a program of the previous release, which names
// routes by their revision only.
func TestRoutesFromThePreviousRelease(t *testing.T) {
	f := newStoreFleet(t, "n")
	f.Routes.Offer(tableAt(routes.Position{Version: 3, Era: 1, Revision: 5}, 4))
	var requested []uint64
	server := httptest.NewServer(connect.NewUnaryHandler(routesProcedure,
		func(_ context.Context, r *connect.Request[wrapperspb.UInt64Value]) (*connect.Response[wrapperspb.BytesValue], error) {
			requested = append(requested, r.Msg.GetValue())
			before := &routes.Table{}
			if r.Msg.GetValue() == 5 {
				before = tableAt(routes.Position{Revision: 5}, 4)
			}
			c := routes.Diff(before, tableAt(routes.Position{Version: 6, Revision: 7}, 6))
			packed, err := pack(&fleetv1.RoutesUpdate{Changes: []*fleetv1.RoutesChange{toChange(&c)}})
			assert.NilError(t, err)
			return connect.NewResponse(wrapperspb.Bytes(packed)), nil
		}))
	defer server.Close()
	_, hb, err := fromHeartbeat(latestIncarnation(), &fleetv1.Heartbeat{Revision: 7,
		Sender: &fleetv1.Node{Name: "peer", Incarnation: 1, Address: "127.0.0.1:7400"}})
	assert.NilError(t, err)
	assert.Assert(t, AreRoutesNewer(hb.Routes, f.Routes.Position()))
	assert.NilError(t, f.fetchFrom(context.Background(), server.Client(), peerAt(server)))
	assert.DeepEqual(t, requested, []uint64{5, 0})
	assert.Equal(t, f.Routes.Load().Version, int64(6))
	assert.Equal(t, len(f.Routes.Load().Routes), 6)
}

// Guards against a program of the previous release that gets changes which it can't apply.
func TestRoutesToThePreviousRelease(t *testing.T) {
	f := newStoreFleet(t, "n")
	f.Routes.Offer(tableAt(routes.Position{Version: 3, Era: 1, Revision: 5}, 4))
	f.Routes.Offer(tableAt(routes.Position{Version: 4, Era: 1, Revision: 6}, 5))
	server := httptest.NewServer(f.routesHandler())
	defer server.Close()
	rpc := connect.NewClient[wrapperspb.UInt64Value, wrapperspb.BytesValue](http.DefaultClient, server.URL+routesProcedure)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	for _, since := range []uint64{0, 5} {
		response, err := rpc.CallUnary(ctx, connect.NewRequest(wrapperspb.UInt64(since)))
		assert.NilError(t, err)
		update, err := unpack(response.Msg.GetValue())
		assert.NilError(t, err)
		assert.Equal(t, len(update.GetChanges()), 1)
		assert.Equal(t, update.GetChanges()[0].GetBase(), uint64(0), "all routes")
		assert.Equal(t, update.GetChanges()[0].GetRevision(), uint64(6))
	}
}

// Guards against programs of the previous release that no relay reports to other data centres.
func TestRelaysReportThePreviousRelease(t *testing.T) {
	f := newStoreFleet(t, "n")
	sender := &fleetv1.Node{Name: "previous", Incarnation: 1, DataCentre: "dc", Address: "127.0.0.1:7400"}
	f.handleHeartbeat(Now(), latestIncarnation(), &fleetv1.Heartbeat{Sender: sender, Sequence: 1})
	assert.Assert(t, f.Roster.NeedsRelay("dc"))
	items := f.digestItems(Now(), f.Roster.Peers())
	assert.Equal(t, items[len(items)-1].Node.Name, "previous")
	f.handleHeartbeat(Now(), latestIncarnation(), &fleetv1.Heartbeat{Sender: sender, Sequence: 2, Direct: true})
	assert.Assert(t, !f.Roster.NeedsRelay("dc"))
}

// Guards against requests for nodes without end to programs that never say that they know all.
func TestAnswersOfThePreviousReleaseEndTheJoin(t *testing.T) {
	t.Parallel()
	f := newStoreFleet(t, "n")
	f.Roster.RecordHeartbeat(Now(), roster.Node{ID: 1, Name: "previous", Incarnation: f.Self.Incarnation - 60_000_000,
		Address: netip.MustParseAddrPort("127.0.0.1:9")}, roster.Heartbeat{Sequence: 1})
	f.recordAnswer(Now(), false)
	ended := make(chan struct{})
	go func() { f.join(context.Background()); close(ended) }()
	select {
	case <-ended:
	case <-time.After(heartbeatWindow + 3*joinInterval):
		t.Fatal("the node still requests nodes")
	}
}

// Guards against frames of the previous release that can't be read, and against ones that it can't read: it skips
// fields that it doesn't know, and these come after those that it does.
func TestFramesOfThePreviousRelease(t *testing.T) {
	p := testPacket()
	const previous = "\x01\x0a\x06\x0a\x01\x00\x0a\x1e\x28\x12\x04dc-1\x1a\x01a\x20\x9c\x03\x38\x02\x40\x1f\x28\x01" +
		"\x32\x10\x00\x00\x00\x00\x00\x00\x00\x01\x80\x00\x00\x00\x00\x00\x00\x00\x7a\x06packet"
	assert.Equal(t, string(p.Append(nil)), previous)
	var got ForwardedPacket
	assert.NilError(t, got.decode([]byte(previous)[1:], interner{}))
	assert.Equal(t, got.Remembered, 0)
	assert.Equal(t, len(got.Silent), 0)
	assert.Assert(t, !got.WantsProgress)

	p.Remembered, p.Silent, p.WantsProgress = 1, []ident.NodeID{3}, true
	const added = "\x4a\x08\x00\x00\x00\x00\x00\x00\x00\x03\x50\x01\x58\x01"
	assert.Equal(t, strings.Replace(string(p.Append(nil)), added, "", 1), previous)
	later := previous[:len(previous)-8] + "\xa2\x06\x01x\xa8\x06\x07" + previous[len(previous)-8:]
	assert.NilError(t, got.decode([]byte(later)[1:], interner{}), "fields of a later release")
	assert.Equal(t, string(got.Append(nil)), previous)
}
