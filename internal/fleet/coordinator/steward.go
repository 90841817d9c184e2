package coordinator

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/raft"

	"lanewheel/internal/coordination"
	"lanewheel/internal/coordination/canary"
	"lanewheel/internal/fleet/coordinator/client"
	"lanewheel/internal/fleet/gossip"
	"lanewheel/internal/membership"
)

// Fleet is how a steward sees and reaches the others.
type Fleet interface {
	View() *membership.View
	// Nudge tells a member that it has a permit, and of the one that has begun that it has.
	NotifyPermit(name membership.Name, of membership.Incarnation, number uint64, begun bool)
	// Figures asks a member what it has done since its start; then may never be called, or on any goroutine.
	QueryStats(name membership.Name, then func(gossip.RequestStats))
}

// Coordinator is one of those that hold what is agreed.
type Coordinator struct {
	config              Config
	replica             *replica
	fleet               Fleet
	streamLayer         *streamLayer
	rejectedConnections atomic.Uint64
	clusterKeys         atomic.Pointer[[]membership.Key]
	closed              chan struct{}
	loops               sync.WaitGroup
	shutdownOnce        sync.Once
	startedAt           time.Time
	shuttingDown        atomic.Bool

	leadership *leadership // nil while another leads; the leading goroutine's
}

// leadership is what the one that leads keeps beside the state: nothing of it is needed by the next one.
type leadership struct {
	term               uint64
	startedAt          time.Time
	reported           map[coordination.Name]coordination.Observation
	lastTick           time.Time
	notifiedAt         map[coordination.PermitID]time.Time
	restarts           map[coordination.PermitID]*restartState
	analyzedWave       string // the wave whose windows are gathered
	analysis           *canary.Analysis
	windowStart        time.Time
	mu                 sync.Mutex // guards figures
	previousStats      map[coordination.Name]memberStats
	currentStats       map[coordination.Name]memberStats
	canaryIncarnations map[coordination.Name]membership.Incarnation // of the new release, at the window before
}

type memberStats struct {
	incarnation membership.Incarnation
	gossip.RequestStats
}

// New opens a steward's folder and listener; Fleet joins it to the others.
func New(config Config) (*Coordinator, error) {
	if config.AdvertiseAddr == "" {
		config.AdvertiseAddr = config.ListenAddr
	}
	s := &Coordinator{config: config, closed: make(chan struct{}), startedAt: time.Now()}
	s.clusterKeys.Store(&config.ClusterKeys)
	listener, err := net.Listen("tcp", config.ListenAddr)
	if err != nil {
		return nil, err
	}
	s.streamLayer = newStreamLayer(s, listener)
	if s.replica, err = openReplica(config, s.streamLayer); err != nil {
		s.streamLayer.Close()
		return nil, err
	}
	close(s.streamLayer.ready)
	return s, nil
}

func (s *Coordinator) loadClusterKeys() []membership.Key { return *s.clusterKeys.Load() }

// SetClusterKeys takes keys that were told anew.
func (s *Coordinator) SetClusterKeys(keys []membership.Key) { s.clusterKeys.Store(&keys) }

// Serve goes on until Leave.
func (s *Coordinator) Serve(fleet Fleet) {
	s.fleet = fleet
	s.loops.Add(2)
	go s.joinLoop()
	go s.leadLoop()
	<-s.closed
	s.loops.Wait()
	s.streamLayer.Close()
	s.replica.close()
}

// Shutdown ends it. One that leads hands that over first, so that nothing waits for an election.
func (s *Coordinator) Shutdown() {
	s.shutdownOnce.Do(func() {
		s.shuttingDown.Store(true)
		go func() {
			if _, isLeader := s.replica.leaderTerm(); isLeader {
				_ = s.replica.raft.LeadershipTransfer().Error()
			}
			close(s.closed)
		}()
	})
}

// Ready tells whether there is a leader that this one knows.
func (s *Coordinator) Ready() bool { return s.replica.leaderAddr() != "" }

// IsLeader tells whether it is this one.
func (s *Coordinator) IsLeader() bool { _, isLeader := s.replica.leaderTerm(); return isLeader }

