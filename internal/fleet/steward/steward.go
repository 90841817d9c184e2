package steward

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

	"lanewheel/internal/accord"
	"lanewheel/internal/accord/judge"
	"lanewheel/internal/fleet/gossip"
	"lanewheel/internal/fleet/steward/ask"
	"lanewheel/internal/members"
)

// Fleet is how a steward sees and reaches the others.
type Fleet interface {
	View() *members.View
	// Nudge tells a member that it has a permit, and of the one that has begun that it has.
	Nudge(name members.Name, of members.Incarnation, number uint64, begun bool)
	// Figures asks a member what it has done since its start; then may never be called, or on any goroutine.
	Figures(name members.Name, then func(gossip.RequestStats))
}

// Steward is one of those that hold what is agreed.
type Steward struct {
	told      Told
	node      *Node
	fleet     Fleet
	streams   *streams
	strangers atomic.Uint64
	keyring   atomic.Pointer[[]members.Key]
	over      chan struct{}
	done      sync.WaitGroup
	stop      sync.Once
	began     time.Time
	leaving   atomic.Bool

	lead *leading // nil while another leads; the leading goroutine's
}

// leading is what the one that leads keeps beside the state: nothing of it is needed by the next one.
type leading struct {
	term   uint64
	since  time.Time
	saw    map[accord.Name]accord.Observation
	ticked time.Time
	nudged map[accord.PermitID]time.Time
	hooks  map[accord.PermitID]*hooking
	judged string // the wave whose windows are gathered
	judge  *judge.Analysis
	window time.Time
	mu     sync.Mutex // guards figures
	last   map[accord.Name]figures
	now    map[accord.Name]figures
	ended  map[accord.Name]members.Incarnation // of the new release, at the window before
}

type figures struct {
	of members.Incarnation
	gossip.RequestStats
}

// New opens a steward's folder and listener; Fleet joins it to the others.
func New(told Told) (*Steward, error) {
	if told.At == "" {
		told.At = told.Listen
	}
	s := &Steward{told: told, over: make(chan struct{}), began: time.Now()}
	s.keyring.Store(&told.Keys)
	l, err := net.Listen("tcp", told.Listen)
	if err != nil {
		return nil, err
	}
	s.streams = newStreams(s, l)
	if s.node, err = open(told, s.streams); err != nil {
		s.streams.Close()
		return nil, err
	}
	close(s.streams.open)
	return s, nil
}

func (s *Steward) keys() []members.Key { return *s.keyring.Load() }

// Put takes keys that were told anew.
func (s *Steward) Put(keys []members.Key) { s.keyring.Store(&keys) }

// Serve goes on until Leave.
func (s *Steward) Serve(fleet Fleet) {
	s.fleet = fleet
	s.done.Add(2)
	go s.joining()
	go s.leads()
	<-s.over
	s.done.Wait()
	s.streams.Close()
	s.node.close()
}

// Leave ends it. One that leads hands that over first, so that nothing waits for an election.
func (s *Steward) Leave() {
	s.stop.Do(func() {
		s.leaving.Store(true)
		go func() {
			if _, yes := s.node.leads(); yes {
				_ = s.node.raft.LeadershipTransfer().Error()
			}
			close(s.over)
		}()
	})
}

// Ready tells whether there is a leader that this one knows.
func (s *Steward) Ready() bool { return s.node.leader() != "" }

// Leads tells whether it is this one.
func (s *Steward) Leads() bool { _, yes := s.node.leads(); return yes }

// joining asks to be one of those that agree for as long as it is not.
func (s *Steward) joining() {
	defer s.done.Done()
	wait := 200 * time.Millisecond
	for {
		select {
		case <-s.over:
			return
		case <-time.After(wait + time.Duration(rand.Int64N(int64(wait)))):
		}
		if s.node.member() || s.told.Begin && s.node.raft.LastIndex() == 0 {
			wait = 2 * time.Second
			continue
		}
		var others []string
		for _, at := range s.told.Others {
			if at != s.told.At {
				others = append(others, at)
			}
		}
		a, err := ask.Client{Stewards: others, Keys: s.keys(), From: s.told.From, Limit: 5 * time.Second}.Ask(ask.Question{Join: &ask.Joining{ID: string(s.node.id), At: s.told.At}})
		if err == nil && a.Error != "" {
			err = errors.New(a.Error)
		}
		if err != nil {
			slog.Info("steward-waits", "for", "one that takes it in", "err", err)
			wait = min(2*wait, 2*time.Second)
		}
	}
}

