package platform

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"lacewinglever.dev/node/objectapi"
	"lacewinglever.dev/node/objects"
	"lacewinglever.dev/policy/record"
	"lacewinglever.dev/policy/settings"
)

func (c *cluster) status() settings.Status {
	o := c.server.Store().Get(settings.StatusPath(c.service), 0)
	if o.Version == 0 {
		return settings.Status{}
	}
	s, err := objects.ParseStatus(o)
	assert.NilError(c.t, err)
	return s
}

func (c *cluster) eventually(what string, condition func() bool) {
	c.t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return
		}
	}
	c.t.Fatalf("%s: not within 20 s; status %+v", what, c.status())
}

// checkRevisions fails the test if the accepted revisions have gaps or go backwards, or if a node
// applied a spec that differs from the one in the history.
func (c *cluster) checkRevisions() {
	c.t.Helper()
	listing := c.server.Store().List(settings.RevisionsPrefix(c.service), "", 0, 0)
	byNumber := map[uint64]record.Revision{}
	for _, o := range listing.Objects {
		r, err := objects.ParseRevision(c.service, o)
		assert.NilError(c.t, err)
		byNumber[r.Number] = *r
	}
	var ordered []record.Revision
	for n := uint64(1); n <= uint64(len(byNumber)); n++ {
		ordered = append(ordered, byNumber[n])
	}
	assert.NilError(c.t, settings.CheckHistory(ordered))
	for _, m := range c.network.meshes {
		number := uint64(0)
		for _, r := range m.history(c.service.ID()) {
			assert.Assert(c.t, r.Number > number, "%s went back from %d to %d", m.self.Name, number, r.Number)
			assert.Equal(c.t, string(r.Spec), string(byNumber[r.Number].Spec), "%s, revision %d", m.self.Name, r.Number)
			number = r.Number
		}
	}
}

const feedSpec = "kind: feed\naddress: 127.250.0.1:7001\nidle_timeout: %ds\n"

func (c *cluster) apply(seconds int) {
	c.t.Helper()
	c.writeFile("spec.yaml", fmt.Sprintf(feedSpec, seconds))
	out, code := c.run("--as ana apply maturacao/room-control @spec.yaml")
	assert.Equal(c.t, code, 0, out)
}

// TestMissingNode guards against a wrong count of nodes: a node that has not applied a revision
// must be listed as missing, and must be counted once it has applied it.
func TestMissingNode(t *testing.T) {
	c := newCluster(t, "dc1-a", "dc1-b", "dc2-a")
	c.network.setIsolated("agent-1", true)
	c.apply(30)
	c.eventually("3 of 4", func() bool { return c.status().InForce == 3 && c.status().Nodes == 4 })
	assert.DeepEqual(t, c.status().Missing, []string{"agent-1"})
	c.network.setIsolated("agent-1", false)
	c.eventually("4 of 4", func() bool { return c.status().InForce == 4 && c.status().Elapsed > 0 })
	c.checkRevisions()
}

// TestHistoryRepaired guards against a revision that is accepted but missing in the history,
// because the entry that accepted it ended between the two writes. A controller must add it to the
// history, and the operator's commands must show it before that.
func TestHistoryRepaired(t *testing.T) {
	c := newCluster(t)
	accepted := `{"number":1,"spec":"kind: feed\naddress: 127.250.0.1:7001\n","writer":"ana","accepted_by":"gone","source_version":1,"write_id":"x"}`
	for path, value := range map[string]string{
		settings.AcceptedPath(c.service):              accepted,
		settings.AddressesPrefix + "127.250.0.1:7001": `{"service":"maturacao/room-control"}`,
	} {
		_, ok := c.server.Store().Apply(Write{Path: path, Unconditional: true, Value: []byte(value), Writer: "gone"})
		assert.Assert(t, ok)
	}
	out, code := c.run("history --check maturacao/room-control")
	assert.Equal(t, code, 0, out)
	out, code = c.run("get --revision 1 maturacao/room-control")
	assert.Assert(t, code == 0 && strings.Contains(out, "kind: feed"), out)
	c.start("dc1-a")
	path := settings.RevisionPath(c.service, 1)
	c.eventually("recorded", func() bool { return c.server.Store().Get(path, 0).Version != 0 })
	assert.Equal(t, string(c.server.Store().Get(path, 0).Value),
		strings.Replace(accepted, `"accepted_by":"gone",`, `"accepted_by":"gone","accepted_unix_ms":0,`, 1))
}

// TestLateNode guards against a reported time until in force of up to twice the real one when a
// node applies a revision late, which happens if the interval between queries always doubles.
func TestLateNode(t *testing.T) {
	t.Parallel() // runs for the node's delay of 4 s
	c := newCluster(t, "dc1-a")
	c.network.setIsolated("agent-1", true)
	begin := time.Now()
	c.apply(30)
	c.eventually("1 of 2", func() bool { return c.status().InForce == 1 && c.status().Nodes == 2 })
	// With intervals that double, the next query would be sent more than 6 s after the begin.
	time.Sleep(time.Until(begin.Add(4 * time.Second)))
	c.network.setIsolated("agent-1", false)
	applied := time.Since(begin)
	c.eventually("2 of 2", func() bool { return c.status().Elapsed > 0 })
	assert.Assert(t, c.status().Elapsed < applied+time.Second, "%s, applied after %s", c.status().Elapsed, applied)
}

