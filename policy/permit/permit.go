// Package permit issues and admits permits: tokens that let a non-idempotent request run at most
// once. Only the process that issued a permit, or the one that adopted its registry, admits it.
// Time is an argument.
package permit

import (
	"cmp"
	"container/heap"
	"encoding/base64"
	"encoding/binary"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"lacewinglever.dev/policy/ident"
)

// Lifetimes of permits and of their outcomes.
const (
	// Validity is how long after its issue a permit may be admitted.
	Validity = 60 * time.Second
	// Retention is how long after the expiry of its permit an outcome is kept.
	Retention = 10 * time.Minute
)

// Layout of a permit, in bytes: service, agent, incarnation, number and expiry (8 each), key ID
// (1), tag (8).
const (
	bodySize  = 40
	tokenSize = bodySize + 1 + 8
)

// tagLabel separates the tags of permits from other tags made with the same keys.
const tagLabel = "permit1"

// Errors of Parse.
var (
	// ErrMalformed means that the text does not have the form of a permit.
	ErrMalformed = errors.New("permit: malformed")
	// ErrNotAuthentic means that the tag is wrong or its key is unknown. The latter happens to an
	// old permit after a key rotation.
	ErrNotAuthentic = errors.New("permit: not authentic")
)

// Tagger makes and checks keyed tags.
type Tagger interface {
	Tag(b []byte) (keyID byte, tag uint64)
	Check(keyID byte, tag uint64, b []byte) bool
}

// Permit is the content of a permit.
type Permit struct {
	Service     ident.ServiceID
	Agent       ident.NodeID
	Incarnation ident.Incarnation
	Number      uint64
	Expiry      time.Time // with a precision of milliseconds
}

// signedBytes returns what the tag covers: the label and the fields of the permit.
func (p *Permit) signedBytes() []byte {
	b := append(make([]byte, 0, len(tagLabel)+tokenSize), tagLabel...)
	b = binary.BigEndian.AppendUint64(b, uint64(p.Service))
	b = binary.BigEndian.AppendUint64(b, uint64(p.Agent))
	b = binary.BigEndian.AppendUint64(b, uint64(p.Incarnation))
	b = binary.BigEndian.AppendUint64(b, p.Number)
	return binary.BigEndian.AppendUint64(b, uint64(p.Expiry.UnixMilli()))
}

// Format returns p as the text of the header Lacewing-Permit.
func (p *Permit) Format(t Tagger) string {
	b := p.signedBytes()
	keyID, tag := t.Tag(b)
	b = append(b, keyID)
	b = binary.BigEndian.AppendUint64(b, tag)
	return base64.RawURLEncoding.EncodeToString(b[len(tagLabel):])
}

// Parse reads a permit and checks its tag. It returns ErrMalformed or ErrNotAuthentic.
func Parse(text string, t Tagger) (Permit, error) {
	if len(text) != base64.RawURLEncoding.EncodedLen(tokenSize) {
		return Permit{}, ErrMalformed
	}
	b, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil {
		return Permit{}, ErrMalformed
	}
	p := Permit{
		Service:     ident.ServiceID(binary.BigEndian.Uint64(b)),
		Agent:       ident.NodeID(binary.BigEndian.Uint64(b[8:])),
		Incarnation: ident.Incarnation(binary.BigEndian.Uint64(b[16:])),
		Number:      binary.BigEndian.Uint64(b[24:]),
		Expiry:      time.UnixMilli(int64(binary.BigEndian.Uint64(b[32:]))),
	}
	if !t.Check(b[bodySize], binary.BigEndian.Uint64(b[bodySize+1:]), p.signedBytes()) {
		return Permit{}, ErrNotAuthentic
	}
	return p, nil
}

// Verdict is the decision on a request that presents a permit.
type Verdict uint8

// Verdicts of Registry.Admit.
const (
	Admitted       Verdict = iota // first presentation: run the request, then call Finish
	InFlight                      // an earlier presentation is running: wait for its outcome
	Recorded                      // the outcome of the first presentation is returned
	Expired                       // expired and never admitted: did not run and will not
	Void                          // never admitted and invalidated for lack of capacity: did not run and will not
	Mismatch                      // the permit was admitted with another request
	OtherIssuer                   // another process issued the permit
	OutcomeExpired                // the outcome is no longer kept; the request may have run
	Closed                        // the registry was handed over to another process
)