// leads does, for as long as this one leads, what the leader does.
func (s *Steward) leads() {
	defer s.done.Done()
	const often = 100 * time.Millisecond
	for tick := time.NewTicker(often); ; {
		select {
		case <-s.over:
			tick.Stop()
			return
		case <-tick.C:
		}
		term, yes := s.node.leads()
		if !yes {
			if s.lead != nil {
				slog.Info("steward", "leads", false, "term", s.lead.term)
			}
			s.lead = nil
			continue
		}
		if s.lead == nil || s.lead.term != term {
			// Danger: what was agreed before is in the log and not yet in the state. Nothing is decided before it is.
			if s.node.raft.Barrier(5*time.Second).Error() != nil {
				continue
			}
			slog.Info("steward", "leads", true, "term", term)
			s.lead = &leading{term: term, since: time.Now(), nudged: map[accord.PermitID]time.Time{}, hooks: map[accord.PermitID]*hooking{}, ended: map[accord.Name]members.Incarnation{}}
		}
		s.round()
	}
}

// command fills in when a command is given, and has it agreed on.
func (s *Steward) command(c accord.Command) (accord.Reply, error) {
	term, yes := s.node.leads()
	if !yes {
		return accord.Reply{}, ask.ErrNobody
	}
	c.Term, c.LeaderTime = term, time.Since(s.began) // by the clock that does not jump
	return s.node.apply(c)
}

// round is one round of the leader's: what it sees, what time it is, whom it nudges, what is judged and started.
func (s *Steward) round() {
	l := s.lead
	if !s.see() {
		return
	}
	busy, halted := false, false
	type nudge struct {
		accord.Permit
		here, gone bool
		before     string
	}
	var nudges []nudge
	var release *accord.Rollout
	s.node.read(func(a *accord.State) {
		busy, halted = len(a.Permits) > 0 || a.Rollout.InProgress(), a.Halt != nil
		for _, p := range a.Permits {
			if m := a.Members[p.Member]; m != nil && p.Stage != accord.PermitQueued {
				nudges = append(nudges, nudge{*p, m.State == accord.MemberUp && m.Incarnation == p.Incarnation, m.State == accord.MemberGone, m.PreviousRelease})
			}
		}
		if a.Rollout != nil {
			r := *a.Rollout
			release = &r
		}
	})
	// At rest time need not pass often.
	if pause := time.Second; time.Since(l.ticked) > pause/4 && busy || time.Since(l.ticked) > 5*pause {
		l.ticked = time.Now()
		if _, err := s.command(accord.Command{Kind: accord.KindTick}); err != nil {
			return
		}
	}
	for _, n := range nudges {
		switch {
		case n.here && time.Since(l.nudged[n.ID]) > 500*time.Millisecond: // until it has gone: a word may be lost
			l.nudged[n.ID] = time.Now()
			s.fleet.Nudge(n.Member, n.Incarnation, uint64(n.ID), n.Stage == accord.PermitBegun)
		// Who was drained stays out until his operator starts him. Danger: one that is still serving is started a second time.
		case n.gone && n.Stage == accord.PermitBegun && n.Purpose != "drain" && release != nil && s.told.Restart != "":
			to := release.TargetRelease
			if n.Purpose == "back" {
				to = n.before
			}
			h := l.hooks[n.ID]
			if h == nil {
				h = &hooking{}
				l.hooks[n.ID] = h
			}
			s.hook(h, n.Permit, to)
		}
	}
	switch {
	case halted: // what is seen meanwhile is of a wave that is judged anew once that is over
		l.judged = ""
	case release.InProgress() && release.RolloutPlan.AnalysisRequired && release.Phase != accord.RolloutRollingBack:
		s.watch(release)
	}
}

// reasons is why a member is out, by how it is seen.
var reasons = map[members.State]accord.MemberState{members.StateUp: accord.MemberUp, members.StateWarming: accord.MemberWarmingUp, members.StateJoining: accord.MemberJoining, members.StateSuspect: accord.MemberSuspect,
	members.StateLeaving: accord.MemberLeaving, members.StateGone: accord.MemberGone, members.StateFenced: accord.MemberGone}

