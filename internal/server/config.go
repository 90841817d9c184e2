package server

import (
	"time"

	"lanewheel/admission"
	"lanewheel/internal/authn"
	"lanewheel/internal/transport"
)

// Config configures a Server. The server does not validate it: the code that reads a configuration does.
type Config struct {
	Name         string
	ListenAddr   string
	RuntimeAddr  string
	DatabaseAddr string // empty if requests make no upstream calls
	RegistryAddr string // empty if there is no registry

	Seed             uint64
	TerminationGrace time.Duration // from SIGTERM to SIGKILL
	MaxDescriptors   int
	MemoryMB         float64
	Cores            float64
	Settings         admission.Settings
	GaugeNames       []admission.Gauge // names of the values in a gauges event, in the order of the values
	ReportReadiness  bool              // the registry lists the instance only while the instance is healthy

	Authn *authn.Config          // nil if every caller is allowed to do everything
	TLS   *transport.TLSListener // additional listener with TLS; nil if there is none
}

// memoryBytes returns the memory limit in bytes.
func (c *Config) memoryBytes() int { return int(c.MemoryMB * (1 << 20)) }
