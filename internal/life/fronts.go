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

// readAMQP reads what the front for messages needs beside the operator's file.
func (s fileDigest) readAMQP(operatorConfig *OperatorConfig) error {
	a := &operatorConfig.File.AMQP
	if a.Login != "" {
		text, err := s.readFile(a.Login)
		if err != nil {
			return err
		}
		a.Told.Login = strings.TrimSpace(string(text))
		if !strings.Contains(a.Told.Login, ":") {
			return fault.List{{File: a.Login, Want: "wants user:password"}} // never what stands in it
		}
	}
	tlsConfig := &tls.Config{MinVersion: tls.VersionTLS12}
	if a.Authorities != "" {
		text, err := s.readFile(a.Authorities)
		if err != nil {
			return err
		}
		tlsConfig.RootCAs = x509.NewCertPool()
		if !tlsConfig.RootCAs.AppendCertsFromPEM(text) {
			return fault.List{{File: a.Authorities, Want: "wants certificates in PEM"}}
		}
	}
	if a.Certificate != "" {
		cert, err := s.readFile(a.Certificate)
		if err != nil {
			return err
		}
		key, err := s.readFile(a.Key)
		if err != nil {
			return err
		}
		certificate, err := tls.X509KeyPair(cert, key)
		if err != nil {
			return fault.List{{File: a.Certificate, Want: "can't be used with " + a.Key + ": " + err.Error()}}
		}
		tlsConfig.Certificates = []tls.Certificate{certificate}
	}
	a.Told.TLS = tlsConfig
	return nil
}

// attachFrontends starts the further fronts that the operator's file turns on.
func attachFrontends(instance *keep.Server, config keep.Config, operatorConfig *OperatorConfig) {
	if !operatorConfig.File.AMQP.On {
		return
	}
	queueConfig := operatorConfig.File.AMQP.Told
	queueConfig.Repeats = map[choice.Class]bool{}
	classes, _ := config.Settings["op types"].([]choice.Settings)
	for _, class := range classes {
		name, _ := class["name"].(string)
		queueConfig.Repeats[choice.Class(name)] = class["repeats"] == "retryable"
	}
	instance.AddFrontend(amqp.New(queueConfig, instance, instance.Hand, config.Seed))
}
