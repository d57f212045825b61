// Package spread keeps the records that a node knows and decides what to exchange with peers: digests, deltas and the push queue.
package spread

import (
	"encoding/binary"
	"sync"

	"github.com/cespare/xxhash/v2"

	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/record"
)

// Buckets is the number of digests that two peers compare to find where they differ.
const Buckets = 256

const shardCount = 16

// Digests holds one digest per bucket. A bucket's digest is the exclusive or of its records' digests, so it does not depend on order.
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

// Filter selects the records that an agent keeps. The zero value selects everything.
type Filter struct {
	Service    ident.ServiceID  // the service's revision and its agents
	DataCentre ident.DataCentre // entries of this data centre; empty: all entries
}

// All tells whether the filter selects everything.
func (f Filter) All() bool { return f == Filter{} }

// Match tells whether the filter selects the record. Scope records are few and always selected.
func (f Filter) Match(r *record.Record) bool {
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

type stored struct {
	record record.Record
	digest uint64
}

type shard struct {
	mu      sync.RWMutex
	records map[string]stored
	digests [Buckets / shardCount]uint64
}

// Store holds the newest version of each record. Its methods may be called from any goroutine.
type Store struct {
	shards [shardCount]shard
}

// NewStore returns an empty store.
func NewStore() *Store {
	s := &Store{}
	for i := range s.shards {
		s.shards[i].records = map[string]stored{}
	}
	return s
}

// Merge keeps r if it is newer than what is known of its key, and tells whether it was. Versions never go back.
func (s *Store) Merge(r record.Record) bool {
	bucket := Bucket(r.Key)
	sh := &s.shards[bucket%shardCount]
	digest := digestOf(&r)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	old, known := sh.records[r.Key]
	if known && r.Version.Compare(old.record.Version) <= 0 {
		return false
	}
	sh.records[r.Key] = stored{r, digest}
	sh.digests[bucket/shardCount] ^= old.digest ^ digest
	return true
}

// Get returns the newest record of a key.
func (s *Store) Get(key string) (record.Record, bool) {
	sh := &s.shards[Bucket(key)%shardCount]
	sh.mu.RLock()
	defer sh.mu.RUnlock()
	r, ok := sh.records[key]
	return r.record, ok
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

// Digests returns the digests of the records that the filter selects. Without a filter they are kept incrementally.
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
			sh.addDigests(f, &d)
		}
		sh.mu.RUnlock()
	}
	return &d
}

func (sh *shard) addDigests(f Filter, d *Digests) {
	for key, r := range sh.records {
		if f.Match(&r.record) {
			d[Bucket(key)] ^= r.digest
		}
	}
}

// Each calls do for every record that the filter selects in these buckets, all buckets if nil. It holds no lock during the call.
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
	for key, r := range sh.records {
		if (buckets == nil || buckets[Bucket(key)]) && f.Match(&r.record) {
			out = append(out, r.record)
		}
	}
	return out
}

// Delta returns the records in these buckets that are newer than what the peer said it holds, those of settings first.
func (s *Store) Delta(f Filter, buckets *BucketSet, held map[string]record.Version) []record.Record {
	var settings, others []record.Record
	s.Each(f, buckets, func(r record.Record) {
		if v, ok := held[r.Key]; ok && r.Version.Compare(v) <= 0 {
			return
		}
		if r.Service != nil {
			settings = append(settings, r)
		} else {
			others = append(others, r)
		}
	})
	return append(settings, others...)
}

// Bucket returns the bucket of a key.
func Bucket(key string) int { return int(xxhash.Sum64String(key) % Buckets) }

// digestOf covers key and version: equal versions of a key have equal bodies.
func digestOf(r *record.Record) uint64 {
	var b [28]byte
	binary.BigEndian.PutUint64(b[:], xxhash.Sum64String(r.Key))
	binary.BigEndian.PutUint64(b[8:], r.Version.Major)
	binary.BigEndian.PutUint64(b[16:], r.Version.Minor)
	binary.BigEndian.PutUint32(b[24:], r.Version.Rank)
	return xxhash.Sum64(b[:])
}
