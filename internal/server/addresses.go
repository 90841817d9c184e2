package server

import "log/slog"

// UpdateAddresses applies the runtime, database and registry addresses of config and ignores its other fields. Calls
// that were already sent to an old address may finish there.
func (s *Server) UpdateAddresses(config Config) {
	previous := s.config
	s.config.RuntimeAddr = config.RuntimeAddr
	s.config.DatabaseAddr = config.DatabaseAddr
	s.config.RegistryAddr = config.RegistryAddr
	slog.Info("addresses changed",
		"runtime", config.RuntimeAddr, "database", config.DatabaseAddr, "registry", config.RegistryAddr)
	if config.RuntimeAddr != previous.RuntimeAddr {
		s.runtime.backoff = 0
		s.runtime.connect()
	}
	if config.DatabaseAddr != previous.DatabaseAddr {
		s.database.onAddressChanged()
	}
	if config.RegistryAddr != previous.RegistryAddr && s.registry.reset() {
		s.report()
	}
}
