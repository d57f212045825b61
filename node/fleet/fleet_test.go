package fleet

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"lacewinglever.dev/platform/platformtest"
	"lacewinglever.dev/policy/roster"
)

type idleHandler struct{ Handler }

func (idleHandler) FillHeartbeat(time.Duration, *roster.Heartbeat) {}

// newTestFleet returns a node of a store. Nothing runs.
func newTestFleet(t *testing.T, store *platformtest.Store, name string) *Fleet {
	t.Helper()
	f, err := New(Options{
		Settings: &Settings{Name: name, DataCentre: "dc", Fleet: "127.0.0.1:0", Advertise: "127.0.0.1:7400",
			Store: store.Address()},
		Entry: true, Handler: idleHandler{}, Logger: log.NewLogfmtLogger(io.Discard), Metrics: metrics.NewSet(),
	})
	assert.NilError(t, err)
	t.Cleanup(func() { _ = f.conn.Close() })
	return f
}

// newStoreFleet returns a node of a store of its own.
func newStoreFleet(t *testing.T, name string) *Fleet {
	t.Helper()
	store, err := platformtest.NewStore("127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(store.Close)
	return newTestFleet(t, store, name)
}

// runUntilEnd runs a part of a node until the test ends.
func runUntilEnd(t *testing.T, part func(context.Context)) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	t.Cleanup(func() { cancel(); <-ended })
	go func() { defer close(ended); part(ctx) }()
}
