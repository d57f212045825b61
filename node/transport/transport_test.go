package transport

import (
	"context"
	"encoding/binary"
	"net/netip"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"lacewinglever.dev/node/wire"
)

// Guards against batches that lose frames or allocate for each, payloads that change before Flush,
// and frames without a Flush after them.
func TestBatch(t *testing.T) {
	const frames = 1000
	key, err := wire.ParseKey("000102030405060708090a0b0c0d0e0f")
	assert.NilError(t, err)
	keys, err := wire.NewKeyring(map[byte]wire.Key{1: key}, 1)
	assert.NilError(t, err)
	tr, err := Open(Options{Self: 7, Listen: "127.0.0.1:0", Keys: keys, Readers: 2, Metrics: metrics.NewSet()})
	assert.NilError(t, err)
	to := netip.MustParseAddrPort(tr.conn.LocalAddr().String())
	ctx, stop := context.WithCancel(context.Background())
	ended, flushed := make(chan error, 1), make(chan uint64, 2*frames)
	perReader := func() Handlers {
		var payloads [][]byte
		return Handlers{
			Data: func(d *wire.Data) { payloads = append(payloads, d.Payload) },
			Flush: func() {
				for _, p := range payloads {
					flushed <- binary.BigEndian.Uint64(p)
				}
				payloads = nil
			},
		}
	}
	go func() { ended <- tr.Run(ctx, Handlers{PerReader: perReader}) }()
	b, d := tr.NewBatch(), &wire.Data{Payload: make([]byte, 8)}
	seen := map[uint64]bool{}
	for i := range uint64(frames) {
		binary.BigEndian.PutUint64(d.Payload, i)
		b.Add(to, wire.TypeData, d)
		if i%50 == 49 { // more than a batch, less than the socket's buffer
			assert.Equal(t, b.Flush(), 0)
			for uint64(len(seen)) <= i {
				select {
				case n := <-flushed:
					seen[n] = true
				case <-time.After(2 * time.Second):
					t.Fatalf("%d of %d frames arrived", len(seen), i+1)
				}
			}
		}
	}
	stop()
	assert.NilError(t, <-ended)
	assert.Equal(t, testing.AllocsPerRun(100, func() { b.Add(to, wire.TypeData, d) }), 0.0)
	assert.Assert(t, b.Flush() > 0, "the socket is closed")
}
