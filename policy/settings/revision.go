package settings

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/record"
)

// AddressQuarantine is the time after its release in which no other service can claim an address.
// It exceeds the time in which the release takes effect at every node.
const AddressQuarantine = 10 * time.Second

// releasePollInterval is the time between checks of an address whose release is pending.
const releasePollInterval = 500 * time.Millisecond

// maxMissingNames bounds the names of missing nodes in a status, so that the loss of a data centre
// does not make it large.
const maxMissingNames = 16

// maxReasonBytes bounds the reason of a refusal. A spec can have thousands of faults.
const maxReasonBytes = 4 << 10

// SpecObject is a spec as stored in the object API.
type SpecObject struct {
	Version uint64
	Text    []byte
	Writer  string
	WriteID string
}

// AddressObject is the claim of a service on a service address.
type AddressObject struct {
	Version       uint64
	Address       netip.AddrPort
	Service       ident.ServiceName
	SourceVersion uint64    // version of the spec that the claim was made for
	Released      time.Time // zero while the claim is held
}

// IsHeldBy reports whether the service holds the claim on the address.
func (a *AddressObject) IsHeldBy(service ident.ServiceName) bool {
	return a != nil && a.Service == service && a.Released.IsZero()
}

// Status is the published state of a service's settings.
type Status struct {
	Version         uint64 // of the status object; 0 if there is none
	Accepted        uint64 // number of the newest accepted revision; 0: none
	AcceptedVersion uint64 // version of the spec in that revision
	Deleted         bool
	RefusedVersion  uint64 // version of the last refused spec; 0: none
	Reason          string // of the refusal
	InForce         int    // nodes that have applied the accepted revision
	Nodes           int    // nodes that must apply it
	Missing         []string
	Elapsed         time.Duration // from acceptance until all nodes had applied it; 0: not yet
}

// Progress is the number of nodes that have applied a revision, as counted by a controller.
type Progress struct {
	Revision uint64
	InForce  int
	Nodes    int
	Missing  []string
	Elapsed  time.Duration
}

// State is the view of one service at one controller. Objects may be stale, so every step is a
// conditional write.
type State struct {
	Service             ident.ServiceName
	Now                 time.Time
	StoreVersion        uint64           // store version that this view reflects
	Spec                *SpecObject      // nil: there is none
	DeletedBy           string           // writer that deleted the spec; empty if unknown
	Newest              *record.Revision // in the accepted object; nil: none accepted
	NewestObjectVersion uint64           // version of the accepted object; 0: there is none
	RecordedNumber      uint64           // highest number that this controller has seen in the history
	NewestAddress       netip.AddrPort   // address in Newest; invalid if Newest is nil or a deletion
	SpecAddress         *AddressObject   // claim on the address in the spec; nil: there is none
	ReleasePending      bool             // the service that holds SpecAddress is about to release it
	HeldAddresses       []AddressObject  // claims that the service holds
	Status              Status
	Progress            *Progress          // nil: not counted
	IDHolder            ident.ServiceName  // service that claimed the id; zero: unknown
	IDCollision         *ident.ServiceName // another service with an accepted revision and the same id
}

// StepKind is the kind of a controller's next step for a service.
type StepKind uint8

// Kinds of step.
const (
	NoStep         StepKind = iota
	Wait                    // evaluate again at Step.Until
	ClaimID                 // create the object of the service's id if absent
	ClaimAddress            // write Step.Address if the version is still Step.IfVersion
	ReleaseAddress          // the same, with the time of release
	AcceptRevision          // write the accepted object if the version is still Step.IfVersion
	RecordRevision          // create the object of Step.Revision in the history if absent
	WriteStatus             // write Step.Status if the version is still Step.IfVersion
)

// String returns the name of the kind in log lines.
func (k StepKind) String() string {
	switch k {
	case Wait:
		return "wait"
	case ClaimID:
		return "claim id"
	case ClaimAddress:
		return "claim address"
	case ReleaseAddress:
		return "release address"
	case AcceptRevision:
		return "accept revision"
	case RecordRevision:
		return "record revision"
	case WriteStatus:
		return "write status"
	}
	return "nothing"
}

// Step is the next step of a controller for a service. IfVersion 0 means that the object must be
// absent.
type Step struct {
	Kind      StepKind
	IfVersion uint64
	Address   AddressObject
	Revision  record.Revision
	Status    Status
	Refused   bool      // the status refuses the spec
	Until     time.Time // of Wait
}

