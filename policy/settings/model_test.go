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

// model is a store with the objects of three services, and controllers with views of different age.
// Every write checks the invariants that hold however stale the views are.
type model struct {
	t          *rapid.T
	now        time.Time
	version    uint64
	log        []change
	current    map[string]change
	superseded map[netip.AddrPort]time.Time // when a revision without the address replaced the last one with it
}

// change is one change of an object. Its value is a SpecObject, Revision, AddressObject or Status;
// nil for a deletion.
type change struct {
	path    string
	version uint64
	value   any
}

// The third service has the same id as the first, see modelIDPath.
var modelServices = []ident.ServiceName{{Team: "a", Name: "one"}, {Team: "b", Name: "two"}, {Team: "c", Name: "three"}}

func modelIDPath(s ident.ServiceName) string {
	if s == modelServices[2] {
		s = modelServices[0]
	}
	return IDPath(s.ID())
}

func newModel(t *rapid.T) *model {
	return &model{t: t, now: time.Unix(1_000_000, 0), current: map[string]change{},
		superseded: map[netip.AddrPort]time.Time{}}
}

// put writes the object if its version is ifVersion, 0 for an absent object.
func (m *model) put(path string, ifVersion uint64, value any) (uint64, bool) {
	existing := m.current[path]
	currentVersion := existing.version
	if existing.value == nil {
		currentVersion = 0
	}
	if currentVersion != ifVersion {
		return 0, false
	}
	m.version++
	w := change{path, m.version, value}
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

// checkHistory fails if an accepted revision is absent from the history or differs from the
// accepted one. The newest revision may be absent unless complete is set.
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

// controller is the controller at one entry.
type controller struct {
	m             *model
	servicesSeen  int // length of the log that its view of the services reflects
	addressesSeen int
	ownWrites     map[string]change // its own writes, and objects read back after a conflict
	step          Step
	service       ident.ServiceName
}

// latest returns the newest state of an object in the controller's view.
func (c *controller) latest(path string, seen int) change {
	newest := c.ownWrites[path]
	for _, w := range c.m.log[:seen] {
		if w.path == path && w.version > newest.version {
			newest = w
		}
	}
	return newest
}

func (c *controller) state(s ident.ServiceName) State {
	st := State{Service: s, Now: c.m.now}
	if c.servicesSeen > 0 {
		st.StoreVersion = c.m.log[c.servicesSeen-1].version
	}
	var wanted netip.AddrPort
	if w := c.latest(ServicePath(s), c.servicesSeen); w.value != nil {
		spec := w.value.(SpecObject)
		spec.Version = w.version
		st.Spec = &spec
		wanted, _ = SpecAddress(s, spec.Text)
	}
	if w := c.latest(AcceptedPath(s), c.servicesSeen); w.value != nil {
		r := w.value.(record.Revision)
		st.Newest, st.NewestObjectVersion = &r, w.version
		st.NewestAddress, _ = addressOf(&r)
		// The history is not read: its state comes from the controller's own writes and conflicts.
		if c.ownWrites[RevisionPath(s, r.Number)].value != nil {
			st.RecordedNumber = r.Number
		}
	}
	st.IDHolder, _ = c.ownWrites[modelIDPath(s)].value.(ident.ServiceName)
	if w := c.latest(StatusPath(s), c.servicesSeen); w.value != nil {
		st.Status = w.value.(Status)
		st.Status.Version = w.version
	}
	for _, a := range modelAddresses {
		w := c.latest(AddressPath(a), c.addressesSeen)
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

func (c *controller) decide(s ident.ServiceName) {
	c.service = s
	c.step = NextStep(c.state(s))
}

// perform makes the write of the last decision, which may be stale by now. With lost set, the
// controller does not receive the outcome.
func (c *controller) perform(lost bool) {
	step := c.step
	c.step = Step{}
	var path string
	var value any
	switch step.Kind {
	case NoStep, Wait:
		return
	case ClaimID:
		path, value = modelIDPath(c.service), c.service
	case ClaimAddress, ReleaseAddress:
		path, value = AddressPath(step.Address.Address), step.Address
		c.m.checkClaim(c.service, &step)
	case AcceptRevision:
		path, value = AcceptedPath(c.service), step.Revision
	case RecordRevision:
		path, value = RevisionPath(c.service, step.Revision.Number), step.Revision
		step.IfVersion = 0
	case WriteStatus:
		path, value = StatusPath(c.service), step.Status
	}
	before := c.m.newest(c.service)
	version, ok := c.m.put(path, step.IfVersion, value)
	if ok && step.Kind == AcceptRevision {
		c.m.checkRevision(before, &step.Revision)
	}
	c.m.checkAddresses()
	c.m.checkHistory(c.service, false)
	switch {
	case lost:
	case ok:
		c.ownWrites[path] = change{path, version, value}
	default:
		c.ownWrites[path] = c.m.current[path] // reads back the object that caused the conflict
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

// checkClaim fails if another service claims an address within the quarantine.
func (m *model) checkClaim(s ident.ServiceName, step *Step) {
	claim, _ := m.current[AddressPath(step.Address.Address)].value.(AddressObject)
	version := m.current[AddressPath(step.Address.Address)].version
	supersededAt, wasUsed := m.superseded[step.Address.Address]
	if step.Kind != ClaimAddress || version != step.IfVersion || claim.Service == s || !wasUsed {
		return
	}
	if m.now.Sub(supersededAt) < AddressQuarantine {
		m.t.Fatalf("%s claims %s %s after its last use", s, step.Address.Address, m.now.Sub(supersededAt))
	}
}

// checkAddresses fails if the newest revision of a service uses an address that the service does
// not hold. As an address has one holder, two services never use the same one.
func (m *model) checkAddresses() {
	for _, s := range modelServices {
		a, ok := addressOf(m.newest(s))
		if !ok {
			continue
		}
		claim, _ := m.current[AddressPath(a)].value.(AddressObject)
		if !claim.IsHeldBy(s) {
			m.t.Fatalf("%s uses %s, which is held by %+v", s, a, claim)
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

// TestInterleavedControllers guards against violated invariants when controllers act on views of
// different age, pause between decision and write, and lose responses: every accepted revision
// reaches the history before the next, no number gets a second spec, revisions never go backwards,
// only the holder of an address uses it, and of two services with one id only one is accepted.
func TestInterleavedControllers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		controllers := []*controller{}
		for range 3 {
			controllers = append(controllers, &controller{m: m, ownWrites: map[string]change{}})
		}
		pick := func() *controller { return controllers[rapid.IntRange(0, 2).Draw(t, "holder")] }
		service := func() ident.ServiceName { return rapid.SampledFrom(modelServices).Draw(t, "service") }
		t.Repeat(map[string]func(*rapid.T){
			"operator writes": func(t *rapid.T) { m.writeSpec(service(), rapid.IntRange(0, 3).Draw(t, "spec")) },
			"time passes": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 12).Draw(t, "seconds")) * time.Second)
			},
			"reads services": func(t *rapid.T) {
				c := pick()
				c.servicesSeen = rapid.IntRange(c.servicesSeen, len(m.log)).Draw(t, "services at")
			},
			"reads addresses": func(t *rapid.T) {
				c := pick()
				c.addressesSeen = rapid.IntRange(c.addressesSeen, len(m.log)).Draw(t, "addresses at")
			},
			"decides":  func(*rapid.T) { pick().decide(service()) },
			"performs": func(t *rapid.T) { pick().perform(rapid.Bool().Draw(t, "lost")) },
			"decides and performs": func(t *rapid.T) {
				c := pick()
				c.decide(service())
				c.perform(rapid.Bool().Draw(t, "lost"))
			},
			"catches up and works": func(*rapid.T) {
				c := pick()
				for range 3 {
					c.servicesSeen, c.addressesSeen = len(m.log), len(m.log)
					c.decide(service())
					c.perform(false)
				}
			},
		})
		m.settle()
	})
}

// settle lets a new controller work until it has no step left. It fails if that takes more than 100
// rounds or if a spec has no outcome.
func (m *model) settle() {
	c := &controller{m: m, ownWrites: map[string]change{}}
	for range 100 {
		idle := true
		for _, s := range modelServices {
			c.servicesSeen, c.addressesSeen = len(m.log), len(m.log)
			c.decide(s)
			if c.step.Kind != NoStep {
				idle = false
			}
			c.perform(false)
		}
		m.now = m.now.Add(time.Second)
		if idle {
			m.checkSettled(c)
			return
		}
	}
	m.t.Fatalf("the controller still has steps after 100 rounds")
}

func (m *model) checkSettled(c *controller) {
	for _, s := range modelServices {
		st := c.state(s)
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
			if use, _ := addressOf(st.Newest); a.Address != use && a.SourceVersion < st.newestSourceVersion() {
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
