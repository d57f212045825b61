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

// AddressQuarantine is how long a released address cannot be taken by another service. It is longer than the time within which the
// release is in force everywhere.
const AddressQuarantine = 10 * time.Second

// releaseWait is the time between looks at an address whose holder is about to release it.
const releaseWait = 500 * time.Millisecond

// maxMissing bounds the names of missing nodes in a status, so that a lost data centre does not make it large.
const maxMissing = 16

// maxReason bounds the reason of a refusal, in bytes. A spec can have thousands of faults.
const maxReason = 4 << 10

// SpecObject is the operator's spec as the object API holds it.
type SpecObject struct {
	Version uint64
	Text    []byte
	Writer  string
	WriteID string
}

// AddressObject is who holds a service address.
type AddressObject struct {
	Version       uint64
	Address       netip.AddrPort
	Service       ident.ServiceName
	SourceVersion uint64    // version of the spec for which the address was claimed
	Released      time.Time // zero while held
}

// IsHeldBy tells whether the address is held by service.
func (a *AddressObject) IsHeldBy(service ident.ServiceName) bool {
	return a != nil && a.Service == service && a.Released.IsZero()
}

// Status is what the system reports about a service.
type Status struct {
	Version         uint64 // of the status object; 0 if there is none
	Accepted        uint64 // newest accepted revision; 0: none
	AcceptedVersion uint64 // version of the spec that it came from
	Deleted         bool
	RefusedVersion  uint64 // version of the spec that was refused last; 0: none
	Reason          string // of the refusal
	InForce         int    // nodes that have applied the accepted revision
	Nodes           int    // nodes that should have
	Missing         []string
	Elapsed         time.Duration // from acceptance until it was first in force everywhere; 0: not yet
}

// Progress is how far a revision is in force, as the duty holder counted it.
type Progress struct {
	Revision uint64
	InForce  int
	Nodes    int
	Missing  []string
	Elapsed  time.Duration
}

// State is what a duty holder knows about one service. Objects may be stale: every step is a conditional write.
type State struct {
	Service             ident.ServiceName
	Now                 time.Time
	StoreVersion        uint64           // store version that the knowledge of the service reflects
	Spec                *SpecObject      // nil: there is none
	DeletedBy           string           // writer who deleted the spec; empty if unknown
	Newest              *record.Revision // as the accepted object holds it; nil: none accepted
	NewestObjectVersion uint64           // version of the accepted object; 0: there is none
	RecordedNumber      uint64           // newest revision that this holder knows to be in the history
	NewestAddress       netip.AddrPort   // address that Newest names; invalid if there is none or it is a deletion
	SpecAddress         *AddressObject   // object of the address that the spec names; nil: there is none
	ReleasePending      bool             // the service that holds Wanted is about to release it
	HeldAddresses       []AddressObject  // addresses that the service holds
	Status              Status
	Progress            *Progress          // nil: not counted
	IDHolder            ident.ServiceName  // service that has claimed the id; zero: not known
	IDCollision         *ident.ServiceName // other service with an accepted revision and the same id
}

// StepKind is what the control duty does next for a service.
type StepKind uint8

// Kinds of step.
const (
	NoStep         StepKind = iota
	Wait                    // until the time of the step, then look again
	ClaimID                 // create the object of the service's id if it is absent
	ClaimAddress            // write Step.Address if its version is still Step.IfVersion
	ReleaseAddress          // the same, with the time of release
	AcceptRevision          // write the accepted object if its version is still Step.IfVersion
	RecordRevision          // create the object of Step.Revision in the history if it is absent
	WriteStatus             // write Step.Status if the version is still Step.IfVersion
)

// String returns the kind's name as in logs.
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

// Step is the next step of the control duty. IfVersion 0 means that the object must be absent.
type Step struct {
	Kind      StepKind
	IfVersion uint64
	Address   AddressObject
	Revision  record.Revision
	Status    Status
	Refused   bool      // the status refuses the spec
	Until     time.Time // of Wait
}

