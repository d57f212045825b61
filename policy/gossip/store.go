// Package gossip decides which records a node exchanges with its peers. It stores the node's
// records, finds the differing ones for anti-entropy, and queues the records to push.
package gossip

import (
	"encoding/binary"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/record"
)

// Buckets is the number of digests that two peers compare to find where their records differ.
const Buckets = 256

const shardCount = 16

// Digests holds one digest per bucket, the exclusive or of the digests of its records, so that
// their order doesn't matter.
type Digests [Buckets]uint64

// Root returns the digest of all buckets.
func (d *Digests) Root() uint64 {
	var root uint64
	for _, x := range d {
		root ^= x
	}
	return root
}

// Differing returns the buckets in which the digests differ.
func (d *Digests) Differing(other *Digests) *BucketSet {
	var s BucketSet
	for i := range d {
		s[i] = d[i] != other[i]
	}
	return &s
}

// BucketSet is a set of buckets.
type BucketSet [Buckets]bool

// Filter selects the records that an agent keeps. The zero value selects all.
type Filter struct {
	Service    ident.ServiceID  // selects the service's revision and its agents
	DataCentre ident.DataCentre // selects the entries of this data centre; empty: all entries
}

// All reports whether the filter selects every record.
func (f Filter) All() bool { return f == Filter{} }

// Matches reports whether the filter selects the record. Records of scopes are few and always
// selected.
func (f Filter) Matches(r *record.Record) bool {
	switch {
	case f.All() || r.Scope != nil:
		return true
	case r.Service != nil:
		return r.Service.Service.ID() == f.Service
	case r.Node.Entry:
		return f.DataCentre == "" || r.Node.DataCentre == f.DataCentre
	}
	return r.Node.Service == f.Service
}

// groupKind is what the records of a group have in common.
type groupKind uint8

const (
	groupScopes  groupKind = iota + 1 // all scopes
	groupService                      // a service's revision and its agents
	groupEntries                      // entries of a data centre
)

// group is a set of records that a filter selects as a whole.
type group struct {
	kind       groupKind
	service    ident.ServiceID
	dataCentre ident.DataCentre
}

func groupOf(r *record.Record) group {
	switch {
	case r.Scope != nil:
		return group{kind: groupScopes}
	case r.Service != nil:
		return group{kind: groupService, service: r.Service.Service.ID()}
	case r.Node.Entry:
		return group{kind: groupEntries, dataCentre: r.Node.DataCentre}
	}
	return group{kind: groupService, service: r.Node.Service}
}

type stored struct {
	record record.Record
	group  group
	digest uint64
}

// shard holds the records of some buckets. Their groups keep the cost of a filtered exchange
// proportional to the records that it selects, because an entry answers several agents per second.
type shard struct {
	mu      sync.RWMutex
	records map[string]*stored
	groups  map[group]map[string]*stored
	digests [Buckets / shardCount]uint64
}

// Store holds the newest version of each record. Its methods are safe for concurrent use.
type Store struct {
	shards [shardCount]shard
}

// NewStore returns an empty store.
func NewStore() *Store {
	s := &Store{}
	for i := range s.shards {
		s.shards[i].records = map[string]*stored{}
		s.shards[i].groups = map[group]map[string]*stored{}
	}
	return s
}

// Merge stores r if it is newer than the stored record of its key, and reports whether it was.
// Versions never go back.
func (s *Store) Merge(r record.Record) bool {
	bucket := Bucket(r.Key)
	sh := &s.shards[bucket%shardCount]
	digest := digestOf(&r)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if old := sh.records[r.Key]; old != nil {
		if r.Version.Compare(old.record.Version) <= 0 {
			return false
		}
		sh.digests[bucket/shardCount] ^= old.digest
		sh.removeFromGroup(old)
	}
	sh.digests[bucket/shardCount] ^= digest
	sh.put(&stored{r, groupOf(&r), digest})
	return true
}

func (sh *shard) put(r *stored) {
	sh.records[r.record.Key] = r
	if sh.groups[r.group] == nil {
		sh.groups[r.group] = map[string]*stored{}
	}
	sh.groups[r.group][r.record.Key] = r
}

func (sh *shard) removeFromGroup(r *stored) {
	delete(sh.groups[r.group], r.record.Key)
	if len(sh.groups[r.group]) == 0 {
		delete(sh.groups, r.group)
	}
}

// each calls do for every record that the filter selects.
func (sh *shard) each(f Filter, do func(key string, r *stored)) {
	visit := func(records map[string]*stored) {
		for key, r := range records {
			do(key, r)
		}
	}
	if f.All() {
		visit(sh.records)
		return
	}
	visit(sh.groups[group{kind: groupScopes}])
	visit(sh.groups[group{kind: groupService, service: f.Service}])
	if f.DataCentre != "" {
		visit(sh.groups[group{kind: groupEntries, dataCentre: f.DataCentre}])
		return
	}
	for g, records := range sh.groups {
		if g.kind == groupEntries {
			visit(records)
		}
	}
}