// see says what has changed among the members, and tells whether what it sees can be trusted. Danger: a leader that is cut off from the fleet and not from
// the other stewards sees all as gone, or all as they were.
func (s *Steward) see() bool {
	v := s.fleet.View()
	if !v.LocalHealth.CanDeclareGone() {
		return false
	}
	l := s.lead
	saw := map[accord.Name]accord.Observation{}
	add := func(c members.Descriptor, why accord.MemberState) {
		x := accord.Observation{Name: c.Name, Incarnation: c.Incarnation, Zone: c.Zone, Release: c.Release, Roles: c.Roles, Capacity: c.Capacity, State: why}
		if c.Roles&members.RoleUpstream != 0 {
			x.Upstream = string(c.Name)
		}
		saw[c.Name] = x
	}
	for m := range v.All() {
		add(m.Descriptor, reasons[m.State])
	}
	add(v.Self, accord.MemberUp)
	var news []accord.Observation
	for _, name := range slices.Sorted(maps.Keys(saw)) {
		if was, known := l.saw[name]; !known || was != saw[name] {
			news = append(news, saw[name])
		}
	}
	for name, was := range l.saw { // forgotten by the membership: it was gone for long
		if _, known := saw[name]; !known && was.State != accord.MemberGone {
			was.State = accord.MemberGone
			news = append(news, was)
			saw[name] = was
		}
	}
	if len(news) == 0 {
		return true
	}
	if _, err := s.command(accord.Command{Kind: accord.KindObserve, Observations: news}); err != nil {
		return false
	}
	l.saw = saw
	return true
}

// Begins hears that a member would begin its permit; done is called once it is agreed that it has.
func (s *Steward) Begins(name members.Name, of members.Incarnation, number uint64, done func()) {
	go func() {
		if _, yes := s.node.leads(); !yes || s.leaving.Load() {
			return
		}
		r, err := s.command(accord.Command{Kind: accord.KindBeginPermit, RequestedBy: string(name), Member: name, Incarnation: of, PermitID: accord.PermitID(number)})
		if err == nil && r.OK {
			done()
		} else if err == nil {
			slog.Info("permit-refused", "number", number, "member", string(name), "why", r.Reason)
		}
	}()
}

// hooking is how far the operator's command is for one permit.
type hooking struct {
	runs   atomic.Bool
	done   atomic.Bool
	failed int
	next   time.Time
}

// hook has the operator's command run for a member that is out, again and later each time while it fails. Danger: a member that has left the fleet
// and not ended yet can't be started, and would stay out for ever.
func (s *Steward) hook(h *hooking, p accord.Permit, release string) {
	if h.runs.Load() || h.done.Load() || time.Now().Before(h.next) {
		return
	}
	h.failed++
	h.next = time.Now().Add(min(500*time.Millisecond<<min(h.failed, 6), 15*time.Second))
	h.runs.Store(true)
	go func() {
		h.done.Store(s.restart(p, release))
		h.runs.Store(false)
	}()
}

// restart runs the operator's command, with a bound on its time and on what it prints, and tells whether it went well.
func (s *Steward) restart(p accord.Permit, release string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), s.told.Patience)
	defer cancel()
	words := strings.Fields(s.told.Restart)
	for i := range words {
		words[i] = strings.NewReplacer("{name}", string(p.Member), "{release}", release).Replace(words[i])
	}
	cmd := exec.CommandContext(ctx, words[0], words[1:]...)
	cmd.Env = append(os.Environ(), "LANEWHEEL_NAME="+string(p.Member), "LANEWHEEL_RELEASE="+release)
	out := &capped{most: s.told.Output}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.WaitDelay = time.Second // Danger: a child of its own that keeps the output open
	began := time.Now()
	err := cmd.Run()
	slog.Info("restart", "member", string(p.Member), "release", release, "permit", uint64(p.ID), "took_ms", time.Since(began).Milliseconds(), "err", err, "said", string(out.b), "more", out.more)
	return err == nil
}

// capped keeps the first bytes of what is written.
type capped struct {
	mu   sync.Mutex
	b    []byte
	most int
	more int
}

func (c *capped) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := min(len(b), c.most-len(c.b))
	c.b = append(c.b, b[:n]...)
	c.more += len(b) - n
	return len(b), nil
}