// NextStep decides the next step for a service. It is deterministic.
//
// Revision n+1 is accepted by a conditional write of the accepted object that holds revision n, and only from a spec that is newer than
// that of n. So numbers have no gaps, no number is given twice and the specs behind them only get newer, whoever performs the duty and
// however stale its knowledge is. The write that accepts n+1 replaces n, so n must be in the history before.
func NextStep(s State) Step {
	if s.Newest != nil && s.recorded() < s.Newest.Number {
		return Step{Kind: RecordRevision, Revision: *s.Newest}
	}
	if step, ok := s.release(); ok {
		return step
	}
	if s.deletionPending() {
		return s.accept(record.Revision{SourceVersion: s.StoreVersion, Writer: s.DeletedBy, Deleted: true})
	}
	reason := ""
	if s.specPending() {
		step, refusal := s.consider()
		if refusal == "" {
			return step
		}
		reason = refusal
	}
	if want := s.wantedStatus(reason); !sameStatus(want, s.Status) {
		return Step{Kind: WriteStatus, IfVersion: s.Status.Version, Status: want, Refused: reason != ""}
	}
	return Step{}
}

// SpecAddress returns the address that a spec names, if it names a valid one.
func SpecAddress(service ident.ServiceName, text []byte) (netip.AddrPort, bool) {
	spec, err := Parse(service.String(), service, text)
	if err != nil {
		return netip.AddrPort{}, false
	}
	return spec.Address, true
}

// IsNewerRevision tells whether a node that has applied current may apply candidate. Revisions are applied only forwards.
func IsNewerRevision(current, candidate *record.Revision) bool {
	return current == nil || candidate.Number > current.Number
}

// recorded returns the newest revision that is known to be in the history. A status names a revision only once it is there.
func (s *State) recorded() uint64 { return max(s.RecordedNumber, s.Status.Accepted) }

func (s *State) newestSource() uint64 {
	if s.Newest == nil {
		return 0
	}
	return s.Newest.SourceVersion
}

// specPending tells whether the spec is neither accepted nor refused.
func (s *State) specPending() bool {
	return s.Spec != nil && s.Spec.Version > s.newestSource() && s.Spec.Version != s.Status.RefusedVersion
}

// deletionPending tells whether the operator deleted the spec and no revision says so. A claim without a revision also needs one:
// the deletion's number ensures that no paused holder can still accept the spec for which the address was claimed.
func (s *State) deletionPending() bool {
	if s.Spec != nil || s.StoreVersion <= s.newestSource() {
		return false
	}
	if s.Newest != nil && !s.Newest.Deleted {
		return true
	}
	for _, a := range s.HeldAddresses {
		if a.SourceVersion > s.newestSource() && s.StoreVersion > a.SourceVersion {
			return true
		}
	}
	return false
}

// consider returns the next step towards accepting the spec, or the reason to refuse it.
func (s *State) consider() (Step, string) {
	if err := CheckWriter(s.Spec.Writer, s.Service); err != nil {
		return Step{}, err.Error()
	}
	spec, err := Parse(s.Service.String(), s.Service, s.Spec.Text)
	if err != nil {
		text := err.Error()
		return Step{}, text[:min(len(text), maxReason)]
	}
	if s.IDCollision != nil {
		return Step{}, s.collision(*s.IDCollision)
	}
	// The claim decides between two services that are accepted for the first time at the same moment, by different holders.
	if s.Newest == nil && s.IDHolder == (ident.ServiceName{}) {
		return Step{Kind: ClaimID}, ""
	}
	if s.Newest == nil && s.IDHolder != s.Service {
		return Step{}, s.collision(s.IDHolder)
	}
	if !s.addressReady(spec.Address) {
		return s.claim(spec.Address)
	}
	return s.accept(record.Revision{
		Spec:          s.Spec.Text,
		Writer:        s.Spec.Writer,
		SourceVersion: s.Spec.Version,
	}), ""
}

func (s *State) collision(other ident.ServiceName) string {
	return fmt.Sprintf("the id %s is that of service %s, choose another name", s.Service.ID(), other)
}

