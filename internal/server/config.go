package server

import (
	"time"

	"lanewheel/admission"
	"lanewheel/internal/authn"
	"lanewheel/internal/transport"
)

// Config configures a Server. Its values have been checked by whoever read them.
type Config struct {
	Name         string
	ListenAddr   string
	RuntimeAddr  string
	DatabaseAddr string // empty where requests call nothing
	RegistryAddr string // empty: there is no registry

	Seed             uint64
	TerminationGrace time.Duration // from SIGTERM to SIGKILL
	MaxDescriptors   int
	MemoryMB         float64
	Cores            float64
	Settings         admission.Settings
	GaugeNames       []admission.Gauge // of the values in a gauges event, in their order
	ReportReadiness  bool              // the registry lists the instance only while it is healthy

	Authn *authn.Config          // nil: every caller may do everything
	TLS   *transport.TLSListener // a further listener with TLS; nil: none
}

// memoryBytes is the memory limit in bytes.
func (c *Config) memoryBytes() int { return int(c.MemoryMB * (1 << 20)) }
