package coordination

import (
	"fmt"
	"strings"
	"time"

	"lanewheel/internal/membership"
)

// fleet is a state with so many instances in zones in turn, all up, and a hand that writes commands.
type fleet struct {
	*State
	at time.Duration
}

func newFleet(n int, zones []string, budgets ...DisruptionBudget) *fleet {
	f := &fleet{State: NewState(DefaultConfig())}
	for i := range n {
		f.observeInstance(i, 1, MemberUp, "1", zones[i%len(zones)])
	}
	f.apply(Command{Kind: KindSetBudgets, Budgets: budgets})
	return f
}

func instanceName(i int) Name { return Name(fmt.Sprint("n", i)) }

func (f *fleet) apply(c Command) Reply {
	c.Term, c.LeaderTime = 1, f.at
	return f.Apply(c)
}

func (f *fleet) observeInstance(i int, incarnation int, state MemberState, release, zone string) {
	f.apply(Command{Kind: KindObserve, Observations: []Observation{{Name: instanceName(i), Incarnation: membership.Incarnation(incarnation), Zone: zone, Release: release, Roles: membership.RoleServer, Capacity: 1, State: state}}})
}

// setMemberState changes how a member is, with all else as it was.
func (f *fleet) setMemberState(i int, state MemberState) {
	member := f.Members[instanceName(i)]
	f.observeInstance(i, int(member.Incarnation), state, member.Release, member.Zone)
}

func (f *fleet) advanceTime(d time.Duration) {
	f.at += d
	f.apply(Command{Kind: KindTick})
}

func (f *fleet) permitSummary() string {
	var all []string
	for _, p := range f.permitsByID() {
		text := fmt.Sprintf("%d %s %s", p.ID, p.Member, p.Stage)
		if p.WaitReason != "" {
			text += " (" + p.WaitReason + ")"
		}
		all = append(all, text)
	}
	return strings.Join(all, "; ")
}

func (f *fleet) lastEnded() string {
	if len(f.EndedPermits) == 0 {
		return "none"
	}
	p := f.EndedPermits[len(f.EndedPermits)-1]
	return fmt.Sprintf("%d %s: %s", p.ID, p.Member, p.Outcome)
}

var oneAtATime = DisruptionBudget{Name: "one", MaxUnavailable: 1}
