package cli

import (
	"fmt"

	"lanewheel/internal/config"
)

// membersCommand prints a running process's view of its fleet.
type membersCommand struct {
	JSON    bool     `name:"json" help:"Print the whole view as JSON."`
	Against []string `name:"against" help:"${help_against}" placeholder:"FILE" type:"path"`
	File    string   `arg:"" name:"file" help:"${help_members_file}" type:"path"`
}

func (c *membersCommand) Run(o output) error {
	return runWithComponents(func(linked *Components) error {
		primary, err := loadFleetSection(c.File)
		if err != nil {
			return err
		}
		var sockets []string
		for _, path := range c.Against {
			fleet, err := loadFleetSection(path)
			if err != nil {
				return err
			}
			sockets = append(sockets, fleet.StatusSocket)
		}
		return linked.ShowMembers(primary, sockets, c.JSON, o.out)
	})
}

// loadFleetSection reads the section [fleet] of an operator's file. It returns an error if the section is missing or
// does not set a status socket.
func loadFleetSection(path string) (config.Fleet, error) {
	operator, err := config.Load(path)
	if err != nil {
		return config.Fleet{}, err
	}
	if !operator.Fleet.Enabled || operator.Fleet.StatusSocket == "" {
		return config.Fleet{}, fmt.Errorf("%s: fleet.status-socket must be set", path)
	}
	return operator.Fleet, nil
}
