// Package permit issues and admits permits: tokens that let a non-idempotent request run at most once. The process that issued a permit
// is the only one that admits it. Time is passed in.
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
	// Validity is how long a permit may be admitted after its issue.
	Validity = 60 * time.Second
	// Retention is how long an outcome is kept after the permit's expiry.
	Retention = 10 * time.Minute
)

// Layout of a permit, in bytes: service, agent, incarnation, number and expiry (8 each), key id (1), tag (8).
const (
	bodySize  = 40
	tokenSize = bodySize + 1 + 8
)

// label keeps the tags of permits apart from others made with the same keys.
const label = "permit1"

// Errors of Parse.
var (
	// ErrMalformed means that the text is no permit at all.
	ErrMalformed = errors.New("permit: malformed")
	// ErrNotAuthentic means that the tag is wrong or its key is unknown. After a key rotation, an old permit looks like this.
	ErrNotAuthentic = errors.New("permit: not authentic")
)

// Tagger makes and checks keyed tags.
type Tagger interface {
	Tag(b []byte) (keyID byte, tag uint64)
	Check(keyID byte, tag uint64, b []byte) bool
}

// Permit is what a permit says.
type Permit struct {
	Service     ident.ServiceID
	Agent       ident.NodeID
	Incarnation ident.Incarnation
	Number      uint64
	Expiry      time.Time // in milliseconds
}

func (p *Permit) body() []byte {
	b := append(make([]byte, 0, len(label)+tokenSize), label...)
	b = binary.BigEndian.AppendUint64(b, uint64(p.Service))
	b = binary.BigEndian.AppendUint64(b, uint64(p.Agent))
	b = binary.BigEndian.AppendUint64(b, uint64(p.Incarnation))
	b = binary.BigEndian.AppendUint64(b, p.Number)
	return binary.BigEndian.AppendUint64(b, uint64(p.Expiry.UnixMilli()))
}

// Format writes p as the text of the header Lacewing-Permit.
func (p *Permit) Format(t Tagger) string {
	b := p.body()
	keyID, tag := t.Tag(b)
	b = append(b, keyID)
	b = binary.BigEndian.AppendUint64(b, tag)
	return base64.RawURLEncoding.EncodeToString(b[len(label):])
}

// Parse reads a permit and checks its tag. Errors: ErrMalformed, ErrNotAuthentic.
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
	if !t.Check(b[bodySize], binary.BigEndian.Uint64(b[bodySize+1:]), p.body()) {
		return Permit{}, ErrNotAuthentic
	}
	return p, nil
}

// Verdict tells what becomes of a request that presents a permit.
type Verdict uint8

// Verdicts of Book.Admit.
const (
	Admitted       Verdict = iota // first presentation: run the request, then call Finish
	InFlight                      // an earlier presentation is running: its outcome is this one's
	Recorded                      // the outcome of the first presentation is returned
	Expired                       // expired and never admitted: it did not run and will not
	Void                          // never admitted and made invalid for want of room: it did not run and will not
	Mismatch                      // the permit was admitted with another request
	OtherIssuer                   // another process issued it
	OutcomeExpired                // its outcome is no longer kept, and it may have run
	Closed                        // the book was handed over to another process
)

type entry[R any] struct {
	number   uint64
	keep     time.Time // end of the retention
	digest   uint64
	finished bool
	result   R
	size     int
}

// Options configure a Book.
type Options[R any] struct {
	Service        ident.ServiceID
	Agent          ident.NodeID
	Incarnation    ident.Incarnation
	Tagger         Tagger
	MaxEntries     int       // largest number of admitted permits that are remembered
	MaxResultBytes int       // largest size of all recorded results, as given to Finish
	Shrink         func(R) R // returns a result of the same outcome that takes next to no memory
}

// Registry issues the permits of one process and remembers those that were admitted. It is not safe for concurrent use.
type Registry[R any] struct {
	options   Options[R]
	issued    uint64
	entries   map[uint64]*entry[R]
	expiry    expiryHeap[R]
	order     []*entry[R] // finished ones with a size, oldest first
	bytes     int
	voidBelow uint64 // highest number that was made void
	stopped   bool   // admits nothing new
	closed    bool
	latest    time.Time // latest time passed in, so that a clock that is set back revives no permit
}

// NewRegistry returns the book of a process.
func NewRegistry[R any](o Options[R]) *Registry[R] {
	return &Registry[R]{options: o, entries: map[uint64]*entry[R]{}}
}

// SetTagger replaces the tagger, for key rotation.
func (b *Registry[R]) SetTagger(t Tagger) { b.options.Tagger = t }

// Issue returns a new permit. It needs no memory until it is admitted.
func (b *Registry[R]) Issue(now time.Time) string {
	b.issued++
	p := Permit{
		Service:     b.options.Service,
		Agent:       b.options.Agent,
		Incarnation: b.options.Incarnation,
		Number:      b.issued,
		Expiry:      b.clock(now).Add(Validity),
	}
	return p.Format(b.options.Tagger)
}

