package lifecycle

import (
	"crypto/sha256"
	"crypto/tls"
	"fmt"
	"hash"
	"maps"
	"os"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"lanewheel/internal/authn"
	"lanewheel/internal/certs"
	"lanewheel/internal/config"
	"lanewheel/internal/diagnostic"
	"lanewheel/internal/keyring"
	"lanewheel/internal/membership"
	"lanewheel/internal/tokens"
	"lanewheel/internal/transport"
)

// OperatorConfig is an operator's file with all that it names, read and checked whole.
type OperatorConfig struct {
	File      config.Operator
	Authn     *authn.Config // nil: all may do everything
	serverTLS *tls.Config   // nil: no listener with TLS

	ClusterKeys []membership.Key // the first is the one to write with
	digest      [sha256.Size]byte
}

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

// LoadOperatorConfig reads an operator's file and the keys, certificates and lists that it names. Whatever is wrong is the error; then
// nothing of it counts.
func LoadOperatorConfig(path string) (operatorConfig OperatorConfig, err error) {
	digest := fileDigest{sha256.New()}
	if path == "" {
		operatorConfig.File, err = config.Load(path)
		return operatorConfig, err
	}
	text, err := digest.readFile(path)
	if err != nil {
		return operatorConfig, err
	}
	if operatorConfig.File, err = config.Parse(path, text); err != nil {
		return operatorConfig, err
	}
	file := &operatorConfig.File
	if file.Callers.Enabled {
		operatorConfig.Authn = &authn.Config{Policy: file.Callers.Policy, MaxRateEntries: file.Callers.MaxRateEntries}
	}
	if file.Tokens.Enabled {
		if err := digest.readTokens(&file.Tokens, operatorConfig.Authn); err != nil {
			return operatorConfig, err
		}
	}
	if file.TLS.Enabled {
		if operatorConfig.serverTLS, err = digest.readServerTLS(&file.TLS, operatorConfig.Authn); err != nil {
			return operatorConfig, err
		}
	}
	if file.Fleet.Enabled {
		if err := digest.readFleet(&operatorConfig); err != nil {
			return operatorConfig, err
		}
	}
	if file.AMQP.Enabled {
		if err := digest.readAMQP(&operatorConfig); err != nil {
			return operatorConfig, err
		}
	}
	digest.Sum(operatorConfig.digest[:0])
	return operatorConfig, nil
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

// tlsListener is the further listener that a file turns on, with what is in force for its handshakes.
func (o *OperatorConfig) tlsListener(serverTLS *atomic.Pointer[tls.Config]) *transport.TLSListener {
	if o.serverTLS == nil {
		return nil
	}
	serverTLS.Store(o.serverTLS)
	t := &o.File.TLS
	return &transport.TLSListener{Addr: t.ListenAddress, Config: serverTLS.Load, MaxHandshakes: int64(t.MaxHandshakes), HandshakesPerSecond: t.HandshakeRate}
}

// checkUnchanged tells what differs between two files that holds from the next start.
func checkUnchanged(o, before *OperatorConfig) error { return o.checkUnchanged(before) }

// checkUnchanged tells what differs between two files that holds from the next start. Danger: half of a change in force.
func (o *OperatorConfig) checkUnchanged(before *OperatorConfig) error {
	fixedSettings := func(o *OperatorConfig) map[string]string {
		t := &o.File.TLS
		return map[string]string{"callers": strconv.FormatBool(o.Authn != nil), "tls.listen": t.ListenAddress,
			"tls.max-handshakes": strconv.Itoa(t.MaxHandshakes), "tls.handshake-rate": fmt.Sprint(t.HandshakeRate), "log.format": o.File.Log.Format, "amqp": o.File.AMQP.StartupFingerprint(),
			"fleet": fixedFleetSettings(&o.File.Fleet), "proxy": fmt.Sprint(o.File.Proxy),
			"upstream": fmt.Sprint(o.File.Upstream), "allocator": fmt.Sprint(o.File.Allocator.Enabled, o.File.Allocator.LockFile, o.File.Allocator.Config.UnleasedCalls, o.File.Allocator.Config.MaxProcesses), "spillover": fmt.Sprint(o.File.Spillover.Enabled, o.File.Spillover.Config.Config)}
	}
	now, then := fixedSettings(o), fixedSettings(before)
	for _, name := range slices.Sorted(maps.Keys(now)) {
		if now[name] != then[name] {
			return diagnostic.List{{File: o.File.Path, Name: name, Value: now[name], Want: "was " + strconv.Quote(then[name]) + " at the start, and changes with the next one only"}}
		}
	}
	return nil
}