// joinLoop asks to be one of those that agree for as long as it is not.
func (s *Coordinator) joinLoop() {
	defer s.loops.Done()
	pause := 200 * time.Millisecond
	for {
		select {
		case <-s.closed:
			return
		case <-time.After(pause + time.Duration(rand.Int64N(int64(pause)))):
		}
		if s.replica.isVoter() || s.config.Bootstrap && s.replica.raft.LastIndex() == 0 {
			pause = 2 * time.Second
			continue
		}
		var others []string
		for _, addr := range s.config.Coordinators {
			if addr != s.config.AdvertiseAddr {
				others = append(others, addr)
			}
		}
		response, err := client.Client{Coordinators: others, Keys: s.loadClusterKeys(), LocalIP: s.config.LocalIP, Timeout: 5 * time.Second}.Do(client.Request{Join: &client.JoinRequest{ID: string(s.replica.id), Addr: s.config.AdvertiseAddr}})
		if err == nil && response.Error != "" {
			err = errors.New(response.Error)
		}
		if err != nil {
			slog.Info("steward-waits", "for", "one that takes it in", "err", err)
			pause = min(2*pause, 2*time.Second)
		}
	}
}

// leadLoop does, for as long as this one leads, what the leader does.
func (s *Coordinator) leadLoop() {
	defer s.loops.Done()
	const tickInterval = 100 * time.Millisecond
	for ticker := time.NewTicker(tickInterval); ; {
		select {
		case <-s.closed:
			ticker.Stop()
			return
		case <-ticker.C:
		}
		term, isLeader := s.replica.leaderTerm()
		if !isLeader {
			if s.leadership != nil {
				slog.Info("steward", "leads", false, "term", s.leadership.term)
			}
			s.leadership = nil
			continue
		}
		if s.leadership == nil || s.leadership.term != term {
			// Danger: what was agreed before is in the log and not yet in the state. Nothing is decided before it is.
			if s.replica.raft.Barrier(5*time.Second).Error() != nil {
				continue
			}
			slog.Info("steward", "leads", true, "term", term)
			s.leadership = &leadership{term: term, startedAt: time.Now(), notifiedAt: map[coordination.PermitID]time.Time{}, restarts: map[coordination.PermitID]*restartState{}, canaryIncarnations: map[coordination.Name]membership.Incarnation{}}
		}
		s.leaderRound()
	}
}

// propose fills in when a command is given, and has it agreed on.
func (s *Coordinator) propose(command coordination.Command) (coordination.Reply, error) {
	term, isLeader := s.replica.leaderTerm()
	if !isLeader {
		return coordination.Reply{}, client.ErrNoQuorum
	}
	command.Term, command.LeaderTime = term, time.Since(s.startedAt) // by the clock that does not jump
	return s.replica.apply(command)
}

// leaderRound is one round of the leader's: what it sees, what time it is, whom it nudges, what is judged and started.
func (s *Coordinator) leaderRound() {
	lead := s.leadership
	if !s.reportMembers() {
		return
	}
	active, halted := false, false
	type nudge struct {
		coordination.Permit
		here, gone bool
		before     string
	}
	var notices []nudge
	var rollout *coordination.Rollout
	s.replica.inspect(func(state *coordination.State) {
		active, halted = len(state.Permits) > 0 || state.Rollout.InProgress(), state.Halt != nil
		for _, permit := range state.Permits {
			if member := state.Members[permit.Member]; member != nil && permit.Stage != coordination.PermitQueued {
				notices = append(notices, nudge{*permit, member.State == coordination.MemberUp && member.Incarnation == permit.Incarnation, member.State == coordination.MemberGone, member.PreviousRelease})
			}
		}
		if state.Rollout != nil {
			copied := *state.Rollout
			rollout = &copied
		}
	})
	// At rest time need not pass often.
	if pause := time.Second; time.Since(lead.lastTick) > pause/4 && active || time.Since(lead.lastTick) > 5*pause {
		lead.lastTick = time.Now()
		if _, err := s.propose(coordination.Command{Kind: coordination.KindTick}); err != nil {
			return
		}
	}
	for _, notice := range notices {
		switch {
		case notice.here && time.Since(lead.notifiedAt[notice.ID]) > 500*time.Millisecond: // until it has gone: a word may be lost
			lead.notifiedAt[notice.ID] = time.Now()
			s.fleet.NotifyPermit(notice.Member, notice.Incarnation, uint64(notice.ID), notice.Stage == coordination.PermitBegun)
		// Who was drained stays out until his operator starts him. Danger: one that is still serving is started a second time.
		case notice.gone && notice.Stage == coordination.PermitBegun && notice.Purpose != "drain" && rollout != nil && s.config.RestartCommand != "":
			targetRelease := rollout.TargetRelease
			if notice.Purpose == "back" {
				targetRelease = notice.before
			}
			restart := lead.restarts[notice.ID]
			if restart == nil {
				restart = &restartState{}
				lead.restarts[notice.ID] = restart
			}
			s.scheduleRestart(restart, notice.Permit, targetRelease)
		}
	}
	switch {
	case halted: // what is seen meanwhile is of a wave that is judged anew once that is over
		lead.analyzedWave = ""
	case rollout.InProgress() && rollout.AnalysisRequired && rollout.Phase != coordination.RolloutRollingBack:
		s.analyzeWave(rollout)
	}
}