// NextStep returns the next step for a service. It is deterministic.
//
// Revision n+1 is accepted by a conditional write of the accepted object that contains revision n,
// and only from a spec that is newer than that of n. Numbers therefore have no gaps, none is used
// twice, and later numbers have newer specs, whichever controller acts and however stale its view
// is. The write of n+1 replaces n, so n must be in the history before.
func NextStep(s State) Step {
	if s.Newest != nil && s.recordedNumber() < s.Newest.Number {
		return Step{Kind: RecordRevision, Revision: *s.Newest}
	}
	if step, ok := s.releaseStep(); ok {
		return step
	}
	if s.deletionPending() {
		return s.acceptStep(record.Revision{SourceVersion: s.StoreVersion, Writer: s.DeletedBy, Deleted: true})
	}
	reason := ""
	if s.specPending() {
		step, refusal := s.nextForSpec()
		if refusal == "" {
			return step
		}
		reason = refusal
	}
	if want := s.desiredStatus(reason); !sameStatus(want, s.Status) {
		return Step{Kind: WriteStatus, IfVersion: s.Status.Version, Status: want, Refused: reason != ""}
	}
	return Step{}
}

// SpecAddress returns the address in a spec; false if the spec is invalid.
func SpecAddress(service ident.ServiceName, text []byte) (netip.AddrPort, bool) {
	spec, err := Parse(service.String(), service, text)
	if err != nil {
		return netip.AddrPort{}, false
	}
	return spec.Address, true
}

// IsNewerRevision reports whether a node that has applied current may apply candidate. Revisions
// are applied in increasing order only.
func IsNewerRevision(current, candidate *record.Revision) bool {
	return current == nil || candidate.Number > current.Number
}

// recordedNumber returns the highest number that was seen in the history. A status names a revision
// only after it was written to the history.
func (s *State) recordedNumber() uint64 { return max(s.RecordedNumber, s.Status.Accepted) }

func (s *State) newestSourceVersion() uint64 {
	if s.Newest == nil {
		return 0
	}
	return s.Newest.SourceVersion
}

// specPending reports whether the spec is neither accepted nor refused.
func (s *State) specPending() bool {
	return s.Spec != nil && s.Spec.Version > s.newestSourceVersion() && s.Spec.Version != s.Status.RefusedVersion
}

// deletionPending reports whether the spec was deleted and no revision records the deletion. A
// claim without a revision needs one as well: the number of the deletion prevents a paused
// controller from accepting the spec that the address was claimed for.
func (s *State) deletionPending() bool {
	if s.Spec != nil || s.StoreVersion <= s.newestSourceVersion() {
		return false
	}
	if s.Newest != nil && !s.Newest.Deleted {
		return true
	}
	for _, a := range s.HeldAddresses {
		if a.SourceVersion > s.newestSourceVersion() && s.StoreVersion > a.SourceVersion {
			return true
		}
	}
	return false
}

// nextForSpec returns the next step towards accepting the spec, or the reason to refuse it.
func (s *State) nextForSpec() (Step, string) {
	if err := CheckWriter(s.Spec.Writer, s.Service); err != nil {
		return Step{}, err.Error()
	}
	spec, err := Parse(s.Service.String(), s.Service, s.Spec.Text)
	if err != nil {
		text := err.Error()
		return Step{}, text[:min(len(text), maxReasonBytes)]
	}
	if s.IDCollision != nil {
		return Step{}, s.collisionReason(*s.IDCollision)
	}
	// The claim prevents two controllers from accepting two services with the same id at the same
	// time.
	if s.Newest == nil && s.IDHolder == (ident.ServiceName{}) {
		return Step{Kind: ClaimID}, ""
	}
	if s.Newest == nil && s.IDHolder != s.Service {
		return Step{}, s.collisionReason(s.IDHolder)
	}
	if !s.holdsAddress(spec.Address) {
		return s.claimAddress(spec.Address)
	}
	return s.acceptStep(record.Revision{
		Spec:          s.Spec.Text,
		Writer:        s.Spec.Writer,
		SourceVersion: s.Spec.Version,
	}), ""
}

func (s *State) collisionReason(other ident.ServiceName) string {
	return fmt.Sprintf("the id %s is that of service %s, choose another name", s.Service.ID(), other)
}

// holdsAddress reports whether the service holds the address. It need not exclude a claim that
// another controller may be about to release: such a claim is older than the newest revision and
// not used by it, and NextStep releases it before it evaluates a spec.
func (s *State) holdsAddress(a netip.AddrPort) bool {
	return s.SpecAddress.IsHeldBy(s.Service) && s.SpecAddress.Address == a
}