// watch gathers what the new release and the old one do at the same time, window by window, and gives the verdict once there is one.
func (s *Steward) watch(r *accord.Rollout) {
	l := s.lead
	wave := fmt.Sprint(r.Name, " ", r.Wave, " ", r.RequestedBy)
	if l.judged != wave {
		l.judged, l.judge, l.window, l.last, l.now = wave, judge.New(s.told.Judge), time.Now(), nil, map[accord.Name]figures{}
	}
	if time.Since(l.window) < s.told.Window {
		return
	}
	l.window = time.Now()
	l.mu.Lock()
	last, now := l.last, l.now
	l.last, l.now = now, map[accord.Name]figures{}
	l.mu.Unlock()
	var fresh, old []accord.Observation
	ended := 0
	for _, name := range slices.Sorted(maps.Keys(l.saw)) {
		x := l.saw[name]
		if !r.AppliesTo(x) {
			continue
		}
		if x.Release == r.TargetRelease {
			// One that is there under a later life without a permit has ended by itself.
			if was := l.ended[name]; was != 0 && x.Incarnation != was && !s.permitted(name) {
				ended++
			}
			l.ended[name] = x.Incarnation
			fresh = append(fresh, x)
		} else {
			old = append(old, x)
		}
	}
	sum := func(of []accord.Observation) (g judge.Sample) {
		took := 0.0
		for _, x := range of {
			a, b := last[x.Name], now[x.Name]
			if a.of != b.of || a.of == 0 || b.Finished < a.Finished {
				continue
			}
			g.Requests += b.Finished - a.Finished
			g.OnTime += b.WithinObjective - a.WithinObjective
			took += b.TotalSeconds - a.TotalSeconds
		}
		if g.Requests > 0 {
			g.MeanSeconds = took / g.Requests
		}
		return g
	}
	g := sum(fresh)
	g.Crashes = ended
	l.judge.Add(g, sum(old))
	for _, of := range [][]accord.Observation{fresh, old} {
		for i, at := range rand.Perm(len(of)) {
			if i >= s.told.Asked {
				break
			}
			x := of[at]
			s.fleet.Figures(x.Name, func(f gossip.RequestStats) {
				l.mu.Lock()
				l.now[x.Name] = figures{x.Incarnation, f}
				l.mu.Unlock()
			})
		}
	}
	v, why := l.judge.Verdict()
	if v == judge.Inconclusive || v == judge.Passed && r.Phase != accord.RolloutAnalyzing {
		return
	}
	reply, err := s.command(accord.Command{Kind: accord.KindCanaryVerdict, RequestedBy: "the judgement", RolloutName: r.Name, Wave: r.Wave, Healthy: v == judge.Passed, Reason: why})
	if err == nil && reply.OK {
		slog.Info("verdict", "release", r.Name, "wave", r.Wave+1, "is", v.String(), "why", why)
		l.judged = ""
	}
}

func (s *Steward) permitted(name accord.Name) (yes bool) {
	s.node.read(func(a *accord.State) {
		m := a.Members[name]
		yes = m != nil && m.PermitID > 0
		for _, p := range a.EndedPermits {
			yes = yes || p.Member == name && a.Now-p.StageSince < 10*time.Second
		}
	})
	return yes
}

func (s *Steward) status() *ask.Status {
	t := &ask.Status{Steward: string(s.node.id), Leader: s.node.leader(), Term: s.node.raft.CurrentTerm(), Index: s.node.raft.AppliedIndex(), Others: map[string]string{}}
	_, t.Leads = s.node.leads()
	if config := s.node.raft.GetConfiguration(); config.Error() == nil {
		for _, x := range config.Configuration().Servers {
			t.Others[string(x.ID)] = string(x.Address)
		}
	}
	s.node.read(func(a *accord.State) {
		t.Now, t.Members = a.Now.Round(time.Millisecond).String(), len(a.Members)
		if a.Halt != nil {
			h := *a.Halt
			t.Halted = &h
		}
		if a.Rollout != nil {
			r := *a.Rollout
			t.Release = &r
		}
		for _, b := range a.Budgets {
			t.Uses = append(t.Uses, a.Usage(b))
		}
		for _, n := range slices.Sorted(maps.Keys(a.Permits)) {
			t.Permits = append(t.Permits, *a.Permits[n])
		}
		for _, name := range slices.Sorted(maps.Keys(a.Members)) {
			if m := a.Members[name]; m.State != accord.MemberUp || m.PermitID > 0 {
				t.Out = append(t.Out, *m)
			}
		}
	})
	return t
}

// asked answers a question. Any steward shows what it knows; only the one that leads takes commands, others say who that is.
func (s *Steward) asked(q ask.Question) (a ask.Answer) {
	switch {
	case q.Status:
		a.Status = s.status()
		return a
	case q.History:
		s.node.read(func(x *accord.State) { a.History, a.Over = slices.Clone(x.History), slices.Clone(x.EndedPermits) })
		return a
	}
	if _, yes := s.node.leads(); !yes || s.leaving.Load() {
		if a.Leader = s.node.leader(); a.Leader == "" || a.Leader == s.told.At {
			a.Leader, a.Error = "", ask.ErrNobody.Error()
		}
		return a
	}
	var err error
	switch {
	case q.Command != nil:
		var r accord.Reply
		if r, err = s.command(*q.Command); err == nil {
			a.Reply = &r
		}
	case q.Join != nil:
		err = s.node.join(raft.ServerID(q.Join.ID), q.Join.At)
	case q.Leave != "":
		err = s.node.leave(q.Leave)
	}
	if err != nil {
		a.Error = err.Error()
		if errors.Is(err, ask.ErrNobody) {
			a.Error = ask.ErrNobody.Error()
		}
	}
	return a
}
