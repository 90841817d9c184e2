// Package coordination is what a fleet has agreed on: who is there, how many may be out at once, who has leave to go, which release goes where, and
// whether all of it is halted. It is pure and deterministic: commands in, state out, the same on every steward; time comes in with
// the command, as a span since its leader began, so that no two clocks have to agree. docs/releases.md has the states and why they hold.
package coordination

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"lanewheel/internal/membership"
)

// Name is a member's; Number is a permit's, and fences: a later permit has a higher one.
type (
	Name     = membership.Name
	PermitID uint64
)

// Config is what holds for the whole of a fleet's life, the same at every steward.
type Config struct {
	MaxHistory         int           `json:"History"` // commands that are remembered with what became of them
	MaxIdempotencyKeys int           `json:"Keys"`    // keys of commands whose replies are remembered
	MaxMembers         int           `json:"Members"` // known at a time
	MaxQueuedPermits   int           `json:"Waiting"` // permits that may wait
	MaxOvertakes       int           `json:"Passed"`  // times that one may be passed over by a later one
	StalledAfter       time.Duration `json:"Stuck"`   // how long one that went out may stay out before it is said that it does not come back
}

// DefaultConfig is what holds without being told.
func DefaultConfig() Config {
	return Config{MaxHistory: 1000, MaxIdempotencyKeys: 4096, MaxMembers: 10_000, MaxQueuedPermits: 10_000, MaxOvertakes: 50, StalledAfter: time.Minute}
}

// Selector is a group: members that have all that is told; empty fields match any.
type Selector struct {
	Zone     string `json:"Zone"`
	Release  string `json:"Release"`
	Role     string `json:"Role"`
	Upstream string `json:"Below"`
}

func (g Selector) String() string {
	text := ""
	for _, field := range [][2]string{{"zone", g.Zone}, {"release", g.Release}, {"role", g.Role}, {"below", g.Upstream}} {
		if field[1] != "" {
			text += field[0] + "=" + field[1] + " "
		}
	}
	if text == "" {
		return "all"
	}
	return text[:len(text)-1]
}

// DisruptionBudget bounds how many of a group may be out at once. What is out for any reason counts.
type DisruptionBudget struct {
	Name                   string   `json:"Name"`
	Selector               Selector `json:"Of"`
	MaxUnavailable         int      `json:"Most"`  // at once; under 0: Share says
	MaxUnavailableFraction float64  `json:"Share"` // of the group
	MinAvailableCapacity   float64  `json:"Least"` // capacity that stays up
}

// MemberState is why a member is out.
type MemberState string

const (
	MemberUp        MemberState = ""
	MemberWarmingUp MemberState = "cold"    // it has come up, and is not at its full pace
	MemberJoining   MemberState = "joining" // it is there, and does not serve yet
	MemberSuspect   MemberState = "suspect"
	MemberLeaving   MemberState = "leaving"
	MemberGone      MemberState = "gone"
)

// Observation is a member as a steward's membership has it.
type Observation struct {
	Name        Name                   `json:"Name"`
	Incarnation membership.Incarnation `json:"Incarnation"`
	Zone        string                 `json:"Zone"`
	Release     string                 `json:"Release"`
	Roles       membership.Roles       `json:"Roles"`
	Upstream    string                 `json:"Below"` // the service that it is, or stands beside
	Capacity    float64                `json:"Capacity"`
	State       MemberState            `json:"Why"` // why it is out
}

// Member is one that the fleet knows.
type Member struct {
	Observation
	StateSince      time.Duration `json:"Since"`  // in this state
	PermitID        PermitID      `json:"Permit"` // that it has, or waits for
	PreviousRelease string        `json:"Before"` // its release before the one that is being brought out
	FailedAttempts  int           `json:"Tries"`  // permits of the release that brought it back as it was
}

// PermitStage is how far a permit is.
type PermitStage string

const (
	PermitQueued  PermitStage = "queued"
	PermitGranted PermitStage = "granted" // it may begin; until it says that it does, the permit can be withdrawn
	PermitBegun   PermitStage = "begun"   // it goes out; this is never taken back, and counts until it is up again
	PermitEnded   PermitStage = "ended"
)