func (s *State) claimAddress(a netip.AddrPort) (Step, string) {
	step := Step{
		Kind:    ClaimAddress,
		Address: AddressObject{Address: a, Service: s.Service, SourceVersion: s.Spec.Version},
	}
	if s.SpecAddress == nil {
		return step, ""
	}
	step.IfVersion = s.SpecAddress.Version
	if s.SpecAddress.Service == s.Service {
		return step, ""
	}
	if s.SpecAddress.Released.IsZero() && s.ReleasePending {
		return Step{Kind: Wait, Until: s.Now.Add(releasePollInterval)}, ""
	}
	if s.SpecAddress.Released.IsZero() {
		return Step{}, fmt.Sprintf("address %s is held by service %s", a, s.SpecAddress.Service)
	}
	if availableAt := s.SpecAddress.Released.Add(AddressQuarantine); s.Now.Before(availableAt) {
		return Step{Kind: Wait, Until: availableAt}, ""
	}
	return step, ""
}

// releaseStep returns the step that releases an address which the newest revision no longer uses.
// The claim must be older than the spec of the newest revision, as a newer claim belongs to a
// revision that is yet to be accepted.
func (s *State) releaseStep() (Step, bool) {
	for _, a := range s.HeldAddresses {
		if a.IsHeldBy(s.Service) && IsClaimUnused(&a, s.Newest, s.NewestAddress) {
			released := a
			released.Released = s.Now
			return Step{Kind: ReleaseAddress, IfVersion: a.Version, Address: released}, true
		}
	}
	return Step{}, false
}

// IsClaimUnused reports whether the newest revision of the service with this claim is newer than
// the claim and does not use its address. newestAddress is the address in that revision, the zero
// value if it has none.
func IsClaimUnused(a *AddressObject, newest *record.Revision, newestAddress netip.AddrPort) bool {
	return newest != nil && a.Address != newestAddress && a.SourceVersion < newest.SourceVersion
}

func (s *State) acceptStep(r record.Revision) Step {
	r.Service = s.Service
	r.Accepted = s.Now
	r.Number = s.recordedNumber() + 1 // continues after the history if the accepted object was lost
	return Step{Kind: AcceptRevision, IfVersion: s.NewestObjectVersion, Revision: r}
}

func (s *State) desiredStatus(reason string) Status {
	desired := s.Status
	if s.Newest != nil && s.Newest.Number > desired.Accepted {
		desired = Status{
			Version:         desired.Version,
			Accepted:        s.Newest.Number,
			AcceptedVersion: s.Newest.SourceVersion,
			Deleted:         s.Newest.Deleted,
			RefusedVersion:  desired.RefusedVersion,
			Reason:          desired.Reason,
		}
	}
	if reason != "" {
		desired.RefusedVersion, desired.Reason = s.Spec.Version, reason
	}
	if desired.RefusedVersion <= desired.AcceptedVersion {
		desired.RefusedVersion, desired.Reason = 0, ""
	}
	// Once a status reports that all nodes have applied the revision, the later and still
	// incomplete count of another controller must not replace it.
	if p := s.Progress; p != nil && p.Revision == desired.Accepted && p.Nodes > 0 && desired.Elapsed == 0 {
		desired.InForce, desired.Nodes = p.InForce, p.Nodes
		desired.Missing = slices.Clone(p.Missing[:min(len(p.Missing), maxMissingNames)])
		desired.Elapsed = p.Elapsed
	}
	return desired
}

func sameStatus(a, b Status) bool {
	return a.Accepted == b.Accepted && a.AcceptedVersion == b.AcceptedVersion && a.Deleted == b.Deleted &&
		a.RefusedVersion == b.RefusedVersion && a.Reason == b.Reason &&
		a.InForce == b.InForce && a.Nodes == b.Nodes && a.Elapsed == b.Elapsed && slices.Equal(a.Missing, b.Missing)
}

// CheckHistory returns an error for the first gap in the numbers of a service's revisions, or the
// first spec version that does not increase. The revisions are sorted by number.
func CheckHistory(revisions []record.Revision) error {
	source := uint64(0)
	for i, r := range revisions {
		if want := uint64(i) + 1; r.Number != want {
			return errors.Errorf("%s: revision %d is missing, found %d", r.Service, want, r.Number)
		}
		if r.SourceVersion <= source {
			return errors.Errorf("%s: revision %d came from spec version %d, not newer than %d", r.Service,
				r.Number, r.SourceVersion, source)
		}
		source = r.SourceVersion
	}
	return nil
}
