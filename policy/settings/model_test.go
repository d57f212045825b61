package settings

import (
	"fmt"
	"net/netip"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/record"
)

// model is a store with the objects of three services, and duty holders with views of different age. It checks at every write what must
// hold whatever the holders know.
type model struct {
	t          *rapid.T
	now        time.Time
	version    uint64
	log        []written
	current    map[string]written
	superseded map[netip.AddrPort]time.Time // when the last revision with this address was followed by one without
}

// written is one change of an object. Its value is a SpecObject, Revision, AddressObject or Status, nil after a deletion.
type written struct {
	path    string
	version uint64
	value   any
}

// The id of the third service collides with that of the first.
var modelServices = []ident.ServiceName{{Team: "a", Name: "one"}, {Team: "b", Name: "two"}, {Team: "c", Name: "three"}}

func modelIDPath(s ident.ServiceName) string {
	if s == modelServices[2] {
		s = modelServices[0]
	}
	return IDPath(s.ID())
}

func newModel(t *rapid.T) *model {
	return &model{t: t, now: time.Unix(1_000_000, 0), current: map[string]written{}, superseded: map[netip.AddrPort]time.Time{}}
}

// put writes if the object has the version, 0 for none.
func (m *model) put(path string, ifVersion uint64, value any) (uint64, bool) {
	known := m.current[path]
	held := known.version
	if known.value == nil {
		held = 0
	}
	if held != ifVersion {
		return 0, false
	}
	m.version++
	w := written{path, m.version, value}
	m.current[path] = w
	m.log = append(m.log, w)
	return m.version, true
}

func (m *model) newest(s ident.ServiceName) *record.Revision {
	r, ok := m.current[AcceptedPath(s)].value.(record.Revision)
	if !ok {
		return nil
	}
	return &r
}

// checkHistory fails unless the history holds every accepted revision but perhaps the newest, and that one as it was accepted.
func (m *model) checkHistory(s ident.ServiceName, complete bool) {
	newest := m.newest(s)
	if newest == nil {
		return
	}
	for n := uint64(1); n <= newest.Number; n++ {
		r, ok := m.current[RevisionPath(s, n)].value.(record.Revision)
		if !ok && (n < newest.Number || complete) {
			m.t.Fatalf("%s: revision %d is not in the history, the newest is %d", s, n, newest.Number)
		}
		if ok && (r.Number != n || n == newest.Number && !reflect.DeepEqual(r, *newest)) {
			m.t.Fatalf("%s: the history holds %+v as revision %d", s, r, n)
		}
	}
}

func addressOf(r *record.Revision) (netip.AddrPort, bool) {
	if r == nil || r.Deleted {
		return netip.AddrPort{}, false
	}
	return SpecAddress(r.Service, r.Spec)
}

// holder is one entry with the control duty.
type holder struct {
	m         *model
	teamsAt   int // entries of the log that its view of the services reflects
	addressAt int
	own       map[string]written // its own writes and the winners of its conflicts, until its view has them
	step      Step
	service   ident.ServiceName
}

// view returns the newest state that the holder knows of an object.
func (h *holder) view(path string, at int) written {
	known := h.own[path]
	for _, w := range h.m.log[:at] {
		if w.path == path && w.version > known.version {
			known = w
		}
	}
	return known
}

func (h *holder) state(s ident.ServiceName) State {
	st := State{Service: s, Now: h.m.now}
	if h.teamsAt > 0 {
		st.StoreVersion = h.m.log[h.teamsAt-1].version
	}
	var wanted netip.AddrPort
	if w := h.view(ServicePath(s), h.teamsAt); w.value != nil {
		spec := w.value.(SpecObject)
		spec.Version = w.version
		st.Spec = &spec
		wanted, _ = SpecAddress(s, spec.Text)
	}
	if w := h.view(AcceptedPath(s), h.teamsAt); w.value != nil {
		r := w.value.(record.Revision)
		st.Newest, st.NewestObjectVersion = &r, w.version
		st.NewestAddress, _ = addressOf(&r)
		// The history is not read: only the holder's own writes and conflicts tell what is there.
		if h.own[RevisionPath(s, r.Number)].value != nil {
			st.RecordedNumber = r.Number
		}
	}
	st.IDHolder, _ = h.own[modelIDPath(s)].value.(ident.ServiceName)
	if w := h.view(StatusPath(s), h.teamsAt); w.value != nil {
		st.Status = w.value.(Status)
		st.Status.Version = w.version
	}
	for _, a := range modelAddresses {
		w := h.view(AddressPath(a), h.addressAt)
		if w.value == nil {
			continue
		}
		object := w.value.(AddressObject)
		object.Version = w.version
		if object.IsHeldBy(s) {
			st.HeldAddresses = append(st.HeldAddresses, object)
		}
		if a == wanted {
			st.SpecAddress = &object
		}
	}
	return st
}

