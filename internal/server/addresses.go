package server

import (
	"log/slog"
)

// UpdateAddresses takes the addresses of a configuration that was read anew. What is under way at the old ones may end there.
func (in *Server) UpdateAddresses(config Config) {
	before := in.config
	in.config.RuntimeAddr, in.config.DatabaseAddr, in.config.RegistryAddr = config.RuntimeAddr, config.DatabaseAddr, config.RegistryAddr
	slog.Info("moved", "runtime", config.RuntimeAddr, "db", config.DatabaseAddr, "roster", config.RegistryAddr)
	if config.RuntimeAddr != before.RuntimeAddr {
		in.runtime.backoff = 0
		in.connect()
	}
	if config.DatabaseAddr != before.DatabaseAddr {
		in.database.addressChanged(in)
	}
	if config.RegistryAddr != before.RegistryAddr && in.health.registry != nil {
		in.health.registry.Close()
		in.health.registry = nil
		in.report()
	}
}
