package fleet

import (
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"lacewinglever.dev/policy/ident"
)

func relay() ForwardedPacket {
	return ForwardedPacket{
		Entry: netip.MustParseAddrPort("10.1.0.10:7720"), Origin: "dc-1", Service: "a", Revision: 412, WantsOwner: true,
		Tried: []ident.NodeID{1, 1 << 63}, Packet: []byte("packet"),
	}
}

// Guards against a field that is lost or changed on the way between nodes.
func TestRelayRoundTrip(t *testing.T) {
	want := relay()
	var got ForwardedPacket
	assert.NilError(t, got.decode(want.Append(nil)[1:], names{}))
	assert.Equal(t, got.Entry, want.Entry)
	assert.Equal(t, got.Origin, want.Origin)
	assert.Equal(t, got.Service, want.Service)
	assert.Equal(t, got.Revision, want.Revision)
	assert.Equal(t, got.WantsOwner, want.WantsOwner)
	assert.DeepEqual(t, got.Tried, want.Tried)
	assert.DeepEqual(t, got.Packet, want.Packet)
}

// Guards against fields of the frame before being taken for those of this one, as the receiver decodes into one value.
func TestRelayDecodeStartsEmpty(t *testing.T) {
	full, plain := relay(), relay()
	plain.Tried, plain.WantsOwner = nil, false
	var got ForwardedPacket
	assert.NilError(t, got.decode(full.Append(nil)[1:], names{}))
	assert.NilError(t, got.decode(plain.Append(nil)[1:], names{}))
	assert.Equal(t, len(got.Tried), 0)
	assert.Assert(t, !got.WantsOwner)
}

// Guards against allocations for each packet.
func TestRelayDecodeAllocatesNothing(t *testing.T) {
	r := relay()
	frame := r.Append(nil)[1:]
	known := names{}
	var got ForwardedPacket
	assert.NilError(t, got.decode(frame, known))
	assert.Equal(t, testing.AllocsPerRun(100, func() { _ = got.decode(frame, known) }), 0.0)
}

// Guards against a search that can't reach the last targets of a pool: the largest that the users have now is 51, and 82 while targets are replaced.
func TestRelayNamesAllAgentsOfAPool(t *testing.T) {
	r := relay()
	r.Packet = make([]byte, 1232)
	for i := range maxTried - 2 {
		r.Tried = append(r.Tried, ident.NodeID(i))
	}
	assert.Assert(t, maxTried >= 2*82)
	frame := r.Append(nil)
	assert.Assert(t, len(frame) <= datagramSize, "%d bytes", len(frame))
	var got ForwardedPacket
	assert.NilError(t, got.decode(frame[1:], names{}))
	assert.Equal(t, len(got.Tried), maxTried)
}

func FuzzRelayDecode(f *testing.F) {
	r := relay()
	f.Add(r.Append(nil)[1:])
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, b []byte) {
		var got ForwardedPacket
		if got.decode(b, names{}) == nil {
			assert.Assert(t, got.Entry.IsValid() && len(got.Tried) <= maxTried)
		}
	})
}
