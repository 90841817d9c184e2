package fleetcommands

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"lanewheel/admission"
	"lanewheel/internal/balancer"
	"lanewheel/internal/fleet/gossip"
	"lanewheel/internal/proxy"
	"lanewheel/internal/server"
)

// TestGoldenMetricNames checks the names of the metrics that an instance and a proxy report by gossip.
func TestGoldenMetricNames(t *testing.T) {
	config := server.Config{
		Name:             "n",
		ListenAddr:       "127.0.0.1:0",
		RuntimeAddr:      "127.0.0.1:1",
		TerminationGrace: time.Second,
		MaxDescriptors:   128,
		MemoryMB:         32,
		Cores:            1,
		Settings:         admission.Settings{},
	}
	instance, err := server.New(config)
	if err != nil {
		t.Fatal(err)
	}
	proxyServer, err := proxy.Listen(config, proxy.Config{}, nil)
	if err != nil {
		t.Fatal(err)
	}
	go instance.Serve()
	go proxyServer.Serve()
	t.Cleanup(func() {
		instance.Post(instance.Quit)
		proxyServer.Post(proxyServer.Quit)
	})
	var names strings.Builder
	for _, process := range []gossip.Process{&serverProcess{instance}, &proxyProcess{proxyServer}} {
		statuses := make(chan gossip.ProcessStatus, 1)
		process.Status(func(status gossip.ProcessStatus) { statuses <- status })
		for _, metric := range (<-statuses).Metrics {
			fmt.Fprint(&names, metric.Name, " ")
		}
		loads := make(chan float64, 1)
		process.Load(func(load float64, _ gossip.RequestStats) { loads <- load })
		if got := <-loads; got > 0 || got < -1 {
			t.Fatal(got)
		}
	}
	if got := names.String(); got != "health signal held running cores passing " {
		t.Fatal(got)
	}
	if got := balancer.IdleLoad(time.Second); got != -0.5 {
		t.Fatal(got)
	}
}
