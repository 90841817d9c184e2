package lifecycle

import (
	"fmt"
	"maps"
	"slices"
	"strconv"

	"lanewheel/internal/config"
	"lanewheel/internal/diagnostic"
)

// checkUnchanged tells what differs between two files that holds from the next start.
func checkUnchanged(o, before *OperatorConfig) error { return o.checkUnchanged(before) }

// checkUnchanged tells what differs between two files that holds from the next start. Danger: half of a change in force.
func (o *OperatorConfig) checkUnchanged(before *OperatorConfig) error {
	fixedSettings := func(o *OperatorConfig) map[string]string {
		t := &o.File.TLS
		return map[string]string{"callers": strconv.FormatBool(o.Authn != nil), "tls.listen": t.ListenAddress,
			"tls.max-handshakes": strconv.Itoa(t.MaxHandshakes), "tls.handshake-rate": fmt.Sprint(t.HandshakeRate), "log.format": o.File.Log.Format, "amqp": o.File.AMQP.StartupFingerprint(),
			"fleet": fixedFleetSettings(&o.File.Fleet), "proxy": fmt.Sprint(o.File.Proxy),
			"upstream": fmt.Sprint(o.File.Upstream), "allocator": fmt.Sprint(o.File.Allocator.Enabled, o.File.Allocator.LockFile, o.File.Allocator.Config.UnleasedCalls, o.File.Allocator.Config.MaxProcesses), "spillover": fmt.Sprint(o.File.Spillover.Enabled, o.File.Spillover.Config.Config)}
	}
	now, then := fixedSettings(o), fixedSettings(before)
	for _, name := range slices.Sorted(maps.Keys(now)) {
		if now[name] != then[name] {
			return diagnostic.List{{File: o.File.Path, Name: name, Value: now[name], Want: "was " + strconv.Quote(then[name]) + " at the start, and changes with the next one only"}}
		}
	}
	return nil
}

// fixedFleetSettings is all of the section that holds from the start on, as text to compare.
func fixedFleetSettings(f *config.Fleet) string {
	return fmt.Sprint(f.Enabled, f.Name, f.Cluster, f.ListenAddress, f.AdvertiseAddress, f.ServiceAddress, f.Roles, f.Zone, f.Release, f.Capacity, f.WarmUp, f.ProbeInterval, f.StatusSocket, f.DrainWhenFenced, f.RequirePermit)
}
