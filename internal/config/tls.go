package config

import (
	"net"
	"time"
)

// TLS configures an additional listener with TLS.
type TLS struct {
	Enabled                  bool
	ListenAddress            string
	CertificateFile          string
	KeyFile                  string
	AuthoritiesFile          string // the CA certificates for client certificates; empty to accept no client certificates
	RevocationFile           string // the revocation lists; empty for none
	RevocationGrace          time.Duration
	AllowStaleRevocations    bool
	RequireClientCertificate bool
	MinVersion               string  // 1.3 or 1.2
	MaxHandshakes            int     // the maximum number of concurrent handshakes
	HandshakeRate            float64 // the maximum number of handshakes per second
}

func (r *reader) readTLS() TLS {
	parsed := TLS{
		RevocationGrace: time.Hour,
		MinVersion:      "1.3",
		MaxHandshakes:   64,  // 64 handshakes use one or two megabytes of state
		HandshakeRate:   200, // per second; 200 handshakes per second use about a tenth of a core
	}
	s := r.section("tls")
	parsed.Enabled = s.exists()
	if s.requiredString("listen", &parsed.ListenAddress); parsed.ListenAddress != "" {
		if _, _, err := net.SplitHostPort(parsed.ListenAddress); err != nil {
			s.report("listen", parsed.ListenAddress, "must be an address and a port, for example 127.0.0.1:9443")
		}
	}
	s.requiredPath("certificate", &parsed.CertificateFile)
	s.requiredPath("key", &parsed.KeyFile)
	s.pathValue("authorities", &parsed.AuthoritiesFile)
	s.pathValue("revocation-lists", &parsed.RevocationFile)
	if parsed.RevocationFile != "" && parsed.AuthoritiesFile == "" {
		s.report("revocation-lists", parsed.RevocationFile, "must be used with authorities, which sign the lists")
	}
	s.durationValue("revocation-grace", &parsed.RevocationGrace, 0, 30*24*time.Hour)
	staleList := "deny"
	s.enumValue("stale-revocation-list", &staleList, "deny", "allow")
	parsed.AllowStaleRevocations = staleList == "allow"
	clientCertificates := "required"
	s.enumValue("client-certificates", &clientCertificates, "required", "optional")
	parsed.RequireClientCertificate = clientCertificates == "required"
	if parsed.RequireClientCertificate && parsed.AuthoritiesFile == "" && s.exists() {
		s.report("authorities", "", "must be a path, because client-certificates is required")
	}
	s.enumValue("min-version", &parsed.MinVersion, "1.3", "1.2")
	s.intValue("max-handshakes", &parsed.MaxHandshakes, 1, 10_000)
	s.floatValue("handshake-rate", &parsed.HandshakeRate, 0.1, 100_000)
	s.reportUnknownNames()
	return parsed
}