// memberStates is why a member is out, by how it is seen.
var memberStates = map[membership.State]coordination.MemberState{membership.StateUp: coordination.MemberUp, membership.StateWarming: coordination.MemberWarmingUp, membership.StateJoining: coordination.MemberJoining, membership.StateSuspect: coordination.MemberSuspect,
	membership.StateLeaving: coordination.MemberLeaving, membership.StateGone: coordination.MemberGone, membership.StateFenced: coordination.MemberGone}

// reportMembers says what has changed among the members, and tells whether what it sees can be trusted. Danger: a leader that is cut off from the fleet and not from
// the other stewards sees all as gone, or all as they were.
func (s *Coordinator) reportMembers() bool {
	view := s.fleet.View()
	if !view.LocalHealth.CanDeclareGone() {
		return false
	}
	lead := s.leadership
	current := map[coordination.Name]coordination.Observation{}
	add := func(claim membership.Descriptor, state coordination.MemberState) {
		observation := coordination.Observation{Name: claim.Name, Incarnation: claim.Incarnation, Zone: claim.Zone, Release: claim.Release, Roles: claim.Roles, Capacity: claim.Capacity, State: state}
		if claim.Roles&membership.RoleUpstream != 0 {
			observation.Upstream = string(claim.Name)
		}
		current[claim.Name] = observation
	}
	for member := range view.All() {
		add(member.Descriptor, memberStates[member.State])
	}
	add(view.Self, coordination.MemberUp)
	var changed []coordination.Observation
	for _, name := range slices.Sorted(maps.Keys(current)) {
		if previous, known := lead.reported[name]; !known || previous != current[name] {
			changed = append(changed, current[name])
		}
	}
	for name, previous := range lead.reported { // forgotten by the membership: it was gone for long
		if _, known := current[name]; !known && previous.State != coordination.MemberGone {
			previous.State = coordination.MemberGone
			changed = append(changed, previous)
			current[name] = previous
		}
	}
	if len(changed) == 0 {
		return true
	}
	if _, err := s.propose(coordination.Command{Kind: coordination.KindObserve, Observations: changed}); err != nil {
		return false
	}
	lead.reported = current
	return true
}

// BeginPermit hears that a member would begin its permit; done is called once it is agreed that it has.
func (s *Coordinator) BeginPermit(name membership.Name, incarnation membership.Incarnation, permitID uint64, begun func()) {
	go func() {
		if _, isLeader := s.replica.leaderTerm(); !isLeader || s.shuttingDown.Load() {
			return
		}
		reply, err := s.propose(coordination.Command{Kind: coordination.KindBeginPermit, RequestedBy: string(name), Member: name, Incarnation: incarnation, PermitID: coordination.PermitID(permitID)})
		if err == nil && reply.OK {
			begun()
		} else if err == nil {
			slog.Info("permit-refused", "number", permitID, "member", string(name), "why", reply.Reason)
		}
	}()
}

// restartState is how far the operator's command is for one permit.
type restartState struct {
	running     atomic.Bool
	done        atomic.Bool
	attempts    int
	nextAttempt time.Time
}

// scheduleRestart has the operator's command run for a member that is out, again and later each time while it fails. Danger: a member that has left the fleet
// and not ended yet can't be started, and would stay out for ever.
func (s *Coordinator) scheduleRestart(restart *restartState, permit coordination.Permit, release string) {
	if restart.running.Load() || restart.done.Load() || time.Now().Before(restart.nextAttempt) {
		return
	}
	restart.attempts++
	restart.nextAttempt = time.Now().Add(min(500*time.Millisecond<<min(restart.attempts, 6), 15*time.Second))
	restart.running.Store(true)
	go func() {
		restart.done.Store(s.runRestartCommand(permit, release))
		restart.running.Store(false)
	}()
}

