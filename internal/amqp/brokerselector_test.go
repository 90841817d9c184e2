package amqp

import (
	"fmt"
	"time"
)

// When the primary goes, the second broker is consumed from; a primary that flaps does not have the consumer flap.
func Example_failover() {
	now := time.Duration(0)
	r := newBrokerSelector([]string{"one", "two"}, func() float64 { return 0.5 })
	say := func() {
		addr, wait := r.pick(now)
		fmt.Println(now, addr, wait, r.shouldFailBack(now))
	}
	say()
	r.failed(now, "one")
	say()
	r.connected(now, "two")
	now = 29 * time.Second
	say()
	now = 30 * time.Second
	say() // back to the preferred
	tries := 0
	for end := now + 10*time.Minute; now < end; now += 10 * time.Millisecond {
		if addr, _ := r.pick(now); addr == "one" {
			tries++
			r.connected(now, "one")
			now += 100 * time.Millisecond
			r.failed(now, "one")
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
