package server

import (
	"fmt"
	"time"

	"lanewheel/internal/eventloop"
	"lanewheel/internal/transport"
)

// Without a link the gauges last heard count for some looks, and then nothing is known.
func Example_oldGauges() {
	instance := &Server{Loop: eventloop.New(9)}
	instance.handleGauges(transport.Event{CorrelationID: "look"})
	instance.gauges["want a core"] = 3
	for _, at := range []time.Duration{0, 200 * time.Millisecond, 400 * time.Millisecond} {
		instance.SetNow(at)
		instance.requestGauges(func(gauges map[string]float64) { fmt.Println(instance.Now(), gauges) })
	}
	// Output:
	// 0s map[want a core:3]
	// 200ms map[want a core:3]
	// 400ms map[]
}
