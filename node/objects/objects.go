// Package objects defines the JSON forms of the objects that operators and the control duty keep in the platform's object API.
package objects

import (
	"encoding/json"
	"net/netip"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"lacewinglever.dev/node/objectapi"
	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/record"
	"lacewinglever.dev/policy/settings"
)

// Spec is the value of a service's spec.
type Spec struct {
	Spec    string `json:"spec"` // YAML
	Writer  string `json:"writer"`
	WriteID string `json:"write_id"`
}

// Revision is the value of an accepted revision.
type Revision struct {
	Number         uint64 `json:"number"`
	Spec           string `json:"spec,omitempty"`
	Writer         string `json:"writer"`
	AcceptedBy     string `json:"accepted_by"`
	AcceptedUnixMs int64  `json:"accepted_unix_ms"`
	SourceVersion  uint64 `json:"source_version"`
	WriteID        string `json:"write_id"`
	Deleted        bool   `json:"deleted,omitempty"`
}

// Status is the value of a service's status.
type Status struct {
	Accepted        uint64   `json:"accepted"`
	AcceptedVersion uint64   `json:"accepted_version"` // of the spec
	Deleted         bool     `json:"deleted,omitempty"`
	RefusedVersion  uint64   `json:"refused_version,omitempty"` // of the spec
	Reason          string   `json:"reason,omitempty"`
	InForce         int      `json:"in_force"`
	Nodes           int      `json:"nodes"`
	Missing         []string `json:"missing,omitempty"`
	ElapsedMs       int64    `json:"elapsed_ms,omitempty"` // from acceptance until in force everywhere
}

// Address is the value of a service address.
type Address struct {
	Service        string `json:"service"`
	SourceVersion  uint64 `json:"source_version"` // of the spec
	ReleasedUnixMs int64  `json:"released_unix_ms,omitempty"`
}

// ID is the value of a service id: the service that has it.
type ID struct {
	Service string `json:"service"`
}

// ParseID decodes the holder of a service id.
func ParseID(o objectapi.Object) (ident.ServiceName, error) {
	var v ID
	if err := json.Unmarshal(o.Value, &v); err != nil {
		return ident.ServiceName{}, errors.Wrapf(err, "%s: version %d", o.Path, o.Version)
	}
	s, err := ident.ParseServiceName(v.Service)
	if err != nil {
		return s, errors.Wrap(err, o.Path)
	}
	return s, nil
}

// ParseSpec decodes a spec.
func ParseSpec(o objectapi.Object) (*settings.SpecObject, error) {
	var v Spec
	if err := json.Unmarshal(o.Value, &v); err != nil {
		return nil, errors.Wrapf(err, "%s: version %d", o.Path, o.Version)
	}
	return &settings.SpecObject{Version: o.Version, Text: []byte(v.Spec), Writer: v.Writer, WriteID: v.WriteID}, nil
}

// ParseRevision decodes a revision of a service, from the history or as the newest one.
func ParseRevision(service ident.ServiceName, o objectapi.Object) (*record.Revision, error) {
	var v Revision
	if err := json.Unmarshal(o.Value, &v); err != nil {
		return nil, errors.Wrapf(err, "%s: version %d", o.Path, o.Version)
	}
	if v.Number == 0 {
		return nil, errors.Errorf("%s: version %d has no revision number", o.Path, o.Version)
	}
	if strings.HasPrefix(o.Path, settings.HistoryPrefix) {
		of, number, err := settings.ParseRevisionPath(o.Path)
		if err != nil {
			return nil, err
		}
		if of != service || number != v.Number {
			return nil, errors.Errorf("%s: holds revision %d", o.Path, v.Number)
		}
	}
	return &record.Revision{
		Service:       service,
		Number:        v.Number,
		Spec:          []byte(v.Spec),
		Writer:        v.Writer,
		Accepted:      time.UnixMilli(v.AcceptedUnixMs).UTC(),
		SourceVersion: v.SourceVersion,
		WriteID:       v.WriteID,
		Deleted:       v.Deleted,
	}, nil
}

// FromRevision encodes a revision that acceptedBy accepts.
func FromRevision(r *record.Revision, acceptedBy string) Revision {
	return Revision{
		Number:         r.Number,
		Spec:           string(r.Spec),
		Writer:         r.Writer,
		AcceptedBy:     acceptedBy,
		AcceptedUnixMs: r.Accepted.UnixMilli(),
		SourceVersion:  r.SourceVersion,
		WriteID:        r.WriteID,
		Deleted:        r.Deleted,
	}
}

// ParseStatus decodes a status.
func ParseStatus(o objectapi.Object) (settings.Status, error) {
	var v Status
	if err := json.Unmarshal(o.Value, &v); err != nil {
		return settings.Status{}, errors.Wrapf(err, "%s: version %d", o.Path, o.Version)
	}
	return settings.Status{
		Version:         o.Version,
		Accepted:        v.Accepted,
		AcceptedVersion: v.AcceptedVersion,
		Deleted:         v.Deleted,
		RefusedVersion:  v.RefusedVersion,
		Reason:          v.Reason,
		InForce:         v.InForce,
		Nodes:           v.Nodes,
		Missing:         v.Missing,
		Elapsed:         time.Duration(v.ElapsedMs) * time.Millisecond,
	}, nil
}

// FromStatus encodes a status.
func FromStatus(s *settings.Status) Status {
	return Status{
		Accepted:        s.Accepted,
		AcceptedVersion: s.AcceptedVersion,
		Deleted:         s.Deleted,
		RefusedVersion:  s.RefusedVersion,
		Reason:          s.Reason,
		InForce:         s.InForce,
		Nodes:           s.Nodes,
		Missing:         s.Missing,
		ElapsedMs:       s.Elapsed.Milliseconds(),
	}
}

// ParseAddress decodes a service address.
func ParseAddress(address netip.AddrPort, o objectapi.Object) (*settings.AddressObject, error) {
	var v Address
	if err := json.Unmarshal(o.Value, &v); err != nil {
		return nil, errors.Wrapf(err, "%s: version %d", o.Path, o.Version)
	}
	service, err := ident.ParseServiceName(v.Service)
	if err != nil {
		return nil, errors.Wrap(err, o.Path)
	}
	a := &settings.AddressObject{Version: o.Version, Address: address, Service: service, SourceVersion: v.SourceVersion}
	if v.ReleasedUnixMs != 0 {
		a.Released = time.UnixMilli(v.ReleasedUnixMs).UTC()
	}
	return a, nil
}

// FromAddress encodes a service address.
func FromAddress(a *settings.AddressObject) Address {
	v := Address{Service: a.Service.String(), SourceVersion: a.SourceVersion}
	if !a.Released.IsZero() {
		v.ReleasedUnixMs = a.Released.UnixMilli()
	}
	return v
}
