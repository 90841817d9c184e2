package life

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

	"lanewheel/internal/certs"
	"lanewheel/internal/fault"
	"lanewheel/internal/identity"
	"lanewheel/internal/keyring"
	"lanewheel/internal/members"
	"lanewheel/internal/operator"
	"lanewheel/internal/tokens"
	"lanewheel/internal/wire"
)

// Operated is an operator's file with all that it names, read and checked whole.
type Operated struct {
	File    operator.File
	Callers *identity.Parts // nil: all may do everything
	Server  *tls.Config     // nil: no listener with TLS

	ClusterKeys []members.Key // the first is the one to write with
	digest      [sha256.Size]byte
}

// sum goes by the bytes of all that was read.
type sum struct{ hash.Hash }

func (s sum) file(path string) ([]byte, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.List{{File: path, Want: "can't be read: " + err.Error()}}
	}
	fmt.Fprintf(s, "%q%d:", path, len(text))
	s.Write(text)
	return text, nil
}

// Operate reads an operator's file and the keys, certificates and lists that it names. Whatever is wrong is the error; then
// nothing of it counts.
func Operate(path string) (o Operated, err error) {
	s := sum{sha256.New()}
	if path == "" {
		o.File, err = operator.Load(path)
		return o, err
	}
	text, err := s.file(path)
	if err != nil {
		return o, err
	}
	if o.File, err = operator.Parse(path, text); err != nil {
		return o, err
	}
	f := &o.File
	if f.Callers.On {
		o.Callers = &identity.Parts{Book: f.Callers.Book, Entries: f.Callers.Entries}
	}
	if f.Tokens.On {
		if err := s.tokens(&f.Tokens, o.Callers); err != nil {
			return o, err
		}
	}
	if f.TLS.On {
		if o.Server, err = s.server(&f.TLS, o.Callers); err != nil {
			return o, err
		}
	}
	if f.Fleet.On {
		if err := s.fleet(&o); err != nil {
			return o, err
		}
	}
	if f.AMQP.On {
		if err := s.queues(&o); err != nil {
			return o, err
		}
	}
	s.Sum(o.digest[:0])
	return o, nil
}

// tokens reads the keys and the list of what was taken back.
func (s sum) tokens(t *operator.Tokens, to *identity.Parts) error {
	files, err := keyring.Folder(t.Keys)
	if err != nil {
		return err
	}
	for _, name := range slices.Sorted(maps.Keys(files)) {
		fmt.Fprintf(s, "%q%d:", name, len(files[name]))
		s.Write(files[name])
	}
	if to.Keys, err = keyring.Read(files); err != nil {
		return err
	}
	to.Folder, to.Policy, to.Bounds = t.Keys, &t.Policy, t.Bounds
	if t.Revoked == "" {
		return nil
	}
	text, err := s.file(t.Revoked)
	if err != nil {
		return err
	}
	list, line := tokens.ReadRevocations(string(text))
	if line > 0 {
		return fault.List{{File: t.Revoked, Line: line, Want: `wants "jti ID" or "sub SUBJECT"`}}
	}
	to.Revoked = list
	return nil
}

// server reads what the listener with TLS needs.
func (s sum) server(t *operator.TLS, to *identity.Parts) (*tls.Config, error) {
	cert, err := s.file(t.Certificate)
	if err != nil {
		return nil, err
	}
	key, err := s.file(t.Key)
	if err != nil {
		return nil, err
	}
	pair, err := tls.X509KeyPair(cert, key)
	if err != nil { // never what stands in the key's file
		return nil, fault.List{{File: t.Certificate, Want: "can't be used with " + t.Key + ": " + err.Error()}}
	}
	c := &tls.Config{Certificates: []tls.Certificate{pair}, MinVersion: tls.VersionTLS13}
	if t.Oldest == "1.2" {
		c.MinVersion = tls.VersionTLS12
	}
	if t.Authorities == "" {
		to.Trust, err = nil, nil
		return c, nil
	}
	authorities, err := s.file(t.Authorities)
	if err != nil {
		return nil, err
	}
	var lists []byte
	if t.Revoked != "" {
		if lists, err = s.file(t.Revoked); err != nil {
			return nil, err
		}
	}
	if to.Trust, err = certs.NewTrust(authorities, lists, t.Grace, t.AllowOld, time.Now()); err != nil {
		return nil, fault.List{{File: t.Authorities, Want: err.Error()}}
	}
	c.ClientCAs = to.Trust.Pool()
	c.ClientAuth = tls.RequestClientCert // the chain is followed by certs, as it is again and again later
	if t.Required {
		c.ClientAuth = tls.RequireAnyClientCert
	}
	return c, nil
}

// listener is the further listener that a file turns on, with what is in force for its handshakes.
func (o *Operated) listener(server *atomic.Pointer[tls.Config]) *wire.Secure {
	if o.Server == nil {
		return nil
	}
	server.Store(o.Server)
	t := &o.File.TLS
	return &wire.Secure{Listen: t.Listen, Config: server.Load, Most: int64(t.Handshakes), Rate: t.Rate}
}

// Fixed tells what differs between two files that holds from the next start.
func Fixed(o, before *Operated) error { return o.fixed(before) }

// fixed tells what differs between two files that holds from the next start. Danger: half of a change in force.
func (o *Operated) fixed(before *Operated) error {
	of := func(o *Operated) map[string]string {
		t := &o.File.TLS
		return map[string]string{"callers": strconv.FormatBool(o.Callers != nil), "tls.listen": t.Listen,
			"tls.handshakes": strconv.Itoa(t.Handshakes), "tls.handshake-rate": fmt.Sprint(t.Rate), "log.format": o.File.Log.Format, "amqp": o.File.AMQP.Fixed(),
			"fleet": fixedFleet(&o.File.Fleet), "relay": fmt.Sprint(o.File.Relay),
			"below": fmt.Sprint(o.File.Below), "grants": fmt.Sprint(o.File.Grants.On, o.File.Grants.Lock, o.File.Grants.Told.Alone, o.File.Grants.Told.Processes), "handover": fmt.Sprint(o.File.HandOver.On, o.File.HandOver.Told.Told)}
	}
	is, was := of(o), of(before)
	for _, name := range slices.Sorted(maps.Keys(is)) {
		if is[name] != was[name] {
			return fault.List{{File: o.File.Path, Name: name, Value: is[name], Want: "was " + strconv.Quote(was[name]) + " at the start, and changes with the next one only"}}
		}
	}
	return nil
}
