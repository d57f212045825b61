package wire

import (
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	lacewingv1 "lacewinglever.dev/node/gen/lacewing/v1"
	"lacewinglever.dev/policy/ident"
)

func testKeyring(t *testing.T, signer byte) *Keyring {
	t.Helper()
	first, err := ParseKey("000102030405060708090a0b0c0d0e0f")
	assert.NilError(t, err)
	second, err := ParseKey("f00102030405060708090a0b0c0d0e0f")
	assert.NilError(t, err)
	r, err := NewKeyring(map[byte]Key{1: first, 2: second}, signer)
	assert.NilError(t, err)
	return r
}

var sample = Data{
	Service: 7, Sender: 8, Sequence: 9, Destination: 10, Caller: ident.Caller{15: 1, 17: 80},
	Hops: 2, Placed: true, View: 11, Entry: 12, SentUnixMs: 13, Payload: []byte("reading"),
}

// Guards against the hand-encoded data header drifting from the schema.
func TestDataMatchesSchema(t *testing.T) {
	r := testKeyring(t, 1)
	frame := r.AppendData(nil, TypeData, &sample)
	_, body, err := r.Open(frame)
	assert.NilError(t, err)
	var m lacewingv1.Data
	assert.NilError(t, proto.Unmarshal(body, &m))
	assert.Equal(t, m.GetService(), uint64(7))
	assert.Equal(t, m.GetHops(), uint32(2))
	assert.Equal(t, m.GetPlaced(), true)
	assert.Equal(t, string(m.GetPayload()), "reading")
	var back Data
	again, err := proto.Marshal(&m)
	assert.NilError(t, err)
	assert.NilError(t, ParseData(again, &back))
	assert.DeepEqual(t, back, sample)
}

// Guards against a forged, changed or retyped frame being accepted, and against a break during key rotation.
func TestOpenRefusesForgedFrames(t *testing.T) {
	old, rotated := testKeyring(t, 1), testKeyring(t, 2)
	frame := old.AppendData(nil, TypeData, &sample)
	_, _, err := rotated.Open(frame)
	assert.NilError(t, err)
	for i := range frame {
		changed := append([]byte(nil), frame...)
		changed[i] ^= 1
		_, _, err := old.Open(changed)
		assert.Assert(t, err != nil, "byte %d", i)
	}
	_, _, err = old.Open(frame[:HeaderSize-1])
	assert.ErrorIs(t, err, ErrShort)
}

// Guards against a datagram being taken twice, and against one being refused because another overtook it.
func TestReplay(t *testing.T) {
	const now = 1_000_000
	r := NewReplayFilter()
	assert.Assert(t, r.Accept(1, 100, now, now))
	assert.Assert(t, !r.Accept(1, 100, now, now))
	assert.Assert(t, r.Accept(1, 90, now, now))
	assert.Assert(t, r.Accept(1, 100+2*replayWindow, now, now))
	assert.Assert(t, !r.Accept(1, 101, now, now))
	assert.Assert(t, r.Accept(1, 101+replayWindow, now, now))
	assert.Assert(t, r.Accept(2, 100, now, now))
	assert.Assert(t, !r.Accept(3, 1, now-31_000, now))
}

// Guards against a crash or an unbounded allocation on bytes from outside.
func FuzzOpen(f *testing.F) {
	key, _ := ParseKey("000102030405060708090a0b0c0d0e0f")
	r, _ := NewKeyring(map[byte]Key{1: key}, 1)
	f.Add(r.AppendData(nil, TypeData, &sample))
	f.Fuzz(func(_ *testing.T, frame []byte) {
		_, body, err := r.Open(frame)
		if err != nil {
			body = frame
		}
		var d Data
		_ = ParseData(body, &d)
		_, _ = ParseControl(body)
	})
}

func BenchmarkAppendOpenParse(b *testing.B) {
	key, _ := ParseKey("000102030405060708090a0b0c0d0e0f")
	r, _ := NewKeyring(map[byte]Key{1: key}, 1)
	buffer := make([]byte, 0, 2048)
	d := sample
	d.Payload = make([]byte, 200)
	var back Data
	b.ReportAllocs()
	for b.Loop() {
		buffer = r.AppendData(buffer[:0], TypeData, &d)
		_, body, _ := r.Open(buffer)
		_ = ParseData(body, &back)
	}
}
