package config

import (
	"net"
	"time"
)

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
	MinVersion               string // 1.3 or 1.2
	MaxHandshakes            int    // at a time
	HandshakeRate            float64
}

func (r *reader) readTLS() TLS {
	parsed := TLS{
		RevocationGrace: time.Hour,
		MinVersion:      "1.3",
		MaxHandshakes:   64,  // a megabyte or two of their state
		HandshakeRate:   200, // a second: about a tenth of a core
	}
	s := r.section("tls")
	parsed.Enabled = s.exists()
	if s.requiredString("listen", &parsed.ListenAddress); parsed.ListenAddress != "" {
		if _, _, err := net.SplitHostPort(parsed.ListenAddress); err != nil {
			s.report("listen", parsed.ListenAddress, "wants an address and a port, as 127.0.0.1:9443")
		}
	}
	s.requiredPath("certificate", &parsed.CertificateFile)
	s.requiredPath("key", &parsed.KeyFile)
	s.pathValue("authorities", &parsed.AuthoritiesFile)
	s.pathValue("revocation-lists", &parsed.RevocationFile)
	if parsed.RevocationFile != "" && parsed.AuthoritiesFile == "" {
		s.report("revocation-lists", parsed.RevocationFile, "wants authorities, which sign it")
	}
	s.durationValue("revocation-grace", &parsed.RevocationGrace, 0, 30*24*time.Hour)
	staleList := "deny"
	s.enumValue("stale-revocation-list", &staleList, "deny", "allow")
	parsed.AllowStaleRevocations = staleList == "allow"
	clientCertificates := "required"
	s.enumValue("client-certificates", &clientCertificates, "required", "optional")
	parsed.RequireClientCertificate = clientCertificates == "required"
	if parsed.RequireClientCertificate && parsed.AuthoritiesFile == "" && s.exists() {
		s.report("authorities", "", "wants a path, as client-certificates is required")
	}
	s.enumValue("min-version", &parsed.MinVersion, "1.3", "1.2")
	s.intValue("max-handshakes", &parsed.MaxHandshakes, 1, 10_000)
	s.floatValue("handshake-rate", &parsed.HandshakeRate, 0.1, 100_000)
	s.reportUnknownNames()
	return parsed
}
