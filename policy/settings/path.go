package settings

import (
	"maps"
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"github.com/go-faster/errors"

	"lacewinglever.dev/policy/ident"
)

// Prefixes of the object API under which the system keeps its objects.
const (
	TeamsPrefix     = "/teams/"
	AddressesPrefix = "/system/addresses/"
)

// maxNameLength bounds the names of teams, services and nodes, as DNS bounds a label.
const maxNameLength = 63

// Area is the part of a team's subtree that an object belongs to.
type Area string

// Areas of a team's subtree.
const (
	AreaServices  Area = "services"
	AreaRevisions Area = "revisions"
	AreaStatus    Area = "status"
)

// Path names an object under TeamsPrefix. Number is set in AreaRevisions only.
type Path struct {
	Area    Area
	Service ident.ServiceName
	Number  uint64
}

// ServicePath is where the operator's spec of a service is kept.
func ServicePath(s ident.ServiceName) string { return teamPath(s, AreaServices) }

// StatusPath is where the status of a service is kept.
func StatusPath(s ident.ServiceName) string { return teamPath(s, AreaStatus) }

// RevisionsPrefix is the prefix of a service's accepted revisions.
func RevisionsPrefix(s ident.ServiceName) string { return teamPath(s, AreaRevisions) + "/" }

// RevisionPath is where an accepted revision is kept.
func RevisionPath(s ident.ServiceName, number uint64) string {
	return RevisionsPrefix(s) + strconv.FormatUint(number, 10)
}

// AddressPath is where the holder of a service address is kept.
func AddressPath(a netip.AddrPort) string { return AddressesPrefix + a.String() }

func teamPath(s ident.ServiceName, area Area) string {
	return TeamsPrefix + s.Team + "/" + string(area) + "/" + s.Name
}

// ParsePath takes apart the path of an object under TeamsPrefix.
func ParsePath(path string) (Path, error) {
	rest, ok := strings.CutPrefix(path, TeamsPrefix)
	parts := strings.Split(rest, "/")
	if !ok || len(parts) < 3 {
		return Path{}, errors.Errorf("path %q: not an object of a team", path)
	}
	p := Path{Area: Area(parts[1]), Service: ident.ServiceName{Team: parts[0], Name: parts[2]}}
	if err := CheckService(p.Service); err != nil {
		return Path{}, errors.Wrapf(err, "path %q", path)
	}
	switch {
	case len(parts) == 3 && (p.Area == AreaServices || p.Area == AreaStatus):
		return p, nil
	case len(parts) == 4 && p.Area == AreaRevisions:
		number, err := strconv.ParseUint(parts[3], 10, 64)
		if err != nil || number == 0 || strconv.FormatUint(number, 10) != parts[3] {
			return Path{}, errors.Errorf("path %q: revision %q is not a positive number", path, parts[3])
		}
		p.Number = number
		return p, nil
	}
	return Path{}, errors.Errorf("path %q: want services, revisions or status", path)
}

// ParseAddressPath returns the address that an object under AddressesPrefix is about.
func ParseAddressPath(path string) (netip.AddrPort, error) {
	rest, ok := strings.CutPrefix(path, AddressesPrefix)
	if !ok {
		return netip.AddrPort{}, errors.Errorf("path %q: not an address", path)
	}
	a, err := netip.ParseAddrPort(rest)
	if err != nil {
		return a, errors.Wrapf(err, "path %q", path)
	}
	return a, nil
}

// CheckService tells whether the names of a team and its service are legal: lower-case letters, digits and inner hyphens.
func CheckService(s ident.ServiceName) error {
	if !legalLabel(s.Team) {
		return errors.Errorf("team %q: want lower-case letters, digits and inner '-', at most %d", s.Team, maxNameLength)
	}
	if !legalLabel(s.Name) {
		return errors.Errorf("service %q: want lower-case letters, digits and inner '-', at most %d", s.Name, maxNameLength)
	}
	return nil
}

// CheckWriter refuses a writer "team/person" that writes into the subtree of another team. A writer without a team is an operator of the
// platform and may write into every subtree.
func CheckWriter(writer string, s ident.ServiceName) error {
	team, _, ok := strings.Cut(writer, "/")
	if ok && team != s.Team {
		return errors.Errorf("writer %q may not write into the subtree of team %q", writer, s.Team)
	}
	return nil
}

func legalLabel(s string) bool {
	if s == "" || len(s) > maxNameLength || s[0] == '-' || s[len(s)-1] == '-' {
		return false
	}
	for _, r := range s {
		if (r < 'a' || r > 'z') && (r < '0' || r > '9') && r != '-' {
			return false
		}
	}
	return true
}

func legalNode(s string) bool {
	if s == "" || len(s) > maxNameLength {
		return false
	}
	for _, r := range s {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
		if !letter && r != '-' && r != '_' && r != '.' {
			return false
		}
	}
	return true
}

// quoteKey writes a map key so that a YAML path finds it, whatever the key contains.
func quoteKey(key string) string {
	if strings.ContainsAny(key, ".") {
		return "'" + key + "'"
	}
	return key
}

func sortedKeys(m map[string]float64) []string { return slices.Sorted(maps.Keys(m)) }