// Expire removes and returns the records of nodes that ended longer than the retention time ago.
func (s *Store) Expire(now time.Time) []record.Record {
	var out []record.Record
	for i := range s.shards {
		out = s.shards[i].expire(now, out)
	}
	return out
}

func (sh *shard) expire(now time.Time, out []record.Record) []record.Record {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for key, r := range sh.records {
		if r.record.Node == nil || !r.record.Node.Expired(now) {
			continue
		}
		sh.digests[Bucket(key)/shardCount] ^= r.digest
		sh.removeFromGroup(r)
		delete(sh.records, key)
		out = append(out, r.record)
	}
	return out
}

// Get returns the newest record of a key.
func (s *Store) Get(key string) (record.Record, bool) {
	sh := &s.shards[Bucket(key)%shardCount]
	sh.mu.RLock()
	defer sh.mu.RUnlock()
	r := sh.records[key]
	if r == nil {
		return record.Record{}, false
	}
	return r.record, true
}

// Len returns the number of records.
func (s *Store) Len() int {
	n := 0
	for i := range s.shards {
		s.shards[i].mu.RLock()
		n += len(s.shards[i].records)
		s.shards[i].mu.RUnlock()
	}
	return n
}

// Digests returns the digests of the records that the filter selects. Without a filter they are
// maintained incrementally.
func (s *Store) Digests(f Filter) *Digests {
	var d Digests
	for i := range s.shards {
		sh := &s.shards[i]
		sh.mu.RLock()
		if f.All() {
			for j, x := range sh.digests {
				d[j*shardCount+i] = x
			}
		} else {
			sh.each(f, func(key string, r *stored) { d[Bucket(key)] ^= r.digest })
		}
		sh.mu.RUnlock()
	}
	return &d
}

// Each calls do for every record that the filter selects in these buckets, or in all buckets if
// nil. It holds no lock during the calls.
func (s *Store) Each(f Filter, buckets *BucketSet, do func(record.Record)) {
	for i := range s.shards {
		for _, r := range s.shards[i].selected(f, buckets) {
			do(r)
		}
	}
}

func (sh *shard) selected(f Filter, buckets *BucketSet) []record.Record {
	sh.mu.RLock()
	defer sh.mu.RUnlock()
	var out []record.Record
	sh.each(f, func(key string, r *stored) {
		if buckets == nil || buckets[Bucket(key)] {
			out = append(out, r.record)
		}
	})
	return out
}

// RecordDigests returns the digests of the records that the filter selects in these buckets. A
// digest stands for a key with its version and takes 8 bytes, whereas a record takes about 200.
func (s *Store) RecordDigests(f Filter, buckets *BucketSet) []uint64 {
	var out []uint64
	s.Each(f, buckets, func(r record.Record) { out = append(out, digestOf(&r)) })
	return out
}

// Missing compares the records in these buckets with the digests of a peer's records. It returns
// the records that the peer lacks, settings first, and the digests that have no record here.
func (s *Store) Missing(f Filter, buckets *BucketSet, held []uint64) (records []record.Record, unknown []uint64) {
	peerDigests := newDigestSet(held)
	var others []record.Record
	s.Each(f, buckets, func(r record.Record) {
		d := digestOf(&r)
		switch {
		case peerDigests[d]:
			delete(peerDigests, d)
		case r.Service != nil:
			records = append(records, r)
		default:
			others = append(others, r)
		}
	})
	for d := range peerDigests {
		unknown = append(unknown, d)
	}
	return append(records, others...), unknown
}

// Find returns the records in these buckets that have one of the digests.
func (s *Store) Find(f Filter, buckets *BucketSet, digests []uint64) []record.Record {
	wanted := newDigestSet(digests)
	var out []record.Record
	s.Each(f, buckets, func(r record.Record) {
		if wanted[digestOf(&r)] {
			out = append(out, r)
		}
	})
	return out
}

func newDigestSet(digests []uint64) map[uint64]bool {
	set := make(map[uint64]bool, len(digests))
	for _, d := range digests {
		set[d] = true
	}
	return set
}

// Bucket returns the bucket of a key.
func Bucket(key string) int { return int(xxhash.Sum64String(key) % Buckets) }

// digestOf returns the digest of a record's key and version. Equal versions of a key have equal
// bodies.
func digestOf(r *record.Record) uint64 {
	var b [28]byte
	binary.BigEndian.PutUint64(b[:], xxhash.Sum64String(r.Key))
	binary.BigEndian.PutUint64(b[8:], r.Version.Major)
	binary.BigEndian.PutUint64(b[16:], r.Version.Minor)
	binary.BigEndian.PutUint32(b[24:], r.Version.Rank)
	return xxhash.Sum64(b[:])
}