var modelAddresses = []netip.AddrPort{netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:1")}

func (h *holder) decide(s ident.ServiceName) {
	h.service = s
	h.step = NextStep(h.state(s))
}

// perform makes the write that was decided, perhaps long ago. With lost set, the holder doesn't learn the outcome.
func (h *holder) perform(lost bool) {
	step := h.step
	h.step = Step{}
	var path string
	var value any
	switch step.Kind {
	case NoStep, Wait:
		return
	case ClaimID:
		path, value = modelIDPath(h.service), h.service
	case ClaimAddress, ReleaseAddress:
		path, value = AddressPath(step.Address.Address), step.Address
		h.m.checkClaim(h.service, &step)
	case AcceptRevision:
		path, value = AcceptedPath(h.service), step.Revision
	case RecordRevision:
		path, value = RevisionPath(h.service, step.Revision.Number), step.Revision
		step.IfVersion = 0
	case WriteStatus:
		path, value = StatusPath(h.service), step.Status
	}
	before := h.m.newest(h.service)
	version, ok := h.m.put(path, step.IfVersion, value)
	if ok && step.Kind == AcceptRevision {
		h.m.checkRevision(before, &step.Revision)
	}
	h.m.checkAddresses()
	h.m.checkHistory(h.service, false)
	switch {
	case lost:
	case ok:
		h.own[path] = written{path, version, value}
	default:
		h.own[path] = h.m.current[path] // reads back the winner of the conflict
	}
}

func (m *model) checkRevision(before, r *record.Revision) {
	number, source := uint64(0), uint64(0)
	if before != nil {
		number, source = before.Number, before.SourceVersion
	}
	if r.Number != number+1 || r.SourceVersion <= source {
		m.t.Fatalf("revision %d from version %d follows %d from %d", r.Number, r.SourceVersion, number, source)
	}
	if holder := m.current[modelIDPath(r.Service)].value; !r.Deleted && holder != r.Service {
		m.t.Fatalf("%s is accepted, its id is held by %v", r.Service, holder)
	}
	old, had := addressOf(before)
	if now, _ := addressOf(r); had && now != old {
		m.superseded[old] = m.now
	}
}

// checkClaim fails if an address is about to be given to another service within the quarantine.
func (m *model) checkClaim(s ident.ServiceName, step *Step) {
	held, _ := m.current[AddressPath(step.Address.Address)].value.(AddressObject)
	version := m.current[AddressPath(step.Address.Address)].version
	since, used := m.superseded[step.Address.Address]
	if step.Kind != ClaimAddress || version != step.IfVersion || held.Service == s || !used {
		return
	}
	if m.now.Sub(since) < AddressQuarantine {
		m.t.Fatalf("%s takes %s %s after its last use", s, step.Address.Address, m.now.Sub(since))
	}
}

// checkAddresses fails if a service's newest revision uses an address that it does not hold. As an address has one holder, no two
// services use one.
func (m *model) checkAddresses() {
	for _, s := range modelServices {
		a, ok := addressOf(m.newest(s))
		if !ok {
			continue
		}
		held, _ := m.current[AddressPath(a)].value.(AddressObject)
		if !held.IsHeldBy(s) {
			m.t.Fatalf("%s uses %s, which is held by %+v", s, a, held)
		}
	}
}

func (m *model) writeSpec(s ident.ServiceName, choice int) {
	path := ServicePath(s)
	version := m.current[path].version
	if m.current[path].value == nil {
		version = 0
	}
	if choice == 0 {
		if version != 0 {
			m.put(path, version, nil)
		}
		return
	}
	text := "kind: nonsense"
	if choice <= len(modelAddresses) {
		text = fmt.Sprintf("kind: feed\naddress: %s\nqueue_limit: %d", modelAddresses[choice-1], m.version)
	}
	m.put(path, version, SpecObject{Text: []byte(text), Writer: "w"})
}

// TestHoldersInterleaved guards the revisions against duty holders that act on views of different age, pause between deciding and
// writing, and lose answers: every accepted revision gets into the history before the next, no second spec under one number, never
// backwards, an address is used by its holder only, and of two services with one id only one is accepted.
func TestHoldersInterleaved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		holders := []*holder{}
		for range 3 {
			holders = append(holders, &holder{m: m, own: map[string]written{}})
		}
		pick := func() *holder { return holders[rapid.IntRange(0, 2).Draw(t, "holder")] }
		service := func() ident.ServiceName { return rapid.SampledFrom(modelServices).Draw(t, "service") }
		t.Repeat(map[string]func(*rapid.T){
			"operator writes": func(t *rapid.T) { m.writeSpec(service(), rapid.IntRange(0, 3).Draw(t, "spec")) },
			"time passes": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 12).Draw(t, "seconds")) * time.Second)
			},
			"reads services": func(t *rapid.T) {
				h := pick()
				h.teamsAt = rapid.IntRange(h.teamsAt, len(m.log)).Draw(t, "services at")
			},
			"reads addresses": func(t *rapid.T) {
				h := pick()
				h.addressAt = rapid.IntRange(h.addressAt, len(m.log)).Draw(t, "addresses at")
			},
			"decides":  func(*rapid.T) { pick().decide(service()) },
			"performs": func(t *rapid.T) { pick().perform(rapid.Bool().Draw(t, "lost")) },
			"decides and performs": func(t *rapid.T) {
				h := pick()
				h.decide(service())
				h.perform(rapid.Bool().Draw(t, "lost"))
			},
			"catches up and works": func(*rapid.T) {
				h := pick()
				for range 3 {
					h.teamsAt, h.addressAt = len(m.log), len(m.log)
					h.decide(service())
					h.perform(false)
				}
			},
		})
		m.settle()
	})
}

