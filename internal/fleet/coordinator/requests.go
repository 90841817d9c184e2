package coordinator

import (
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/hashicorp/raft"

	"lanewheel/internal/coordination"
	"lanewheel/internal/fleet/coordinator/client"
)

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
