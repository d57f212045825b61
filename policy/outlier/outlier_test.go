package outlier_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewinglever.dev/policy/outlier"
)

func poolOf(times ...time.Duration) []outlier.Measurement {
	var pool []outlier.Measurement
	for i, d := range times {
		pool = append(pool, outlier.Measurement{ID: uint64(i), Time: d * time.Millisecond})
	}
	return pool
}

// Guards against pools that lose too many targets at once, the wrong ones, or any because of load; and against
// verdicts by figures that are unknown or too small to tell.
func TestJudge(t *testing.T) {
	failing := poolOf(20, 20, 20, 20)
	failing[1].Failing, failing[2].Failing = 0.5, 0.25
	allFailing := poolOf(20, 20, 20)
	for i := range allFailing {
		allFailing[i].Failing = 0.3 + 0.3*float64(i)
	}
	for name, c := range map[string]struct {
		pool  []outlier.Measurement
		most  int
		worst []int
	}{
		"none known":        {poolOf(0, 0, 0), 1, nil},
		"one known":         {poolOf(0, 500, 0), 1, nil},
		"one slow":          {poolOf(22, 110, 22), 1, []int{1}},
		"all slow":          {poolOf(110, 110, 130), 1, nil},
		"jitter":            {poolOf(1, 9, 1), 1, nil},
		"unknown times":     {poolOf(0, 22, 110, 22), 1, []int{2}},
		"too many, by time": {poolOf(20, 100, 20, 300, 20, 200), 2, []int{3, 5}},
		"equal, by id":      {poolOf(20, 100, 20, 100, 20, 100), 2, []int{1, 3}},
		"small pool":        {poolOf(20, 100), 0, nil},
		"failing":           {failing, 2, []int{1, 2}},
		"all failing":       {allFailing, 1, nil},
	} {
		verdicts, _ := outlier.Judge(c.pool, c.most)
		var got []int
		for _, v := range verdicts {
			got = append(got, v.Index)
		}
		assert.DeepEqual(t, got, c.worst)
		assert.Check(t, name == "failing" || len(verdicts) == 0 || verdicts[0].Share < outlier.MinShare+0.001, "%s: %v", name, verdicts)
	}
	verdicts, _ := outlier.Judge(failing, 2)
	assert.Check(t, verdicts[1].Share > 0.5 && verdicts[1].Share < 0.6 && !verdicts[1].Slow, "returns by degrees: %v", verdicts)
}

// Guards against a log line for each time that a target touches the limit.
func TestWatchReportsChangesOnce(t *testing.T) {
	var w outlier.Watch
	v := &outlier.Verdict{}
	assert.Check(t, !w.Update(0, nil))
	assert.Check(t, w.Update(time.Second, v) && w.Judged())
	assert.Check(t, !w.Update(1500*time.Millisecond, nil) && !w.Update(1600*time.Millisecond, v))
	assert.Check(t, w.Update(2700*time.Millisecond, nil) && !w.Judged())
}
