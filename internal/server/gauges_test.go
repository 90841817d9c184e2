package server

import (
	"fmt"
	"time"

	"lanewheel/admission"
	"lanewheel/internal/transport"
)

// Without a link the last known gauges count for a while, and then nothing is known.
func Example_staleGauges() {
	server := newServer(Config{})
	server.handleGauges(&transport.Event{CorrelationID: "look"})
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