// settle lets a fresh holder work until nothing is left to do, and fails if that takes too long or leaves a spec without an outcome.
func (m *model) settle() {
	h := &holder{m: m, own: map[string]written{}}
	for range 100 {
		idle := true
		for _, s := range modelServices {
			h.teamsAt, h.addressAt = len(m.log), len(m.log)
			h.decide(s)
			if h.step.Kind != NoStep {
				idle = false
			}
			h.perform(false)
		}
		m.now = m.now.Add(time.Second)
		if idle {
			m.checkSettled(h)
			return
		}
	}
	m.t.Fatalf("the duty does not come to rest")
}

func (m *model) checkSettled(h *holder) {
	for _, s := range modelServices {
		st := h.state(s)
		m.checkHistory(s, true)
		accepted := st.Newest != nil && st.Newest.SourceVersion >= version(st.Spec)
		switch {
		case st.Spec == nil && st.Newest != nil && !st.Newest.Deleted:
			m.t.Fatalf("%s: deletion has no revision", s)
		case st.Spec != nil && !accepted && st.Status.RefusedVersion != st.Spec.Version:
			m.t.Fatalf("%s: spec %d has no outcome: %+v", s, st.Spec.Version, st.Status)
		case st.Newest != nil && st.Status.Accepted != st.Newest.Number:
			m.t.Fatalf("%s: status says revision %d, not %d", s, st.Status.Accepted, st.Newest.Number)
		}
		for _, a := range st.HeldAddresses {
			if use, _ := addressOf(st.Newest); a.Address != use && a.SourceVersion < st.newestSource() {
				m.t.Fatalf("%s: holds %s without use", s, a.Address)
			}
		}
	}
}

func version(s *SpecObject) uint64 {
	if s == nil {
		return 0
	}
	return s.Version
}
