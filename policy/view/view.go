// Package view holds a node's view of one pool: its members and the slot table, which maps each
// flow to its home. It uses rendezvous hashing.
package view

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/record"
	"lacewinglever.dev/policy/rendezvous"
)

// Limits of the slot table. Member indexes are 16 bits wide, which limits the size of a pool.
const (
	DefaultSlots = 1024
	MaxSlots     = 65536
	MaxMembers   = math.MaxUint16
	noMember     = math.MaxUint16
	// maxSmallPool is the size of the largest pool whose view keeps no scores, to save memory. An
	// entry holds a view of each of 13,000 services, nearly all of them small. Building such a view
	// anew takes 50 us per target.
	maxSmallPool = 8
)

// Member is one agent of a pool. Weight decides its share of the homes.
type Member struct {
	Node   record.Node
	Weight float64
}

// canBeHome reports whether the member can be the home of flows. A joining agent cannot, until the
// other members have registered their flows with it.
func (m *Member) canBeHome() bool {
	return m.Node.State == record.Ready || m.Node.State == record.Draining
}

// View is an immutable view of one pool. Members are sorted by node ID.
type View struct {
	Service ident.ServiceID
	Digest  uint64 // hash of the members' IDs, incarnations, states and weights
	Members []Member

	slotTable []uint16  // member index per slot; noMember if the pool has no home
	scores    []float32 // score of the home per slot; nil in small pools
}

// Build returns the view of a pool with the given number of slots, a power of two up to MaxSlots.
// Members that are dead or have left must not be passed. If a previous view with the same slots is
// passed, only the changes are computed.
func Build(prev *View, service ident.ServiceID, slots int, members []Member) *View {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b Member) int { return cmp.Compare(a.Node.ID, b.Node.ID) })
	if len(sorted) > MaxMembers-1 {
		sorted = sorted[:MaxMembers-1]
	}
	v := &View{Service: service, Members: sorted}
	v.Digest = v.digest()
	v.slotTable = make([]uint16, slots)
	v.scores = make([]float32, slots)
	v.fillSlots(prev)
	if len(v.Members) <= maxSmallPool {
		v.scores = nil
	}
	return v
}

// Home returns the home of the flow with this hash. It returns false if no member can be a home.
func (v *View) Home(hash uint64) (*Member, bool) {
	i := v.slotTable[hash&uint64(len(v.slotTable)-1)]
	if i == noMember {
		return nil, false
	}
	return &v.Members[i], true
}

// SlotTable returns the index in Members of the home of each slot, or an index beyond them if no
// member can be a home. The slot of a flow is its hash modulo the number of slots. The table must
// not be modified. The data path keeps it next to the member data that it needs, so that it does
// not access the view.
func (v *View) SlotTable() []uint16 { return v.slotTable }

// Member returns the member with this ID.
func (v *View) Member(id ident.NodeID) (*Member, bool) {
	i, ok := slices.BinarySearchFunc(v.Members, id, func(m Member, id ident.NodeID) int {
		return cmp.Compare(m.Node.ID, id)
	})
	if !ok {
		return nil, false
	}
	return &v.Members[i], true
}

// Slots returns the number of slots.
func (v *View) Slots() int { return len(v.slotTable) }

// digest covers what decides the homes and identifies their processes: the ID, incarnation, state
// and weight of each member.
func (v *View) digest() uint64 {
	d := xxhash.New()
	var b [8]byte
	write := func(x uint64) {
		binary.BigEndian.PutUint64(b[:], x)
		_, _ = d.Write(b[:])
	}
	for i := range v.Members {
		m := &v.Members[i]
		write(uint64(m.Node.ID))
		write(uint64(m.Node.Incarnation))
		write(uint64(m.Node.State))
		write(math.Float64bits(m.Weight))
	}
	return d.Sum64()
}

// fillSlots computes the slot table. A slot whose home in prev is unchanged keeps it with its
// score, and compares it with the added members only. A slot that lost its home is computed from
// all members.
func (v *View) fillSlots(prev *View) {
	canReuse := prev != nil && prev.Service == v.Service &&
		len(prev.slotTable) == len(v.slotTable) && prev.scores != nil
	kept := map[uint16]uint16{}
	var added []uint16
	for i := range v.Members {
		m := &v.Members[i]
		if !m.canBeHome() {
			continue
		}
		if canReuse {
			if j, ok := prev.unchangedIndex(m); ok {
				kept[j] = uint16(i)
				continue
			}
		}
		added = append(added, uint16(i))
	}
	all := slices.Clone(added)
	for _, i := range kept {
		all = append(all, i)
	}
	for slot := range v.slotTable {
		v.slotTable[slot], v.scores[slot] = noMember, float32(math.Inf(-1))
		candidates := all
		if canReuse {
			if i, ok := kept[prev.slotTable[slot]]; ok {
				v.slotTable[slot], v.scores[slot] = i, prev.scores[slot]
				candidates = added
			}
		}
		v.chooseHome(slot, candidates)
	}
}

// unchangedIndex returns the index in v of a member that could be a home with the same weight, so
// that its scores are still valid.
func (v *View) unchangedIndex(m *Member) (uint16, bool) {
	i, ok := slices.BinarySearchFunc(v.Members, m.Node.ID, func(m Member, id ident.NodeID) int {
		return cmp.Compare(m.Node.ID, id)
	})
	if !ok || !v.Members[i].canBeHome() || v.Members[i].Weight != m.Weight {
		return 0, false
	}
	return uint16(i), true
}

// chooseHome assigns the slot to the best of the candidates and the present home. Of equal scores
// the lower node ID wins, so that all nodes compute the same home whatever the order in which
// members joined.
func (v *View) chooseHome(slot int, candidates []uint16) {
	for _, i := range candidates {
		m := &v.Members[i]
		score := float32(rendezvous.Score(uint64(slot), uint64(m.Node.ID), m.Weight))
		better := score > v.scores[slot]
		tie := score == v.scores[slot] && v.slotTable[slot] != noMember && i < v.slotTable[slot]
		if better || tie {
			v.slotTable[slot], v.scores[slot] = i, score
		}
	}
}