// runRestartCommand runs the operator's command, with a bound on its time and on what it prints, and tells whether it went well.
func (s *Coordinator) runRestartCommand(permit coordination.Permit, release string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), s.config.RestartTimeout)
	defer cancel()
	args := strings.Fields(s.config.RestartCommand)
	for i := range args {
		args[i] = strings.NewReplacer("{name}", string(permit.Member), "{release}", release).Replace(args[i])
	}
	cmd := exec.CommandContext(ctx, args[0], args[1:]...)
	cmd.Env = append(os.Environ(), "LANEWHEEL_NAME="+string(permit.Member), "LANEWHEEL_RELEASE="+release)
	output := &limitedBuffer{limit: s.config.RestartOutputLimit}
	cmd.Stdout, cmd.Stderr = output, output
	cmd.WaitDelay = time.Second // Danger: a child of its own that keeps the output open
	startedAt := time.Now()
	err := cmd.Run()
	slog.Info("restart", "member", string(permit.Member), "release", release, "permit", uint64(permit.ID), "took_ms", time.Since(startedAt).Milliseconds(), "err", err, "said", string(output.data), "more", output.discarded)
	return err == nil
}

// limitedBuffer keeps the first bytes of what is written.
type limitedBuffer struct {
	mu        sync.Mutex
	data      []byte
	limit     int
	discarded int
}

func (c *limitedBuffer) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := min(len(b), c.limit-len(c.data))
	c.data = append(c.data, b[:n]...)
	c.discarded += len(b) - n
	return len(b), nil
}

// analyzeWave gathers what the new release and the old one do at the same time, window by window, and gives the verdict once there is one.
func (s *Coordinator) analyzeWave(rollout *coordination.Rollout) {
	lead := s.leadership
	wave := fmt.Sprint(rollout.Name, " ", rollout.Wave, " ", rollout.RequestedBy)
	if lead.analyzedWave != wave {
		lead.analyzedWave, lead.analysis, lead.windowStart, lead.previousStats, lead.currentStats = wave, canary.New(s.config.Canary), time.Now(), nil, map[coordination.Name]memberStats{}
	}
	if time.Since(lead.windowStart) < s.config.AnalysisWindow {
		return
	}
	lead.windowStart = time.Now()
	lead.mu.Lock()
	previous, current := lead.previousStats, lead.currentStats
	lead.previousStats, lead.currentStats = current, map[coordination.Name]memberStats{}
	lead.mu.Unlock()
	var canaryMembers, baselineMembers []coordination.Observation
	crashes := 0
	for _, name := range slices.Sorted(maps.Keys(lead.reported)) {
		observation := lead.reported[name]
		if !rollout.AppliesTo(observation) {
			continue
		}
		if observation.Release == rollout.TargetRelease {
			// One that is there under a later life without a permit has ended by itself.
			if previousIncarnation := lead.canaryIncarnations[name]; previousIncarnation != 0 && observation.Incarnation != previousIncarnation && !s.hadPermit(name) {
				crashes++
			}
			lead.canaryIncarnations[name] = observation.Incarnation
			canaryMembers = append(canaryMembers, observation)
		} else {
			baselineMembers = append(baselineMembers, observation)
		}
	}
	sumStats := func(group []coordination.Observation) (sample canary.Sample) {
		totalSeconds := 0.0
		for _, observation := range group {
			earlier, later := previous[observation.Name], current[observation.Name]
			if earlier.incarnation != later.incarnation || earlier.incarnation == 0 || later.Finished < earlier.Finished {
				continue
			}
			sample.Requests += later.Finished - earlier.Finished
			sample.OnTime += later.WithinObjective - earlier.WithinObjective
			totalSeconds += later.TotalSeconds - earlier.TotalSeconds
		}
		if sample.Requests > 0 {
			sample.MeanSeconds = totalSeconds / sample.Requests
		}
		return sample
	}
	sample := sumStats(canaryMembers)
	sample.Crashes = crashes
	lead.analysis.Add(sample, sumStats(baselineMembers))
	for _, group := range [][]coordination.Observation{canaryMembers, baselineMembers} {
		for i, at := range rand.Perm(len(group)) {
			if i >= s.config.SampleSize {
				break
			}
			observation := group[at]
			s.fleet.QueryStats(observation.Name, func(stats gossip.RequestStats) {
				lead.mu.Lock()
				lead.currentStats[observation.Name] = memberStats{observation.Incarnation, stats}
				lead.mu.Unlock()
			})
		}
	}
	verdict, reason := lead.analysis.Verdict()
	if verdict == canary.Inconclusive || verdict == canary.Passed && rollout.Phase != coordination.RolloutAnalyzing {
		return
	}
	reply, err := s.propose(coordination.Command{Kind: coordination.KindCanaryVerdict, RequestedBy: "the judgement", RolloutName: rollout.Name, Wave: rollout.Wave, Healthy: verdict == canary.Passed, Reason: reason})
	if err == nil && reply.OK {
		slog.Info("verdict", "release", rollout.Name, "wave", rollout.Wave+1, "is", verdict.String(), "why", reason)
		lead.analyzedWave = ""
	}
}

