package coordination

import (
	"fmt"
	"strings"
	"time"

	"lanewheel/internal/membership"
)

// fleet is a state with a leader's clock. Its instances are named n0, n1 and so on.
type fleet struct {
	*State
	leaderTime time.Duration
}

// newFleet returns a fleet whose instances are all up, run release 1 and are assigned to the zones in turn.
func newFleet(size int, zones []string, budgets ...DisruptionBudget) *fleet {
	f := &fleet{State: NewState(DefaultConfig())}
	for i := range size {
		f.observeInstance(i, 1, MemberUp, "1", zones[i%len(zones)])
	}
	f.apply(Command{Kind: KindSetBudgets, Budgets: budgets})
	return f
}

func instanceName(i int) Name { return Name(fmt.Sprint("n", i)) }

func (f *fleet) apply(command Command) Reply {
	command.Term = 1
	command.LeaderTime = f.leaderTime
	return f.Apply(command)
}

// request requests a permit for a member.
func (f *fleet) request(name Name) Reply {
	return f.apply(Command{Kind: KindRequestPermit, Member: name})
}

// begin begins a permit on behalf of a member.
func (f *fleet) begin(name Name, id PermitID, incarnation membership.Incarnation) Reply {
	return f.apply(Command{Kind: KindBeginPermit, Member: name, PermitID: id, Incarnation: incarnation})
}

// verdict applies a canary verdict on a wave of the rollout r2.
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

// setMemberState changes the state of an instance and no other property.
func (f *fleet) setMemberState(i int, state MemberState) {
	member := f.Members[instanceName(i)]
	f.observeInstance(i, int(member.Incarnation), state, member.Release, member.Zone)
}

func (f *fleet) advanceTime(d time.Duration) {
	f.leaderTime += d
	f.apply(Command{Kind: KindTick})
}

func (f *fleet) permitSummary() string {
	var summaries []string
	for _, permit := range f.permitsByID() {
		text := fmt.Sprintf("%d %s %s", permit.ID, permit.Member, permit.Stage)
		if permit.WaitReason != "" {
			text += " (" + permit.WaitReason + ")"
		}
		summaries = append(summaries, text)
	}
	return strings.Join(summaries, "; ")
}

func (f *fleet) lastEnded() string {
	if len(f.EndedPermits) == 0 {
		return "none"
	}
	permit := f.EndedPermits[len(f.EndedPermits)-1]
	return fmt.Sprintf("%d %s: %s", permit.ID, permit.Member, permit.Outcome)
}

// restartGranted restarts each member that holds a granted permit, on the release that the given function returns for
// it, until no member holds one. It returns the names of the members in the order of their restarts.
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

// constantRelease returns a function for restartGranted that returns the same release for all members.
func constantRelease(release string) func(Name) string {
	return func(Name) string { return release }
}

var oneAtATime = DisruptionBudget{Name: "one", MaxUnavailable: 1}
