package lifecycle

import (
	"crypto/tls"
	"sync/atomic"
	"time"

	"lanewheel/admission"
	"lanewheel/internal/amqp"
	"lanewheel/internal/server"
	"lanewheel/internal/transport"
)

// attachFrontends adds the front ends that the operator's file enables to the instance.
func attachFrontends(instance *server.Server, config *server.Config, operatorConfig *OperatorConfig) {
	if !operatorConfig.File.AMQP.Enabled {
		return
	}
	queueConfig := operatorConfig.File.AMQP.Config
	queueConfig.IdempotentClasses = map[admission.Class]bool{}
	queueConfig.ClassTimeouts = map[admission.Class]time.Duration{}
	for _, class := range config.Settings.Classes {
		queueConfig.IdempotentClasses[class.Name] = class.Idempotency == admission.Idempotent
		queueConfig.ClassTimeouts[class.Name] = class.Timeout
	}
	instance.AddFrontend(amqp.New(queueConfig, instance, instance.Post, config.Seed))
}

// tlsListener returns the additional TLS listener, or nil if none is enabled. Each handshake uses the
// configuration that serverTLS holds when the handshake begins.
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
