package discovery

import (
	"net"
	"testing"
	"time"

	"lanewheel/internal/goldentest"
)

// Each report to the registry is one datagram with the golden bytes.
func TestGoldenToRegistry(t *testing.T) {
	file := goldentest.Open(t, "testdata/registry_reports.golden")
	registry, err := (&net.ListenConfig{}).ListenPacket(t.Context(), "udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = registry.Close() }()
	r, err := NewRegistry(registry.LocalAddr().String(), "instance-1")
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	for _, report := range []struct {
		name string
		on   bool
	}{{"on", true}, {"off", false}} {
		r.Report(report.on)
		b := make([]byte, 100)
		if err := registry.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
			t.Fatal(err)
		}
		n, _, err := registry.ReadFrom(b)
		if err != nil {
			t.Fatal(err)
		}
		file.Check(report.name, b[:n])
	}
}