// Permit is leave for one member to go out.
type Permit struct {
	ID           PermitID               `json:"Number"`
	Member       Name                   `json:"Member"`
	Incarnation  membership.Incarnation `json:"Of"` // the life that has it; 0 while it waits
	RequestedBy  string                 `json:"By"`
	Purpose      string                 `json:"Why"` // drain, release, back
	Stage        PermitStage            `json:"Stage"`
	RequestedAt  time.Duration          `json:"Asked"`
	StageSince   time.Duration          `json:"At"`      // when it came into its stage
	BeginTimeout time.Duration          `json:"Span"`    // from granted until it has to begin
	Overtakes    int                    `json:"Passed"`  // later ones that were granted before it
	WaitReason   string                 `json:"Waits"`   // for what, as last looked
	Outcome      string                 `json:"Outcome"` // how it ended
}

// Halt is that nothing further begins.
type Halt struct {
	At     time.Duration `json:"At"`
	By     string        `json:"By"`
	Reason string        `json:"Why"`
}

// Kind is what a command does.
type Kind string

const (
	KindObserve       Kind = "see"
	KindSetBudgets    Kind = "budgets"
	KindRequestPermit Kind = "ask"     // for a permit
	KindBeginPermit   Kind = "begin"   // a permit, by its holder
	KindCancelPermit  Kind = "drop"    // a permit that has not begun
	KindForgetMember  Kind = "forget"  // a member that does not come back
	KindHalt          Kind = "halt"    // all
	KindResume        Kind = "resume"  // all
	KindStartRollout  Kind = "release" // start one
	KindRollBack      Kind = "back"    // the way back
	KindCanaryVerdict Kind = "verdict" // on a wave
	KindTick          Kind = "tick"    // time passes
	KindDrain         Kind = "drain"   // ask for all of a group
	KindCancelDrain   Kind = "undrain" // drop those that have not begun
)

// Command is one line of the log.
type Command struct {
	Term           uint64                 `json:"Term"` // of the leader who wrote it
	LeaderTime     time.Duration          `json:"At"`   // since that began to lead, by a clock that does not jump
	IdempotencyKey string                 `json:"Key"`  // the same key is the same command, however often it comes; empty: each counts
	RequestedBy    string                 `json:"By"`
	Kind           Kind                   `json:"Do"`
	Observations   []Observation          `json:"Seen"`
	Budgets        []DisruptionBudget     `json:"Budgets"`
	Member         Name                   `json:"Member"`
	Incarnation    membership.Incarnation `json:"Of"`
	Selector       Selector               `json:"Group"`
	PermitID       PermitID               `json:"Number"`
	BeginTimeout   time.Duration          `json:"Span"`
	Reason         string                 `json:"Why"`
	Plan           *RolloutPlan           `json:"Plan"`
	RolloutName    string                 `json:"Release"` // whose verdict
	Wave           int                    `json:"Wave"`
	Healthy        bool                   `json:"Good"`
}

// Reply is what became of a command.
type Reply struct {
	OK        bool       `json:"OK"`
	Reason    string     `json:"Why"` // what is wrong, or what is waited for
	PermitID  PermitID   `json:"Number"`
	PermitIDs []PermitID `json:"Numbers,omitempty"`
}

// HistoryEntry is one command of the history.
type HistoryEntry struct {
	Sequence    uint64        `json:"Nth"`
	At          time.Duration `json:"Now"`
	RequestedBy string        `json:"By"`
	Kind        Kind          `json:"Do"`
	Summary     string        `json:"What"`
	Reply
}

// State is all that is agreed. Its fields are read by whoever shows it; only Apply changes them.
type State struct {
	Config         Config               `json:"Told"`
	Now            time.Duration        `json:"Now"` // the sum of the time that leaders were there
	Term           uint64               `json:"Term"`
	LastLeaderTime time.Duration        `json:"LastAt"`
	Members        map[Name]*Member     `json:"Members"`
	Budgets        []DisruptionBudget   `json:"Budgets"`
	Permits        map[PermitID]*Permit `json:"Permits"` // that have not ended
	PermitQueue    []PermitID           `json:"Waiting"` // in the order of asking
	LastPermitID   PermitID             `json:"Last"`
	Halt           *Halt                `json:"Halted"`
	Rollout        *Rollout             `json:"Release"`
	Replies        map[string]Reply     `json:"Keys"`
	ReplyOrder     []string             `json:"KeyRing"`
	History        []HistoryEntry       `json:"History"`
	Sequence       uint64               `json:"Nth"`
	EndedPermits   []Permit             `json:"Over"` // that ended, the latest last
}

// NewState is a fleet that has agreed on nothing: without a budget nobody goes out.
func NewState(config Config) *State {
	return &State{Config: config, Members: map[Name]*Member{}, Permits: map[PermitID]*Permit{}, Replies: map[string]Reply{}}
}

