package cli

import (
	"bytes"
	"errors"
	"os"

	"lanewheel/internal/config"
	"lanewheel/internal/diagnostic"
	"lanewheel/internal/lifecycle"
)

// checkCommand reads files as an instance would and prints every diagnostic.
type checkCommand struct {
	IncludeNamedFiles bool     `name:"include-named-files" help:"${help_include_named}"`
	Files             []string `arg:"" name:"file" help:"${help_check_file}"`
}

func (c *checkCommand) Run(o output) error {
	failed := false
	for _, path := range c.Files {
		err := c.checkFile(path)
		var diagnostics diagnostic.List
		switch {
		case err == nil:
			o.printf("%s: good\n", path)
			continue
		case errors.As(err, &diagnostics):
			for _, d := range diagnostics {
				o.printf("%v\n", d)
			}
		default:
			o.printf("%s: %v\n", path, err)
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
		operatorConfig, err := lifecycle.LoadOperatorConfig(path)
		operatorConfig.File.Renamed.Warn()
		return err
	}
	_, err = config.Load(path)
	return err
}
