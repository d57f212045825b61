package fleet

import (
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"lacewinglever.dev/policy/flowsearch"
	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/routes"
)

func testPacket() ForwardedPacket {
	return ForwardedPacket{
		Entry: netip.MustParseAddrPort("10.1.0.10:7720"), Origin: "dc-1", Service: "a",
		Routes: routes.Position{Version: 31, Era: 2, Revision: 412}, WantsOwner: true,
		Tried: []ident.NodeID{1, 1 << 63}, Packet: []byte("packet"),
	}
}

// Guards against a field that is lost or changed in encoding or decoding.
func TestForwardedPacketRoundTrip(t *testing.T) {
	want := testPacket()
	var got ForwardedPacket
	assert.NilError(t, got.decode(want.Append(nil)[1:], interner{}))
	assert.Equal(t, got.Entry, want.Entry)
	assert.Equal(t, got.Origin, want.Origin)
	assert.Equal(t, got.Service, want.Service)
	assert.Equal(t, got.Routes, want.Routes)
	assert.Equal(t, got.WantsOwner, want.WantsOwner)
	assert.DeepEqual(t, got.Tried, want.Tried)
	assert.DeepEqual(t, got.Packet, want.Packet)

	want.Remembered, want.Silent, want.WantsProgress = 2, []ident.NodeID{3, 4}, true
	assert.NilError(t, got.decode(want.Append(nil)[1:], interner{}))
	assert.DeepEqual(t, got.Asked(), want.Asked())
	assert.Assert(t, got.WantsProgress)
	want.Remembered = 3
	assert.ErrorIs(t, got.decode(want.Append(nil)[1:], interner{}), errMalformedFrame)
}

// The receiver decodes all frames into one value. Guards against fields of the previous frame that
// remain in it.
func TestForwardedPacketDecodeStartsEmpty(t *testing.T) {
	full, plain := testPacket(), testPacket()
	full.Remembered, full.Silent, full.WantsProgress = 1, []ident.NodeID{3}, true
	plain.Tried, plain.WantsOwner = nil, false
	var got ForwardedPacket
	assert.NilError(t, got.decode(full.Append(nil)[1:], interner{}))
	assert.NilError(t, got.decode(plain.Append(nil)[1:], interner{}))
	assert.Equal(t, len(got.Tried)+len(got.Silent)+got.Remembered, 0)
	assert.Assert(t, !got.WantsOwner && !got.WantsProgress)
}

// Guards against allocations for each decoded packet.
func TestForwardedPacketDecodeAllocatesNothing(t *testing.T) {
	p := testPacket()
	frame := p.Append(nil)[1:]
	interned := interner{}
	var got ForwardedPacket
	assert.NilError(t, got.decode(frame, interned))
	assert.Equal(t, testing.AllocsPerRun(100, func() { _ = got.decode(frame, interned) }), 0.0)
}

// Guards against a search that cannot reach the last targets of a pool. The largest pool at present
// has 51 targets, and 82 while they are being replaced.
func TestForwardedPacketListsAllAgentsOfAPool(t *testing.T) {
	p := testPacket()
	p.Packet = make([]byte, 1232)
	for i := range maxTried - 2 {
		p.Tried = append(p.Tried, ident.NodeID(i))
	}
	p.Remembered, p.WantsProgress = maxTried, true
	for i := range flowsearch.MaxSilent {
		p.Silent = append(p.Silent, ident.NodeID(i))
	}
	assert.Assert(t, maxTried >= 2*82 && flowsearch.MaxTried < maxTried)
	frame := p.Append(nil)
	assert.Assert(t, len(frame) <= maxDatagramBytes, "%d bytes", len(frame))
	var got ForwardedPacket
	assert.NilError(t, got.decode(frame[1:], interner{}))
	assert.Equal(t, len(got.Tried), maxTried)
}

// Guards against a crash on arbitrary bytes, and against a decoded packet without the address of
// its entry or with more agents than the limit.
func FuzzRelayDecode(f *testing.F) {
	p := testPacket()
	f.Add(p.Append(nil)[1:])
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, b []byte) {
		var got ForwardedPacket
		if got.decode(b, interner{}) == nil {
			assert.Assert(t, got.Entry.IsValid() && len(got.Tried) <= maxTried &&
				got.Remembered <= len(got.Tried) && len(got.Silent) <= flowsearch.MaxSilent)
		}
	})
}
