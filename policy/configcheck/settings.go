package configcheck

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/go-faster/errors"

	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/settings"
	"lacewinglever.dev/policy/yamlfile"
)

// CheckSettings returns the findings of a service's own settings.
func CheckSettings(s *settings.Spec) []Finding {
	var f findings
	if s.Kind == settings.KindRequest && s.IdleTimeout < s.Deadline {
		f.add(Warning, "$.idle_timeout", "idle timeout %s is below the deadline %s of requests: want at least the deadline",
			s.IdleTimeout, s.Deadline)
	}
	if len(s.DataCentres) > 0 && !slices.ContainsFunc(s.DataCentres, func(dc ident.DataCentre) bool { return s.Weight(dc) > 0 }) {
		f.add(Error, "$.weights", "the weights of all data centres of the service are 0: want one above 0")
	}
	return f
}

// FaultsOf returns the faults in an error of settings.Parse. It returns false if the text can't be read as
// settings at all.
func FaultsOf(err error) ([]Finding, bool) {
	var f findings
	if faults := (*yamlfile.Faults)(nil); errors.As(err, &faults) {
		for _, fault := range faults.List {
			f = append(f, Finding{Severity: Error, Path: fault.Path, Line: fault.Line, Message: fault.Message})
		}
		return f, true
	}
	if decode := (*yamlfile.DecodeError)(nil); errors.As(err, &decode) {
		return findings{{Severity: Error, Path: "$", Line: decode.Line, Message: decode.Message}}, true
	}
	return nil, false
}

// DiffSettings returns the changes between a service's settings, ordered by field.
func DiffSettings(before, after *settings.Spec) []Change {
	was, is := settingFields(before), settingFields(after)
	var changes []Change
	for i, f := range is {
		if was[i].value != f.value {
			changes = append(changes, Change{Kind: Changed, Part: "setting", Name: f.name, Before: was[i].value, After: f.value})
		}
	}
	return changes
}

// settingFields returns all fields of the settings as text, sorted by name. Lists whose order has no effect are sorted.
func settingFields(s *settings.Spec) []field {
	var weights, rules []string
	for _, dc := range slices.Sorted(maps.Keys(s.Weights)) {
		weights = append(weights, fmt.Sprintf("%s (%g)", dc, s.Weights[dc]))
	}
	for _, r := range s.NonIdempotent {
		rules = append(rules, strings.TrimSpace(r.Method+" "+r.Path))
	}
	slices.Sort(rules)
	var dataCentres []string
	for _, dc := range slices.Sorted(slices.Values(s.DataCentres)) {
		dataCentres = append(dataCentres, string(dc))
	}
	return []field{
		{"address", s.Address.String()},
		{"data_centres", list(dataCentres)},
		{"deadline", s.Deadline.String()},
		{"drain", list(slices.Sorted(slices.Values(s.Drain)))},
		{"hash_slots", fmt.Sprint(s.HashSlots)},
		{"idle_timeout", s.IdleTimeout.String()},
		{"kind", string(s.Kind)},
		{"non_idempotent", list(rules)},
		{"queue_limit", fmt.Sprint(s.QueueLimit)},
		{"warm_up", s.WarmUp.String()},
		{"weights", list(weights)},
	}
}

func list(texts []string) string {
	if len(texts) == 0 {
		return "none"
	}
	return strings.Join(texts, " + ")
}