func (s *Coordinator) hadPermit(name coordination.Name) (yes bool) {
	s.replica.inspect(func(state *coordination.State) {
		member := state.Members[name]
		yes = member != nil && member.PermitID > 0
		for _, permit := range state.EndedPermits {
			yes = yes || permit.Member == name && state.Now-permit.StageSince < 10*time.Second
		}
	})
	return yes
}

func (s *Coordinator) status() *client.Status {
	status := &client.Status{ID: string(s.replica.id), Leader: s.replica.leaderAddr(), Term: s.replica.raft.CurrentTerm(), AppliedIndex: s.replica.raft.AppliedIndex(), Coordinators: map[string]string{}}
	_, status.IsLeader = s.replica.leaderTerm()
	if config := s.replica.raft.GetConfiguration(); config.Error() == nil {
		for _, x := range config.Configuration().Servers {
			status.Coordinators[string(x.ID)] = string(x.Address)
		}
	}
	s.replica.inspect(func(state *coordination.State) {
		status.FleetTime, status.MemberCount = state.Now.Round(time.Millisecond).String(), len(state.Members)
		if state.Halt != nil {
			h := *state.Halt
			status.Halt = &h
		}
		if state.Rollout != nil {
			r := *state.Rollout
			status.Rollout = &r
		}
		for _, b := range state.Budgets {
			status.Budgets = append(status.Budgets, state.Usage(b))
		}
		for _, id := range slices.Sorted(maps.Keys(state.Permits)) {
			status.Permits = append(status.Permits, *state.Permits[id])
		}
		for _, name := range slices.Sorted(maps.Keys(state.Members)) {
			if m := state.Members[name]; m.State != coordination.MemberUp || m.PermitID > 0 {
				status.Unavailable = append(status.Unavailable, *m)
			}
		}
	})
	return status
}

// handle answers a question. Any steward shows what it knows; only the one that leads takes commands, others say who that is.
func (s *Coordinator) handle(request client.Request) (response client.Response) {
	switch {
	case request.Status:
		response.Status = s.status()
		return response
	case request.History:
		s.replica.inspect(func(state *coordination.State) {
			response.History, response.EndedPermits = slices.Clone(state.History), slices.Clone(state.EndedPermits)
		})
		return response
	}
	if _, isLeader := s.replica.leaderTerm(); !isLeader || s.shuttingDown.Load() {
		if response.Leader = s.replica.leaderAddr(); response.Leader == "" || response.Leader == s.config.AdvertiseAddr {
			response.Leader, response.Error = "", client.ErrNoQuorum.Error()
		}
		return response
	}
	var err error
	switch {
	case request.Command != nil:
		var reply coordination.Reply
		if reply, err = s.propose(*request.Command); err == nil {
			response.Reply = &reply
		}
	case request.Join != nil:
		err = s.replica.addVoter(raft.ServerID(request.Join.ID), request.Join.Addr)
	case request.RemoveCoordinator != "":
		err = s.replica.removeVoter(request.RemoveCoordinator)
	}
	if err != nil {
		response.Error = err.Error()
		if errors.Is(err, client.ErrNoQuorum) {
			response.Error = client.ErrNoQuorum.Error()
		}
	}
	return response
}
