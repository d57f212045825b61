package flows

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"lacewinglever.dev/platform/platformtest"
	"lacewinglever.dev/policy/steering"
)

const (
	// misdirectedWindow and misdirectedPackets bound how an open flow may be misdirected: other targets may not
	// receive that many of its packets or more, and its own none, for that time.
	misdirectedWindow  = 2 * time.Second
	misdirectedPackets = 3
)

// Misdirection is a violation: packets of an open flow reached other targets and never its own.
type Misdirection struct {
	Flow    steering.Flow
	Holder  string         // id of the target that holds the flow
	Packets int            // distinct packets that other targets received
	Others  map[string]int // packets by the id of the target that received them
	Since   time.Time      // when the first of them was received
}

func (m *Misdirection) String() string {
	return fmt.Sprintf("flow %s of %s: %d packets reached other targets and none its own for %v since %s: %v",
		m.Flow, m.Holder, m.Packets, misdirectedWindow, m.Since.Format("15:04:05.000"), m.Others)
}

// FlowJudge finds flows that are misdirected although their target is alive and holds them. Its method RecordPacket
// is the callback platformtest.TargetOptions.OnPacket of all targets of a cluster.
type FlowJudge struct {
	onMisdirected func(Misdirection)

	mu    sync.Mutex
	flows map[steering.Flow]*judgedFlow
}

type judgedFlow struct {
	holder      platformtest.FlowHolder
	misdirected []misdirectedPacket // since the holder received the last packet
	distinct    []time.Time         // when other targets received a packet for the first time
	judged      bool                // the window of these packets is judged, or will be
}

type misdirectedPacket struct {
	at           time.Time
	data, target string
}

// NewFlowJudge returns a judge that calls onMisdirected for each violation, from a goroutine of its own.
func NewFlowJudge(onMisdirected func(Misdirection)) *FlowJudge {
	return &FlowJudge{onMisdirected: onMisdirected, flows: map[steering.Flow]*judgedFlow{}}
}

// RecordPacket records that a target received a packet of an open flow.
func (j *FlowJudge) RecordPacket(p platformtest.ReceivedPacket) {
	j.mu.Lock()
	defer j.mu.Unlock()
	f := j.flows[p.Flow]
	if p.Held {
		if f == nil || f.holder != p.Target || len(f.misdirected) > 0 {
			j.flows[p.Flow] = &judgedFlow{holder: p.Target} // a new record, so that a pending judgement finds another one
		}
		return
	}
	if f == nil {
		return
	}
	now := time.Now()
	if !slices.ContainsFunc(f.misdirected, func(m misdirectedPacket) bool { return m.data == p.Data }) {
		f.distinct = append(f.distinct, now)
	}
	f.misdirected = append(f.misdirected, misdirectedPacket{now, p.Data, p.Target.ID()})
	if f.judged || len(f.distinct) < misdirectedPackets {
		return
	}
	first := f.distinct[len(f.distinct)-misdirectedPackets]
	if left := misdirectedWindow - now.Sub(first); left >= 0 {
		f.judged = true
		time.AfterFunc(left, func() { j.judge(p.Flow, f, first) })
	}
}

// judge reports a flow if its holder is alive and has received no packet since the first misdirected one.
func (j *FlowJudge) judge(flow steering.Flow, f *judgedFlow, first time.Time) {
	j.mu.Lock()
	current := j.flows[flow] == f
	m := Misdirection{Flow: flow, Holder: f.holder.ID(), Others: map[string]int{}, Since: first}
	for _, at := range f.distinct {
		if !at.Before(first) {
			m.Packets++
		}
	}
	for _, p := range f.misdirected {
		if !p.at.Before(first) {
			m.Others[p.target]++
		}
	}
	j.mu.Unlock()
	if current && f.holder.Holds(flow) {
		j.onMisdirected(m)
	}
}
