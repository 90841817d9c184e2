// Package config reads the operator's file, an INI that says what a process does beyond what the platform tells it, and
// the other files of that form: scripts of drills, disruption budgets and rollouts.
//
// Every value is checked, with its file, line and name; a name or section that is not known is wrong, not passed over.
// An earlier name is accepted: see renamed.go.
//
// The errors of all that reads a text are a diagnostic.List, for errors.As.
package config

import (
	"os"

	"lanewheel/internal/diagnostic"
)

// Operator is a whole operator's file. Its zero value, but for the log's format, is what holds without one: everything
// off.
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
	Renamed     RenamedSettings // for whoever goes by the file to warn of
}

// Log is how lines are written.
type Log struct {
	Format string // text or json
}

// Load reads the file at path; no path gives an Operator with everything off, and without the defaults that a file
// gives to what it does not say. It warns of earlier names. The error is a diagnostic.List with all that is wrong.
func Load(path string) (Operator, error) {
	if path == "" {
		return Operator{Log: Log{Format: "text"}}, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Operator{}, unreadable(path, err)
	}
	operator, err := Parse(path, text)
	operator.Renamed.Warn()
	return operator, err
}

func unreadable(path string, err error) error {
	return diagnostic.List{{File: path, Want: "can't be read: " + err.Error()}}
}

// Parse reads the text of a file; path is what its diagnostics name, and where paths in it count from. It warns of
// nothing: Operator.Renamed has what there is to warn of.
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
