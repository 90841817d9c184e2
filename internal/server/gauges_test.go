package server

import (
	"fmt"
	"time"

	"lanewheel/admission"
	"lanewheel/internal/runtimelink"
)

// Without a link to the runtime, the last gauges are used until they are too old.
func Example_staleGauges() {
	server := newServer(Config{})
	server.handleGauges(&runtimelink.Event{CorrelationID: "look"})
	server.gauges.values[admission.GaugeRunnable] = 3
	for _, at := range []time.Duration{0, 200 * time.Millisecond, 400 * time.Millisecond} {
		server.SetNow(at)
		server.gauges.request(func(gauges admission.Gauges) { fmt.Println(server.Now(), gauges) })
	}
	// Output:
	// 0s map[runnable:3]
	// 200ms map[runnable:3]
	// 400ms map[]
}