// addressReady tells whether the service holds the address. A claim that some holder may be about to release is older than the newest
// revision and not used by it, and Next releases such a claim before it considers a spec.
func (s *State) addressReady(a netip.AddrPort) bool {
	return s.SpecAddress.IsHeldBy(s.Service) && s.SpecAddress.Address == a
}

func (s *State) claim(a netip.AddrPort) (Step, string) {
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
		return Step{Kind: Wait, Until: s.Now.Add(releaseWait)}, ""
	}
	if s.SpecAddress.Released.IsZero() {
		return Step{}, fmt.Sprintf("address %s is held by service %s", a, s.SpecAddress.Service)
	}
	if free := s.SpecAddress.Released.Add(AddressQuarantine); s.Now.Before(free) {
		return Step{Kind: Wait, Until: free}, ""
	}
	return step, ""
}

// release returns the step that gives up an address which the newest revision no longer uses. The claim must be older than the newest
// revision's spec, as a newer claim belongs to a revision that is about to be accepted.
func (s *State) release() (Step, bool) {
	for _, a := range s.HeldAddresses {
		if a.IsHeldBy(s.Service) && IsClaimUnused(&a, s.Newest, s.NewestAddress) {
			released := a
			released.Released = s.Now
			return Step{Kind: ReleaseAddress, IfVersion: a.Version, Address: released}, true
		}
	}
	return Step{}, false
}

// IsClaimUnused tells whether the newest revision of the service that holds the address is newer than the claim and names another address,
// which is inUse, or none.
func IsClaimUnused(a *AddressObject, newest *record.Revision, inUse netip.AddrPort) bool {
	return newest != nil && a.Address != inUse && a.SourceVersion < newest.SourceVersion
}

func (s *State) accept(r record.Revision) Step {
	r.Service = s.Service
	r.Accepted = s.Now
	r.Number = s.recorded() + 1 // goes on after the history if the accepted object was lost
	return Step{Kind: AcceptRevision, IfVersion: s.NewestObjectVersion, Revision: r}
}

func (s *State) wantedStatus(reason string) Status {
	want := s.Status
	if s.Newest != nil && s.Newest.Number > want.Accepted {
		want = Status{
			Version:         want.Version,
			Accepted:        s.Newest.Number,
			AcceptedVersion: s.Newest.SourceVersion,
			Deleted:         s.Newest.Deleted,
			RefusedVersion:  want.RefusedVersion,
			Reason:          want.Reason,
		}
	}
	if reason != "" {
		want.RefusedVersion, want.Reason = s.Spec.Version, reason
	}
	if want.RefusedVersion <= want.AcceptedVersion {
		want.RefusedVersion, want.Reason = 0, ""
	}
	// A count that another holder began later must not take back that the revision is in force everywhere.
	if p := s.Progress; p != nil && p.Revision == want.Accepted && p.Nodes > 0 && want.Elapsed == 0 {
		want.InForce, want.Nodes = p.InForce, p.Nodes
		want.Missing = slices.Clone(p.Missing[:min(len(p.Missing), maxMissing)])
		want.Elapsed = p.Elapsed
	}
	return want
}

func sameStatus(a, b Status) bool {
	return a.Accepted == b.Accepted && a.AcceptedVersion == b.AcceptedVersion && a.Deleted == b.Deleted &&
		a.RefusedVersion == b.RefusedVersion && a.Reason == b.Reason &&
		a.InForce == b.InForce && a.Nodes == b.Nodes && a.Elapsed == b.Elapsed && slices.Equal(a.Missing, b.Missing)
}

// CheckHistory reports the first gap or step backwards in the revisions of one service, which are sorted by number.
func CheckHistory(revisions []record.Revision) error {
	source := uint64(0)
	for i, r := range revisions {
		if want := uint64(i) + 1; r.Number != want {
			return errors.Errorf("%s: revision %d is missing, found %d", r.Service, want, r.Number)
		}
		if r.SourceVersion <= source {
			return errors.Errorf("%s: revision %d came from spec version %d, not newer than %d", r.Service, r.Number, r.SourceVersion, source)
		}
		source = r.SourceVersion
	}
	return nil
}
