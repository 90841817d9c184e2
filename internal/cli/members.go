package cli

import (
	"fmt"

	"lanewheel/internal/config"
)

// membersCommand shows how a running process sees its fleet.
type membersCommand struct {
	JSON    bool     `name:"json" help:"Print the whole view as JSON."`
	Against []string `name:"against" help:"${help_against}" placeholder:"FILE" type:"path"`
	File    string   `arg:"" name:"file" help:"${help_members_file}" type:"path"`
}

func (c *membersCommand) Run(o output) error {
	return runLinked(func(linked *Components) error {
		shown, err := loadWatchedFleet(c.File)
		if err != nil {
			return err
		}
		var sockets []string
		for _, path := range c.Against {
			fleet, err := loadWatchedFleet(path)
			if err != nil {
				return err
			}
			sockets = append(sockets, fleet.StatusSocket)
		}
		return linked.ShowMembers(shown, sockets, c.JSON, o.out)
	})
}

// loadWatchedFleet reads the fleet's section of an operator's file; it has to name a status socket.
func loadWatchedFleet(path string) (config.Fleet, error) {
	operator, err := config.Load(path)
	if err != nil {
		return config.Fleet{}, err
	}
	if !operator.Fleet.Enabled || operator.Fleet.StatusSocket == "" {
		return config.Fleet{}, fmt.Errorf("%s: fleet.status-socket names no socket", path)
	}
	return operator.Fleet, nil
}