// entry is an admitted permit with its outcome.
type entry[R any] struct {
	number    uint64
	keepUntil time.Time // end of the retention
	digest    uint64
	finished  bool
	result    R
	size      int
}

// Options configure a Registry.
type Options[R any] struct {
	Service        ident.ServiceID
	Agent          ident.NodeID
	Incarnation    ident.Incarnation
	Tagger         Tagger
	MaxEntries     int       // limit of the number of admitted permits that are kept
	MaxResultBytes int       // limit of the total size of the recorded results, as passed to Finish
	Shrink         func(R) R // returns a result with the same outcome that takes next to no memory
}

// Registry issues the permits of one process and keeps the admitted ones with their outcomes. It is
// not safe for concurrent use.
type Registry[R any] struct {
	options          Options[R]
	lastNumber       uint64
	entries          map[uint64]*entry[R]
	expiry           expiryHeap[R]
	shrinkable       []*entry[R] // finished entries with a size, oldest first
	resultBytes      int
	voidUpTo         uint64 // permits up to this number that were not admitted are void
	admissionStopped bool   // no new permit is admitted
	closed           bool
	// latestTime is the latest time passed in. A clock that is set back must not make an expired
	// permit valid again.
	latestTime time.Time
}

// NewRegistry returns an empty registry for a process.
func NewRegistry[R any](o Options[R]) *Registry[R] {
	return &Registry[R]{options: o, entries: map[uint64]*entry[R]{}}
}

// SetTagger replaces the tagger, for key rotation.
func (r *Registry[R]) SetTagger(t Tagger) { r.options.Tagger = t }

// Issue returns a new permit. The registry stores nothing for it until it is admitted.
func (r *Registry[R]) Issue(now time.Time) string {
	r.lastNumber++
	p := Permit{
		Service:     r.options.Service,
		Agent:       r.options.Agent,
		Incarnation: r.options.Incarnation,
		Number:      r.lastNumber,
		Expiry:      r.advanceClock(now).Add(Validity),
	}
	return p.Format(r.options.Tagger)
}

// Admit decides on a request that presents p, which Parse has checked. digest identifies the
// content of the request. The result is set for Recorded.
func (r *Registry[R]) Admit(now time.Time, p Permit, digest uint64) (Verdict, R) {
	var none R
	now = r.advanceClock(now)
	r.expire(now)
	o := &r.options
	if p.Service != o.Service || p.Agent != o.Agent || p.Incarnation != o.Incarnation {
		return OtherIssuer, none
	}
	if r.closed {
		return Closed, none
	}
	if e, ok := r.entries[p.Number]; ok {
		return e.repeatVerdict(digest), e.result
	}
	if v := r.firstVerdict(now, p); v != Admitted {
		return v, none
	}
	if r.admissionStopped {
		return Closed, none
	}
	e := &entry[R]{number: p.Number, keepUntil: p.Expiry.Add(Retention), digest: digest}
	r.entries[p.Number] = e
	heap.Push(&r.expiry, e)
	return Admitted, none
}

// repeatVerdict decides on a permit that was presented before.
func (e *entry[R]) repeatVerdict(digest uint64) Verdict {
	if e.digest != digest {
		return Mismatch
	}
	if !e.finished {
		return InFlight
	}
	return Recorded
}

// firstVerdict decides on a permit that has no entry.
func (r *Registry[R]) firstVerdict(now time.Time, p Permit) Verdict {
	if !now.Before(p.Expiry.Add(Retention)) {
		return OutcomeExpired
	}
	if !now.Before(p.Expiry) {
		return Expired
	}
	if p.Number <= r.voidUpTo {
		return Void
	}
	if len(r.entries) >= r.options.MaxEntries {
		// All permits up to this one that were not admitted become void, so that the refusal stays
		// final without an entry for it.
		r.voidUpTo = p.Number
		return Void
	}
	return Admitted
}

