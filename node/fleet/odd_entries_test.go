package fleet

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	fleetv1 "lacewinglever.dev/node/gen/lacewing/fleet/v1"
	"lacewinglever.dev/platform/platformtest"
	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/roster"
)

// knownNode adds a running node to the roster and returns it.
func knownNode(f *Fleet, name string) roster.Node {
	n := roster.Node{ID: ident.NewNodeID(name), Name: name, Incarnation: f.Self.Incarnation, DataCentre: "far",
		Address: f.Self.Address}
	f.Roster.RecordHeartbeat(Now(), n, roster.Heartbeat{Sequence: 1})
	return n
}

// assertHeard asserts that the node's next heartbeat counts.
func assertHeard(t *testing.T, f *Fleet, n roster.Node, name string) {
	t.Helper()
	p, ok := f.Roster.Find(n.ID)
	assert.Assert(t, ok && p.Running(Now()), "%s: %+v", name, p)
	change := f.Roster.RecordHeartbeat(Now(), n, roster.Heartbeat{Sequence: p.Sequence + 1})
	assert.Equal(t, change, roster.Unchanged, name)
}

// Guards against an odd record that replaces a running node, or hides the records beside it.
func TestOddRecordsReplaceNoNode(t *testing.T) {
	for _, odd := range []string{
		`{"name":"n","incarnation":18446744073709551615,"address":"10.1.0.1:7100"}`,
		`{"name":"n","incarnation":9223372036854775807,"address":"10.1.0.1:7100","draining":true}`,
		`{"name":"n","incarnation":0,"address":"10.1.0.1:7100"}`,
		`{"name":"n","incarnation":1e999,"address":"10.1.0.1:7100"}`,
		`{"name":"n","incarnation":-1,"address":"10.1.0.1:7100"}`,
		`{"name":"n","incarnation":5,"address":"10.1.0.1:70000"}`,
		`{"name":"n","incarnation":5,"address":"10.1.0.1:0"}`,
		`{"name":"n","incarnation":5,"address":"[2001:db8::1]:7100"}`,
		`{"name":"n","incarnation":5,"address":7100}`,
		`{"name":"n","incarnation":5,"address":"10.1.0.1:7100","data_centre":"` + strings.Repeat("x", 1000) + `"}`,
		`[]`, `null`, `7`, `"n"`,
	} {
		store, err := platformtest.NewStore("127.0.0.1:0")
		assert.NilError(t, err)
		t.Cleanup(store.Close)
		f := newTestFleet(t, store, "self")
		n := knownNode(f, "n")
		write := func(name, spec string) {
			response, err := http.Post("http://"+store.Address()+"/objects/lacewing-nodes/"+name, "application/json",
				strings.NewReader(fmt.Sprintf(`{"meta":{"name":%q},"spec":%s}`, name, spec)))
			assert.NilError(t, err)
			assert.NilError(t, response.Body.Close())
		}
		write("n", odd)
		write("other", `{"name":"other","incarnation":5,"address":"10.1.0.2:7100","service":"s"}`)
		_, err = f.listNodes(context.Background())
		assert.NilError(t, err, odd)
		assertHeard(t, f, n, odd)
		_, ok := f.Roster.Find(ident.NewNodeID("other"))
		assert.Assert(t, ok, "%s hides the record beside it", odd)
		f.sendHeartbeat(f.replan().All(), nil)
	}
}

func encodeMessage(t testing.TB, m *fleetv1.Message) []byte {
	t.Helper()
	b, err := proto.Marshal(m)
	assert.NilError(t, err)
	return b
}

// oddNodes returns descriptions of the node n as no node sends them.
func oddNodes(n *roster.Node) map[string]*fleetv1.Node {
	odd := map[string]*fleetv1.Node{}
	add := func(name string, change func(*fleetv1.Node)) {
		m := toNode(n)
		m.Incarnation++
		change(m)
		odd[name] = m
	}
	add("incarnation", func(m *fleetv1.Node) { m.Incarnation = math.MaxUint64 })
	add("start in the future", func(m *fleetv1.Node) { m.Incarnation += uint64((time.Hour).Microseconds()) })
	add("no incarnation", func(m *fleetv1.Node) { m.Incarnation = 0 })
	add("port", func(m *fleetv1.Node) { m.Address = "10.1.0.1:70000" })
	add("no port", func(m *fleetv1.Node) { m.Address = "10.1.0.1:0" })
	add("IPv6", func(m *fleetv1.Node) { m.Address = "[::1]:7100" })
	add("data centre", func(m *fleetv1.Node) { m.DataCentre = strings.Repeat("x", 2000) })
	return odd
}

