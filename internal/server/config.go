package server

import (
	"time"

	"lanewheel/admission"
	"lanewheel/internal/authn"
	"lanewheel/internal/transport"
)

// Config is what an instance is told at its start.
type Config struct {
	Name, ListenAddr, RuntimeAddr, DatabaseAddr, RegistryAddr string

	Seed             uint64
	TerminationGrace time.Duration // from SIGTERM to SIGKILL
	MaxDescriptors   int
	MemoryMB         float64
	Cores            float64
	Settings         admission.Settings
	GaugeNames       []string // our names, in the order told
	ReportReadiness  bool     // the list follows health

	Authn *authn.Config          // who may do what; nil: everybody everything
	TLS   *transport.TLSListener // a further listener with TLS; nil: none
}
