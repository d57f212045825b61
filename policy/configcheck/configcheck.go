// Package configcheck checks a configuration before it is sent: routes that can never match, limits that
// contradict each other, and the difference to another configuration.
package configcheck

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"lacewinglever.dev/policy/routes"
)

// Severity says whether a finding keeps the configuration from working as written.
type Severity string

// Severities.
const (
	Error   Severity = "error"   // a part of the configuration has no effect, or another one than written
	Warning Severity = "warning" // unusual, but in effect as written
)

// Finding is one result of a check.
type Finding struct {
	Severity Severity `json:"severity"`
	Path     string   `json:"path"`           // in the file, such as $.routes[3]
	Line     int      `json:"line,omitempty"` // 0 if it is unknown or the path is absent from the file
	Message  string   `json:"message"`
}

// Route is a route as written.
type Route struct {
	Address netip.AddrPort
	routes.Route
	Paths RoutePaths
}

// RoutePaths are the places of a route's fields in the file.
type RoutePaths struct {
	Route, Address, Objective, Timeout string
	Shares                             []string // of the service of each share
}

// Service is a service as written.
type Service struct {
	Name   string
	Limits routes.ServiceLimits
	Paths  ServicePaths
}

// ServicePaths are the places of a service's fields in the file.
type ServicePaths struct {
	Name, ColdPerSecond, ColdStart string
}

// Configuration is a configuration as written, without the parts that nodes leave out as invalid. Unlike a
// table of routes, it has routes that others replace.
type Configuration struct {
	Version     int64
	Routes      []Route
	Services    []Service
	IdleTimeout time.Duration // 0 if none is set
	Faults      []Finding     // of the parts that were left out
	VersionPath string
}

// findings collects findings.
type findings []Finding

func (f *findings) add(severity Severity, path, format string, args ...any) {
	*f = append(*f, Finding{Severity: severity, Path: path, Message: fmt.Sprintf(format, args...)})
}

// Check returns the findings of a configuration: first those of reading it, then those of its routes, its
// services, and its limits, in the order of the file.
func Check(c *Configuration) []Finding {
	found := findings(slices.Clone(c.Faults))
	checkAddresses(&found, c.Routes)
	for i := range c.Routes {
		r := &c.Routes[i]
		checkShares(&found, r, c.Services)
		checkLimits(&found, r, c.IdleTimeout)
	}
	checkServices(&found, c)
	return found
}

// checkAddresses reports routes that never match. Of several routes of an address, the last one is in force.
func checkAddresses(f *findings, all []Route) {
	last := make(map[netip.AddrPort]int, len(all))
	for i, r := range all {
		last[r.Address] = i
		if r.Address.Port() == 0 {
			f.add(Error, r.Paths.Address, "route %q never matches: port 0, want 1 to 65535", r.Name)
		}
	}
	for i, r := range all {
		if by := last[r.Address]; by != i {
			f.add(Error, r.Paths.Address, "route %q never matches: %s also has address %s and replaces it, want one route for each address",
				r.Name, all[by].Paths.Route, r.Address)
		}
	}
}

func checkShares(f *findings, r *Route, services []Service) {
	total := 0.0
	for _, s := range r.Shares {
		total += s.Weight
	}
	if total <= 0 {
		f.add(Error, r.Paths.Route, "all weights of route %q are 0: want one above 0", r.Name)
	}
	seen := map[string]bool{}
	for i, s := range r.Shares {
		if !slices.ContainsFunc(services, func(listed Service) bool { return listed.Name == s.Service }) {
			severity := Error
			if s.Weight == 0 && total > 0 {
				severity = Warning // no flow opens there
			}
			f.add(severity, r.Paths.Shares[i], "route %q leads to service %q, which is not listed: want one of the listed services", r.Name, s.Service)
		}
		if seen[s.Service] {
			f.add(Warning, r.Paths.Shares[i], "route %q names service %q twice: want one weight for each service", r.Name, s.Service)
		}
		seen[s.Service] = true
	}
}

// checkLimits reports limits that contradict each other. A limit of 0 is not set.
func checkLimits(f *findings, r *Route, idleTimeout time.Duration) {
	if r.Timeout > 0 && r.Objective > r.Timeout {
		f.add(Error, r.Paths.Objective, "objective %s of route %q is above its time limit %s: want at most the time limit",
			r.Objective, r.Name, r.Timeout)
	}
	switch {
	case idleTimeout == 0:
	case idleTimeout < r.Objective:
		f.add(Error, r.Paths.Objective, "objective %s of route %q is above the idle timeout %s, after which its flows end: want at most the idle timeout",
			r.Objective, r.Name, idleTimeout)
	case idleTimeout < r.Timeout:
		f.add(Warning, r.Paths.Timeout, "time limit %s of route %q is above the idle timeout %s, after which its flows end: want at most the idle timeout",
			r.Timeout, r.Name, idleTimeout)
	}
}

func checkServices(f *findings, c *Configuration) {
	used := map[string]bool{}
	for _, r := range c.Routes {
		for _, s := range r.Shares {
			used[s.Service] = true
		}
	}
	first := map[string]string{}
	for _, s := range c.Services {
		if at, ok := first[s.Name]; ok {
			f.add(Error, s.Paths.Name, "service %q is listed at %s already: want each service once", s.Name, at)
		} else {
			first[s.Name] = s.Paths.Name
			if !used[s.Name] {
				f.add(Warning, s.Paths.Name, "no route leads to service %q", s.Name)
			}
		}
		switch {
		case s.Limits.ColdPerSecond > 0 && s.Limits.ColdStart == 0:
			f.add(Warning, s.Paths.ColdPerSecond, "service %q limits cold targets to %g requests per second, but targets are cold for 0 s: want both or none",
				s.Name, s.Limits.ColdPerSecond)
		case s.Limits.ColdPerSecond == 0 && s.Limits.ColdStart > 0:
			f.add(Warning, s.Paths.ColdStart, "targets of service %q are cold for %s, but have no limit of requests per second: want both or none",
				s.Name, s.Limits.ColdStart)
		}
	}
}

// HasErrors reports whether one of the findings is an error.
func HasErrors(found []Finding) bool {
	return slices.ContainsFunc(found, func(f Finding) bool { return f.Severity == Error })
}
