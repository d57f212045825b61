package settings

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/yamlfile"
)

var service = ident.ServiceName{Team: "team", Name: "name"}

const full = `kind: request                 # feed or request
address: 10.0.0.5:7001
idle_timeout: 61s
hash_slots: 2048
warm_up: 11s
data_centres: [dc1, dc2]
weights: {dc1: 0.5}
drain: [agent-3]
queue_limit: 65
deadline: 12s
non_idempotent:
  - {method: POST, path: /setpoint}
`

func TestParse(t *testing.T) {
	spec, err := Parse("f", service, []byte(full))
	assert.NilError(t, err)
	assert.Equal(t, spec.Kind, KindRequest)
	assert.Equal(t, spec.Address.String(), "10.0.0.5:7001")
	assert.Equal(t, spec.IdleTimeout, 61*time.Second)
	assert.Equal(t, spec.Weight("dc1"), 0.5)
	assert.Equal(t, spec.Weight("dc3"), 0.0)
	assert.Assert(t, spec.IsDraining("agent-3"))
	assert.DeepEqual(t, spec.NonIdempotent, []Rule{{Method: "POST", Path: "/setpoint"}})
	least, err := Parse("f", service, []byte("# "+strings.Repeat("-", 70)+"\nkind: feed\naddress: '[::ffff:10.0.0.5]:7001'"))
	assert.NilError(t, err)
	assert.Equal(t, least.Address.String(), "10.0.0.5:7001")
	assert.Equal(t, least.HashSlots, DefaultHashSlots)
	assert.Equal(t, least.Deadline, DefaultDeadline)
}

// TestFaults guards that every fault is reported with its path and line. The line of a list is that of its first item.
func TestFaults(t *testing.T) {
	base := "kind: feed\naddress: 10.0.0.5:7001\n"
	cases := []struct {
		text string
		want []string // "line path", or a part of the message
	}{
		{"kind: feed\naddress: 10.0.0.5\nhash_slots: 3\n", []string{"2 $.address", "3 $.hash_slots"}},
		{"kind: tcp\n", []string{"1 $.kind", "0 $.address"}},
		{"kind: feed\naddress: 0.0.0.0:1\n", []string{"2 $.address"}},
		{base + "idle_timeout: 0s\nwarm_up: -1s\ndeadline: 1h\n", []string{"3 $.idle_timeout", "4 $.warm_up", "5 $.deadline"}},
		{base + "queue_limit: -1\n", []string{"3 $.queue_limit"}},
		{base + "data_centres: [a]\nweights:\n  a: .nan\n  b: 1\n", []string{"5 $.weights.a", "6 $.weights.b"}},
		{base + "weights: {dc.1: -1}\n", []string{"3 $.weights.'dc.1'"}},
		{base + "drain:\n  - x\n  - x\n  - 'a b'\n", []string{"5 $.drain[1]", "6 $.drain[2]"}},
		{base + "non_idempotent:\n  - {}\n", []string{"4 $.non_idempotent", "4 $.non_idempotent[0]"}},
		{"kind: request\naddress: 10.0.0.5:7001\nnon_idempotent:\n  - {method: post}\n  - {path: x}\n",
			[]string{"4 $.non_idempotent[0].method", "5 $.non_idempotent[1].path"}},
		{base + "port: x\n", []string{"port"}},
		{base + "hash_slots: many\n", []string{"[3:13]"}},
		{base + "---\n" + base, []string{"f:3: $: a second document"}},
		{strings.Repeat("[", 1000), []string{"nested deeper"}},
		{base + strings.Repeat("- ", 1000), []string{"f:3: $: nested deeper"}},
		{"#" + strings.Repeat("x", MaxSpecSize), []string{"at most"}},
	}
	for _, c := range cases {
		_, err := Parse("f", service, []byte(c.text))
		assert.Assert(t, err != nil, c.text)
		var faults *yamlfile.Faults
		if !errors.As(err, &faults) {
			assert.ErrorContains(t, err, c.want[0])
			continue
		}
		var got []string
		for _, f := range faults.List {
			got = append(got, fmt.Sprintf("%d %s", f.Line, f.Path))
		}
		assert.DeepEqual(t, got, c.want)
	}
}

// TestPaths guards that a name cannot lead out of its team's subtree.
func TestPaths(t *testing.T) {
	for _, path := range []string{ServicePath(service), StatusPath(service), AcceptedPath(service)} {
		p, err := ParsePath(path)
		assert.NilError(t, err)
		assert.Equal(t, p.Service, service)
	}
	for _, path := range []string{
		"/teams/team", "/teams/../services/x", "/teams/team/services/A", "/teams/team/services/x/y", "/teams/team/other/x",
		"/teams/team/accepted/x/1", "/history/team/x/1", "/system/addresses/x",
	} {
		_, err := ParsePath(path)
		assert.Assert(t, err != nil, path)
	}
	s, number, err := ParseRevisionPath(RevisionPath(service, 12))
	assert.NilError(t, err)
	assert.Equal(t, s, service)
	assert.Equal(t, number, uint64(12))
	for _, path := range []string{"/teams/team/x/1", "/history/team/x", "/history/team/x/0", "/history/team/x/01", "/history/../x/1", "/history/team/x/1/1"} {
		_, _, err := ParseRevisionPath(path)
		assert.Assert(t, err != nil, path)
	}
	for _, name := range []string{"", "-a", "a-", "A", "a.b", "a_b", strings.Repeat("a", 64)} {
		assert.Assert(t, CheckService(ident.ServiceName{Team: name, Name: "x"}) != nil, name)
		assert.Assert(t, CheckService(ident.ServiceName{Team: "x", Name: name}) != nil, name)
	}
	assert.NilError(t, CheckWriter("team/ana", service))
	assert.NilError(t, CheckWriter("ana", service))
	assert.ErrorContains(t, CheckWriter("other/ana", service), "other/ana")
}

// FuzzParse guards against texts that make the parser panic, or that are accepted with values out of range.
func FuzzParse(f *testing.F) {
	f.Add([]byte(full))
	f.Add([]byte("kind: feed\naddress: 10.0.0.5:7001\nweights: &a {x: 1}\ndrain: [*a]"))
	f.Add([]byte("? [a, b]\n: {c: !!binary x}\n---\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		spec, err := Parse("f", service, text)
		if err != nil {
			return
		}
		if spec.HashSlots < 1 || spec.HashSlots > MaxHashSlots || !spec.Address.IsValid() || spec.IdleTimeout <= 0 || spec.Deadline <= 0 {
			t.Fatalf("accepted %+v", spec)
		}
	})
}
