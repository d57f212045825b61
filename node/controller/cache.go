package controller

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

// storeCache holds the newest objects read from the store. An object is replaced by newer versions
// only, so a stale read has no effect.
type storeCache struct {
	teamsVersion uint64          // store version that the objects under TeamsPrefix reflect
	loaded       map[string]bool // prefixes that were listed completely
	services     map[ident.ServiceName]*serviceObjects
	addresses    map[netip.AddrPort]*addressState
	idOwners     map[ident.ServiceID]ident.ServiceName // services whose newest revision is not a deletion
}

// serviceObjects holds the objects of one service.
type serviceObjects struct {
	spec            *settings.SpecObject
	specVersion     uint64 // of the spec or of its deletion
	deletedBy       string
	newest          *record.Revision
	acceptedVersion uint64            // of the accepted object or of its deletion
	acceptedDeleted bool              // the accepted object was deleted
	idHolder        ident.ServiceName // zero: unknown
	acceptedBy      string            // entry that accepted it
	recordedNumber  uint64            // highest number that this entry has seen in the history
	parsed          [2]parsedSpec     // of the spec and of the newest revision
	status          settings.Status
	statusVersion   uint64
	statusWriter    string
	heldAddresses   map[netip.AddrPort]*settings.AddressObject
}

// parsedSpec caches the address in a spec. Parsing takes about 100 µs and would otherwise be
// repeated in every round.
type parsedSpec struct {
	text    []byte
	address netip.AddrPort
}

// specAddress returns the address in a spec; the zero value if the spec is invalid.
func (e *serviceObjects) specAddress(service ident.ServiceName, text []byte) netip.AddrPort {
	for _, p := range e.parsed {
		if p.text != nil && bytes.Equal(p.text, text) {
			return p.address
		}
	}
	a, _ := settings.SpecAddress(service, text)
	e.parsed = [2]parsedSpec{{text, a}, e.parsed[0]}
	return a
}

type addressState struct {
	object  *settings.AddressObject // nil: deleted
	version uint64
}

func newStoreCache() *storeCache {
	return &storeCache{
		loaded:    map[string]bool{},
		services:  map[ident.ServiceName]*serviceObjects{},
		addresses: map[netip.AddrPort]*addressState{},
		idOwners:  map[ident.ServiceID]ident.ServiceName{},
	}
}

func (c *storeCache) objectsOf(s ident.ServiceName) *serviceObjects {
	e := c.services[s]
	if e == nil {
		e = &serviceObjects{heldAddresses: map[netip.AddrPort]*settings.AddressObject{}}
		c.services[s] = e
	}
	return e
}

// apply merges an object. It returns the service that the object belongs to, and whether the object
// is a newer revision of it.
func (c *storeCache) apply(o objectapi.Object) (service ident.ServiceName, accepted bool, err error) {
	if strings.HasPrefix(o.Path, settings.AddressesPrefix) {
		service, err = c.applyAddress(o)
		return service, false, err
	}
	p, err := settings.ParsePath(o.Path)
	if err != nil {
		return service, false, err
	}
	e := c.objectsOf(p.Service)
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

func (e *serviceObjects) applySpec(o objectapi.Object) error {
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
		// An object without the JSON form of a spec is refused like a spec that is not YAML.
		spec = &settings.SpecObject{Version: o.Version, Text: o.Value, Writer: o.Writer, WriteID: o.WriteID}
	}
	e.spec, e.deletedBy = spec, ""
	return err
}

func (e *serviceObjects) applyStatus(o objectapi.Object) error {
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

func (c *storeCache) applyAccepted(p settings.Path, e *serviceObjects, o objectapi.Object) (bool, error) {
	if o.Version <= e.acceptedVersion {
		return false, nil
	}
	e.acceptedVersion, e.acceptedDeleted = o.Version, o.Deleted
	if o.Deleted {
		return false, nil
	}
	r, err := objects.ParseRevision(p.Service, o)
	if err != nil || !settings.IsNewerRevision(e.newest, r) {
		return false, err
	}
	c.setNewest(e, r, o.Writer)
	return true, nil
}

// setNewest stores the newest revision of a service and the entry that accepted it.
func (c *storeCache) setNewest(e *serviceObjects, r *record.Revision, by string) {
	e.newest, e.acceptedBy = r, by
	id := r.Service.ID()
	if !r.Deleted {
		c.idOwners[id] = r.Service
	} else if c.idOwners[id] == r.Service {
		delete(c.idOwners, id)
	}
}

func (c *storeCache) applyAddress(o objectapi.Object) (ident.ServiceName, error) {
	var noService ident.ServiceName
	at, err := settings.ParseAddressPath(o.Path)
	if err != nil {
		return noService, err
	}
	if cached := c.addresses[at]; cached != nil && o.Version <= cached.version {
		return noService, nil
	}
	if o.Deleted {
		c.setAddress(at, nil, o.Version)
		return noService, nil
	}
	object, err := objects.ParseAddress(at, o)
	if err != nil {
		return noService, err
	}
	c.setAddress(at, object, o.Version)
	return object.Service, nil
}

// setAddress stores the claim on an address, nil if its object was deleted.
func (c *storeCache) setAddress(at netip.AddrPort, object *settings.AddressObject, version uint64) {
	if cached := c.addresses[at]; cached != nil && cached.object != nil {
		delete(c.objectsOf(cached.object.Service).heldAddresses, at)
	}
	c.addresses[at] = &addressState{object: object, version: version}
	if object != nil && object.Released.IsZero() {
		c.objectsOf(object.Service).heldAddresses[at] = object
	}
}

// newestAddress returns the address in the newest revision; the zero value if there is none or it
// is a deletion.
func (e *serviceObjects) newestAddress(service ident.ServiceName) netip.AddrPort {
	if e.newest == nil || e.newest.Deleted {
		return netip.AddrPort{}
	}
	return e.specAddress(service, e.newest.Spec)
}

// releasePending reports whether the holder of a claim is about to release it: its spec was
// deleted, or its newest revision names another address.
func (c *storeCache) releasePending(object *settings.AddressObject) bool {
	if object == nil {
		return false
	}
	holder := c.services[object.Service]
	if holder == nil || holder.newest == nil {
		return false
	}
	return holder.spec == nil || settings.IsClaimUnused(object, holder.newest, holder.newestAddress(object.Service))
}

// state returns the cached objects of a service as the input of settings.NextStep.
func (c *storeCache) state(service ident.ServiceName, now time.Time) settings.State {
	e := c.objectsOf(service)
	s := settings.State{
		Service:        service,
		Now:            now,
		StoreVersion:   c.teamsVersion,
		Spec:           e.spec,
		DeletedBy:      e.deletedBy,
		Newest:         e.newest,
		RecordedNumber: e.recordedNumber,
		IDHolder:       e.idHolder,
		Status:         e.status,
	}
	if !e.acceptedDeleted {
		s.NewestObjectVersion = e.acceptedVersion
	}
	s.NewestAddress = e.newestAddress(service)
	if e.spec != nil {
		if cached := c.addresses[e.specAddress(service, e.spec.Text)]; cached != nil {
			s.SpecAddress = cached.object
			s.ReleasePending = c.releasePending(cached.object)
		}
	}
	for _, object := range e.heldAddresses {
		s.HeldAddresses = append(s.HeldAddresses, *object)
	}
	slices.SortFunc(s.HeldAddresses, func(a, b settings.AddressObject) int { return a.Address.Compare(b.Address) })
	if other, ok := c.idOwners[service.ID()]; ok && other != service {
		s.IDCollision = &other
	}
	return s
}
