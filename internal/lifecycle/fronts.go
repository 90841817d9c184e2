package lifecycle

import (
	"crypto/tls"
	"crypto/x509"
	"strings"

	"lanewheel/admission"
	"lanewheel/internal/amqp"
	"lanewheel/internal/diagnostic"
	"lanewheel/internal/server"
)

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

// attachFrontends starts the further fronts that the operator's file turns on.
func attachFrontends(instance *server.Server, config server.Config, operatorConfig *OperatorConfig) {
	if !operatorConfig.File.AMQP.Enabled {
		return
	}
	queueConfig := operatorConfig.File.AMQP.Config
	queueConfig.IdempotentClasses = map[admission.Class]bool{}
	for _, class := range config.Settings.Classes {
		queueConfig.IdempotentClasses[class.Name] = class.Idempotency == admission.Idempotent
	}
	instance.AddFrontend(amqp.New(queueConfig, instance, instance.Post, config.Seed))
}
