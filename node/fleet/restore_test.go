package fleet

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewinglever.dev/platform"
	"lacewinglever.dev/platform/platformtest"
	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/roster"
)

// routesBound is the time within which an accepted change must be in force.
const routesBound = 3 * time.Second

// startReader returns a store, and a node that reads its routes.
func startReader(t *testing.T) (*platformtest.Store, *Fleet) {
	t.Helper()
	store, err := platformtest.NewStore("127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(store.Close)
	f := newTestFleet(t, store, "reader")
	runUntilEnd(t, f.readRoutes)
	return store, f
}

// putVersion writes routes whose only port is the version.
func putVersion(store *platformtest.Store, version int) {
	store.PutRoutes(version, []string{"a"}, []platformtest.Route{
		{Name: fmt.Sprint("r", version), Host: "198.18.0.1", Port: version, Service: "a"}})
}

// waitForVersion waits until a version is in force, for at most routesBound.
func waitForVersion(t *testing.T, f *Fleet, version int) {
	t.Helper()
	address := netip.AddrPortFrom(netip.MustParseAddr("198.18.0.1"), uint16(version))
	for until := time.Now().Add(routesBound); ; time.Sleep(5 * time.Millisecond) {
		table := f.Routes.Load()
		if table != nil {
			if _, ok := table.Lookup(address); ok {
				return
			}
		}
		assert.Assert(t, time.Now().Before(until), "version %d is not in force: %+v", version, table)
	}
}

// Guards against changes that are rejected after a restore because their revision was given out before.
func TestChangesAfterARestoreAreInForce(t *testing.T) {
	store, f := startReader(t)
	putVersion(store, 1)
	saved := store.Copy()
	for restore := range 2 {
		for version := 2; version <= 6; version++ {
			putVersion(store, 10*restore+version)
		}
		waitForVersion(t, f, 10*restore+6)
		store.Restore(saved)
		putVersion(store, 10*restore+6)
		putVersion(store, 10*restore+8)
		waitForVersion(t, f, 10*restore+8)
	}
}

// Guards against a change that a watch from a revision of before the restore does not deliver.
func TestChangeBelowTheWatchedRevisionIsReceived(t *testing.T) {
	store, f := startReader(t)
	putVersion(store, 1)
	saved := store.Copy()
	putVersion(store, 2)
	putVersion(store, 3)
	waitForVersion(t, f, 3)
	store.Restore(saved)
	putVersion(store, 4)
	for i := range 5 { // the revisions given out since the restore pass those of before
		_, err := f.store.Register(context.Background(), recordOf(fmt.Sprint("n", i)))
		assert.NilError(t, err)
	}
	waitForVersion(t, f, 4)
}

// Guards against a reader that lists and watches without a pause because the store does not have the
// revision of its routes.
func TestReaderDoesNotSpinAfterARestore(t *testing.T) {
	store, f := startReader(t)
	putVersion(store, 1)
	saved := store.Copy()
	putVersion(store, 2)
	waitForVersion(t, f, 2)
	store.Restore(saved)
	before := store.CallCount()
	time.Sleep(2 * watchWait)
	assert.Assert(t, store.CallCount()-before < 12, "%d calls", store.CallCount()-before)
}

// Guards against a node that returns to older routes because the store did.
func TestRestoredRoutesAreNotInForceAgain(t *testing.T) {
	store, f := startReader(t)
	putVersion(store, 1)
	saved := store.Copy()
	putVersion(store, 2)
	waitForVersion(t, f, 2)
	store.Restore(saved)
	for until := time.Now().Add(2 * watchWait); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		assert.Equal(t, f.Routes.Load().Version, int64(2))
	}
}

// Guards against a node that starting nodes can't find because the restored store has lost its record,
// or has one of before its target's drain. The node itself calls the store only at its start.
func TestRecordIsWrittenAgainAfterARestore(t *testing.T) {
	store, err := platformtest.NewStore("127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(store.Close)
	f := newTestFleet(t, store, "agent")
	f.options.Entry = false
	empty := store.Copy()
	runUntilEnd(t, f.maintainRecord)
	client := platform.NewStore(store.Address(), func(platform.CallResult) {})
	waitForRecord := func(draining bool) {
		t.Helper()
		for until := time.Now().Add(2 * time.Second); ; time.Sleep(10 * time.Millisecond) {
			records, _, err := client.Nodes(context.Background())
			assert.NilError(t, err)
			if len(records) == 1 && records[0].Draining == draining {
				return
			}
			assert.Assert(t, time.Now().Before(until), "records: %+v", records)
		}
	}
	f.RecordTargetReport(false)
	waitForRecord(false)
	ready := store.Copy()
	f.RecordTargetReport(true)
	waitForRecord(true)
	for era, saved := range []platformtest.StoreCopy{empty, ready, empty} {
		store.Restore(saved)
		f.handleNodeChange(&roster.Node{Name: "peer"}, &roster.Heartbeat{StoreEra: uint64(era + 2)}, roster.Unchanged)
		waitForRecord(true)
	}
}

// Guards against searches that wait for an agent that has left, because a restore of the store has
// brought its deleted record back.
func TestRestoredRecordOfALeftNodeIsRemoved(t *testing.T) {
	store, err := platformtest.NewStore("127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(store.Close)
	f := newTestFleet(t, store, "reader")
	ctx := context.Background()
	for _, name := range []string{"left", "other"} {
		_, err = f.store.Register(ctx, recordOf(name))
		assert.NilError(t, err)
	}
	saved := store.Copy()
	n := roster.Node{ID: ident.NewNodeID("left"), Name: "left", Incarnation: 1}
	f.Roster.RecordHeartbeat(Now()-10*time.Second, n,
		roster.Heartbeat{Sequence: 9, Leaving: true, Target: roster.Target{Ended: true}})
	assert.NilError(t, f.store.Deregister(ctx, "left", 0))
	store.Restore(saved)
	_, err = f.listNodes(ctx)
	assert.NilError(t, err)
	records, _, err := f.store.Nodes(ctx)
	assert.NilError(t, err)
	assert.Equal(t, len(records), 1)
	assert.Equal(t, records[0].Name, "other")
}
