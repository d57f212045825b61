package connid

import (
	"testing"

	"gotest.tools/v3/assert"

	"lacewinglever.dev/node/wire"
	"lacewinglever.dev/policy/ident"
)

func keyring(t testing.TB, id byte, digits string) *wire.Keyring {
	t.Helper()
	key, err := wire.ParseKey(digits)
	assert.NilError(t, err)
	r, err := wire.NewKeyring(map[byte]wire.Key{id: key}, id)
	assert.NilError(t, err)
	return r
}

const digits = "000102030405060708090a0b0c0d0e0f"

// datagrams returns a short-header and a long-header packet with this destination connection ID.
func datagrams(id []byte) [][]byte {
	short := append([]byte{0x40}, id...)
	long := append([]byte{0xc0, 0, 0, 0, 1, byte(len(id))}, id...)
	return [][]byte{append(short, 1, 2, 3), append(long, 0)}
}

// Guards against an established connection that is routed to another agent, and against a
// connection ID that a caller chose, or that was made under another key, being accepted as an
// agent's.
func TestFromDatagram(t *testing.T) {
	keys, other := keyring(t, 1, digits), keyring(t, 1, "ff0102030405060708090a0b0c0d0e0f")
	g := NewGenerator(0xfedcba9876543210, 0x1122334455667788, keys)
	seen := map[string]bool{}
	for range 1000 {
		id, err := g.GenerateConnectionID()
		assert.NilError(t, err)
		assert.Assert(t, !seen[string(id.Bytes())])
		seen[string(id.Bytes())] = true
		for _, d := range datagrams(id.Bytes()) {
			got, ok := FromDatagram(keys, d)
			assert.Assert(t, ok)
			assert.Equal(t, got.Agent, ident.NodeID(0xfedcba9876543210))
			assert.Assert(t, got.Matches(0x1122334455667788) && !got.Matches(0x1122334455667789))
			_, ok = FromDatagram(other, d)
			assert.Assert(t, !ok)
			d[len(d)-8] ^= 1
			_, ok = FromDatagram(keys, d)
			assert.Assert(t, !ok)
		}
	}
}

// Guards against allocations on the entry's forwarding path.
func TestFromDatagramAllocations(t *testing.T) {
	keys := keyring(t, 1, digits)
	id, _ := NewGenerator(1, 2, keys).GenerateConnectionID()
	d := datagrams(id.Bytes())[0]
	assert.Equal(t, testing.AllocsPerRun(100, func() { FromDatagram(keys, d) }), 0.0)
}

// Guards against a crash on arbitrary bytes.
func FuzzFromDatagram(f *testing.F) {
	keys := keyring(f, 1, digits)
	id, _ := NewGenerator(1, 2, keys).GenerateConnectionID()
	for _, d := range datagrams(id.Bytes()) {
		f.Add(d)
	}
	f.Fuzz(func(_ *testing.T, d []byte) { FromDatagram(keys, d) })
}
