package packetagent

import (
	"context"
	"io"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewinglever.dev/node/fleet"
	"lacewinglever.dev/platform"
	"lacewinglever.dev/platform/platformtest"
	"lacewinglever.dev/policy/targetstate"
)

const targetAddress = "127.0.0.1:9999"

// newTestAgent returns an agent of a store. Nothing runs.
func newTestAgent(t *testing.T, store *platformtest.Store) *Agent {
	t.Helper()
	s := &Settings{
		Settings: fleet.Settings{Name: "agent", DataCentre: "dc", Fleet: "127.0.0.1:0", Advertise: "127.0.0.1:7400",
			Store: store.Address(), MemoryMB: 256},
		Service: "a", Target: targetAddress, FromTarget: "127.0.0.1:0", CallersAddress: "127.0.0.1:7500",
		Heartbeat: 800 * time.Millisecond, AddressReuse: 2 * time.Second,
	}
	a, err := newAgent(s, fleet.NewProgram(&s.Settings, io.Discard))
	assert.NilError(t, err)
	t.Cleanup(func() { _ = a.conn.Close() })
	return a
}

// Guards against the loss of the record of an agent that is restarted while its target drains.
func TestStopKeepsTheRecordOfADrainingTarget(t *testing.T) {
	for _, left := range []bool{false, true} {
		store, err := platformtest.NewStore("127.0.0.1:0")
		assert.NilError(t, err)
		t.Cleanup(store.Close)
		ctx, client := context.Background(), platform.NewStore(store.Address(), func(platform.CallResult) {})
		_, err = client.Register(ctx, platform.NodeRecord{Name: "agent", Incarnation: 1, Service: "a", Address: "127.0.0.1:7400"})
		assert.NilError(t, err)
		a := newTestAgent(t, store)
		assert.NilError(t, a.HandleHeartbeat(targetstate.Report{ID: "t", Service: "a", Sequence: 1, Draining: true, Slots: 1},
			targetAddress))
		if left {
			a.HandleLeave("t")
		}
		a.stop(ctx)
		records, _, err := client.Nodes(ctx)
		assert.NilError(t, err)
		assert.Equal(t, len(records) == 0, left)
	}
}
