package lifecycle

import (
	"fmt"
	"maps"
	"slices"
	"strconv"

	"lanewheel/internal/config"
	"lanewheel/internal/diagnostic"
)

// checkUnchanged returns a diagnostic.List if a file that was read again differs from the one before in what is
// taken at the start only. A file is put in force whole or not at all.
func (o *OperatorConfig) checkUnchanged(before *OperatorConfig) error {
	now, then := o.startSettings(), before.startSettings()
	for _, name := range slices.Sorted(maps.Keys(now)) {
		if now[name] != then[name] {
			return diagnostic.List{{
				File:  o.File.Path,
				Name:  name,
				Value: now[name],
				Want:  "was " + strconv.Quote(then[name]) + " at the start, and changes with the next one only",
			}}
		}
	}
	return nil
}

// startSettings is what is taken at the start only, as text, by the names of sections and keys.
func (o *OperatorConfig) startSettings() map[string]string {
	listener, allocator := &o.File.TLS, &o.File.Allocator
	return map[string]string{
		"callers":            strconv.FormatBool(o.Authn != nil),
		"tls.listen":         listener.ListenAddress,
		"tls.max-handshakes": strconv.Itoa(listener.MaxHandshakes),
		"tls.handshake-rate": fmt.Sprint(listener.HandshakeRate),
		"log.format":         o.File.Log.Format,
		"amqp":               o.File.AMQP.StartupFingerprint(),
		"fleet":              fleetStartSettings(&o.File.Fleet),
		"proxy":              fmt.Sprint(o.File.Proxy),
		"upstream":           fmt.Sprint(o.File.Upstream),
		"allocator": fmt.Sprint(allocator.Enabled, allocator.LockFile,
			allocator.Config.UnleasedCalls, allocator.Config.MaxProcesses),
		"spillover": fmt.Sprint(o.File.Spillover.Enabled, o.File.Spillover.Config.Config),
	}
}

func fleetStartSettings(f *config.Fleet) string {
	return fmt.Sprint(f.Enabled, f.Name, f.Cluster, f.ListenAddress, f.AdvertiseAddress, f.ServiceAddress, f.Roles,
		f.Zone, f.Release, f.Capacity, f.WarmUp, f.ProbeInterval, f.StatusSocket, f.DrainWhenFenced, f.RequirePermit)
}
