package coordinator

import (
	"maps"
	"slices"
	"time"

	"github.com/hashicorp/raft"

	"lanewheel/internal/coordination"
	"lanewheel/internal/fleet/coordinator/client"
)

// handleRequest returns the response to a request. Every coordinator responds to status and history requests. Only the
// leader accepts other requests; the other coordinators respond with the leader's address.
func (c *Coordinator) handleRequest(request client.Request) client.Response {
	switch {
	case request.Status:
		return client.Response{Status: c.status()}
	case request.History:
		return c.history()
	case !c.acceptsCommands():
		return c.redirect()
	}
	var response client.Response
	if err := c.handleCommand(request, &response); err != nil {
		response.SetErr(err)
	}
	return response
}

// handleCommand executes a request that only the leader accepts.
func (c *Coordinator) handleCommand(request client.Request, response *client.Response) error {
	switch {
	case request.Command != nil:
		reply, err := c.propose(*request.Command)
		if err != nil {
			return err
		}
		response.Reply = &reply
	case request.Join != nil:
		return c.replica.addVoter(raft.ServerID(request.Join.ID), request.Join.Addr)
	case request.RemoveCoordinator != "":
		return c.replica.removeVoter(request.RemoveCoordinator)
	}
	return nil
}

// redirect returns a response with the leader's address, or with client.ErrNoQuorum if there is no other leader.
func (c *Coordinator) redirect() client.Response {
	var response client.Response
	leader := c.replica.leaderAddr()
	if leader == "" || leader == c.config.AdvertiseAddr { // no leader is known, or this one is shutting down
		response.SetErr(client.ErrNoQuorum)
		return response
	}
	response.Leader = leader
	return response
}

// history returns a response with copies of the command history and the ended permits.
func (c *Coordinator) history() (response client.Response) {
	c.replica.inspect(func(state *coordination.State) {
		response.History = slices.Clone(state.History)
		response.EndedPermits = slices.Clone(state.EndedPermits)
	})
	return response
}

// status returns the status of this coordinator with copies of its state.
func (c *Coordinator) status() *client.Status {
	status := &client.Status{
		ID:           string(c.replica.id),
		Leader:       c.replica.leaderAddr(),
		IsLeader:     c.IsLeader(),
		Term:         c.replica.raft.CurrentTerm(),
		AppliedIndex: c.replica.raft.AppliedIndex(),
		Coordinators: map[string]string{},
	}
	servers, err := c.replica.servers()
	if err == nil { // on an error the status lists no coordinators
		for _, server := range servers {
			status.Coordinators[string(server.ID)] = string(server.Address)
		}
	}
	c.replica.inspect(func(state *coordination.State) { copyState(state, status) })
	return status
}

// copyState copies the parts of the state that a status reports into status.
func copyState(state *coordination.State, status *client.Status) {
	status.FleetTime = state.Now.Round(time.Millisecond).String()
	status.MemberCount = len(state.Members)
	if state.Halt != nil {
		halt := *state.Halt
		status.Halt = &halt
	}
	if state.Rollout != nil {
		rollout := *state.Rollout
		status.Rollout = &rollout
	}
	for _, budget := range state.Budgets {
		status.Budgets = append(status.Budgets, state.Usage(budget))
	}
	for _, id := range slices.Sorted(maps.Keys(state.Permits)) {
		status.Permits = append(status.Permits, *state.Permits[id])
	}
	for _, name := range slices.Sorted(maps.Keys(state.Members)) {
		member := state.Members[name]
		if member.State != coordination.MemberUp || member.PermitID > 0 {
			status.Unavailable = append(status.Unavailable, *member)
		}
	}
}
