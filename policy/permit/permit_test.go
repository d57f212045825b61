package permit

import (
	"hash/fnv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// sum is a tagger without a secret.
type sum struct{}

func (sum) Tag(b []byte) (byte, uint64) {
	h := fnv.New64a()
	_, _ = h.Write(b)
	return 1, h.Sum64()
}

func (s sum) Check(keyID byte, tag uint64, b []byte) bool {
	_, want := s.Tag(b)
	return keyID == 1 && tag == want
}

func newBook(entries, bytes int) *Registry[int] {
	return NewRegistry(Options[int]{
		Service: 1, Agent: 2, Incarnation: 3, Tagger: sum{}, MaxEntries: entries, MaxResultBytes: bytes,
		Shrink: func(result int) int { return -result },
	})
}

func parse(t assert.TestingT, text string) Permit {
	p, err := Parse(text, sum{})
	assert.NilError(t, err)
	return p
}

// Guards, with permits that are presented again, late and while the clock is set, against a permit that is admitted twice, one that is admitted
// after its caller was told "not run", a changed outcome, and memory without bound.
func TestAdmittedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const entries = 3
		b := newBook(entries, 1000)
		now := time.Unix(1000, 0)
		var permits []Permit
		admitted, refused, finished := map[uint64]int{}, map[uint64]bool{}, map[uint64]bool{}
		for range rapid.IntRange(0, 100).Draw(t, "steps") {
			if len(permits) == 0 || rapid.IntRange(0, 3).Draw(t, "issue") == 0 {
				permits = append(permits, parse(t, b.Issue(now)))
			}
			p := permits[rapid.IntRange(0, len(permits)-1).Draw(t, "permit")]
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				seconds := rapid.SampledFrom([]int{-100, -20, 20, 70, 700}).Draw(t, "seconds")
				now = now.Add(time.Duration(seconds) * time.Second)
			case 1:
				if admitted[p.Number] > 0 {
					b.Finish(p, int(p.Number), 1)
					finished[p.Number] = true
				}
			default:
				switch verdict, result := b.Admit(now, p, 7); verdict {
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
			assert.Assert(t, b.Len() <= entries)
		}
	})
}

// Guards against a forged or changed permit, one of another process, one used for another request, and results that outgrow their bound.
func TestVerdicts(t *testing.T) {
	now := time.Unix(1000, 0)
	b := newBook(10, 100)
	text := b.Issue(now)
	p := parse(t, text)
	for i := range text {
		changed := []byte(text)
		changed[i] ^= 1
		_, err := Parse(string(changed), sum{})
		assert.Assert(t, err != nil, "character %d", i)
	}
	_, err := Parse(text+"A", sum{})
	assert.ErrorIs(t, err, ErrMalformed)
	other := p
	other.Incarnation++
	verdict, _ := b.Admit(now, other, 7)
	assert.Equal(t, verdict, OtherIssuer)
	verdict, _ = b.Admit(now, p, 7)
	assert.Equal(t, verdict, Admitted)
	verdict, _ = b.Admit(now, p, 8)
	assert.Equal(t, verdict, Mismatch)
	b.Finish(p, 5, 101)
	_, result := b.Admit(now.Add(Validity+Retention-time.Second), p, 7)
	assert.Equal(t, result, -5)
	verdict, _ = b.Admit(now.Add(Validity+Retention), p, 7)
	assert.Equal(t, verdict, OutcomeExpired)
}

// Guards against a permit that is admitted by a book that was closed and by the one that adopted it, and against an outcome that is lost or changed on the
// way. Parts of a hand-over may arrive twice.
func TestHandOver(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first, second := newBook(4, 1000), newBook(4, 1000)
		now := time.Unix(1000, 0)
		var permits []Permit
		for range 6 {
			permits = append(permits, parse(t, first.Issue(now)))
		}
		admitted, outcome := map[uint64]int{}, map[uint64]int{}
		present := func(b *Registry[int]) {
			p := permits[rapid.IntRange(0, len(permits)-1).Draw(t, "permit")]
			verdict, result := b.Admit(now, p, p.Number)
			switch verdict {
			case Admitted:
				admitted[p.Number]++
				if rapid.Bool().Draw(t, "finishes") {
					b.Finish(p, int(p.Number), 1)
					outcome[p.Number] = int(p.Number)
				}
			case Recorded:
				assert.Equal(t, result, outcome[p.Number])
			case Closed:
				t.Fatal("the adopted book is closed")
			}
			assert.Assert(t, admitted[p.Number] <= 1)
		}
		for range rapid.IntRange(0, 10).Draw(t, "before") {
			present(first)
		}
		admissions, voidBelow := first.Close(now, -1)
		assert.Equal(t, len(admissions), len(admitted))
		for n := range admitted {
			if outcome[n] == 0 {
				outcome[n] = -1
			}
		}
		for range 2 {
			second.VoidUpTo(voidBelow)
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

// Guards against outcomes that are lost in a hand-over: after the stop nothing new is admitted, and what runs may finish.
func TestStop(t *testing.T) {
	b := newBook(4, 1000)
	now := time.Unix(1000, 0)
	running, unused := parse(t, b.Issue(now)), parse(t, b.Issue(now))
	verdict, _ := b.Admit(now, running, 1)
	assert.Equal(t, verdict, Admitted)
	b.Stop()
	verdict, _ = b.Admit(now, unused, 1)
	assert.Equal(t, verdict, Closed)
	b.Finish(running, 7, 1)
	verdict, result := b.Admit(now, running, 1)
	assert.Equal(t, verdict, Recorded)
	assert.Equal(t, result, 7)
}
