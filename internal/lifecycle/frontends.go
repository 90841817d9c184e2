package lifecycle

import (
	"crypto/tls"
	"sync/atomic"

	"lanewheel/admission"
	"lanewheel/internal/amqp"
	"lanewheel/internal/server"
	"lanewheel/internal/transport"
)

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

// tlsListener is the further listener that a file turns on, with what is in force for its handshakes.
func (o *OperatorConfig) tlsListener(serverTLS *atomic.Pointer[tls.Config]) *transport.TLSListener {
	if o.serverTLS == nil {
		return nil
	}
	serverTLS.Store(o.serverTLS)
	t := &o.File.TLS
	return &transport.TLSListener{Addr: t.ListenAddress, Config: serverTLS.Load, MaxHandshakes: int64(t.MaxHandshakes), HandshakesPerSecond: t.HandshakeRate}
}