// TestFaults guards against lost or reordered revisions when the store loses responses, limits
// rates, returns stale state and is unavailable while operators write. The last spec must be in
// force in the end, and the revisions must never have gaps or go backwards.
func TestFaults(t *testing.T) {
	c := newCluster(t, "dc1-a", "dc1-b", "dc2-a", "dc2-b")
	last := ""
	for i := range 24 {
		c.server.SetFaults(Faults{
			Outage:       i%8 == 7,
			DelayMs:      rand.IntN(20),
			ResponseLoss: 0.4,
			StaleReadsMs: rand.IntN(2) * 100,
			StaleWatchMs: rand.IntN(2) * 150,
		})
		last = fmt.Sprintf(feedSpec, 30+i)
		// Bypasses the API, because the operator's client isn't under test here.
		current := c.server.Store().Get(settings.ServicePath(c.service), 0)
		value := fmt.Sprintf(`{"spec":%q,"writer":"ana"}`, last)
		_, ok := c.server.Store().Apply(Write{
			Path: current.Path, IfVersion: current.Version, Value: []byte(value), Writer: "ana",
		})
		if current.Version == 0 {
			_, ok = c.server.Store().Apply(Write{Path: settings.ServicePath(c.service), Value: []byte(value), Writer: "ana"})
		}
		assert.Assert(t, ok)
		time.Sleep(time.Duration(rand.IntN(150)) * time.Millisecond)
	}
	c.server.SetFaults(Faults{})
	version := c.server.Store().Get(settings.ServicePath(c.service), 0).Version
	c.eventually("last spec in force", func() bool {
		return c.status().AcceptedVersion == version && c.status().Elapsed > 0
	})
	for _, m := range c.network.meshes {
		r, _ := m.Revision(c.service.ID())
		assert.Equal(t, string(r.Spec), last, m.self.Name)
	}
	c.checkRevisions()
}

// TestStoreDown guards against settings that go out of force during an outage of the store, and
// against a write that fails instead of waiting for the end of the outage.
func TestStoreDown(t *testing.T) {
	c := newCluster(t, "dc1-a", "dc1-b")
	c.apply(30)
	c.eventually("in force", func() bool { return c.status().Elapsed > 0 })
	c.server.SetFaults(Faults{Outage: true})
	time.AfterFunc(300*time.Millisecond, func() { c.server.SetFaults(Faults{LoseNextResponses: 1}) })
	c.apply(40)
	c.eventually("second revision", func() bool { return c.status().Accepted == 2 && c.status().Elapsed > 0 })
	c.checkRevisions()
}

// TestAddressMove guards against a released address that another service gets before the quarantine
// of 10 s has ended.
func TestAddressMove(t *testing.T) {
	t.Parallel() // runs for the whole quarantine
	c := newCluster(t, "dc1-a", "dc1-b")
	c.apply(30)
	c.eventually("in force", func() bool { return c.status().Elapsed > 0 })
	c.writeFile("moved.yaml", "kind: feed\naddress: 127.250.0.2:7001\n")
	_, code := c.run("--as ana apply maturacao/room-control @moved.yaml")
	assert.Equal(t, code, 0)
	path := settings.AddressesPrefix + "127.250.0.1:7001"
	c.eventually("release", func() bool {
		return strings.Contains(string(c.server.Store().Get(path, 0).Value), "released")
	})
	released := time.Now()
	_, code = c.run("--as ben apply bluestem/slot-desk @spec.yaml")
	assert.Equal(t, code, 0)
	out, code := c.run("status --wait bluestem/slot-desk")
	assert.Equal(t, code, 0, out)
	assert.Assert(t, time.Since(released) > settings.AddressQuarantine-time.Second, "taken after %s", time.Since(released))
}

// TestClient guards against wrong outcomes of conditional writes: a lost response must be resolved
// to the actual outcome, and a conflict must name the writer and version of the current object.
func TestClient(t *testing.T) {
	c := newCluster(t)
	client, err := objectapi.New(objectapi.Options{URL: c.url})
	assert.NilError(t, err)
	ctx := context.Background()
	put := func(writer string, condition objectapi.Condition) (uint64, error) {
		return client.Put(ctx, objectapi.Write{Path: "/x", If: condition, Value: writer, Writer: writer})
	}
	c.server.SetFaults(Faults{LoseNextResponses: 1})
	version, err := put("ana", objectapi.Absent())
	assert.NilError(t, err)
	assert.Equal(t, version, uint64(1))
	_, err = put("ben", objectapi.Absent())
	conflict := (*objectapi.ConflictError)(nil)
	assert.Assert(t, errors.As(err, &conflict))
	assert.Equal(t, conflict.Writer, "ana")
	assert.Equal(t, conflict.Version, uint64(1))
	c.server.SetFaults(Faults{LoseNextResponses: 1})
	version, err = client.Delete(ctx, objectapi.Write{Path: "/x", If: objectapi.AtVersion(1), Writer: "ana"})
	assert.NilError(t, err)
	assert.Equal(t, version, uint64(2))
	_, err = client.Put(ctx, objectapi.Write{Path: "/x", Value: strings.Repeat("x", objectapi.MaxValueSize)})
	assert.ErrorIs(t, err, objectapi.ErrTooLarge)
	c.server.SetFaults(Faults{Outage: true})
	short, cancel := context.WithTimeout(ctx, 200*time.Millisecond)
	defer cancel()
	_, err = client.Get(short, "/x")
	assert.ErrorIs(t, err, objectapi.ErrUnavailable)
}