// Apply carries one command out.
func (s *State) Apply(command Command) Reply {
	s.advanceClock(command)
	if command.IdempotencyKey != "" {
		if reply, known := s.Replies[command.IdempotencyKey]; known { // Danger: a client that heard no answer asks again, and gets a second permit
			return reply
		}
	}
	reply := s.execute(command)
	if command.IdempotencyKey != "" {
		s.Replies[command.IdempotencyKey] = reply
		s.ReplyOrder = append(s.ReplyOrder, command.IdempotencyKey)
		if len(s.ReplyOrder) > s.Config.MaxIdempotencyKeys {
			delete(s.Replies, s.ReplyOrder[0])
			s.ReplyOrder = slices.Delete(s.ReplyOrder, 0, 1)
		}
	}
	if command.Kind != KindTick && command.Kind != KindObserve {
		s.Sequence++
		s.History = append(s.History, HistoryEntry{s.Sequence, s.Now, command.RequestedBy, command.Kind, command.summary(), reply})
		if len(s.History) > s.Config.MaxHistory {
			s.History = slices.Delete(s.History, 0, len(s.History)-s.Config.MaxHistory)
		}
	}
	s.expirePermits()
	s.advanceRollout()
	s.grantPermits()
	return reply
}

// summary is a command in a few words.
func (c Command) summary() string {
	switch {
	case c.Kind == KindStartRollout && c.Plan != nil:
		return c.Plan.Name + " to " + c.Plan.TargetRelease
	case c.Kind == KindCanaryVerdict:
		return fmt.Sprintf("%s wave %d good=%v %s", c.RolloutName, c.Wave+1, c.Healthy, c.Reason)
	case c.Kind == KindSetBudgets:
		return fmt.Sprintf("%d budgets", len(c.Budgets))
	case c.PermitID > 0:
		return fmt.Sprintf("permit %d %s", c.PermitID, c.Member)
	case c.Member != "":
		return string(c.Member)
	}
	return cmp.Or(c.Reason, c.Selector.String())
}

// advanceClock has the time go on. Danger: stewards' clocks that are an hour apart. Only what passes while one leads counts, by his own clock, so a new one
// can make spans longer and never shorter.
func (s *State) advanceClock(command Command) {
	if command.Term != s.Term {
		s.Term, s.LastLeaderTime = command.Term, command.LeaderTime
		return
	}
	if command.LeaderTime > s.LastLeaderTime {
		s.Now += command.LeaderTime - s.LastLeaderTime
		s.LastLeaderTime = command.LeaderTime
	}
}

func refused(format string, args ...any) Reply { return Reply{Reason: fmt.Sprintf(format, args...)} }

