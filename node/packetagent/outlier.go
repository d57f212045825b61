package packetagent

import (
	"time"

	"github.com/go-kit/log/level"

	"lacewinglever.dev/node/logging"
	"lacewinglever.dev/policy/outlier"
	"lacewinglever.dev/policy/roster"
	"lacewinglever.dev/policy/steering"
)

// checksPerJudgement is the number of checks of the target of which one compares it with its pool. Nodes
// that place flows judge by each heartbeat; the agent's own judgement is for logs and metrics.
const checksPerJudgement = 4

// judgeTarget compares the target with its pool as the nodes do that place flows, and logs each change of
// the judgement.
func (a *Agent) judgeTarget(now time.Duration) {
	s := a.targetState.Status(now)
	agents := a.agentBuffers.Get().(*[]roster.Peer)
	defer a.agentBuffers.Put(agents)
	*agents = a.fleet.Roster.Agents((*agents)[:0], a.service(&s))
	a.poolTime = steering.MeanSlowdown(*agents)
	load := a.flows.Load(now)
	pool := steering.Measurements(now, *agents)
	pool = append(pool, outlier.Measurement{ID: uint64(a.fleet.Self.ID), Time: load.Slowdown, Failing: load.Failing})
	verdicts, limits := outlier.Judge(pool, steering.MaxOutliers(len(pool)))
	var own *outlier.Verdict
	for i := range verdicts {
		if verdicts[i].Index == len(pool)-1 && s.Accepting {
			own = &verdicts[i]
		}
	}
	if !a.judgement.Update(now, own) {
		return
	}
	a.outlier.Store(a.judgement.Judged())
	message, reason := "target recovered", "as the pool"
	if own != nil {
		message, reason = "target judged an outlier", own.Reason
	}
	_ = level.Info(a.logger).Log(logging.KeyMessage, message, logging.KeyTarget, s.ID, logging.KeyService, a.service(&s),
		logging.KeyReason, reason, "slowdown", load.Slowdown, "slow_limit", limits.Time, "failing", float32(load.Failing),
		"failing_limit", float32(limits.Failing), "busy", float32(load.Busy), "outliers", len(verdicts), "targets", len(pool))
	a.fleet.AnnounceLoad()
}

// outlierValue is the value of the metric lacewing_target_outlier.
func (a *Agent) outlierValue() float64 {
	if a.outlier.Load() {
		return 1
	}
	return 0
}
