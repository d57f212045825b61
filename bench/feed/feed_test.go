package feed

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a caller and a target that disagree on the encoding, and a crash on a cut datagram.
func TestRoundTrip(t *testing.T) {
	d := Datagram{Kind: Answer, Flow: 7, Sequence: 8, SentNs: 9, Target: "target-1", Service: "team/name"}
	b := d.Append(nil, 100)
	assert.Equal(t, len(b), 100)
	back, err := Parse(b)
	assert.NilError(t, err)
	assert.DeepEqual(t, back, d)
	for n := range fixedSize + len("target-1") + len("team/name") + 2 {
		_, err := Parse(b[:n])
		assert.ErrorIs(t, err, ErrMalformed)
	}
}