// Admit decides on a request that presents p, which Parse has checked. digest identifies the request's content. The result is set for
// Recorded.
func (b *Registry[R]) Admit(now time.Time, p Permit, digest uint64) (Verdict, R) {
	var none R
	now = b.clock(now)
	b.expire(now)
	o := &b.options
	if p.Service != o.Service || p.Agent != o.Agent || p.Incarnation != o.Incarnation {
		return OtherIssuer, none
	}
	if b.closed {
		return Closed, none
	}
	if e, ok := b.entries[p.Number]; ok {
		return e.verdict(digest), e.result
	}
	if v := b.unseen(now, p); v != Admitted {
		return v, none
	}
	if b.stopped {
		return Closed, none
	}
	e := &entry[R]{number: p.Number, keep: p.Expiry.Add(Retention), digest: digest}
	b.entries[p.Number] = e
	heap.Push(&b.expiry, e)
	return Admitted, none
}

func (e *entry[R]) verdict(digest uint64) Verdict {
	if e.digest != digest {
		return Mismatch
	}
	if !e.finished {
		return InFlight
	}
	return Recorded
}

// unseen decides on a permit without an entry.
func (b *Registry[R]) unseen(now time.Time, p Permit) Verdict {
	if !now.Before(p.Expiry.Add(Retention)) {
		return OutcomeExpired
	}
	if !now.Before(p.Expiry) {
		return Expired
	}
	if p.Number <= b.voidBelow {
		return Void
	}
	if len(b.entries) >= b.options.MaxEntries {
		// Every permit up to this one that was not admitted becomes void, which keeps the refusal firm without memory for it.
		b.voidBelow = p.Number
		return Void
	}
	return Admitted
}

// Finish records the outcome of an admitted permit. size is the memory that the result takes, in bytes. When the results no longer fit, the
// oldest are replaced by what Options.Shrink returns, which keeps their outcome.
func (b *Registry[R]) Finish(p Permit, result R, size int) {
	e, ok := b.entries[p.Number]
	if !ok || e.finished {
		return
	}
	e.finished, e.result, e.size = true, result, size
	b.bytes += size
	if size > 0 {
		b.order = append(b.order, e)
	}
	for b.bytes > b.options.MaxResultBytes && len(b.order) > 0 {
		b.shrink(b.order[0])
		b.trim()
	}
}

// trim drops leading entries whose result was shrunk or forgotten.
func (b *Registry[R]) trim() {
	for len(b.order) > 0 && b.order[0].size == 0 {
		b.order[0] = nil
		b.order = b.order[1:]
	}
}

func (b *Registry[R]) shrink(e *entry[R]) {
	b.bytes -= e.size
	e.result, e.size = b.options.Shrink(e.result), 0
}

// Admission is an admitted permit with its outcome, in the form in which one process passes it to another.
type Admission[R any] struct {
	Number    uint64
	KeepUntil time.Time // how long the outcome is kept
	Digest    uint64
	Result    R
	Size      int // memory that the result takes, in bytes
}

// Stop ends new admissions. Those that run may still finish, and outcomes are still told.
func (b *Registry[R]) Stop() { b.stopped = true }

// Close ends the book and returns its admissions, and the number up to which permits that were not admitted are void. It admits nothing from now on.
// Admissions without an outcome get the one given.
func (b *Registry[R]) Close(now time.Time, unfinished R) (admissions []Admission[R], voidBelow uint64) {
	b.stopped, b.closed = true, true
	b.expire(b.clock(now))
	for _, e := range b.entries {
		a := Admission[R]{Number: e.number, KeepUntil: e.keep, Digest: e.digest, Result: unfinished}
		if e.finished {
			a.Result, a.Size = e.result, e.size
		}
		admissions = append(admissions, a)
	}
	slices.SortFunc(admissions, func(x, y Admission[R]) int { return cmp.Compare(x.Number, y.Number) })
	return admissions, b.voidBelow
}

// Stopped tells whether the book admits nothing new.
func (b *Registry[R]) Stopped() bool { return b.stopped }

// Adopt takes over an admission of the closed book of the same issuer. It may be repeated.
func (b *Registry[R]) Adopt(a Admission[R]) {
	if _, ok := b.entries[a.Number]; ok {
		return
	}
	e := &entry[R]{number: a.Number, keep: a.KeepUntil, digest: a.Digest}
	b.entries[a.Number] = e
	heap.Push(&b.expiry, e)
	b.Finish(Permit{Number: a.Number}, a.Result, a.Size)
}

// VoidUpTo makes permits up to a number invalid that were not admitted.
func (b *Registry[R]) VoidUpTo(below uint64) { b.voidBelow = max(b.voidBelow, below) }

// Len returns how many admitted permits are remembered.
func (b *Registry[R]) Len() int { return len(b.entries) }

// expire forgets outcomes after their retention. Permits that still run are kept.
func (b *Registry[R]) expire(now time.Time) {
	for len(b.expiry) > 0 && !now.Before(b.expiry[0].keep) {
		e := heap.Pop(&b.expiry).(*entry[R])
		if !e.finished {
			e.keep = now.Add(Validity)
			heap.Push(&b.expiry, e)
			continue
		}
		var none R
		b.bytes -= e.size
		e.result, e.size = none, 0
		delete(b.entries, e.number)
	}
	b.trim()
}

func (b *Registry[R]) clock(now time.Time) time.Time {
	if now.After(b.latest) {
		b.latest = now
	}
	return b.latest
}

type expiryHeap[R any] []*entry[R]

func (h expiryHeap[R]) Len() int           { return len(h) }
func (h expiryHeap[R]) Less(i, j int) bool { return h[i].keep.Before(h[j].keep) }
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
