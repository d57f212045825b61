package steering_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewinglever.dev/policy/ident"
	"lacewinglever.dev/policy/roster"
	"lacewinglever.dev/policy/steering"
)

func TestCandidatesAreDescribedByVerdict(t *testing.T) {
	const now = 10 * time.Second
	candidate := func(name string, silence time.Duration) roster.Peer {
		p := agent(name, "dc-0")
		p.LastSeen = now - silence
		return p
	}
	ended := candidate("side-2", 0)
	ended.Target.Ended = true
	r := roster.New(0)
	gone := candidate("side-6", 0)
	r.RecordHeartbeat(0, gone.Node, gone.Heartbeat)
	r.RecordProbe(5*time.Second, gone.ID)
	gone, _ = r.Find(gone.ID)
	agents := []roster.Peer{candidate("side-1", 0), ended, candidate("side-3", 3*time.Second), candidate("side-4", time.Second),
		candidate("side-5", 0), gone}
	assert.Equal(t, steering.DescribeCandidates(now, agents, []ident.NodeID{agents[0].ID}),
		"tried 1: side-1(0s); ended 1: side-2(0s); gone 1: side-6(10s); unconfirmed 1: side-3(3s); suspect 1: side-4(1s); live 1: side-5(0s)")
}
