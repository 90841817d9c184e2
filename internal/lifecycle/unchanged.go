package lifecycle

import (
	"fmt"
	"maps"
	"slices"
	"strconv"

	"lanewheel/internal/config"
	"lanewheel/internal/diagnostic"
)

// checkUnchanged returns a diagnostic.List if a file that was read again differs from the current one in a setting that
// takes effect only when the process starts. A file is applied as a whole or not at all.
func (o *OperatorConfig) checkUnchanged(current *OperatorConfig) error {
	next, initial := o.startupSettings(), current.startupSettings()
	for _, name := range slices.Sorted(maps.Keys(next)) {
		if next[name] != initial[name] {
			return diagnostic.List{{
				File:  o.File.Path,
				Name:  name,
				Value: next[name],
				Want:  "must remain " + strconv.Quote(initial[name]) + " until the process is restarted",
			}}
		}
	}
	return nil
}

// startupSettings returns, as text, the settings that take effect only when the process starts, by the names of their
// sections and keys.
func (o *OperatorConfig) startupSettings() map[string]string {
	listener, allocator := &o.File.TLS, &o.File.Allocator
	return map[string]string{
		"callers":            strconv.FormatBool(o.Authn != nil),
		"tls.listen":         listener.ListenAddress,
		"tls.max-handshakes": strconv.Itoa(listener.MaxHandshakes),
		"tls.handshake-rate": fmt.Sprint(listener.HandshakeRate),
		"log.format":         o.File.Log.Format,
		"amqp":               o.File.AMQP.StartupFingerprint(),
		"fleet":              fleetStartupSettings(&o.File.Fleet),
		"proxy":              fmt.Sprint(o.File.Proxy),
		"upstream":           fmt.Sprint(o.File.Upstream),
		"allocator": fmt.Sprint(allocator.Enabled, allocator.LockFile,
			allocator.Config.UnleasedCalls, allocator.Config.MaxProcesses),
		"spillover": fmt.Sprint(o.File.Spillover.Enabled, o.File.Spillover.Config.Config),
	}
}

func fleetStartupSettings(f *config.Fleet) string {
	return fmt.Sprint(f.Enabled, f.Name, f.Cluster, f.ListenAddress, f.AdvertiseAddress, f.ServiceAddress, f.Roles,
		f.Zone, f.Release, f.Capacity, f.WarmUp, f.ProbeInterval, f.StatusSocket, f.DrainWhenFenced, f.RequirePermit)
}
