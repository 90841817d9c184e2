package coordination

import (
	"fmt"
	"strings"
	"time"

	"lanewheel/internal/membership"
)

// fleet is a state with instances n0, n1 ... in zones in turn, all up, and a leader's clock.
type fleet struct {
	*State
	leaderTime time.Duration
}

func newFleet(size int, zones []string, budgets ...DisruptionBudget) *fleet {
	f := &fleet{State: NewState(DefaultConfig())}
	for i := range size {
		f.observeInstance(i, 1, MemberUp, "1", zones[i%len(zones)])
	}
	f.apply(Command{Kind: KindSetBudgets, Budgets: budgets})
	return f
}

func instanceName(i int) Name { return Name(fmt.Sprint("n", i)) }

func (f *fleet) apply(c Command) Reply {
	c.Term = 1
	c.LeaderTime = f.leaderTime
	return f.Apply(c)
}

// request asks for a permit for a member.
func (f *fleet) request(name Name) Reply {
	return f.apply(Command{Kind: KindRequestPermit, Member: name})
}

// begin has a member begin its permit.
func (f *fleet) begin(name Name, id PermitID, incarnation membership.Incarnation) Reply {
	return f.apply(Command{Kind: KindBeginPermit, Member: name, PermitID: id, Incarnation: incarnation})
}

// verdict is a canary verdict on a wave of the rollout r2.
func (f *fleet) verdict(wave int, healthy bool) Reply {
	return f.apply(Command{Kind: KindCanaryVerdict, RolloutName: "r2", Wave: wave, Healthy: healthy})
}

func (f *fleet) observe(observation Observation) {
	f.apply(Command{Kind: KindObserve, Observations: []Observation{observation}})
}

func (f *fleet) observeInstance(i int, incarnation int, state MemberState, release, zone string) {
	f.observe(Observation{
		Name:        instanceName(i),
		Incarnation: membership.Incarnation(incarnation),
		Zone:        zone,
		Release:     release,
		Roles:       membership.RoleServer,
		Capacity:    1,
		State:       state,
	})
}

// setMemberState changes the state of an instance and leaves all else as it was.
func (f *fleet) setMemberState(i int, state MemberState) {
	member := f.Members[instanceName(i)]
	f.observeInstance(i, int(member.Incarnation), state, member.Release, member.Zone)
}

func (f *fleet) advanceTime(d time.Duration) {
	f.leaderTime += d
	f.apply(Command{Kind: KindTick})
}

func (f *fleet) permitSummary() string {
	var all []string
	for _, permit := range f.permitsByID() {
		text := fmt.Sprintf("%d %s %s", permit.ID, permit.Member, permit.Stage)
		if permit.WaitReason != "" {
			text += " (" + permit.WaitReason + ")"
		}
		all = append(all, text)
	}
	return strings.Join(all, "; ")
}

func (f *fleet) lastEnded() string {
	if len(f.EndedPermits) == 0 {
		return "none"
	}
	permit := f.EndedPermits[len(f.EndedPermits)-1]
	return fmt.Sprintf("%d %s: %s", permit.ID, permit.Member, permit.Outcome)
}

// restartGranted has each member that holds a granted permit go out and come back on a release, until none holds one.
func (f *fleet) restartGranted(release func(Name) string) (restarted []Name) {
	for {
		before := len(restarted)
		for _, permit := range f.permitsByID() {
			if permit.Stage != PermitGranted || !f.begin(permit.Member, permit.ID, permit.Incarnation).OK {
				continue
			}
			restarted = append(restarted, permit.Member)
			observation := f.Members[permit.Member].Observation
			observation.State = MemberGone
			f.observe(observation)
			observation.Incarnation++
			observation.State = MemberUp
			observation.Release = release(observation.Name)
			f.observe(observation)
		}
		if len(restarted) == before {
			return restarted
		}
	}
}

// constantRelease is for restartGranted: all members come back on the same release.
func constantRelease(release string) func(Name) string {
	return func(Name) string { return release }
}

var oneAtATime = DisruptionBudget{Name: "one", MaxUnavailable: 1}
