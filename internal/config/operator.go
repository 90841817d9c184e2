package config

import (
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"lanewheel/admission"
	"lanewheel/internal/authz"
	"lanewheel/internal/diagnostic"
	"lanewheel/internal/tokens"
)

// Operator is a whole operator's file. Its zero value is what holds without one: everything off.
type Operator struct {
	Path    string
	Log     Log
	Callers Callers
	Tokens  Tokens
	TLS     TLS
	AMQP    AMQP
	Fleet   Fleet
	Proxy   Proxy

	Upstream    Upstream
	Allocator   Allocator
	Spillover   Spillover
	Coordinator Coordinator
}

// Callers is who may do what. It is on if the file has any section that speaks of callers.
type Callers struct {
	Enabled        bool
	anonymousRoles []authz.RoleName  // of callers that prove nothing
	writeClasses   []admission.Class // what changes something, whatever an op says of itself
	MaxRateEntries int               // identities whose rates and counts are kept, by role
	Roles          []authz.Role
	Bindings       []authz.Binding
	Policy         *authz.Policy
}

// Tokens is how signed tokens are checked.
type Tokens struct {
	Enabled        bool
	KeyDir         string // a folder
	RevocationFile string // a file, empty for none
	Policy         tokens.Policy
	Limits         tokens.Limits
}

// TLS is a further listener.
type TLS struct {
	Enabled                  bool
	ListenAddress            string
	CertificateFile          string
	KeyFile                  string
	AuthoritiesFile          string // empty: no client certificates
	RevocationFile           string // lists, empty for none
	RevocationGrace          time.Duration
	AllowStaleRevocations    bool
	RequireClientCertificate bool   // a client has to bring a certificate
	MinVersion               string // version
	MaxHandshakes            int    // at a time
	HandshakeRate            float64
}

// Log is how lines are written.
type Log struct {
	Format string // text or json
}

// Load reads the file at path; no path gives a File with everything off. The error is a fault.List with all that is wrong.
func Load(path string) (Operator, error) {
	if path == "" {
		return Operator{Log: Log{Format: "text"}}, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Operator{}, diagnostic.List{{File: path, Want: "can't be read: " + err.Error()}}
	}
	return Parse(path, text)
}

// Parse reads the text of a file; path is what its faults name.
func Parse(path string, text []byte) (Operator, error) {
	r := newReader(path, text)
	f := Operator{Path: path}
	f.Log = r.readLog()
	f.Callers = r.readCallers()
	f.Tokens = r.readTokens()
	f.TLS = r.readTLS()
	f.AMQP = r.readAMQP()
	f.Fleet = r.readFleet()
	f.Proxy = r.readProxy(&f.Fleet)
	f.Upstream, f.Allocator, f.Spillover = r.readUpstream(&f.Fleet), r.readAllocator(&f.Fleet), r.readSpillover(&f.Fleet)
	f.Coordinator = r.readCoordinator(&f.Fleet)
	f.Callers.Enabled = f.Callers.Enabled || f.Tokens.Enabled || f.TLS.Enabled
	r.reportUnknownSections("caller", "queue", "role")
	return f, r.diagnostics.Err()
}

func (r *reader) readLog() Log {
	l := Log{Format: "text"}
	s := r.section("log")
	s.enumValue("format", &l.Format, "text", "json")
	s.reportUnknownNames()
	return l
}

func joinSorted(set map[string]bool) string {
	return strings.Join(slices.Sorted(maps.Keys(set)), ", ")
}
