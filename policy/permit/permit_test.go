package permit

import (
	"hash/fnv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// unkeyedTagger is a Tagger without a secret.
type unkeyedTagger struct{}

func (unkeyedTagger) Tag(b []byte) (byte, uint64) {
	h := fnv.New64a()
	_, _ = h.Write(b)
	return 1, h.Sum64()
}

func (s unkeyedTagger) Check(keyID byte, tag uint64, b []byte) bool {
	_, want := s.Tag(b)
	return keyID == 1 && tag == want
}

func newRegistry(entries, bytes int) *Registry[int] {
	return NewRegistry(Options[int]{
		Service: 1, Agent: 2, Incarnation: 3, Tagger: unkeyedTagger{}, MaxEntries: entries, MaxResultBytes: bytes,
		Shrink: func(result int) int { return -result },
	})
}

func parse(t assert.TestingT, text string) Permit {
	p, err := Parse(text, unkeyedTagger{})
	assert.NilError(t, err)
	return p
}

// Guards against a permit that is admitted twice, a permit that is admitted after "not run" was
// returned for it, an outcome that changes, and memory without limit. Permits are presented again
// and late while the clock is set.
func TestAdmittedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const entries = 3
		r := newRegistry(entries, 1000)
		now := time.Unix(1000, 0)
		var permits []Permit
		admitted, refused, finished := map[uint64]int{}, map[uint64]bool{}, map[uint64]bool{}
		for range rapid.IntRange(0, 100).Draw(t, "steps") {
			if len(permits) == 0 || rapid.IntRange(0, 3).Draw(t, "issue") == 0 {
				permits = append(permits, parse(t, r.Issue(now)))
			}
			p := permits[rapid.IntRange(0, len(permits)-1).Draw(t, "permit")]
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				seconds := rapid.SampledFrom([]int{-100, -20, 20, 70, 700}).Draw(t, "seconds")
				now = now.Add(time.Duration(seconds) * time.Second)
			case 1:
				if admitted[p.Number] > 0 {
					r.Finish(p, int(p.Number), 1)
					finished[p.Number] = true
				}
			default:
				switch verdict, result := r.Admit(now, p, 7); verdict {
				case Admitted:
					admitted[p.Number]++
					assert.Assert(t, !refused[p.Number], "admitted after not-run")
				case Expired, Void:
					refused[p.Number] = true
					assert.Equal(t, admitted[p.Number], 0, "not-run after a run")
				case Recorded:
					assert.Equal(t, result, int(p.Number))
				case InFlight:
					assert.Assert(t, !finished[p.Number])
				}
			}
			assert.Assert(t, admitted[p.Number] <= 1, "admitted %d times", admitted[p.Number])
			assert.Assert(t, r.Len() <= entries)
		}
	})
}

// Guards against the admission of a forged or changed permit, of one from another process and of
// one that was used for another request, and against results that exceed their limit.
func TestVerdicts(t *testing.T) {
	now := time.Unix(1000, 0)
	r := newRegistry(10, 100)
	text := r.Issue(now)
	p := parse(t, text)
	for i := range text {
		changed := []byte(text)
		changed[i] ^= 1
		_, err := Parse(string(changed), unkeyedTagger{})
		assert.Assert(t, err != nil, "character %d", i)
	}
	_, err := Parse(text+"A", unkeyedTagger{})
	assert.ErrorIs(t, err, ErrMalformed)
	other := p
	other.Incarnation++
	verdict, _ := r.Admit(now, other, 7)
	assert.Equal(t, verdict, OtherIssuer)
	verdict, _ = r.Admit(now, p, 7)
	assert.Equal(t, verdict, Admitted)
	verdict, _ = r.Admit(now, p, 8)
	assert.Equal(t, verdict, Mismatch)
	r.Finish(p, 5, 101)
	_, result := r.Admit(now.Add(Validity+Retention-time.Second), p, 7)
	assert.Equal(t, result, -5)
	verdict, _ = r.Admit(now.Add(Validity+Retention), p, 7)
	assert.Equal(t, verdict, OutcomeExpired)
}

// Guards against a permit that both a closed registry and its adopter admit, and against an outcome
// that is lost or changed in the hand-over. Parts of a hand-over may arrive twice.
func TestHandOver(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first, second := newRegistry(4, 1000), newRegistry(4, 1000)
		now := time.Unix(1000, 0)
		var permits []Permit
		for range 6 {
			permits = append(permits, parse(t, first.Issue(now)))
		}
		admitted, outcome := map[uint64]int{}, map[uint64]int{}
		present := func(r *Registry[int]) {
			p := permits[rapid.IntRange(0, len(permits)-1).Draw(t, "permit")]
			verdict, result := r.Admit(now, p, p.Number)
			switch verdict {
			case Admitted:
				admitted[p.Number]++
				if rapid.Bool().Draw(t, "finishes") {
					r.Finish(p, int(p.Number), 1)
					outcome[p.Number] = int(p.Number)
				}
			case Recorded:
				assert.Equal(t, result, outcome[p.Number])
			case Closed:
				t.Fatal("the adopting registry is closed")
			}
			assert.Assert(t, admitted[p.Number] <= 1)
		}
		for range rapid.IntRange(0, 10).Draw(t, "before") {
			present(first)
		}
		admissions, voidUpTo := first.Close(now, -1)
		assert.Equal(t, len(admissions), len(admitted))
		for n := range admitted {
			if outcome[n] == 0 {
				outcome[n] = -1
			}
		}
		for range 2 {
			second.VoidUpTo(voidUpTo)
			for _, a := range admissions {
				second.Adopt(a)
			}
		}
		for _, p := range permits {
			verdict, _ := first.Admit(now, p, p.Number)
			assert.Equal(t, verdict, Closed)
		}
		for range rapid.IntRange(0, 10).Draw(t, "after") {
			present(second)
		}
	})
}

// Guards against outcomes that are lost in a hand-over: after Stop, no new permit is admitted, and
// requests in flight may finish.
func TestStop(t *testing.T) {
	r := newRegistry(4, 1000)
	now := time.Unix(1000, 0)
	running, unused := parse(t, r.Issue(now)), parse(t, r.Issue(now))
	verdict, _ := r.Admit(now, running, 1)
	assert.Equal(t, verdict, Admitted)
	r.Stop()
	verdict, _ = r.Admit(now, unused, 1)
	assert.Equal(t, verdict, Closed)
	r.Finish(running, 7, 1)
	verdict, result := r.Admit(now, running, 1)
	assert.Equal(t, verdict, Recorded)
	assert.Equal(t, result, 7)
}
