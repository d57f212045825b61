package fleet

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	fleetv1 "lacewinglever.dev/node/gen/lacewing/fleet/v1"
	"lacewinglever.dev/platform/platformtest"
	"lacewinglever.dev/policy/digest"
	"lacewinglever.dev/policy/evacuation"
	"lacewinglever.dev/policy/heartbeat"
	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/roster"
)

// evacuateWithin is the bound in the settings of the tests' nodes.
const evacuateWithin = 5 * time.Second

// newEvacuationFleet returns a node that knows evacuations, of a store of its own.
func newEvacuationFleet(t *testing.T, name string) (*platformtest.Store, *Fleet) {
	t.Helper()
	store, err := platformtest.NewStore("127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(store.Close)
	f := newTestFleet(t, store, name)
	f.options.Settings.EvacuateWithin = evacuateWithin
	return store, f
}

func evacuationsAt(revision uint64, names ...string) *evacuation.Set {
	return evacuation.NewSet(evacuation.Position{Era: 1, Revision: revision}, names)
}

func waitForEvacuated(t *testing.T, f *Fleet, want ...ident.DataCentre) {
	t.Helper()
	for until := time.Now().Add(evacuateWithin); !slices.Equal(f.Evacuated(Now()), want); time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(until), "evacuated: %v, want %v", f.Evacuated(Now()), want)
	}
}

// Guards against nodes without a path to the store that don't learn of an evacuation, and that return to an
// older one, which other nodes still send.
func TestEvacuationsTravelWithHeartbeatsAndDigests(t *testing.T) {
	_, sender := newEvacuationFleet(t, "sender")
	relay := sender.Self
	relay.Name, relay.ID, relay.DataCentre = "relay", ident.NewNodeID("relay"), "far"
	heartbeat := func() *fleetv1.Message { return sender.heartbeatMessage(Now(), heartbeat.Receiver{}, false) }
	digestOf := func() *fleetv1.Message {
		d := toDigest("far", []digest.NodeUpdate{{Node: relay, Heartbeat: roster.Heartbeat{Sequence: 1}}}, false)
		d.News[0].Heartbeat.Evacuations = toEvacuations(sender.evacuations.current.Load())
		return &fleetv1.Message{Digest: d}
	}
	for name, message := range map[string]func() *fleetv1.Message{"heartbeat": heartbeat, "digest": digestOf} {
		sender.evacuations.current = evacuation.Current{}
		_, f := newEvacuationFleet(t, "receiver")
		f.handleControl(Now(), encodeMessage(t, message()))
		assert.Assert(t, f.evacuations.current.Load() == nil, name)
		sender.evacuations.current.Offer(0, evacuationsAt(4, "x"))
		older := encodeMessage(t, message())
		f.handleControl(Now(), older)
		assert.DeepEqual(t, f.Evacuated(Now()), []ident.DataCentre{"x"})
		sender.evacuations.current.Offer(0, evacuationsAt(5))
		f.handleControl(Now(), encodeMessage(t, message()))
		f.handleControl(Now(), older)
		assert.Equal(t, len(f.Evacuated(Now())), 0, name)
	}
}

// Guards against other bytes, calls or decisions in deployments without the setting.
func TestEvacuationsNeedTheSetting(t *testing.T) {
	store, sender := newEvacuationFleet(t, "sender")
	sender.evacuations.current.Offer(0, evacuationsAt(4, "dc"))
	f := newTestFleet(t, store, "without")
	f.handleControl(Now(), encodeMessage(t, sender.heartbeatMessage(Now(), heartbeat.Receiver{}, false)))
	assert.Equal(t, len(f.Evacuated(Now())), 0)
	assert.Assert(t, !f.AwaitsEvacuations(Now()))
	assert.Assert(t, f.heartbeatMessage(Now(), heartbeat.Receiver{}, false).Heartbeat.Evacuations == nil)
	store.PutRoutes(1, []string{"a"}, nil)
	runUntilEnd(t, func(ctx context.Context) { assert.Check(t, f.Run(ctx)) })
	time.Sleep(time.Second)
	assert.Equal(t, store.CallCountOf("evacuations"), 0)
}

// Guards against digests that exceed the smallest usual MTU because another writer has stored many names.
func TestDigestsWithEvacuationsFitADatagram(t *testing.T) {
	var names []string
	for i := range 100 {
		names = append(names, fmt.Sprint("data-centre-", i))
	}
	var items []digest.NodeUpdate
	for i := range digest.NodesPerDatagram {
		n := knownNode(newStoreFleet(t, "self"), fmt.Sprint("side-machine-", i))
		items = append(items, digest.NodeUpdate{Node: n, Heartbeat: roster.Heartbeat{Sequence: 1 << 20,
			Target: roster.Target{Service: strings.Repeat("s", 10), ID: "i-9046ff59e0", StartUnixMs: 1 << 40, Slots: 3, Busy: 1}}})
	}
	m := toDigest("far", items, true)
	without := proto.Size(m)
	m.News[0].Heartbeat.Evacuations = toEvacuations(evacuationsAt(1<<40, names...))
	assert.Assert(t, proto.Size(m)-without < 330, "%d bytes more than %d", proto.Size(m)-without, without)
}

// Guards against many calls to the store by a reader while nothing changes, and against requests and withdrawals
// that it learns only from the next list.
func TestReaderFollowsEvacuations(t *testing.T) {
	store, f := newEvacuationFleet(t, "reader")
	runUntilEnd(t, f.readEvacuations)
	for f.evacuations.current.Load() == nil {
		time.Sleep(time.Millisecond)
	}
	before := store.CallCountOf("evacuations")
	time.Sleep(3 * time.Second)
	calls := store.CallCountOf("evacuations") - before
	assert.Assert(t, calls <= 3, "%d calls", calls)
	store.Evacuate("dc")
	waitForEvacuated(t, f, "dc")
	store.Evacuate("unknown")
	store.MarkDeleting("dc")
	waitForEvacuated(t, f, "unknown")
	store.Compact(time.Second) // the next watch ends with an error
	store.Withdraw("unknown")
	waitForEvacuated(t, f)
}
