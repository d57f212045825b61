package settings

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/record"
)

func TestNext(t *testing.T) {
	now := time.Unix(1000, 0)
	at := netip.MustParseAddrPort("10.0.0.5:7001")
	other := ident.ServiceName{Team: "team", Name: "other"}
	spec := func(version uint64) *SpecObject {
		return &SpecObject{Version: version, Text: []byte(full), Writer: "ana"}
	}
	mine := &AddressObject{Version: 6, Address: at, Service: service, SourceVersion: 5}
	accepted := &record.Revision{Service: service, Number: 3, Spec: []byte(full), SourceVersion: 5}
	deleted := &record.Revision{Service: service, Number: 4, SourceVersion: 9, Deleted: true}
	inForce := Status{Version: 8, Accepted: 3, AcceptedVersion: 5}
	complete := Status{Version: 8, Accepted: 3, AcceptedVersion: 5, InForce: 6, Nodes: 6, Elapsed: time.Second}
	cases := []struct {
		name   string
		state  State
		kind   StepKind
		number uint64 // of the revision to accept
		reason string // of the refusal to write
	}{
		{name: "id not claimed", state: State{StoreVersion: 9, Spec: spec(5)}, kind: ClaimID},
		{name: "id claimed by another", state: State{StoreVersion: 9, Spec: spec(5), IDHolder: other}, kind: WriteStatus, reason: "team/other"},
		{name: "nothing known", state: State{StoreVersion: 9}},
		{name: "free address", state: State{StoreVersion: 9, Spec: spec(5)}, kind: ClaimAddress},
		{name: "claimed", state: State{StoreVersion: 9, Spec: spec(5), SpecAddress: mine}, kind: AcceptRevision, number: 1},
		{name: "next", state: State{StoreVersion: 9, Spec: spec(7), SpecAddress: mine, Newest: accepted, Status: inForce}, kind: AcceptRevision, number: 4},
		{name: "counted", state: State{StoreVersion: 9, Spec: spec(5), SpecAddress: mine, Newest: accepted, Status: inForce,
			Progress: &Progress{Revision: 3, InForce: 1, Nodes: 6}}, kind: WriteStatus},
		{name: "second count", state: State{StoreVersion: 9, Spec: spec(5), SpecAddress: mine, Newest: accepted, Status: complete,
			Progress: &Progress{Revision: 3, Nodes: 6}}},
		{name: "accepted", state: State{StoreVersion: 9, Spec: spec(5), SpecAddress: mine, Newest: accepted, Status: inForce}},
		{name: "stale spec", state: State{StoreVersion: 9, Spec: spec(4), SpecAddress: mine, Newest: accepted, Status: inForce}},
		{name: "status behind", state: State{StoreVersion: 9, Spec: spec(5), SpecAddress: mine, Newest: accepted, RecordedNumber: 3}, kind: WriteStatus},
		{name: "not in the history", state: State{StoreVersion: 9, Spec: spec(7), SpecAddress: mine, Newest: accepted, RecordedNumber: 2}, kind: RecordRevision, number: 3},
		{name: "accepted object lost", state: State{StoreVersion: 9, Spec: spec(9), SpecAddress: mine, Status: inForce}, kind: AcceptRevision, number: 4},
		{name: "not YAML", state: State{StoreVersion: 9, Spec: &SpecObject{Version: 5, Text: []byte(":")}}, kind: WriteStatus, reason: "team/name"},
		{name: "other team", state: State{StoreVersion: 9, Spec: &SpecObject{Version: 5, Text: []byte(full), Writer: "x/y"}}, kind: WriteStatus, reason: "x/y"},
		{name: "address of another", state: State{StoreVersion: 9, Spec: spec(7), Newest: accepted, Status: inForce,
			SpecAddress: &AddressObject{Version: 6, Address: at, Service: other}}, kind: WriteStatus, reason: "held by service team/other"},
		{name: "address about to be released", state: State{StoreVersion: 9, Spec: spec(7), Newest: accepted, Status: inForce, ReleasePending: true,
			SpecAddress: &AddressObject{Version: 6, Address: at, Service: other}}, kind: Wait},
		{name: "id of another", state: State{StoreVersion: 9, Spec: spec(5), SpecAddress: mine, IDCollision: &other}, kind: WriteStatus, reason: "team/other"},
		{name: "refused already", state: State{StoreVersion: 9, Spec: spec(5), Status: Status{Version: 6, RefusedVersion: 5}}},
		{name: "quarantine", state: State{StoreVersion: 9, Spec: spec(5),
			SpecAddress: &AddressObject{Version: 6, Address: at, Service: other, Released: now.Add(-9 * time.Second)}}, kind: Wait},
		{name: "after quarantine", state: State{StoreVersion: 9, Spec: spec(5),
			SpecAddress: &AddressObject{Version: 6, Address: at, Service: other, Released: now.Add(-AddressQuarantine)}}, kind: ClaimAddress},
		{name: "deleted", state: State{StoreVersion: 9, Newest: accepted, Status: inForce, HeldAddresses: []AddressObject{*mine}}, kind: AcceptRevision, number: 4},
		{name: "stale absence", state: State{StoreVersion: 5, Newest: accepted, Status: inForce, HeldAddresses: []AddressObject{*mine}}},
		{name: "release", state: State{StoreVersion: 9, Newest: deleted, RecordedNumber: 4, HeldAddresses: []AddressObject{*mine}}, kind: ReleaseAddress},
		{name: "claim without revision", state: State{StoreVersion: 9, HeldAddresses: []AddressObject{*mine}}, kind: AcceptRevision, number: 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			c.state.Service, c.state.Now = service, now
			if c.name != "id not claimed" && c.state.IDHolder == (ident.ServiceName{}) {
				c.state.IDHolder = service
			}
			c.state.NewestAddress, _ = addressOf(c.state.Newest)
			step := NextStep(c.state)
			assert.Equal(t, step.Kind.String(), c.kind.String())
			assert.Equal(t, step.Revision.Number, c.number)
			if c.reason != "" {
				assert.Equal(t, step.Status.RefusedVersion, c.state.Spec.Version)
				assert.Equal(t, step.Status.Accepted, c.state.Status.Accepted)
				assert.ErrorContains(t, reasonError(step.Status.Reason), c.reason)
			}
		})
	}
}

type reasonError string

func (e reasonError) Error() string { return string(e) }

// TestReaders guards that every entry names the same readers, two per data centre, whatever the order of its list.
func TestReaders(t *testing.T) {
	var entries []record.Node
	for _, name := range []string{"a", "b", "c", "d"} {
		for _, dc := range []ident.DataCentre{"dc1", "dc2"} {
			id := ident.NewNodeID(string(dc) + name)
			entries = append(entries, record.Node{ID: id, Entry: true, DataCentre: dc, State: record.Ready})
		}
	}
	entries[0].State = record.Dead
	readers := StoreReaders(entries)
	assert.Equal(t, len(readers), 4)
	for i, j := 0, len(entries)-1; i < j; i, j = i+1, j-1 {
		entries[i], entries[j] = entries[j], entries[i]
	}
	assert.DeepEqual(t, StoreReaders(entries), readers)
	ranks := map[int]bool{}
	for _, r := range readers {
		ranks[Rank(service.ID(), r, readers)] = true
	}
	assert.DeepEqual(t, ranks, map[int]bool{0: true, 1: true, 2: true, 3: true})
	assert.Equal(t, Rank(service.ID(), 1, readers), -1)
	assert.Equal(t, RankDelay(2), time.Second)
}