func (s *State) execute(command Command) Reply {
	switch command.Kind {
	case KindTick:
		return Reply{OK: true}
	case KindObserve:
		for _, observation := range command.Observations {
			s.observe(observation)
		}
		return Reply{OK: true}
	case KindSetBudgets:
		for _, budget := range command.Budgets {
			if budget.Name == "" || budget.MaxUnavailable < 0 && !(budget.MaxUnavailableFraction >= 0 && budget.MaxUnavailableFraction <= 1) || math.IsNaN(budget.MinAvailableCapacity) {
				return refused("budget %q: wants a name, and most or a share from 0 to 1", budget.Name)
			}
		}
		s.Budgets = slices.Clone(command.Budgets)
		return Reply{OK: true}
	case KindRequestPermit:
		return s.requestPermit(command.Member, command.RequestedBy, cmp.Or(command.Reason, "drain"), command.BeginTimeout)
	case KindDrain:
		reply := Reply{OK: true}
		for _, name := range slices.Sorted(maps.Keys(s.Members)) {
			member := s.Members[name]
			if !command.Selector.matches(member.Observation) || member.State != MemberUp || member.PermitID > 0 {
				continue
			}
			if requested := s.requestPermit(name, command.RequestedBy, "drain", command.BeginTimeout); requested.OK {
				reply.PermitIDs = append(reply.PermitIDs, requested.PermitID)
			} else {
				return Reply{Reason: string(name) + ": " + requested.Reason, PermitIDs: reply.PermitIDs}
			}
		}
		if len(reply.PermitIDs) == 0 {
			return refused("nobody in %v is up and without a permit", command.Selector)
		}
		return reply
	case KindCancelDrain:
		reply := Reply{OK: true}
		for _, permit := range s.permitsByID() {
			if member := s.Members[permit.Member]; permit.Purpose == "drain" && permit.Stage != PermitBegun && (command.Member == permit.Member || command.Member == "" && member != nil && command.Selector.matches(member.Observation)) {
				reply.PermitIDs = append(reply.PermitIDs, permit.ID)
				s.endPermit(permit, "dropped by "+command.RequestedBy)
			}
		}
		return reply
	case KindBeginPermit:
		return s.beginPermit(command)
	case KindCancelPermit:
		permit := s.Permits[command.PermitID]
		switch {
		case permit == nil:
			return refused("permit %d is over", command.PermitID)
		case permit.Stage == PermitBegun:
			return refused("permit %d has begun, and finishes", command.PermitID)
		}
		s.endPermit(permit, "dropped by "+command.RequestedBy)
		return Reply{OK: true, PermitID: command.PermitID}
	case KindForgetMember:
		member := s.Members[command.Member]
		switch {
		case member == nil:
			return refused("no member %q", command.Member)
		case member.State == MemberUp || member.State == MemberWarmingUp || member.State == MemberJoining:
			return refused("%s is there", command.Member)
		}
		if permit := s.Permits[member.PermitID]; permit != nil {
			s.endPermit(permit, "forgotten by "+command.RequestedBy)
		}
		delete(s.Members, command.Member)
		return Reply{OK: true}
	case KindHalt:
		s.halt(command.RequestedBy, cmp.Or(command.Reason, "told to"))
		return Reply{OK: true}
	case KindResume:
		if s.Halt == nil {
			return refused("nothing is halted")
		}
		s.Halt = nil
		if s.Rollout != nil {
			s.Rollout.restartAnalysis(s.Now)
		}
		return Reply{OK: true}
	case KindStartRollout:
		return s.startRollout(command)
	case KindRollBack:
		return s.rollBack(command)
	case KindCanaryVerdict:
		return s.applyVerdict(command)
	}
	return refused("no command %q", command.Kind)
}

func (g Selector) matches(observation Observation) bool {
	matchesField := func(want, have string) bool { return want == "" || want == have }
	if g.Role != "" {
		roles, unknown := membership.ParseRoles([]string{g.Role})
		if unknown != "" || observation.Roles&roles == 0 {
			return false
		}
	}
	return matchesField(g.Zone, observation.Zone) && matchesField(g.Release, observation.Release) && matchesField(g.Upstream, observation.Upstream)
}

// observe takes a member as it is now.
func (s *State) observe(observation Observation) {
	member := s.Members[observation.Name]
	if member == nil {
		if len(s.Members) >= s.Config.MaxMembers || observation.State == MemberGone { // who was never here is not out
			return
		}
		member = &Member{StateSince: s.Now}
		s.Members[observation.Name] = member
	}
	// Danger: an old life's word, which came late, taken for the new one's.
	if observation.Incarnation < member.Incarnation {
		return
	}
	if observation.State != member.State || observation.Incarnation != member.Incarnation {
		member.StateSince = s.Now
	}
	member.Observation = observation
	permit := s.Permits[member.PermitID]
	if permit == nil {
		member.PermitID = 0
		return
	}
	switch {
	case permit.Stage == PermitBegun && observation.State == MemberUp && observation.Incarnation != permit.Incarnation:
		s.endPermit(permit, "back")
		s.recordReturn(member, permit)
	case permit.Stage != PermitBegun && permit.Incarnation != 0 && observation.Incarnation != permit.Incarnation: // who held it is over; the next life holds nothing
		s.endPermit(permit, "its life was over before it began")
	case permit.Stage == PermitQueued && observation.State != MemberUp: // it is out anyway
		s.endPermit(permit, "out already: "+string(observation.State))
	}
}

// unavailableLimit is how many of a budget's group may be out at once, of so many.
func (b DisruptionBudget) unavailableLimit(groupSize int) int {
	if b.MaxUnavailable >= 0 {
		return b.MaxUnavailable
	}
	return int(b.MaxUnavailableFraction * float64(groupSize))
}

// BudgetUsage is how a budget stands.
type BudgetUsage struct {
	Budget            DisruptionBudget `json:"Budget"`
	Members           int              `json:"Of"`    // members of the group
	Unavailable       int              `json:"Out"`   // of them, for any reason, permits that have been granted among them
	UnavailableLimit  int              `json:"Limit"` // that may be
	AvailableCapacity float64          `json:"Up"`    // capacity
}

