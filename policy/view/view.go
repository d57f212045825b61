// Package view holds what a node knows of one pool: its members and the slot table that gives a flow's home.
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

// Limits of the slot table. Member indexes are 16 bits wide, which bounds a pool.
const (
	DefaultSlots = 1024
	MaxSlots     = 65536
	MaxMembers   = math.MaxUint16
	noMember     = math.MaxUint16
	// smallPool is the largest pool whose view keeps no scores. An entry holds a view of each of 13,000 services, nearly all of them
	// small; building one anew takes 50 us a target.
	smallPool = 8
)

// Member is one agent of a pool. Weight decides its share of homes.
type Member struct {
	Node   record.Node
	Weight float64
}

// hashed tells whether the member can be a home. A joining agent is not hashed until its registrations are in.
func (m *Member) hashed() bool {
	return m.Node.State == record.Ready || m.Node.State == record.Draining
}

// View is an immutable picture of one pool. Members are sorted by node id.
type View struct {
	Service ident.ServiceID
	Digest  uint64 // same members and weights give the same digest
	Members []Member

	homes  []uint16  // member index per slot, noMember if the pool has no home
	scores []float32 // best score per slot; nil in small pools
}

// Build makes the view of a pool with the given number of slots, a power of two up to MaxSlots. Members that are dead or have left
// must not be passed. With a previous view of the same slots, only what changed is computed.
func Build(prev *View, service ident.ServiceID, slots int, members []Member) *View {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b Member) int { return cmp.Compare(a.Node.ID, b.Node.ID) })
	if len(sorted) > MaxMembers-1 {
		sorted = sorted[:MaxMembers-1]
	}
	v := &View{Service: service, Members: sorted}
	v.Digest = v.digest()
	v.homes = make([]uint16, slots)
	v.scores = make([]float32, slots)
	v.fill(prev)
	if len(v.Members) <= smallPool {
		v.scores = nil
	}
	return v
}

// Home returns the home of the flow with this hash. It returns false if no member can be a home.
func (v *View) Home(hash uint64) (*Member, bool) {
	i := v.homes[hash&uint64(len(v.homes)-1)]
	if i == noMember {
		return nil, false
	}
	return &v.Members[i], true
}

// SlotTable returns the slot table: the index in Members of the home of each slot, or an index beyond them if no member can be a home. The slot
// of a flow is its hash modulo the number of slots. The table must not be changed. The data path reads it together with what it needs of the
// members, without touching the view.
func (v *View) SlotTable() []uint16 { return v.homes }

// Member returns the member with this id.
func (v *View) Member(id ident.NodeID) (*Member, bool) {
	i, ok := slices.BinarySearchFunc(v.Members, id, func(m Member, id ident.NodeID) int { return cmp.Compare(m.Node.ID, id) })
	if !ok {
		return nil, false
	}
	return &v.Members[i], true
}

// Slots returns the number of slots.
func (v *View) Slots() int { return len(v.homes) }

// digest covers what decides homes and where they are.
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

// fill computes the slot table. Slots keep their home and score from prev where the home is unchanged, and are compared with the members
// that are new; slots that lost their home are computed in full.
func (v *View) fill(prev *View) {
	usable := prev != nil && prev.Service == v.Service && len(prev.homes) == len(v.homes) && prev.scores != nil
	kept := map[uint16]uint16{}
	var fresh []uint16
	for i := range v.Members {
		m := &v.Members[i]
		if !m.hashed() {
			continue
		}
		if usable {
			if j, ok := prev.index(m); ok {
				kept[j] = uint16(i)
				continue
			}
		}
		fresh = append(fresh, uint16(i))
	}
	all := slices.Clone(fresh)
	for _, i := range kept {
		all = append(all, i)
	}
	for slot := range v.homes {
		v.homes[slot], v.scores[slot] = noMember, float32(math.Inf(-1))
		candidates := all
		if usable {
			if i, ok := kept[prev.homes[slot]]; ok {
				v.homes[slot], v.scores[slot] = i, prev.scores[slot]
				candidates = fresh
			}
		}
		v.choose(slot, candidates)
	}
}

// index finds a member that was hashed with the same weight, so that its scores are unchanged.
func (v *View) index(m *Member) (uint16, bool) {
	i, ok := slices.BinarySearchFunc(v.Members, m.Node.ID, func(m Member, id ident.NodeID) int { return cmp.Compare(m.Node.ID, id) })
	if !ok || !v.Members[i].hashed() || v.Members[i].Weight != m.Weight {
		return 0, false
	}
	return uint16(i), true
}

// choose gives the slot to the best of the candidates and the present home. Equal scores go to the lower node id, so that every node
// chooses alike, in whatever order the members came.
func (v *View) choose(slot int, candidates []uint16) {
	for _, i := range candidates {
		m := &v.Members[i]
		score := float32(rendezvous.Score(uint64(slot), uint64(m.Node.ID), m.Weight))
		better := score > v.scores[slot]
		tie := score == v.scores[slot] && v.homes[slot] != noMember && i < v.homes[slot]
		if better || tie {
			v.homes[slot], v.scores[slot] = i, score
		}
	}
}
