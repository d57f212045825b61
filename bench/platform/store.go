// Package platform is a stand-in for the platform's object API, for demos, scenarios and measurements. It keeps objects in memory and
// produces faults on demand.
package platform

import (
	"cmp"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"lacewinglever.dev/node/objectapi"
)

// historyKept is how long superseded states are kept, for stale reads.
const historyKept = 2 * time.Minute

// Store holds versioned objects. Versions are store-wide and only increase.
type Store struct {
	now func() time.Time

	mu      sync.Mutex
	version uint64
	objects map[string][]change // states of each object, oldest first
	log     []change            // newest state of each object by version; superseded ones are removed now and then
	stale   int                 // superseded entries of log
	wake    chan struct{}       // closed at the next write
	paths   []string            // of objects, sorted
	fresh   []string            // paths that are not yet in paths
}

type change struct {
	object objectapi.Object
	at     time.Time
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{now: time.Now, objects: map[string][]change{}, wake: make(chan struct{})}
}

// Write is a conditional write. IfVersion 0 requires that there is no object.
type Write struct {
	Path      string
	IfVersion uint64
	Any       bool // no condition
	Delete    bool
	Value     json.RawMessage
	Writer    string
	WriteID   string
}

// Apply performs a write if its condition holds. It returns the current object, and whether it is the result of this write.
func (s *Store) Apply(w Write) (objectapi.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := last(s.objects[w.Path]).object
	held := current.Version
	if current.Deleted {
		held = 0
	}
	if (!w.Any && held != w.IfVersion) || (w.Delete && held == 0) {
		return current, false
	}
	s.version++
	next := objectapi.Object{
		Path:    w.Path,
		Version: s.version,
		Writer:  w.Writer,
		WriteID: w.WriteID,
		Deleted: w.Delete,
		Value:   w.Value,
	}
	s.append(next)
	close(s.wake)
	s.wake = make(chan struct{})
	return next, true
}

func (s *Store) append(o objectapi.Object) {
	entry := change{o, s.now()}
	states := s.objects[o.Path]
	if len(states) > 0 {
		s.stale++
	} else {
		s.fresh = append(s.fresh, o.Path)
	}
	keep := 0
	for keep < len(states)-1 && entry.at.Sub(states[keep+1].at) > historyKept {
		keep++
	}
	s.objects[o.Path] = append(states[keep:], entry)
	s.log = append(s.log, entry)
	if s.stale > len(s.log)/2 {
		s.log = slices.DeleteFunc(s.log, func(c change) bool {
			return last(s.objects[c.object.Path]).object.Version != c.object.Version
		})
		s.stale = 0
	}
}

// Get returns the object at the path as it was the age ago. Version 0 means that it never existed.
func (s *Store) Get(path string, age time.Duration) objectapi.Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stateAt(path, age)
}

func (s *Store) stateAt(path string, age time.Duration) objectapi.Object {
	states := s.objects[path]
	if age == 0 {
		return last(states).object
	}
	cutoff := s.now().Add(-age)
	for i := len(states) - 1; i >= 0; i-- {
		if !states[i].at.After(cutoff) {
			return states[i].object
		}
	}
	return objectapi.Object{}
}

func (s *Store) versionAt(age time.Duration) uint64 {
	if age == 0 {
		return s.version
	}
	cutoff := s.now().Add(-age)
	version := uint64(0)
	for _, states := range s.objects {
		for _, c := range states {
			if !c.at.After(cutoff) {
				version = max(version, c.object.Version)
			}
		}
	}
	return version
}

// List returns up to limit objects under the prefix as they were the age ago, by path, from the first one behind after. Limit 0 is none.
func (s *Store) List(prefix, after string, limit int, age time.Duration) objectapi.Listing {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.fresh) > 0 {
		s.paths = append(s.paths, s.fresh...)
		s.fresh = nil
		slices.Sort(s.paths)
	}
	out := objectapi.Listing{Version: s.versionAt(age), Objects: []objectapi.Object{}}
	first, _ := slices.BinarySearch(s.paths, max(prefix, after))
	for _, path := range s.paths[first:] {
		if !strings.HasPrefix(path, prefix) {
			break
		}
		o := s.stateAt(path, age)
		if o.Version == 0 || o.Deleted || path <= after {
			continue
		}
		if limit > 0 && len(out.Objects) == limit {
			out.Next = out.Objects[limit-1].Path
			break
		}
		out.Objects = append(out.Objects, o)
	}
	return out
}

// Changes returns what changed under the prefix after the version, as known the age ago, and a channel that is closed at the next write.
func (s *Store) Changes(prefix string, since uint64, age time.Duration) (objectapi.Listing, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if age > 0 {
		return s.oldChanges(prefix, since, age), s.wake
	}
	out := objectapi.Listing{Version: s.version, Objects: []objectapi.Object{}}
	first, _ := slices.BinarySearchFunc(s.log, since+1, func(c change, v uint64) int {
		return cmp.Compare(c.object.Version, v)
	})
	for _, c := range s.log[first:] {
		current := last(s.objects[c.object.Path]).object.Version == c.object.Version
		if current && strings.HasPrefix(c.object.Path, prefix) {
			out.Objects = append(out.Objects, c.object)
		}
	}
	return out, s.wake
}

// oldChanges goes through all objects, as the log holds their newest states only.
func (s *Store) oldChanges(prefix string, since uint64, age time.Duration) objectapi.Listing {
	out := objectapi.Listing{Version: s.versionAt(age), Objects: []objectapi.Object{}}
	for path := range s.objects {
		if o := s.stateAt(path, age); o.Version > since && strings.HasPrefix(path, prefix) {
			out.Objects = append(out.Objects, o)
		}
	}
	slices.SortFunc(out.Objects, func(a, b objectapi.Object) int { return cmp.Compare(a.Version, b.Version) })
	return out
}

func last(states []change) change {
	if len(states) == 0 {
		return change{}
	}
	return states[len(states)-1]
}
