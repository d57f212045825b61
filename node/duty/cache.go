package duty

import (
	"bytes"
	"net/netip"
	"slices"
	"strings"
	"time"

	"lacewinglever.dev/node/objectapi"
	"lacewinglever.dev/node/objects"
	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/record"
	"lacewinglever.dev/policy/settings"
)

// cache is what the store was last known to hold. Each object only moves forwards, so that a stale read changes nothing.
type cache struct {
	teamsAt   uint64          // store version that the services reflect
	loaded    map[string]bool // prefixes that were listed
	services  map[ident.ServiceName]*entry
	addresses map[netip.AddrPort]*address
	owners    map[ident.ServiceID]ident.ServiceName // services with an accepted revision that is not a deletion
}

type entry struct {
	spec          *settings.SpecObject
	specVersion   uint64 // of the spec or of its deletion
	deletedBy     string
	newest        *record.Revision
	newestVersion uint64            // of the accepted object or of its deletion
	newestDeleted bool              // the accepted object
	idHolder      ident.ServiceName // zero: not known
	newestBy      string            // entry that accepted it
	recorded      uint64            // newest revision that this entry has seen in the history
	parsed        [2]parsed         // texts of the spec and of the newest revision
	status        settings.Status
	statusVersion uint64
	statusWriter  string
	held          map[netip.AddrPort]*settings.AddressObject
}

// parsed is a text and the address that it names. Parsing takes about 100 µs and would otherwise be done at every look.
type parsed struct {
	text    []byte
	address netip.AddrPort
}

// address returns the address that a text names; the zero one if it is not valid.
func (e *entry) address(service ident.ServiceName, text []byte) netip.AddrPort {
	for _, p := range e.parsed {
		if p.text != nil && bytes.Equal(p.text, text) {
			return p.address
		}
	}
	a, _ := settings.SpecAddress(service, text)
	e.parsed = [2]parsed{{text, a}, e.parsed[0]}
	return a
}

type address struct {
	object  *settings.AddressObject // nil: deleted
	version uint64
}

func newCache() *cache {
	return &cache{
		loaded:    map[string]bool{},
		services:  map[ident.ServiceName]*entry{},
		addresses: map[netip.AddrPort]*address{},
		owners:    map[ident.ServiceID]ident.ServiceName{},
	}
}

func (c *cache) entry(s ident.ServiceName) *entry {
	e := c.services[s]
	if e == nil {
		e = &entry{held: map[netip.AddrPort]*settings.AddressObject{}}
		c.services[s] = e
	}
	return e
}

// apply merges an object. It returns the service that it concerns, and whether it is a revision newer than those known.
func (c *cache) apply(o objectapi.Object) (service ident.ServiceName, accepted bool, err error) {
	if strings.HasPrefix(o.Path, settings.AddressesPrefix) {
		service, err = c.applyAddress(o)
		return service, false, err
	}
	p, err := settings.ParsePath(o.Path)
	if err != nil {
		return service, false, err
	}
	e := c.entry(p.Service)
	switch p.Area {
	case settings.AreaServices:
		err = e.applySpec(o)
	case settings.AreaStatus:
		err = e.applyStatus(o)
	case settings.AreaAccepted:
		accepted, err = c.applyAccepted(p, e, o)
	}
	return p.Service, accepted, err
}

func (e *entry) applySpec(o objectapi.Object) error {
	if o.Version <= e.specVersion {
		return nil
	}
	e.specVersion = o.Version
	if o.Deleted {
		e.spec, e.deletedBy = nil, o.Writer
		return nil
	}
	spec, err := objects.ParseSpec(o)
	if err != nil {
		// A spec that is not in the expected form is refused like one that is not YAML.
		spec = &settings.SpecObject{Version: o.Version, Text: o.Value, Writer: o.Writer, WriteID: o.WriteID}
	}
	e.spec, e.deletedBy = spec, ""
	return err
}

