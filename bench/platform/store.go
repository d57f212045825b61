// Package platform is a stand-in for the platform's object API, for demos, scenarios and
// measurements. It keeps objects in memory and injects faults on demand.
package platform

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"lacewinglever.dev/node/objectapi"
)

// historyRetention is how long superseded states are retained for stale reads.
const historyRetention = 2 * time.Minute

// Store holds versioned objects. Versions are store-wide and only increase.
type Store struct {
	now func() time.Time

	mu      sync.Mutex
	version uint64
	objects map[string][]objectState // states of each object by path, oldest first
	// changeLog has states ordered by version: the newest of each object, and superseded ones up to
	// half of all.
	changeLog     []objectState
	superseded    int           // number of superseded states in changeLog
	nextWrite     chan struct{} // closed at the next write
	sortedPaths   []string      // paths of objects, without those in unsortedPaths
	unsortedPaths []string      // paths of objects added since the last List
}

// objectState is the state of an object after the write at the time at.
type objectState struct {
	object objectapi.Object
	at     time.Time
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{now: time.Now, objects: map[string][]objectState{}, nextWrite: make(chan struct{})}
}

// StoreCopy is a copy of a store's content.
type StoreCopy struct {
	version   uint64
	objects   map[string][]objectState
	changeLog []objectState
}

// Copy returns a copy of the store's content.
func (s *Store) Copy() StoreCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return StoreCopy{s.version, cloneStates(s.objects), slices.Clone(s.changeLog)}
}

// Restore replaces the store's content by a copy: later writes are lost, and versions are given out
// again.
func (s *Store) Restore(c StoreCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version, s.objects, s.changeLog = c.version, cloneStates(c.objects), slices.Clone(c.changeLog)
	s.superseded = len(s.changeLog) - len(s.objects)
	s.sortedPaths, s.unsortedPaths = nil, slices.Collect(maps.Keys(s.objects))
	close(s.nextWrite)
	s.nextWrite = make(chan struct{})
}

func cloneStates(objects map[string][]objectState) map[string][]objectState {
	c := make(map[string][]objectState, len(objects))
	for path, states := range objects {
		c[path] = slices.Clone(states)
	}
	return c
}

// Write is a conditional write. IfVersion 0 requires that the object doesn't exist.
type Write struct {
	Path          string
	IfVersion     uint64
	Unconditional bool // ignores IfVersion
	Delete        bool
	Value         json.RawMessage
	Writer        string
	WriteID       string
}

// Apply performs a write if its condition is met. It returns the current object and whether the
// write was performed.
func (s *Store) Apply(w Write) (objectapi.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := latest(s.objects[w.Path]).object
	currentVersion := current.Version
	if current.Deleted {
		currentVersion = 0
	}
	if (!w.Unconditional && currentVersion != w.IfVersion) || (w.Delete && currentVersion == 0) {
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
	close(s.nextWrite)
	s.nextWrite = make(chan struct{})
	return next, true
}

func (s *Store) append(o objectapi.Object) {
	state := objectState{o, s.now()}
	states := s.objects[o.Path]
	if len(states) > 0 {
		s.superseded++
	} else {
		s.unsortedPaths = append(s.unsortedPaths, o.Path)
	}
	keep := 0
	for keep < len(states)-1 && state.at.Sub(states[keep+1].at) > historyRetention {
		keep++
	}
	s.objects[o.Path] = append(states[keep:], state)
	s.changeLog = append(s.changeLog, state)
	if s.superseded > len(s.changeLog)/2 {
		s.changeLog = slices.DeleteFunc(s.changeLog, func(c objectState) bool {
			return latest(s.objects[c.object.Path]).object.Version != c.object.Version
		})
		s.superseded = 0
	}
}

// Get returns the object's state as of now minus age. Version 0 means that it did not exist then.
func (s *Store) Get(path string, age time.Duration) objectapi.Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stateAt(path, age)
}

// stateAt returns the object's state as of now minus age.
func (s *Store) stateAt(path string, age time.Duration) objectapi.Object {
	states := s.objects[path]
	if age == 0 {
		return latest(states).object
	}
	cutoff := s.now().Add(-age)
	for i := len(states) - 1; i >= 0; i-- {
		if !states[i].at.After(cutoff) {
			return states[i].object
		}
	}
	return objectapi.Object{}
}

// versionAt returns the store's version as of now minus age.
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

// List returns up to limit objects under the prefix as of now minus age, ordered by path, from the
// first path greater than after. A limit of 0 means no limit.
func (s *Store) List(prefix, after string, limit int, age time.Duration) objectapi.Listing {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.unsortedPaths) > 0 {
		s.sortedPaths = append(s.sortedPaths, s.unsortedPaths...)
		s.unsortedPaths = nil
		slices.Sort(s.sortedPaths)
	}
	out := objectapi.Listing{Version: s.versionAt(age), Objects: []objectapi.Object{}}
	first, _ := slices.BinarySearch(s.sortedPaths, max(prefix, after))
	for _, path := range s.sortedPaths[first:] {
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

// Changes returns the objects under the prefix that changed after the version since, as of now
// minus age, and a channel that is closed at the next write.
func (s *Store) Changes(prefix string, since uint64, age time.Duration) (objectapi.Listing, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if age > 0 {
		return s.staleChanges(prefix, since, age), s.nextWrite
	}
	out := objectapi.Listing{Version: s.version, Objects: []objectapi.Object{}}
	first, _ := slices.BinarySearchFunc(s.changeLog, since+1, func(c objectState, v uint64) int {
		return cmp.Compare(c.object.Version, v)
	})
	for _, c := range s.changeLog[first:] {
		current := latest(s.objects[c.object.Path]).object.Version == c.object.Version
		if current && strings.HasPrefix(c.object.Path, prefix) {
			out.Objects = append(out.Objects, c.object)
		}
	}
	return out, s.nextWrite
}

// staleChanges implements Changes for an age above 0. It goes through all objects, because
// changeLog lacks the superseded states that were removed from it.
func (s *Store) staleChanges(prefix string, since uint64, age time.Duration) objectapi.Listing {
	out := objectapi.Listing{Version: s.versionAt(age), Objects: []objectapi.Object{}}
	for path := range s.objects {
		if o := s.stateAt(path, age); o.Version > since && strings.HasPrefix(path, prefix) {
			out.Objects = append(out.Objects, o)
		}
	}
	slices.SortFunc(out.Objects, func(a, b objectapi.Object) int { return cmp.Compare(a.Version, b.Version) })
	return out
}

func latest(states []objectState) objectState {
	if len(states) == 0 {
		return objectState{}
	}
	return states[len(states)-1]
}
