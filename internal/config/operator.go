// Package config reads the operator's file, an INI file that configures a process in addition to the platform's
// configuration, and the other files in this format: scripts of drills, disruption budgets and rollouts.
//
// Every value is checked. Errors name the file, the line and the setting. An unknown setting or section is an error; it
// is not ignored. Earlier names are accepted: see renamed.go.
//
// The functions that read or parse a file return errors of type diagnostic.List, which errors.As can extract.
package config

import (
	"os"

	"lanewheel/internal/diagnostic"
)

// Operator is the content of an operator's file. Without a file, everything is disabled: only Log.Format is set.
type Operator struct {
	Path        string
	Log         Log
	Callers     Callers
	Tokens      Tokens
	TLS         TLS
	AMQP        AMQP
	Fleet       Fleet
	Proxy       Proxy
	Upstream    Upstream
	Allocator   Allocator
	Spillover   Spillover
	Coordinator Coordinator
	Renamed     RenamedSettings // the earlier names that the file uses; Load calls Warn, callers of Parse have to
}

// Log configures the format of log lines.
type Log struct {
	Format string // text or json
}

// Load reads the file at path. If path is empty, it returns an Operator in which everything is disabled and only
// Log.Format has its default. Load logs a warning about earlier names. The error is a diagnostic.List with all errors.
func Load(path string) (Operator, error) {
	if path == "" {
		return Operator{Log: Log{Format: "text"}}, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Operator{}, readError(path, err)
	}
	operator, err := Parse(path, text)
	operator.Renamed.Warn()
	return operator, err
}

// readError returns the error for a file that could not be read, as a diagnostic.List.
func readError(path string, err error) error {
	return diagnostic.List{{File: path, Want: "can't be read: " + err.Error()}}
}

// Parse parses the text of an operator's file. path is the name of the file in diagnostics, and relative paths in the
// file are resolved against its directory. Parse logs no warning about earlier names: they are in Operator.Renamed. The
// error is a diagnostic.List with all errors.
func Parse(path string, text []byte) (Operator, error) {
	r := newReader(path, text, &operatorRenames)
	operator := Operator{Path: path}
	operator.Log = r.readLog()
	operator.Callers = r.readCallers()
	operator.Tokens = r.readTokens()
	operator.TLS = r.readTLS()
	operator.AMQP = r.readAMQP()
	operator.Fleet = r.readFleet()
	operator.Proxy = r.readProxy(&operator.Fleet)
	operator.Upstream = r.readUpstream(&operator.Fleet)
	operator.Allocator = r.readAllocator(&operator.Fleet)
	operator.Spillover = r.readSpillover(&operator.Fleet)
	operator.Coordinator = r.readCoordinator(&operator.Fleet)
	operator.Callers.Enabled = operator.Callers.Enabled || operator.Tokens.Enabled || operator.TLS.Enabled
	r.reportUnknownSections("caller", "queue", "role")
	operator.Renamed = r.renamed
	return operator, r.diagnostics.Err()
}

func (r *reader) readLog() Log {
	log := Log{Format: "text"}
	s := r.section("log")
	s.enumValue("format", &log.Format, "text", "json")
	s.reportUnknownNames()
	return log
}
