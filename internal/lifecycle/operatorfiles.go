package lifecycle

import (
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"hash"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"lanewheel/internal/certs"
	"lanewheel/internal/config"
	"lanewheel/internal/diagnostic"
	"lanewheel/internal/keyring"
	"lanewheel/internal/tokens"
)

// fileReader reads the files that an operator's file names, and computes a digest of all of them.
type fileReader struct{ hash hash.Hash }

func newFileReader() *fileReader { return &fileReader{sha256.New()} }

func (r *fileReader) digest() (sum digest) {
	r.hash.Sum(sum[:0])
	return sum
}

// add adds a file to the digest. Writing to a hash never fails.
func (r *fileReader) add(name string, text []byte) {
	_, _ = fmt.Fprintf(r.hash, "%q%d:", name, len(text))
	_, _ = r.hash.Write(text)
}

func (r *fileReader) readFile(path string) ([]byte, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, diagnostic.List{{File: path, Want: "can't be read: " + err.Error()}}
	}
	r.add(path, text)
	return text, nil
}

// readTokens reads the keys that tokens are verified with, and the list of revoked tokens.
func (r *fileReader) readTokens(loaded *OperatorConfig) error {
	section := &loaded.File.Tokens
	files, err := keyring.ReadFolder(section.KeyDir)
	if err != nil {
		return err
	}
	for _, name := range slices.Sorted(maps.Keys(files)) {
		r.add(name, files[name])
	}
	if loaded.Authn.KeySet, err = keyring.ParseSet(files); err != nil {
		return err
	}
	loaded.Authn.KeyDir = section.KeyDir
	loaded.Authn.TokenPolicy = &section.Policy
	loaded.Authn.TokenLimits = section.Limits
	if section.RevocationFile == "" {
		return nil
	}
	text, err := r.readFile(section.RevocationFile)
	if err != nil {
		return err
	}
	revoked, line := tokens.ParseRevocations(string(text))
	if line > 0 {
		return diagnostic.List{{File: section.RevocationFile, Line: line, Want: `must be "jti ID" or "sub SUBJECT"`}}
	}
	loaded.Authn.RevokedTokens = revoked
	return nil
}

// readKeyPair reads a certificate and its key. Its errors do not contain the contents of the key file.
func (r *fileReader) readKeyPair(certificatePath, keyPath string) (tls.Certificate, error) {
	certificate, err := r.readFile(certificatePath)
	if err != nil {
		return tls.Certificate{}, err
	}
	key, err := r.readFile(keyPath)
	if err != nil {
		return tls.Certificate{}, err
	}
	pair, err := tls.X509KeyPair(certificate, key)
	if err != nil {
		want := "can't be used with " + keyPath + ": " + err.Error()
		return tls.Certificate{}, diagnostic.List{{File: certificatePath, Want: want}}
	}
	return pair, nil
}

// readServerTLS reads the certificates of the listener with TLS.
func (r *fileReader) readServerTLS(loaded *OperatorConfig) error {
	section := &loaded.File.TLS
	pair, err := r.readKeyPair(section.CertificateFile, section.KeyFile)
	if err != nil {
		return err
	}
	serverTLS := &tls.Config{Certificates: []tls.Certificate{pair}, MinVersion: tls.VersionTLS13}
	if section.MinVersion == "1.2" {
		serverTLS.MinVersion = tls.VersionTLS12
	}
	if section.AuthoritiesFile != "" {
		if err := r.readTrustStore(loaded); err != nil {
			return err
		}
		serverTLS.ClientCAs = loaded.Authn.TrustStore.Roots()
		// Package certs verifies the chain, because it also verifies it repeatedly after the handshake.
		serverTLS.ClientAuth = tls.RequestClientCert
		if section.RequireClientCertificate {
			serverTLS.ClientAuth = tls.RequireAnyClientCert
		}
	}
	loaded.serverTLS = serverTLS
	return nil
}

// readTrustStore reads the authorities of client certificates and their revocation lists.
func (r *fileReader) readTrustStore(loaded *OperatorConfig) error {
	section := &loaded.File.TLS
	authorities, err := r.readFile(section.AuthoritiesFile)
	if err != nil {
		return err
	}
	var lists []byte
	if section.RevocationFile != "" {
		if lists, err = r.readFile(section.RevocationFile); err != nil {
			return err
		}
	}
	policy := certs.RevocationPolicy{Grace: section.RevocationGrace, AllowStale: section.AllowStaleRevocations}
	store, err := certs.NewTrustStore(authorities, lists, policy, time.Now())
	if err != nil {
		return diagnostic.List{{File: section.AuthoritiesFile, Want: err.Error()}}
	}
	loaded.Authn.TrustStore = store
	return nil
}

// readFleet reads the fleet's gossip keys.
func (r *fileReader) readFleet(loaded *OperatorConfig) error {
	path := loaded.File.Fleet.KeyFile
	text, err := r.readFile(path)
	if err != nil {
		return err
	}
	loaded.ClusterKeys, err = config.ParseClusterKeys(path, text)
	return err
}

// readAMQP reads the login and the certificates for connections to the broker.
func (r *fileReader) readAMQP(loaded *OperatorConfig) error {
	section := &loaded.File.AMQP
	if section.LoginFile != "" {
		text, err := r.readFile(section.LoginFile)
		if err != nil {
			return err
		}
		section.Config.Login = strings.TrimSpace(string(text))
		if !strings.Contains(section.Config.Login, ":") { // the error must not contain the login
			return diagnostic.List{{File: section.LoginFile, Want: "must contain user:password"}}
		}
	}
	brokerTLS := &tls.Config{MinVersion: tls.VersionTLS12}
	if section.AuthoritiesFile != "" {
		text, err := r.readFile(section.AuthoritiesFile)
		if err != nil {
			return err
		}
		brokerTLS.RootCAs = x509.NewCertPool()
		if !brokerTLS.RootCAs.AppendCertsFromPEM(text) {
			return diagnostic.List{{File: section.AuthoritiesFile, Want: "must contain certificates in PEM format"}}
		}
	}
	if section.CertificateFile != "" {
		pair, err := r.readKeyPair(section.CertificateFile, section.KeyFile)
		if err != nil {
			return err
		}
		brokerTLS.Certificates = []tls.Certificate{pair}
	}
	section.Config.TLS = brokerTLS
	return nil
}
