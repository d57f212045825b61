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

func (c *cluster) eventually(what string, holds func() bool) {
	c.t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if holds() {
			return
		}
	}
	c.t.Fatalf("%s: not within 20 s; status %+v", what, c.status())
}

// checkRevisions fails if the accepted revisions have gaps or go backwards, or if a node applied something else than they hold.
func (c *cluster) checkRevisions() {
	c.t.Helper()
	listing := c.server.Store().List(settings.RevisionsPrefix(c.service), 0)
	byNumber := map[uint64]record.Revision{}
	for _, o := range listing.Objects {
		p, err := settings.ParsePath(o.Path)
		assert.NilError(c.t, err)
		r, err := objects.ParseRevision(c.service, p.Number, o)
		assert.NilError(c.t, err)
		byNumber[p.Number] = *r
	}
	var ordered []record.Revision
	for n := uint64(1); n <= uint64(len(byNumber)); n++ {
		ordered = append(ordered, byNumber[n])
	}
	assert.NilError(c.t, settings.CheckHistory(ordered))
	for _, m := range c.fabric.meshes {
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
	c.file("spec.yaml", fmt.Sprintf(feedSpec, seconds))
	out, code := c.run("--as ana apply maturacao/room-control @spec.yaml")
	assert.Equal(c.t, code, 0, out)
}

// TestMissingNode guards the count: a node that has not applied a revision is named, and is counted once it has.
func TestMissingNode(t *testing.T) {
	c := newCluster(t, "dc1-a", "dc1-b", "dc2-a")
	c.fabric.cut("agent-1", true)
	c.apply(30)
	c.eventually("3 of 4", func() bool { return c.status().InForce == 3 && c.status().Nodes == 4 })
	assert.DeepEqual(t, c.status().Missing, []string{"agent-1"})
	c.fabric.cut("agent-1", false)
	c.eventually("4 of 4", func() bool { return c.status().InForce == 4 && c.status().Elapsed > 0 })
	c.checkRevisions()
}

// TestLateNode guards the time reported for a node that applies a revision late: it must not be twice the real one.
func TestLateNode(t *testing.T) {
	c := newCluster(t, "dc1-a")
	c.fabric.cut("agent-1", true)
	c.apply(30)
	c.eventually("1 of 2", func() bool { return c.status().InForce == 1 && c.status().Nodes == 2 })
	time.Sleep(1700 * time.Millisecond)
	c.fabric.cut("agent-1", false)
	c.eventually("2 of 2", func() bool { return c.status().Elapsed > 0 })
	assert.Assert(t, c.status().Elapsed < 2700*time.Millisecond, "%s", c.status().Elapsed)
}

// TestFaults guards the revisions against a store that loses answers, limits, lags and goes down while operators write: the last spec
// is in force in the end, and the revisions never have gaps or go backwards.
func TestFaults(t *testing.T) {
	c := newCluster(t, "dc1-a", "dc1-b", "dc2-a", "dc2-b")
	last := ""
	for i := range 24 {
		c.server.SetFaults(Faults{
			Outage:       i%8 == 7,
			DelayMs:      rand.IntN(20),
			LoseAnswers:  0.4,
			StaleReadsMs: rand.IntN(2) * 100,
			StaleWatchMs: rand.IntN(2) * 150,
		})
		last = fmt.Sprintf(feedSpec, 30+i)
		// Written past the API, as the operator's own client is not under test here.
		current := c.server.Store().Get(settings.ServicePath(c.service), 0)
		value := fmt.Sprintf(`{"spec":%q,"writer":"ana"}`, last)
		_, ok := c.server.Store().Apply(Write{Path: current.Path, IfVersion: current.Version, Value: []byte(value), Writer: "ana"})
		if current.Version == 0 {
			_, ok = c.server.Store().Apply(Write{Path: settings.ServicePath(c.service), Value: []byte(value), Writer: "ana"})
		}
		assert.Assert(t, ok)
		time.Sleep(time.Duration(rand.IntN(150)) * time.Millisecond)
	}
	c.server.SetFaults(Faults{})
	version := c.server.Store().Get(settings.ServicePath(c.service), 0).Version
	c.eventually("last spec in force", func() bool { return c.status().AcceptedVersion == version && c.status().Elapsed > 0 })
	for _, m := range c.fabric.meshes {
		r, _ := m.Revision(c.service.ID())
		assert.Equal(t, string(r.Spec), last, m.self.Name)
	}
	c.checkRevisions()
}

// TestStoreDown guards that settings in force stay so during an outage, and that a write waits for its end.
func TestStoreDown(t *testing.T) {
	c := newCluster(t, "dc1-a", "dc1-b")
	c.apply(30)
	c.eventually("in force", func() bool { return c.status().Elapsed > 0 })
	c.server.SetFaults(Faults{Outage: true})
	time.AfterFunc(300*time.Millisecond, func() { c.server.SetFaults(Faults{LoseNext: 1}) })
	c.apply(40)
	c.eventually("second revision", func() bool { return c.status().Accepted == 2 && c.status().Elapsed > 0 })
	c.checkRevisions()
}

// TestAddressMove guards the quarantine: another service gets a released address only after 10 s.
func TestAddressMove(t *testing.T) {
	t.Parallel() // takes as long as the quarantine
	c := newCluster(t, "dc1-a", "dc1-b")
	c.apply(30)
	c.eventually("in force", func() bool { return c.status().Elapsed > 0 })
	c.file("moved.yaml", "kind: feed\naddress: 127.250.0.2:7001\n")
	_, code := c.run("--as ana apply maturacao/room-control @moved.yaml")
	assert.Equal(t, code, 0)
	path := settings.AddressesPrefix + "127.250.0.1:7001"
	c.eventually("release", func() bool { return strings.Contains(string(c.server.Store().Get(path, 0).Value), "released") })
	released := time.Now()
	_, code = c.run("--as ben apply bluestem/slot-desk @spec.yaml")
	assert.Equal(t, code, 0)
	out, code := c.run("status --wait bluestem/slot-desk")
	assert.Equal(t, code, 0, out)
	assert.Assert(t, time.Since(released) > settings.AddressQuarantine-time.Second, "taken after %s", time.Since(released))
}

// TestClient guards the outcomes of conditional writes: a lost answer is settled, a conflict names the winner.
func TestClient(t *testing.T) {
	c := newCluster(t)
	client, err := objectapi.New(objectapi.Options{URL: c.url})
	assert.NilError(t, err)
	ctx := context.Background()
	put := func(writer string, condition objectapi.Condition) (uint64, error) {
		return client.Put(ctx, objectapi.Write{Path: "/x", If: condition, Value: writer, Writer: writer})
	}
	c.server.SetFaults(Faults{LoseNext: 1})
	version, err := put("ana", objectapi.Absent())
	assert.NilError(t, err)
	assert.Equal(t, version, uint64(1))
	_, err = put("ben", objectapi.Absent())
	conflict := (*objectapi.ConflictError)(nil)
	assert.Assert(t, errors.As(err, &conflict))
	assert.Equal(t, conflict.Writer, "ana")
	assert.Equal(t, conflict.Version, uint64(1))
	c.server.SetFaults(Faults{LoseNext: 1})
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
