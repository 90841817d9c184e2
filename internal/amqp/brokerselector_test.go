package amqp

import (
	"fmt"
	"time"
)

// When the preferred broker fails, the second one is used. A broker that drops each connection is tried only rarely.
func Example_failover() {
	now := time.Duration(0)
	selector := newBrokerSelector([]string{"one", "two"}, func() float64 { return 0.5 })
	show := func() {
		url, wait := selector.pick(now)
		fmt.Println(now, url, wait, selector.shouldFailBack(now))
	}
	show()
	selector.onFailure(now, "one")
	show()
	selector.onConnected(now, "two")
	now = 29 * time.Second
	show()
	now = 30 * time.Second
	show() // the consumer may fail back to the preferred broker
	tries := 0
	for end := now + 10*time.Minute; now < end; now += 10 * time.Millisecond {
		if url, _ := selector.pick(now); url == "one" {
			tries++
			selector.onConnected(now, "one")
			now += 100 * time.Millisecond
			selector.onFailure(now, "one")
		}
	}
	fmt.Println("tries in ten minutes", tries)
	// Output:
	// 0s one 0s false
	// 0s two 0s false
	// 29s one 0s false
	// 30s one 0s true
	// tries in ten minutes 26
}
