package entry

import (
	"net/netip"
	"time"

	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/settings"
	"lacewinglever.dev/policy/view"
	"lacewinglever.dev/policy/yamlfile"
)

// serviceText is the part of a service's settings that the data plane of an entry uses; the other fields are accepted as they are.
type serviceText struct {
	Kind          settings.Kind                `yaml:"kind"`
	Address       string                       `yaml:"address"`
	IdleTimeout   time.Duration                `yaml:"idle_timeout"`
	HashSlots     int                          `yaml:"hash_slots"`
	WarmUp        time.Duration                `yaml:"warm_up"`
	DataCentres   []ident.DataCentre           `yaml:"data_centres"`
	Weights       map[ident.DataCentre]float64 `yaml:"weights"`
	Drain         []string                     `yaml:"drain"`
	QueueLimit    int                          `yaml:"queue_limit"`
	Deadline      time.Duration                `yaml:"deadline"`
	NonIdempotent []any                        `yaml:"non_idempotent"`
}

// ParseAccepted reads the settings of an accepted revision, which were validated when they were accepted.
func ParseAccepted(name string, service ident.ServiceName, text []byte) (*settings.Spec, error) {
	var address netip.AddrPort
	s, err := yamlfile.Parse(name, text, serviceText{HashSlots: view.DefaultSlots}, func(s *serviceText, f *yamlfile.Faults) {
		var err error
		if address, err = netip.ParseAddrPort(s.Address); err != nil {
			f.Add("$.address", "%q: want host:port", s.Address)
		}
		if s.HashSlots <= 0 || s.HashSlots > view.MaxSlots || s.HashSlots&(s.HashSlots-1) != 0 {
			f.Add("$.hash_slots", "%d: want a power of two up to %d", s.HashSlots, view.MaxSlots)
		}
	})
	if err != nil {
		return nil, err
	}
	return &settings.Spec{
		Service: service, Kind: s.Kind, Address: address, IdleTimeout: s.IdleTimeout, HashSlots: s.HashSlots,
		DataCentres: s.DataCentres, Weights: s.Weights, Drain: s.Drain,
	}, nil
}