// isUnavailable tells whether a member is out, or may be at any moment without asking again.
func (s *State) isUnavailable(member *Member) bool {
	if member.State != MemberUp {
		return true
	}
	permit := s.Permits[member.PermitID]
	return permit != nil && permit.Stage != PermitQueued
}

// Usage works out how a budget stands.
func (s *State) Usage(budget DisruptionBudget) (usage BudgetUsage) {
	usage.Budget = budget
	for _, member := range s.Members {
		if !budget.Selector.matches(member.Observation) {
			continue
		}
		usage.Members++
		if s.isUnavailable(member) {
			usage.Unavailable++
		} else {
			usage.AvailableCapacity += member.Capacity
		}
	}
	usage.UnavailableLimit = budget.unavailableLimit(usage.Members)
	return usage
}

// checkBudgets tells whether one more member may go out now, else what that waits for; never is that no order of things would let it.
func (s *State) checkBudgets(member *Member) (reason string, impossible bool) {
	if len(s.Budgets) == 0 {
		return "there is no budget", true
	}
	covered := false
	for _, budget := range s.Budgets {
		if !budget.Selector.matches(member.Observation) {
			continue
		}
		covered = true
		usage := s.Usage(budget)
		groupCapacity := 0.0
		for _, other := range s.Members {
			if budget.Selector.matches(other.Observation) {
				groupCapacity += other.Capacity
			}
		}
		switch {
		case usage.UnavailableLimit < 1:
			return fmt.Sprintf("budget %s lets none of %d go out", budget.Name, usage.Members), true
		case groupCapacity-member.Capacity < budget.MinAvailableCapacity:
			return fmt.Sprintf("budget %s wants %g cores up, and all but this one have %g", budget.Name, budget.MinAvailableCapacity, groupCapacity-member.Capacity), true
		case reason != "":
		case usage.Unavailable+1 > usage.UnavailableLimit:
			reason = fmt.Sprintf("budget %s: %d of %d out, %d may be", budget.Name, usage.Unavailable, usage.Members, usage.UnavailableLimit)
		case usage.AvailableCapacity-member.Capacity < budget.MinAvailableCapacity:
			reason = fmt.Sprintf("budget %s: %g cores up, %g wanted", budget.Name, usage.AvailableCapacity, budget.MinAvailableCapacity)
		}
	}
	if !covered {
		return "no budget speaks of it", true
	}
	return reason, false
}

// requestPermit has a member wait for its permit.
func (s *State) requestPermit(name Name, requestedBy, purpose string, beginTimeout time.Duration) Reply {
	member := s.Members[name]
	switch {
	case member == nil:
		return refused("no member %q", name)
	case member.PermitID > 0:
		permit := s.Permits[member.PermitID]
		return Reply{OK: true, PermitID: permit.ID, Reason: "it has one: " + string(permit.Stage)}
	case member.State != MemberUp:
		return refused("%s is out: %s", name, member.State)
	case len(s.PermitQueue) >= s.Config.MaxQueuedPermits:
		return refused("%d wait already", len(s.PermitQueue))
	}
	// Danger: what can never be granted waits for ever, and everybody behind it with it.
	if cause, impossible := s.checkBudgets(member); impossible {
		return refused("never: %s", cause)
	}
	if beginTimeout <= 0 {
		beginTimeout = 30 * time.Second
	}
	s.LastPermitID++
	permit := &Permit{ID: s.LastPermitID, Member: name, RequestedBy: requestedBy, Purpose: purpose, Stage: PermitQueued, RequestedAt: s.Now, StageSince: s.Now, BeginTimeout: beginTimeout}
	s.Permits[permit.ID] = permit
	s.PermitQueue = append(s.PermitQueue, permit.ID)
	member.PermitID = permit.ID
	return Reply{OK: true, PermitID: permit.ID}
}

// grantPermits gives leave to whoever fits, in the order of asking. One that does not fit lets others by, so many times; then what it waits for is kept
// free for it.
func (s *State) grantPermits() {
	if s.Halt != nil {
		for _, id := range s.PermitQueue {
			s.Permits[id].WaitReason = "halted"
		}
		return
	}
	var reserved []Selector // groups in which nobody goes before one that was passed over too often
	stillQueued := s.PermitQueue[:0]
	for _, id := range s.PermitQueue {
		permit := s.Permits[id]
		member := s.Members[permit.Member]
		reason, impossible := s.checkBudgets(member)
		switch {
		case impossible: // the budgets have changed under it
			permit.Stage = PermitGranted // it is off the queue already
			s.endPermit(permit, "never: "+reason)
			continue
		case reason == "" && slices.ContainsFunc(reserved, func(selector Selector) bool { return selector.matches(member.Observation) }):
			reason = "others have waited longer"
		}
		if permit.WaitReason = reason; reason != "" {
			if permit.Overtakes >= s.Config.MaxOvertakes {
				for _, budget := range s.Budgets {
					if budget.Selector.matches(member.Observation) {
						reserved = append(reserved, budget.Selector)
					}
				}
			}
			stillQueued = append(stillQueued, id)
			continue
		}
		for _, earlier := range stillQueued {
			s.Permits[earlier].Overtakes++
		}
		permit.Stage, permit.StageSince, permit.Incarnation = PermitGranted, s.Now, member.Incarnation
	}
	s.PermitQueue = stillQueued
}

