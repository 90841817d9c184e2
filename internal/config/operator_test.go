package config

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"

	"lanewheel/internal/diagnostic"
	"lanewheel/internal/setuptest"
)

const validFile = `[callers]
write-classes = set
[role crew]
classes = view, set
permissions = read, write
rate = 5
[caller water]
match = uri:rota://water/*
tenant = water
roles = crew
[tokens]
key-dir = keys
issuer = us
audience = rota
[tls]
listen = 127.0.0.1:9443
certificate = a.pem
key = a.key
authorities = ca.pem
`

// Settings that are missing have defaults, and relative paths are resolved against the directory of the file. Without a
// file, everything is disabled.
func Example() {
	f := setuptest.Must(Parse("etc/op.ini", []byte(validFile)))
	r := f.Callers.Roles[0]
	patterns := f.Callers.Bindings[0].Patterns
	fmt.Println(f.Callers.Enabled, r.RatePerSecond, r.Burst, r.MaxInFlight, patterns, f.Callers.Policy != nil)
	fmt.Println(f.Tokens.KeyDir, f.Tokens.Policy.Leeway, f.Tokens.Limits.MaxCached)
	fmt.Println(f.TLS.CertificateFile, f.TLS.MinVersion, f.TLS.RequireClientCertificate, f.TLS.AllowStaleRevocations)
	f = setuptest.Must(Load(""))
	fmt.Println(f.Callers.Enabled, f.Tokens.Enabled, f.TLS.Enabled, f.Log.Format)
	// Output:
	// true 5 5 0 [uri:rota://water/*] true
	// etc/keys 30s 8192
	// etc/a.pem 1.3 true false
	// false false false text
}

// printDiagnostics prints the diagnostics of an error, one per line.
func printDiagnostics(err error) {
	var diagnostics diagnostic.List
	_ = errors.As(err, &diagnostics) // an error of another type is unexpected; the output would lack diagnostics
	for _, d := range diagnostics {
		fmt.Println(d)
	}
}

// Each diagnostic has the position of the error. It is also an error if a value requires another setting that is
// missing.
//
//nolint:lll // each diagnostic is one line
func Example_diagnostics() {
	for _, change := range [][2]string{
		{"rate = 5", "rate = many"},
		{"permissions = read, write", "permissions = wrote"},
		{"roles = crew", "roles = crwe"},
		{"match = uri:rota://water/*", "match = rota://water/*"},
		{"key-dir = keys\n", ""},
		{"listen = 127.0.0.1:9443", "listen = 9443"},
		{"authorities = ca.pem", "revocation-lists = list.pem"},
		{"issuer = us", "issuer = us\nissuer = them"},
		{"audience = rota", "audience = %(keys)s"},
		{"[callers]", "stray = 1\n[callers]"},
		{"[role crew]", "[role]\n[role crew]"},
	} {
		_, err := Parse("op.ini", []byte(strings.Replace(validFile, change[0], change[1], 1)))
		printDiagnostics(err)
	}
	// Output:
	// op.ini:6: role crew.rate: is "many", must be a number from 0 to 1e+06
	// op.ini:5: role crew.permissions: is "wrote", must be one of read, write
	// op.ini:5: role crew.permissions: must be a comma-separated list of at least one of read, write
	// op.ini:10: caller water.roles: is "crwe", must be defined by a section [role NAME]; defined roles: crew
	// op.ini:8: caller water.match: is "rota://water/*", must be uri:, dns:, subject: or token: followed by a name
	// op.ini:11: tokens.key-dir: must be a path
	// op.ini:16: tls.listen: is "9443", must be an address and a port, for example 127.0.0.1:9443
	// op.ini:15: tls.authorities: must be a path, because client-certificates is required
	// op.ini:19: tls.revocation-lists: is "list.pem", must be used with authorities, which sign the lists
	// op.ini:14: tokens.issuer: must appear only once, but already appears on line 13
	// op.ini:1: stray: must be in a section, but appears before the first one
	// op.ini:3: role: is not a known section; must be one of allocator, amqp, caller NAME, callers, coordinator, fleet, log, proxy, queue NAME, role NAME, spillover, tls, tokens, upstream
}

// TestExample checks that the example file for operators is valid and contains the sections and settings listed here.
func TestExample(t *testing.T) {
	text := setuptest.Must(os.ReadFile("../../deploy/edge.ini"))
	if _, err := Parse("edge.ini", text); err != nil {
		t.Fatal(err)
	}
	r := newReader("edge.ini", text, &operatorRenames)
	r.readLog()
	r.readCallers()
	r.readTokens()
	r.readTLS()
	for _, name := range []string{"log", "callers", "tokens", "tls", "role visitor", "caller water-handhelds"} {
		s := r.section(name)
		switch {
		case name == "role visitor":
			s.readRole()
		case strings.HasPrefix(name, "caller "):
			s.readBinding()
		}
		if !s.exists() {
			t.Errorf("the example has no [%s]", name)
		}
	}
	for _, setting := range []string{
		"callers.anonymous-roles",
		"callers.write-classes",
		"callers.max-rate-entries",
		"role visitor.rate",
		"role visitor.burst",
		"role visitor.max-in-flight",
		"role dispatch.tenants",
		"tokens.single-use",
		"tokens.cpu-fraction",
		"tls.stale-revocation-list",
		"tls.handshake-rate",
	} {
		if r.lines[setting] == 0 {
			t.Errorf("the example has no %s", setting)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validFile))
	f.Add([]byte("[log]\nformat = %(format)s\n[a\nb=c\n\"\"\"x\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		file, err := Parse("f.ini", text)
		if err == nil && file.Callers.Enabled && file.Callers.Policy == nil {
			t.Fatal("callers are enabled without a policy")
		}
	})
}
