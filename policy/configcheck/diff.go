package configcheck

import (
	"cmp"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"

	"lacewinglever.dev/policy/routes"
)

// Kind is the kind of a change.
type Kind string

// Kinds of change.
const (
	Added   Kind = "added"
	Removed Kind = "removed"
	Changed Kind = "changed"
)

// Change is one difference between two configurations.
type Change struct {
	Kind   Kind   `json:"kind"`
	Part   string `json:"part"`             // route, service, limit or setting
	Name   string `json:"name"`             // the address of a route, else a name
	Field  string `json:"field,omitempty"`  // of a part that changed
	Before string `json:"before,omitempty"` // empty if it was added
	After  string `json:"after,omitempty"`  // empty if it was removed
}

// field is a field of a part as text. All parts of one kind have the same fields in the same order.
type field struct{ name, value string }

// Diff returns the changes from one configuration to another: routes by address, services by name, then
// limits. Of several routes of an address it compares the one in force.
func Diff(before, after *Configuration) []Change {
	changes := diffParts("route", routeParts(before), routeParts(after), netip.AddrPort.Compare)
	changes = append(changes, diffParts("service", serviceParts(before), serviceParts(after), cmp.Compare[string])...)
	if before.IdleTimeout != after.IdleTimeout {
		changes = append(changes, Change{Kind: Changed, Part: "limit", Name: "idle timeout",
			Before: limit(before.IdleTimeout), After: limit(after.IdleTimeout)})
	}
	return changes
}

// CheckVersion returns a finding if the configuration differs from the one in force without a higher version.
// Nodes compare versions first and keep the higher one.
func CheckVersion(inForce, c *Configuration) []Finding {
	var f findings
	switch {
	case c.Version > inForce.Version || len(Diff(inForce, c)) == 0:
	case c.Version < inForce.Version:
		f.add(Error, c.VersionPath, "version %d: nodes keep version %d, want a higher version than that", c.Version, inForce.Version)
	default:
		f.add(Warning, c.VersionPath, "version %d is that of the other configuration: want a higher version for a change", c.Version)
	}
	return f
}

func routeParts(c *Configuration) map[netip.AddrPort][]field {
	parts := make(map[netip.AddrPort][]field, len(c.Routes))
	for _, r := range c.Routes {
		parts[r.Address] = []field{
			{"name", r.Name},
			{"services", shares(r.Shares)},
			{"objective", limit(r.Objective)},
			{"time limit", limit(r.Timeout)},
			{"priority", fmt.Sprint(r.Priority)},
			{"idempotent", fmt.Sprint(r.Idempotent)},
		}
	}
	return parts
}

func serviceParts(c *Configuration) map[string][]field {
	parts := make(map[string][]field, len(c.Services))
	for _, s := range c.Services {
		rate := "none"
		if s.Limits.ColdPerSecond > 0 {
			rate = fmt.Sprintf("%g/s", s.Limits.ColdPerSecond)
		}
		parts[s.Name] = []field{{"cold limit", rate}, {"cold for", limit(s.Limits.ColdStart)}}
	}
	return parts
}

// limit returns a duration as text; 0 is not set.
func limit(d time.Duration) string {
	if d == 0 {
		return "none"
	}
	return d.String()
}

func shares(list []routes.Share) string {
	texts := make([]string, len(list))
	for i, s := range list {
		texts[i] = fmt.Sprintf("%s (%g)", s.Service, s.Weight)
	}
	return strings.Join(texts, " + ")
}

// diffParts returns the changes between parts of one kind, ordered by key.
func diffParts[K comparable](part string, before, after map[K][]field, order func(K, K) int) []Change {
	keys := slices.Collect(maps.Keys(before))
	for k := range after {
		if _, ok := before[k]; !ok {
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, order)
	var changes []Change
	for _, k := range keys {
		name := fmt.Sprint(k)
		was, existed := before[k]
		is, exists := after[k]
		switch {
		case !existed:
			changes = append(changes, Change{Kind: Added, Part: part, Name: name, After: describe(is)})
		case !exists:
			changes = append(changes, Change{Kind: Removed, Part: part, Name: name, Before: describe(was)})
		default:
			changes = append(changes, diffFields(part, name, was, is)...)
		}
	}
	return changes
}

// diffFields returns the changes between the fields of one part.
func diffFields(part, name string, before, after []field) []Change {
	var changes []Change
	for i, f := range after {
		if before[i].value != f.value {
			changes = append(changes, Change{Changed, part, name, f.name, before[i].value, f.value})
		}
	}
	return changes
}

func describe(fields []field) string {
	texts := make([]string, len(fields))
	for i, f := range fields {
		texts[i] = f.name + " " + f.value
	}
	return strings.Join(texts, ", ")
}