// beginPermit is the last moment at which a permit can be refused: its holder goes out when it has heard that this was agreed, and not before. So
// what is withdrawn, halted or expired has not begun, whatever clock the holder goes by and however long it slept.
func (s *State) beginPermit(command Command) Reply {
	permit := s.Permits[command.PermitID]
	switch {
	case permit == nil:
		return refused("permit %d is over", command.PermitID)
	case permit.Member != command.Member || permit.Incarnation != command.Incarnation:
		return refused("permit %d is another's", command.PermitID)
	case permit.Stage == PermitBegun:
		return Reply{OK: true, PermitID: permit.ID}
	case permit.Stage != PermitGranted:
		return refused("permit %d is %s", command.PermitID, permit.Stage)
	}
	// Behind each command what is halted, has run out or overdraws a budget is withdrawn: what is still granted may begin.
	permit.Stage, permit.StageSince = PermitBegun, s.Now
	return Reply{OK: true, PermitID: permit.ID}
}

// overdrawnBudget tells which budget of a member is over its limit.
func (s *State) overdrawnBudget(member *Member) string {
	for _, budget := range s.Budgets {
		if !budget.Selector.matches(member.Observation) {
			continue
		}
		if usage := s.Usage(budget); usage.Unavailable > usage.UnavailableLimit || usage.AvailableCapacity < budget.MinAvailableCapacity {
			return fmt.Sprintf("budget %s: %d of %d out, %d may be", budget.Name, usage.Unavailable, usage.Members, usage.UnavailableLimit)
		}
	}
	return ""
}

// expirePermits ends permits that were not begun in time, and withdraws those that have not begun where crashes have overdrawn a budget, the last one
// granted first.
func (s *State) expirePermits() {
	permits := s.permitsByID()
	slices.Reverse(permits)
	for _, permit := range permits {
		if permit.Stage != PermitGranted {
			continue
		}
		member := s.Members[permit.Member]
		switch overdrawn := s.overdrawnBudget(member); {
		case s.Now-permit.StageSince >= permit.BeginTimeout:
			s.endPermit(permit, "not begun in time")
		case member.State != MemberUp:
			s.endPermit(permit, "out already: "+string(member.State))
		case overdrawn != "":
			s.endPermit(permit, "withdrawn: "+overdrawn)
		}
	}
}

// permitsByID gives the permits by number.
func (s *State) permitsByID() (permits []*Permit) {
	for _, id := range slices.Sorted(maps.Keys(s.Permits)) {
		permits = append(permits, s.Permits[id])
	}
	return permits
}

// endPermit is the end of a permit.
func (s *State) endPermit(permit *Permit, outcome string) {
	if permit.Stage == PermitQueued {
		s.PermitQueue = slices.DeleteFunc(s.PermitQueue, func(id PermitID) bool { return id == permit.ID })
	}
	permit.Stage, permit.StageSince, permit.Outcome = PermitEnded, s.Now, outcome
	delete(s.Permits, permit.ID)
	if member := s.Members[permit.Member]; member != nil && member.PermitID == permit.ID {
		member.PermitID = 0
	}
	s.EndedPermits = append(s.EndedPermits, *permit)
	if len(s.EndedPermits) > s.Config.MaxHistory {
		s.EndedPermits = slices.Delete(s.EndedPermits, 0, len(s.EndedPermits)-s.Config.MaxHistory)
	}
}

// halt has nothing further begin, from the moment that it is agreed.
func (s *State) halt(requestedBy, reason string) {
	if s.Halt == nil {
		s.Halt = &Halt{s.Now, requestedBy, reason}
	}
	for _, permit := range s.permitsByID() {
		if permit.Stage == PermitGranted {
			s.endPermit(permit, "withdrawn: halted")
		}
	}
}
