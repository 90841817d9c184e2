package lifecycle

import (
	"crypto/tls"
	"sync/atomic"

	"lanewheel/admission"
	"lanewheel/internal/amqp"
	"lanewheel/internal/server"
	"lanewheel/internal/transport"
)

// attachFrontends starts the further front ends that the operator's file enables.
func attachFrontends(attachTo *server.Server, config *server.Config, operatorConfig *OperatorConfig) {
	if !operatorConfig.File.AMQP.Enabled {
		return
	}
	queueConfig := operatorConfig.File.AMQP.Config
	queueConfig.IdempotentClasses = map[admission.Class]bool{}
	for _, class := range config.Settings.Classes {
		queueConfig.IdempotentClasses[class.Name] = class.Idempotency == admission.Idempotent
	}
	attachTo.AddFrontend(amqp.New(queueConfig, attachTo, attachTo.Post, config.Seed))
}

// tlsListener returns the further listener with TLS, nil if none is enabled. Handshakes go by what serverTLS holds when
// they begin.
func (o *OperatorConfig) tlsListener(serverTLS *atomic.Pointer[tls.Config]) *transport.TLSListener {
	if o.serverTLS == nil {
		return nil
	}
	serverTLS.Store(o.serverTLS)
	section := &o.File.TLS
	return &transport.TLSListener{
		Addr:                section.ListenAddress,
		Config:              serverTLS.Load,
		MaxHandshakes:       int64(section.MaxHandshakes),
		HandshakesPerSecond: section.HandshakeRate,
	}
}
