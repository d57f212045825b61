package configcheck

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/routes"
	"lacewinglever.dev/policy/settings"
)

// valid returns a configuration without findings.
func valid() *Configuration {
	c := &Configuration{Version: 7, IdleTimeout: 15 * time.Second, VersionPath: "version"}
	for i, address := range []string{"198.18.0.10:80", "198.18.0.9:80"} {
		path := fmt.Sprintf("r%d", i)
		c.Routes = append(c.Routes, Route{
			Address: netip.MustParseAddrPort(address),
			Route: routes.Route{Name: path, Objective: time.Second, Timeout: 2 * time.Second,
				Shares: []routes.Share{{Service: "a", Weight: 1}, {Service: "b", Weight: 0}}},
			Paths: RoutePaths{Route: path, Address: path + ".address", Objective: path + ".objective", Timeout: path + ".timeout",
				Shares: []string{path + ".share0", path + ".share1"}},
		})
	}
	for _, name := range []string{"b", "a"} {
		c.Services = append(c.Services, Service{Name: name, Limits: routes.ServiceLimits{ColdPerSecond: 20, ColdStart: time.Second},
			Paths: ServicePaths{Name: name, ColdPerSecond: name + ".rate", ColdStart: name + ".time"}})
	}
	return c
}

// TestCheck guards against findings that are missing, have a wrong severity or path, or come with valid configurations.
func TestCheck(t *testing.T) {
	cases := map[string]struct {
		edit func(*Configuration)
		want []string // severity and path
	}{
		"valid":            {func(*Configuration) {}, nil},
		"no limits":        {func(c *Configuration) { c.IdleTimeout = 0; c.Services[0].Limits = routes.ServiceLimits{} }, nil},
		"no time limit":    {func(c *Configuration) { c.Routes[0].Timeout = 0 }, nil},
		"address twice":    {func(c *Configuration) { c.Routes[1].Address = c.Routes[0].Address }, []string{"error r0.address"}},
		"port 0":           {func(c *Configuration) { c.Routes[0].Address = netip.MustParseAddrPort("198.18.0.1:0") }, []string{"error r0.address"}},
		"unlisted service": {func(c *Configuration) { c.Routes[0].Shares[0].Service = "x" }, []string{"error r0.share0"}},
		"unlisted service without weight": {func(c *Configuration) { c.Routes[0].Shares[1].Service = "x" },
			[]string{"warning r0.share1"}},
		"service twice in a route":  {func(c *Configuration) { c.Routes[0].Shares[1].Service = "a" }, []string{"warning r0.share1"}},
		"all weights 0":             {func(c *Configuration) { c.Routes[1].Shares[0].Weight = 0 }, []string{"error r1"}},
		"objective over time limit": {func(c *Configuration) { c.Routes[0].Objective = 2001 * time.Millisecond }, []string{"error r0.objective"}},
		"idle timeout below the objective": {func(c *Configuration) { c.IdleTimeout = 900 * time.Millisecond },
			[]string{"error r0.objective", "error r1.objective"}},
		"idle timeout below the time limit": {func(c *Configuration) { c.IdleTimeout = time.Second },
			[]string{"warning r0.timeout", "warning r1.timeout"}},
		"cold limit without a time": {func(c *Configuration) { c.Services[0].Limits.ColdStart = 0 }, []string{"warning b.rate"}},
		"cold time without a limit": {func(c *Configuration) { c.Services[0].Limits.ColdPerSecond = 0 }, []string{"warning b.time"}},
		"service listed twice":      {func(c *Configuration) { c.Services = append(c.Services, c.Services[1]) }, []string{"error a"}},
		"service without a route": {func(c *Configuration) {
			c.Services = append(c.Services, Service{Name: "c", Paths: ServicePaths{Name: "c"}})
		}, []string{"warning c"}},
		"faults of reading": {func(c *Configuration) { c.Faults = []Finding{{Severity: Error, Path: "r2.address"}} },
			[]string{"error r2.address"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			configuration := valid()
			c.edit(configuration)
			assert.DeepEqual(t, summary(Check(configuration)), c.want)
		})
	}
}

