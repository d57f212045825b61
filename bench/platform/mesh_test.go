package platform

import (
	"sync"
	"time"

	lacewingv1 "lacewinglever.dev/node/gen/lacewing/v1"
	"lacewinglever.dev/node/peer"
	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/record"
)

// fakeNetwork connects fake meshes: a record published at one is immediately applied at all others,
// except at isolated ones.
type fakeNetwork struct {
	mu     sync.Mutex
	meshes map[ident.NodeID]*fakeMesh
}

type fakeMesh struct {
	peer.Mesh // nil; methods that package controller doesn't use are not implemented
	network   *fakeNetwork
	self      record.Node
	isolated  bool
	applied   map[ident.ServiceID][]record.Revision // in the order of application
	handlers  []func(*lacewingv1.Control)
}

func newFakeNetwork() *fakeNetwork { return &fakeNetwork{meshes: map[ident.NodeID]*fakeMesh{}} }

func (f *fakeNetwork) add(n record.Node) *fakeMesh {
	n.ID = ident.NewNodeID(n.Name)
	n.State = record.Ready
	m := &fakeMesh{network: f, self: n, applied: map[ident.ServiceID][]record.Revision{}}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.meshes[n.ID] = m
	return m
}

func (f *fakeNetwork) setIsolated(name string, isolated bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.meshes[ident.NewNodeID(name)]
	m.isolated = isolated
	for _, other := range f.meshes {
		for _, list := range other.applied {
			if !isolated {
				m.apply(&list[len(list)-1])
			}
		}
	}
}

func (m *fakeMesh) Self() record.Node { return m.self }

func (m *fakeMesh) nodes(want func(*record.Node) bool) []record.Node {
	m.network.mu.Lock()
	defer m.network.mu.Unlock()
	var out []record.Node
	for _, other := range m.network.meshes {
		if want(&other.self) {
			out = append(out, other.self)
		}
	}
	return out
}

func (m *fakeMesh) Entries() []record.Node {
	return m.nodes(func(n *record.Node) bool { return n.Entry })
}

func (m *fakeMesh) Pool(id ident.ServiceID) []record.Node {
	return m.nodes(func(n *record.Node) bool { return !n.Entry && n.Service == id })
}

func (m *fakeMesh) Revision(id ident.ServiceID) (record.Revision, bool) {
	m.network.mu.Lock()
	defer m.network.mu.Unlock()
	list := m.applied[id]
	if len(list) == 0 {
		return record.Revision{}, false
	}
	return list[len(list)-1], true
}

func (m *fakeMesh) history(id ident.ServiceID) []record.Revision {
	m.network.mu.Lock()
	defer m.network.mu.Unlock()
	return append([]record.Revision(nil), m.applied[id]...)
}

func (m *fakeMesh) Publish(r record.Record) bool {
	m.network.mu.Lock()
	defer m.network.mu.Unlock()
	newer := m.apply(r.Service)
	for _, other := range m.network.meshes {
		if !other.isolated && !m.isolated {
			other.apply(r.Service)
		}
	}
	return newer
}

func (m *fakeMesh) apply(r *record.Revision) bool {
	id := r.Service.ID()
	list := m.applied[id]
	if len(list) > 0 && list[len(list)-1].Number >= r.Number {
		return false
	}
	m.applied[id] = append(list, *r)
	return true
}

func (m *fakeMesh) HandleControl(handle func(*lacewingv1.Control)) {
	m.network.mu.Lock()
	defer m.network.mu.Unlock()
	m.handlers = append(m.handlers, handle)
}

func (m *fakeMesh) SendControl(to ident.NodeID, c *lacewingv1.Control) error {
	m.network.mu.Lock()
	other := m.network.meshes[to]
	lost := other == nil || other.isolated || m.isolated
	var handlers []func(*lacewingv1.Control)
	if !lost {
		handlers = append(handlers, other.handlers...)
	}
	m.network.mu.Unlock()
	c.Sender = uint64(m.self.ID)
	time.AfterFunc(time.Millisecond, func() {
		for _, handle := range handlers {
			handle(c)
		}
	})
	return nil
}

func (m *fakeMesh) handleAppliedQueries() {
	peer.HandleAppliedQueries(m, func(id ident.ServiceID) uint64 {
		r, _ := m.Revision(id)
		return r.Number
	})
}
