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

// Prefixes of the system's objects in the object API.
const (
	TeamsPrefix     = "/teams/"
	AddressesPrefix = "/system/addresses/"
	IDsPrefix       = "/system/ids/"
	// HistoryPrefix lies outside TeamsPrefix, so that a watch of the teams' objects does not load a
	// year of revisions when it starts.
	HistoryPrefix = "/history/"
)

// maxNameBytes bounds the names of teams, services and nodes, in bytes. It is the limit of a DNS
// label.
const maxNameBytes = 63

// Area is the part of a team's subtree that contains an object.
type Area string

// Areas of a team's subtree.
const (
	AreaServices Area = "services"
	AreaAccepted Area = "accepted"
	AreaStatus   Area = "status"
)

// Path identifies an object under TeamsPrefix.
type Path struct {
	Area    Area
	Service ident.ServiceName
}

// ServicePath returns the path of a service's spec, which operators write.
func ServicePath(s ident.ServiceName) string { return teamPath(s, AreaServices) }

// StatusPath returns the path of a service's status.
func StatusPath(s ident.ServiceName) string { return teamPath(s, AreaStatus) }

// AcceptedPath returns the path of the newest accepted revision of a service.
func AcceptedPath(s ident.ServiceName) string { return teamPath(s, AreaAccepted) }

// RevisionsPrefix returns the prefix of a service's history.
func RevisionsPrefix(s ident.ServiceName) string { return HistoryPrefix + s.String() + "/" }

// RevisionPath returns the path of an accepted revision in the history, where it is never changed
// or removed.
func RevisionPath(s ident.ServiceName, number uint64) string {
	return RevisionsPrefix(s) + strconv.FormatUint(number, 10)
}

// ParseRevisionPath returns the service and number of a revision in the history.
func ParseRevisionPath(path string) (ident.ServiceName, uint64, error) {
	rest, ok := strings.CutPrefix(path, HistoryPrefix)
	parts := strings.Split(rest, "/")
	if !ok || len(parts) != 3 {
		return ident.ServiceName{}, 0, errors.Errorf("path %q: not a revision", path)
	}
	s := ident.ServiceName{Team: parts[0], Name: parts[1]}
	if err := CheckService(s); err != nil {
		return s, 0, errors.Wrapf(err, "path %q", path)
	}
	number, err := strconv.ParseUint(parts[2], 10, 64)
	if err != nil || number == 0 || strconv.FormatUint(number, 10) != parts[2] {
		return s, 0, errors.Errorf("path %q: revision %q is not a positive number", path, parts[2])
	}
	return s, number, nil
}

// IDPath returns the path of the object that names the service with this id. The object is created
// before the first revision of the service and never changed.
func IDPath(id ident.ServiceID) string { return IDsPrefix + id.String() }

// AddressPath returns the path of the claim on a service address.
func AddressPath(a netip.AddrPort) string { return AddressesPrefix + a.String() }

func teamPath(s ident.ServiceName, area Area) string {
	return TeamsPrefix + s.Team + "/" + string(area) + "/" + s.Name
}

// ParsePath parses the path of an object under TeamsPrefix.
func ParsePath(path string) (Path, error) {
	rest, ok := strings.CutPrefix(path, TeamsPrefix)
	parts := strings.Split(rest, "/")
	if !ok || len(parts) != 3 {
		return Path{}, errors.Errorf("path %q: not an object of a team", path)
	}
	p := Path{Area: Area(parts[1]), Service: ident.ServiceName{Team: parts[0], Name: parts[2]}}
	if err := CheckService(p.Service); err != nil {
		return Path{}, errors.Wrapf(err, "path %q", path)
	}
	if p.Area == AreaServices || p.Area == AreaAccepted || p.Area == AreaStatus {
		return p, nil
	}
	return Path{}, errors.Errorf("path %q: want services, accepted or status", path)
}

// ParseAddressPath returns the address in the path of an object under AddressesPrefix.
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

// CheckService returns an error unless the names of the team and the service are valid: lower-case
// letters, digits and inner hyphens.
func CheckService(s ident.ServiceName) error {
	if !isLabel(s.Team) {
		return errors.Errorf("team %q: want lower-case letters, digits and inner '-', at most %d", s.Team, maxNameBytes)
	}
	if !isLabel(s.Name) {
		return errors.Errorf("service %q: want lower-case letters, digits and inner '-', at most %d", s.Name,
			maxNameBytes)
	}
	return nil
}

// CheckWriter returns an error if a writer "team/person" writes into the subtree of another team. A
// writer without a team is an operator of the platform and may write into every subtree.
func CheckWriter(writer string, s ident.ServiceName) error {
	team, _, ok := strings.Cut(writer, "/")
	if ok && team != s.Team {
		return errors.Errorf("writer %q may not write into the subtree of team %q", writer, s.Team)
	}
	return nil
}

func isLabel(s string) bool {
	if s == "" || len(s) > maxNameBytes || s[0] == '-' || s[len(s)-1] == '-' {
		return false
	}
	for _, r := range s {
		if (r < 'a' || r > 'z') && (r < '0' || r > '9') && r != '-' {
			return false
		}
	}
	return true
}

func isNodeName(s string) bool {
	if s == "" || len(s) > maxNameBytes {
		return false
	}
	for _, r := range s {
		letterOrDigit := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
		if !letterOrDigit && r != '-' && r != '_' && r != '.' {
			return false
		}
	}
	return true
}

// quoteKey quotes a map key that contains a dot, which would otherwise separate elements of a YAML
// path.
func quoteKey(key string) string {
	if strings.ContainsAny(key, ".") {
		return "'" + key + "'"
	}
	return key
}

func sortedKeys(m map[string]float64) []string { return slices.Sorted(maps.Keys(m)) }
