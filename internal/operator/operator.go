package operator

import (
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"lanewheel/choice"
	"lanewheel/internal/fault"
	"lanewheel/internal/rights"
	"lanewheel/internal/tokens"
)

// File is a whole operator's file. Its zero value is what holds without one: everything off.
type File struct {
	Path    string
	Log     Log
	Callers Callers
	Tokens  Tokens
	TLS     TLS
	AMQP    AMQP
	Fleet   Fleet
	Relay   Relay

	Below    Below
	Grants   Grants
	HandOver HandOver
	Steward  Steward
}

// Callers is who may do what. It is on if the file has any section that speaks of callers.
type Callers struct {
	On        bool
	Anonymous []rights.RoleName // of callers that prove nothing
	Writes    []choice.Class    // what changes something, whatever an op says of itself
	Entries   int               // identities whose rates and counts are kept, by role
	Roles     []rights.Role
	Map       []rights.Caller
	Book      *rights.Book
}

// Tokens is how signed tokens are checked.
type Tokens struct {
	On      bool
	Keys    string // a folder
	Revoked string // a file, empty for none
	Policy  tokens.Policy
	Bounds  tokens.Bounds
}

// TLS is a further listener.
type TLS struct {
	On          bool
	Listen      string
	Certificate string
	Key         string
	Authorities string // empty: no client certificates
	Revoked     string // lists, empty for none
	Grace       time.Duration
	AllowOld    bool
	Required    bool   // a client has to bring a certificate
	Oldest      string // version
	Handshakes  int    // at a time
	Rate        float64
}

// Log is how lines are written.
type Log struct {
	Format string // text or json
}

// Load reads the file at path; no path gives a File with everything off. The error is a fault.List with all that is wrong.
func Load(path string) (File, error) {
	if path == "" {
		return File{Log: Log{Format: "text"}}, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return File{}, fault.List{{File: path, Want: "can't be read: " + err.Error()}}
	}
	return Parse(path, text)
}

// Parse reads the text of a file; path is what its faults name.
func Parse(path string, text []byte) (File, error) {
	r := read(path, text)
	f := File{Path: path}
	f.Log = r.log()
	f.Callers = r.callers()
	f.Tokens = r.tokens()
	f.TLS = r.tls()
	f.AMQP = r.amqp()
	f.Fleet = r.fleet()
	f.Relay = r.relay(&f.Fleet)
	f.Below, f.Grants, f.HandOver = r.below(&f.Fleet), r.grants(&f.Fleet), r.handover(&f.Fleet)
	f.Steward = r.steward(&f.Fleet)
	f.Callers.On = f.Callers.On || f.Tokens.On || f.TLS.On
	r.close("caller", "queue", "role")
	return f, r.faults.Err()
}

func (r *reader) log() Log {
	l := Log{Format: "text"}
	s := r.section("log")
	s.word("format", &l.Format, "text", "json")
	s.close()
	return l
}

func words(set map[string]bool) string {
	return strings.Join(slices.Sorted(maps.Keys(set)), ", ")
}