func (e *entry) applyStatus(o objectapi.Object) error {
	if o.Version <= e.statusVersion {
		return nil
	}
	e.statusVersion, e.statusWriter = o.Version, o.Writer
	if o.Deleted {
		e.status = settings.Status{}
		return nil
	}
	status, err := objects.ParseStatus(o)
	status.Version = o.Version
	e.status = status
	return err
}

func (c *cache) applyAccepted(p settings.Path, e *entry, o objectapi.Object) (bool, error) {
	if o.Version <= e.newestVersion {
		return false, nil
	}
	e.newestVersion, e.newestDeleted = o.Version, o.Deleted
	if o.Deleted {
		return false, nil
	}
	r, err := objects.ParseRevision(p.Service, o)
	if err != nil || !settings.IsNewerRevision(e.newest, r) {
		return false, err
	}
	c.adopt(e, r, o.Writer)
	return true, nil
}

// adopt notes the newest revision of a service and the entry that accepted it.
func (c *cache) adopt(e *entry, r *record.Revision, by string) {
	e.newest, e.newestBy = r, by
	id := r.Service.ID()
	if !r.Deleted {
		c.owners[id] = r.Service
	} else if c.owners[id] == r.Service {
		delete(c.owners, id)
	}
}

func (c *cache) applyAddress(o objectapi.Object) (ident.ServiceName, error) {
	var none ident.ServiceName
	at, err := settings.ParseAddressPath(o.Path)
	if err != nil {
		return none, err
	}
	if known := c.addresses[at]; known != nil && o.Version <= known.version {
		return none, nil
	}
	if o.Deleted {
		c.hold(at, nil, o.Version)
		return none, nil
	}
	object, err := objects.ParseAddress(at, o)
	if err != nil {
		return none, err
	}
	c.hold(at, object, o.Version)
	return object.Service, nil
}

// hold notes the object of an address, nil if it was deleted.
func (c *cache) hold(at netip.AddrPort, object *settings.AddressObject, version uint64) {
	if known := c.addresses[at]; known != nil && known.object != nil {
		delete(c.entry(known.object.Service).held, at)
	}
	c.addresses[at] = &address{object: object, version: version}
	if object != nil && object.Released.IsZero() {
		c.entry(object.Service).held[at] = object
	}
}

// inUse returns the address that the newest revision names; the zero one if there is none or it is a deletion.
func (e *entry) inUse(service ident.ServiceName) netip.AddrPort {
	if e.newest == nil || e.newest.Deleted {
		return netip.AddrPort{}
	}
	return e.address(service, e.newest.Spec)
}

// leaving tells whether the holder of an address is about to release it: its spec was deleted, or its newest revision names another
// address.
func (c *cache) leaving(object *settings.AddressObject) bool {
	if object == nil {
		return false
	}
	holder := c.services[object.Service]
	if holder == nil || holder.newest == nil {
		return false
	}
	return holder.spec == nil || settings.IsClaimUnused(object, holder.newest, holder.inUse(object.Service))
}

// state returns what is known of a service.
func (c *cache) state(service ident.ServiceName, now time.Time) settings.State {
	e := c.entry(service)
	s := settings.State{
		Service:        service,
		Now:            now,
		StoreVersion:   c.teamsAt,
		Spec:           e.spec,
		DeletedBy:      e.deletedBy,
		Newest:         e.newest,
		RecordedNumber: e.recorded,
		IDHolder:       e.idHolder,
		Status:         e.status,
	}
	if !e.newestDeleted {
		s.NewestObjectVersion = e.newestVersion
	}
	s.NewestAddress = e.inUse(service)
	if e.spec != nil {
		if known := c.addresses[e.address(service, e.spec.Text)]; known != nil {
			s.SpecAddress = known.object
			s.ReleasePending = c.leaving(known.object)
		}
	}
	for _, object := range e.held {
		s.HeldAddresses = append(s.HeldAddresses, *object)
	}
	slices.SortFunc(s.HeldAddresses, func(a, b settings.AddressObject) int { return a.Address.Compare(b.Address) })
	if other, ok := c.owners[service.ID()]; ok && other != service {
		s.IDCollision = &other
	}
	return s
}
