// Package agreed adds the steward to the commands of the program that has its log linked.
package agreed

import (
	"os"

	"lanewheel/internal/command"
	"lanewheel/internal/command/further"
	"lanewheel/internal/fleet/gossip"
	"lanewheel/internal/life"
	"lanewheel/internal/life/stewards"
	"lanewheel/internal/members"
)

// Parts adds to what lanewheel-fleet has.
func Parts(p command.Components) command.Components {
	p.RunCoordinator = func(operated, format string, begin, alone bool) error {
		return stewards.Run(operated, format, begin, alone, func(process gossip.Process, o *life.OperatorConfig) (*gossip.Agent, func(*life.OperatorConfig), error) {
			as := func(o *life.OperatorConfig) gossip.Config {
				f := o.File.Fleet
				f.Roles = members.RoleCoordinator
				return further.GossipConfig(&f, "", "", o.ClusterKeys)
			}
			part, err := gossip.New(as(o), process, uint64(os.Getpid()))
			if err != nil {
				return nil, nil, err
			}
			return part, func(o *life.OperatorConfig) { part.SetConfig(as(o)) }, nil
		})
	}
	return p
}