func summary(found []Finding) []string {
	var got []string
	for _, f := range found {
		got = append(got, string(f.Severity)+" "+f.Path)
	}
	return got
}

// TestDiff guards against changes that are missing, or whose order depends on that of the file or of a map.
func TestDiff(t *testing.T) {
	assert.Equal(t, len(Diff(valid(), valid())), 0)
	after := valid()
	after.Routes[0].Objective = 0
	after.Routes[0].Priority = 2
	after.Routes[1].Address = netip.MustParseAddrPort("198.18.0.100:80")
	after.Services[0].Name = "c"
	after.Services[1].Limits.ColdPerSecond = 5
	after.IdleTimeout = 0
	want := []string{
		"removed route 198.18.0.9:80 ", "changed route 198.18.0.10:80 objective", "changed route 198.18.0.10:80 priority",
		"added route 198.18.0.100:80 ", "changed service a cold limit", "removed service b ", "added service c ",
		"changed limit idle timeout ",
	}
	changes := Diff(valid(), after)
	var got []string
	for _, c := range changes {
		got = append(got, fmt.Sprintf("%s %s %s %s", c.Kind, c.Part, c.Name, c.Field))
	}
	assert.DeepEqual(t, got, want)
	assert.Equal(t, changes[1].Before+" "+changes[1].After, "1s none")
	for range 10 {
		assert.DeepEqual(t, Diff(valid(), after), changes)
	}
	replaced := valid()
	replaced.Routes = append([]Route{{Address: replaced.Routes[0].Address}}, replaced.Routes...)
	assert.Equal(t, len(Diff(valid(), replaced)), 0) // the last route of an address is in force
}

// TestCheckVersion guards against a changed configuration that nodes take for older than the one in force.
func TestCheckVersion(t *testing.T) {
	for version, want := range map[int64][]string{6: {"error version"}, 7: {"warning version"}, 8: nil} {
		changed := valid()
		changed.Version, changed.IdleTimeout = version, time.Minute
		assert.DeepEqual(t, summary(CheckVersion(valid(), changed)), want)
	}
	assert.Equal(t, len(CheckVersion(valid(), valid())), 0)
}

// TestSettings guards against contradictions in own settings that pass, and fields that the difference leaves out.
func TestSettings(t *testing.T) {
	parse := func(text string) *settings.Spec {
		spec, err := settings.Parse("f", ident.ServiceName{Team: "any", Name: "any"}, []byte(text))
		assert.NilError(t, err)
		return spec
	}
	const base = "kind: request\naddress: 10.0.0.5:7001\n"
	for text, want := range map[string][]string{
		base:                      nil,
		base + "idle_timeout: 9s": {"warning $.idle_timeout"},
		"kind: feed\naddress: 10.0.0.5:7001\nidle_timeout: 9s":   nil,
		base + "weights: {dc1: 0}":                               nil, // other data centres count with 1
		base + "data_centres: [dc1]\nweights: {dc1: 0}":          {"error $.weights"},
		base + "data_centres: [dc1, dc2]\nweights: {dc1: 0}":     nil,
		base + "data_centres: [a, b]\nweights: {a: 0.0, b: 0.0}": {"error $.weights"},
	} {
		assert.DeepEqual(t, summary(CheckSettings(parse(text))), want)
	}
	other := parse("kind: feed\naddress: 10.0.0.6:7001\nidle_timeout: 9s\nhash_slots: 2\nwarm_up: 1s\ndata_centres: [b, a]\n" +
		"weights: {b: 2}\ndrain: [x]\nqueue_limit: 1\ndeadline: 1s\n")
	changes := DiffSettings(parse(base+"non_idempotent: [{method: POST}]"), other)
	assert.Equal(t, len(changes), 11) // all fields
	assert.Equal(t, fmt.Sprint(changes[1]), "{changed setting data_centres  none a + b}")
	reordered := parse(base + "drain: [x, y]\ndata_centres: [b, a]")
	assert.Equal(t, len(DiffSettings(parse(base+"drain: [y, x]\ndata_centres: [a, b]"), reordered)), 0)
}
