package cli

import (
	"bytes"
	"errors"
	"fmt"
	"os"

	"lanewheel/internal/config"
	"lanewheel/internal/diagnostic"
	"lanewheel/internal/lifecycle"
)

// checkCommand reads a file as an instance would, and says all that is wrong with it.
type checkCommand struct {
	IncludeNamedFiles bool     `name:"named" help:"Also read the keys, certificates and lists that an operator's file names."`
	Files             []string `arg:"" name:"file" help:"Configurations, which begin with a brace, or operator's files."`
}

func (c *checkCommand) Run(o output) error {
	failed := false
	for _, path := range c.Files {
		err := c.checkFile(path)
		var diagnostics diagnostic.List
		switch {
		case err == nil:
			fmt.Fprintf(o.out, "%s: good\n", path)
			continue
		case errors.As(err, &diagnostics):
			for _, f := range diagnostics {
				fmt.Fprintln(o.out, f)
			}
		default:
			fmt.Fprintf(o.out, "%s: %v\n", path, err)
		}
		failed = true
	}
	if failed {
		return errReported
	}
	return nil
}

func (c *checkCommand) checkFile(path string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return diagnostic.List{{File: path, Want: "can't be read: " + err.Error()}}
	}
	if bytes.HasPrefix(bytes.TrimSpace(text), []byte("{")) {
		_, err = lifecycle.LoadConfig(path)
		return err
	}
	if c.IncludeNamedFiles {
		_, err = lifecycle.LoadOperatorConfig(path)
		return err
	}
	_, err = config.Load(path)
	return err
}
