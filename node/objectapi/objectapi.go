// Package objectapi is the client of the platform's object API: versioned JSON objects under paths, conditional writes, lists and
// long-poll watches over HTTP.
package objectapi

import (
	"encoding/json"
	"fmt"

	"github.com/go-faster/errors"
)

// Names of the protocol.
const (
	ObjectsPath   = "/v1/objects"
	ListPath      = "/v1/list"
	WatchPath     = "/v1/watch"
	HeaderWriter  = "Writer"   // who writes, on PUT and DELETE
	HeaderWriteID = "Write-Id" // unique per write, on PUT and DELETE
)

// MaxValueSize is the largest value that the object API accepts, in bytes.
const MaxValueSize = 1 << 20

// Object is one object, or with Deleted set the change that deleted it.
type Object struct {
	Path    string          `json:"path"`
	Version uint64          `json:"version"`
	Writer  string          `json:"writer,omitempty"`
	WriteID string          `json:"write_id,omitempty"`
	Deleted bool            `json:"deleted,omitempty"`
	Value   json.RawMessage `json:"value,omitempty"`
}

// Listing is the answer to a list or a watch: the objects, and the store version that they reflect. A watch returns the newest state of
// each object that changed after its since, deletions included, in the order of their versions.
//
// A list with a limit returns the first objects by path. Next is then the after of the call that returns those that follow, empty at the
// end.
type Listing struct {
	Version uint64   `json:"version"`
	Objects []Object `json:"objects"`
	Next    string   `json:"next,omitempty"`
}

// ErrorBody is the body of an answer that is not 2xx. Version, Writer and WriteID are those of the current object, or of its deletion.
type ErrorBody struct {
	Message string `json:"error"`
	Version uint64 `json:"version,omitempty"`
	Writer  string `json:"writer,omitempty"`
	WriteID string `json:"write_id,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

// Errors of calls. They are wrapped; compare with errors.Is.
var (
	ErrNotFound    = errors.New("object not found")
	ErrTooLarge    = errors.New("value too large")
	ErrRateLimited = errors.New("rate limited by the object API")
	ErrUnavailable = errors.New("object API unavailable")
	ErrRefused     = errors.New("refused by the object API")
)

// ConflictError tells that a conditional write lost.
type ConflictError struct {
	Path    string
	Version uint64 // of the current object; 0 if there is none
	Writer  string // of the current object
	Deleted bool   // the current state is a deletion
	// MayHaveApplied tells that the answer to an earlier attempt was lost: the write may have taken effect before the winner's.
	MayHaveApplied bool
}

// Error names the winner.
func (e *ConflictError) Error() string {
	what := "changed"
	if e.Deleted {
		what = "deleted"
	}
	text := fmt.Sprintf("conflict on %s: %s by %q in version %d", e.Path, what, e.Writer, e.Version)
	if e.Version == 0 {
		text = fmt.Sprintf("conflict on %s: the object does not exist", e.Path)
	}
	if e.MayHaveApplied {
		text += "; an answer was lost, so this write may have been in effect before"
	}
	return text
}

// Condition is what must hold of an object for a write to take effect.
type Condition struct{ version uint64 }

// Absent requires that there is no object.
func Absent() Condition { return Condition{} }

// AtVersion requires that the object has this version. Version 0 is the same as Absent.
func AtVersion(v uint64) Condition { return Condition{v} }

// Write is one conditional write.
type Write struct {
	Path   string
	If     Condition
	Value  any // encoded as JSON; ignored by Delete
	Writer string
	ID     string // unique per write; made by the client if empty
}
