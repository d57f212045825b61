package fleet

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewinglever.dev/platform"
	"lacewinglever.dev/platform/platformtest"
)

// Guards against an entry that stops because another writer has stored a draining record under its
// name. Only agents have a target that may have drained.
func TestEntryIgnoresADrainingRecord(t *testing.T) {
	store, err := platformtest.NewStore("127.0.0.1:0")
	assert.NilError(t, err)
	defer store.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	client := platform.NewStore(store.Address(), func(platform.CallResult) {})
	_, err = client.Register(ctx, platform.NodeRecord{Name: "e", Incarnation: 1, Draining: true})
	assert.NilError(t, err)
	f := newTestFleet(t, store, "e")
	go f.maintainRecord(ctx)
	for until := time.Now().Add(10 * time.Second); !f.storeListed.Load(); time.Sleep(10 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(until), "the records were not listed in time")
	}
	records, _, err := client.Nodes(ctx)
	assert.NilError(t, err)
	assert.Assert(t, !records[0].Draining)
}

func recordOf(name string) platform.NodeRecord {
	return platform.NodeRecord{Name: name, Incarnation: 1, Address: "127.0.0.9:7400"}
}