// Finish records the outcome of an admitted permit. size is the memory that the result takes, in
// bytes. When the results exceed MaxResultBytes, the oldest are replaced by what Options.Shrink
// returns, which keeps their outcome.
func (r *Registry[R]) Finish(p Permit, result R, size int) {
	e, ok := r.entries[p.Number]
	if !ok || e.finished {
		return
	}
	e.finished, e.result, e.size = true, result, size
	r.resultBytes += size
	if size > 0 {
		r.shrinkable = append(r.shrinkable, e)
	}
	for r.resultBytes > r.options.MaxResultBytes && len(r.shrinkable) > 0 {
		r.shrink(r.shrinkable[0])
		r.trimShrinkable()
	}
}

// trimShrinkable removes leading entries whose result was shrunk or has expired.
func (r *Registry[R]) trimShrinkable() {
	for len(r.shrinkable) > 0 && r.shrinkable[0].size == 0 {
		r.shrinkable[0] = nil
		r.shrinkable = r.shrinkable[1:]
	}
}

func (r *Registry[R]) shrink(e *entry[R]) {
	r.resultBytes -= e.size
	e.result, e.size = r.options.Shrink(e.result), 0
}

// Admission is an admitted permit with its outcome, in the form in which it is handed over to
// another process.
type Admission[R any] struct {
	Number    uint64
	KeepUntil time.Time // end of the retention of the outcome
	Digest    uint64
	Result    R
	Size      int // memory that the result takes, in bytes
}

// Stop ends new admissions. Requests in flight may still finish, and outcomes are still returned.
func (r *Registry[R]) Stop() { r.admissionStopped = true }

// Close ends all admission. It returns the admissions, and the number up to which permits that were
// not admitted are void. Admissions without an outcome get the result unfinished.
func (r *Registry[R]) Close(now time.Time, unfinished R) (admissions []Admission[R], voidUpTo uint64) {
	r.admissionStopped, r.closed = true, true
	r.expire(r.advanceClock(now))
	for _, e := range r.entries {
		a := Admission[R]{Number: e.number, KeepUntil: e.keepUntil, Digest: e.digest, Result: unfinished}
		if e.finished {
			a.Result, a.Size = e.result, e.size
		}
		admissions = append(admissions, a)
	}
	slices.SortFunc(admissions, func(x, y Admission[R]) int { return cmp.Compare(x.Number, y.Number) })
	return admissions, r.voidUpTo
}

// Stopped reports whether new admissions have ended.
func (r *Registry[R]) Stopped() bool { return r.admissionStopped }

// Adopt adds an admission from the closed registry of the same issuer. It may be repeated.
func (r *Registry[R]) Adopt(a Admission[R]) {
	if _, ok := r.entries[a.Number]; ok {
		return
	}
	e := &entry[R]{number: a.Number, keepUntil: a.KeepUntil, digest: a.Digest}
	r.entries[a.Number] = e
	heap.Push(&r.expiry, e)
	r.Finish(Permit{Number: a.Number}, a.Result, a.Size)
}

// VoidUpTo invalidates the permits up to a number that were not admitted.
func (r *Registry[R]) VoidUpTo(number uint64) { r.voidUpTo = max(r.voidUpTo, number) }

// Len returns the number of admitted permits that are kept.
func (r *Registry[R]) Len() int { return len(r.entries) }

// expire removes outcomes after their retention. Entries of requests in flight stay.
func (r *Registry[R]) expire(now time.Time) {
	for len(r.expiry) > 0 && !now.Before(r.expiry[0].keepUntil) {
		e := heap.Pop(&r.expiry).(*entry[R])
		if !e.finished {
			e.keepUntil = now.Add(Validity)
			heap.Push(&r.expiry, e)
			continue
		}
		var none R
		r.resultBytes -= e.size
		e.result, e.size = none, 0
		delete(r.entries, e.number)
	}
	r.trimShrinkable()
}

// advanceClock returns now, or the latest time passed in if that is later.
func (r *Registry[R]) advanceClock(now time.Time) time.Time {
	if now.After(r.latestTime) {
		r.latestTime = now
	}
	return r.latestTime
}

type expiryHeap[R any] []*entry[R]

func (h expiryHeap[R]) Len() int           { return len(h) }
func (h expiryHeap[R]) Less(i, j int) bool { return h[i].keepUntil.Before(h[j].keepUntil) }
func (h expiryHeap[R]) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push is part of heap.Interface.
func (h *expiryHeap[R]) Push(e any) { *h = append(*h, e.(*entry[R])) }

// Pop is part of heap.Interface.
func (h *expiryHeap[R]) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return e
}
