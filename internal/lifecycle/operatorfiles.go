package lifecycle

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"hash"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"lanewheel/internal/authn"
	"lanewheel/internal/certs"
	"lanewheel/internal/config"
	"lanewheel/internal/diagnostic"
	"lanewheel/internal/keyring"
	"lanewheel/internal/tokens"
)

// fileDigest goes by the bytes of all that was read.
type fileDigest struct{ hash.Hash }

func (s fileDigest) readFile(path string) ([]byte, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, diagnostic.List{{File: path, Want: "can't be read: " + err.Error()}}
	}
	fmt.Fprintf(s, "%q%d:", path, len(text))
	s.Write(text)
	return text, nil
}

// readTokens reads the keys and the list of what was taken back.
func (s fileDigest) readTokens(t *config.Tokens, authnConfig *authn.Config) error {
	files, err := keyring.ReadFolder(t.KeyDir)
	if err != nil {
		return err
	}
	for _, name := range slices.Sorted(maps.Keys(files)) {
		fmt.Fprintf(s, "%q%d:", name, len(files[name]))
		s.Write(files[name])
	}
	if authnConfig.KeySet, err = keyring.ParseSet(files); err != nil {
		return err
	}
	authnConfig.KeyDir, authnConfig.TokenPolicy, authnConfig.TokenLimits = t.KeyDir, &t.Policy, t.Limits
	if t.RevocationFile == "" {
		return nil
	}
	text, err := s.readFile(t.RevocationFile)
	if err != nil {
		return err
	}
	list, line := tokens.ParseRevocations(string(text))
	if line > 0 {
		return diagnostic.List{{File: t.RevocationFile, Line: line, Want: `wants "jti ID" or "sub SUBJECT"`}}
	}
	authnConfig.RevokedTokens = list
	return nil
}

// readServerTLS reads what the listener with TLS needs.
func (s fileDigest) readServerTLS(t *config.TLS, authnConfig *authn.Config) (*tls.Config, error) {
	cert, err := s.readFile(t.CertificateFile)
	if err != nil {
		return nil, err
	}
	key, err := s.readFile(t.KeyFile)
	if err != nil {
		return nil, err
	}
	certificate, err := tls.X509KeyPair(cert, key)
	if err != nil { // never what stands in the key's file
		return nil, diagnostic.List{{File: t.CertificateFile, Want: "can't be used with " + t.KeyFile + ": " + err.Error()}}
	}
	serverConfig := &tls.Config{Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS13}
	if t.MinVersion == "1.2" {
		serverConfig.MinVersion = tls.VersionTLS12
	}
	if t.AuthoritiesFile == "" {
		authnConfig.TrustStore, err = nil, nil
		return serverConfig, nil
	}
	authorities, err := s.readFile(t.AuthoritiesFile)
	if err != nil {
		return nil, err
	}
	var lists []byte
	if t.RevocationFile != "" {
		if lists, err = s.readFile(t.RevocationFile); err != nil {
			return nil, err
		}
	}
	if authnConfig.TrustStore, err = certs.NewTrustStore(authorities, lists, t.RevocationGrace, t.AllowStaleRevocations, time.Now()); err != nil {
		return nil, diagnostic.List{{File: t.AuthoritiesFile, Want: err.Error()}}
	}
	serverConfig.ClientCAs = authnConfig.TrustStore.Roots()
	serverConfig.ClientAuth = tls.RequestClientCert // the chain is followed by certs, as it is again and again later
	if t.RequireClientCertificate {
		serverConfig.ClientAuth = tls.RequireAnyClientCert
	}
	return serverConfig, nil
}

// readAMQP reads what the front for messages needs beside the operator's file.
func (s fileDigest) readAMQP(operatorConfig *OperatorConfig) error {
	a := &operatorConfig.File.AMQP
	if a.LoginFile != "" {
		text, err := s.readFile(a.LoginFile)
		if err != nil {
			return err
		}
		a.Config.Login = strings.TrimSpace(string(text))
		if !strings.Contains(a.Config.Login, ":") {
			return diagnostic.List{{File: a.LoginFile, Want: "wants user:password"}} // never what stands in it
		}
	}
	tlsConfig := &tls.Config{MinVersion: tls.VersionTLS12}
	if a.AuthoritiesFile != "" {
		text, err := s.readFile(a.AuthoritiesFile)
		if err != nil {
			return err
		}
		tlsConfig.RootCAs = x509.NewCertPool()
		if !tlsConfig.RootCAs.AppendCertsFromPEM(text) {
			return diagnostic.List{{File: a.AuthoritiesFile, Want: "wants certificates in PEM"}}
		}
	}
	if a.CertificateFile != "" {
		cert, err := s.readFile(a.CertificateFile)
		if err != nil {
			return err
		}
		key, err := s.readFile(a.KeyFile)
		if err != nil {
			return err
		}
		certificate, err := tls.X509KeyPair(cert, key)
		if err != nil {
			return diagnostic.List{{File: a.CertificateFile, Want: "can't be used with " + a.KeyFile + ": " + err.Error()}}
		}
		tlsConfig.Certificates = []tls.Certificate{certificate}
	}
	a.Config.TLS = tlsConfig
	return nil
}

// readFleet reads what the part needs beside the operator's file.
func (s fileDigest) readFleet(operatorConfig *OperatorConfig) error {
	path := operatorConfig.File.Fleet.KeyFile
	text, err := s.readFile(path)
	if err != nil {
		return err
	}
	operatorConfig.ClusterKeys, err = config.ParseClusterKeys(path, text)
	return err
}
