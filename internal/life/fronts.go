package life

import (
	"crypto/tls"
	"crypto/x509"
	"strings"

	"lanewheel/choice"
	"lanewheel/internal/amqp"
	"lanewheel/internal/fault"
	"lanewheel/internal/keep"
)

// queues reads what the front for messages needs beside the operator's file.
func (s sum) queues(o *Operated) error {
	a := &o.File.AMQP
	if a.Login != "" {
		text, err := s.file(a.Login)
		if err != nil {
			return err
		}
		a.Told.Login = strings.TrimSpace(string(text))
		if !strings.Contains(a.Told.Login, ":") {
			return fault.List{{File: a.Login, Want: "wants user:password"}} // never what stands in it
		}
	}
	c := &tls.Config{MinVersion: tls.VersionTLS12}
	if a.Authorities != "" {
		text, err := s.file(a.Authorities)
		if err != nil {
			return err
		}
		c.RootCAs = x509.NewCertPool()
		if !c.RootCAs.AppendCertsFromPEM(text) {
			return fault.List{{File: a.Authorities, Want: "wants certificates in PEM"}}
		}
	}
	if a.Certificate != "" {
		cert, err := s.file(a.Certificate)
		if err != nil {
			return err
		}
		key, err := s.file(a.Key)
		if err != nil {
			return err
		}
		pair, err := tls.X509KeyPair(cert, key)
		if err != nil {
			return fault.List{{File: a.Certificate, Want: "can't be used with " + a.Key + ": " + err.Error()}}
		}
		c.Certificates = []tls.Certificate{pair}
	}
	a.Told.TLS = c
	return nil
}

// attach starts the further fronts that the operator's file turns on.
func attach(in *keep.Server, told keep.Config, o *Operated) {
	if !o.File.AMQP.On {
		return
	}
	how := o.File.AMQP.Told
	how.Repeats = map[choice.Class]bool{}
	types, _ := told.Settings["op types"].([]choice.Settings)
	for _, t := range types {
		name, _ := t["name"].(string)
		how.Repeats[choice.Class(name)] = t["repeats"] == "retryable"
	}
	in.AddFrontend(amqp.New(how, in, in.Hand, told.Seed))
}