// Guards against an odd message that replaces a running node, or hides the entries beside it.
func TestOddMessagesReplaceNoNode(t *testing.T) {
	f := newStoreFleet(t, "self")
	n := knownNode(f, "n")
	next := func(change func(*fleetv1.Heartbeat)) *fleetv1.Heartbeat {
		p, _ := f.Roster.Find(n.ID)
		h := toHeartbeat(&n, &roster.Heartbeat{Sequence: p.Sequence + 1, Target: roster.Target{Service: "s", Slots: 3}}, false)
		change(h)
		return h
	}
	odd := map[string]*fleetv1.Heartbeat{
		"no sender": {Sequence: 9},
		"sequence":  next(func(h *fleetv1.Heartbeat) { h.Sequence = math.MaxUint64 }),
		"interval":  next(func(h *fleetv1.Heartbeat) { h.IntervalMs = math.MaxUint32 }),
		"slots":     next(func(h *fleetv1.Heartbeat) { h.Target.Slots = math.MaxUint32 }),
		"store era": next(func(h *fleetv1.Heartbeat) { h.StoreEra = math.MaxUint64 }),
		"rate":      next(func(h *fleetv1.Heartbeat) { h.Target.Rate = float32(math.NaN()) }),
		"infinite":  next(func(h *fleetv1.Heartbeat) { h.Target.Rate = float32(math.Inf(1)) }),
		"failing":   next(func(h *fleetv1.Heartbeat) { h.Target.Failing = -1 }),
		"slowdown":  next(func(h *fleetv1.Heartbeat) { h.Target.Slowdown = float32(math.NaN()) }),
		"endless":   next(func(h *fleetv1.Heartbeat) { h.Target.Slowdown = 1e30 }),
	}
	for name, m := range oddNodes(&n) {
		odd[name] = next(func(h *fleetv1.Heartbeat) { h.Sender = m })
		f.handleControl(Now(), encodeMessage(t, &fleetv1.Message{Nodes: []*fleetv1.Node{m}}))
		assertHeard(t, f, n, "node "+name)
	}
	others := 0
	for name, h := range odd {
		others++
		other := roster.Node{Name: fmt.Sprint("other-", others), Incarnation: f.Self.Incarnation, DataCentre: "far", Address: f.Self.Address}
		beside := &fleetv1.News{Heartbeat: toHeartbeat(&other, &roster.Heartbeat{Sequence: 1}, false)}
		before := f.malformed.Get()
		f.handleControl(Now(), encodeMessage(t, &fleetv1.Message{Heartbeat: h}))
		f.handleControl(Now(), encodeMessage(t, &fleetv1.Message{Digest: &fleetv1.Digest{DataCentre: "far", PassOn: true,
			News: []*fleetv1.News{{Heartbeat: h}, beside}}}))
		f.handleControl(Now(), encodeMessage(t, &fleetv1.Message{Absent: []*fleetv1.News{{Heartbeat: h, AgeMs: math.MaxUint32}}}))
		assert.Equal(t, f.malformed.Get(), before+3, name)
		assertHeard(t, f, n, name)
		assert.Equal(t, f.storeEra.Load(), uint64(0), name)
		_, ok := f.Roster.Find(ident.NewNodeID(other.Name))
		assert.Assert(t, ok, "%s hides the entry beside it", name)
	}
}

// Guards against a process that ends because text in a message is not UTF-8.
func TestTextThatIsNotUTF8EndsNoProcess(t *testing.T) {
	f := newStoreFleet(t, "self")
	before := f.sendFailures.Get()
	f.sendMessage(f.Self.Address, &fleetv1.Message{FlowOwner: &fleetv1.FlowOwner{Owner: "sala-\xe3"}})
	assert.Equal(t, f.sendFailures.Get(), before+1)
}

// Guards against a crash on arbitrary datagrams.
func FuzzDatagrams(f *testing.F) {
	store, err := platformtest.NewStore("127.0.0.1:0")
	assert.NilError(f, err)
	f.Cleanup(store.Close)
	n := roster.Node{Name: "n", Incarnation: 5, DataCentre: "far", Address: netip.MustParseAddrPort("10.1.0.1:7100")}
	h := toHeartbeat(&n, &roster.Heartbeat{Sequence: 1, Target: roster.Target{Service: "s", Slots: 3}}, true)
	f.Add(encodeMessage(f, &fleetv1.Message{Heartbeat: h, Nodes: []*fleetv1.Node{toNode(&n)}}))
	f.Add(encodeMessage(f, &fleetv1.Message{Digest: &fleetv1.Digest{DataCentre: "far", PassOn: true, News: []*fleetv1.News{{Heartbeat: h}}}}))
	f.Add(encodeMessage(f, &fleetv1.Message{Routes: &fleetv1.RoutesChange{Revision: 7, Routes: []*fleetv1.Route{{Address: []byte{1}}}}}))
	f.Fuzz(func(t *testing.T, b []byte) {
		node := newTestFleet(t, store, "self")
		node.handleControl(Now(), b)
		node.replan()
		var packet ForwardedPacket
		if packet.decode(b, interner{}) == nil {
			_ = packet.Append(nil)
		}
	})
}
