package coordinator

import (
	"fmt"
	"time"

	"lanewheel/internal/fake"
	"lanewheel/internal/fleet/coordinator/client"
	"lanewheel/internal/membership"
)

// A request that arrives before the coordinator's data directory is open waits. It gets no response if the coordinator
// shuts down first.
func Example_requestBeforeReady() {
	listener := listen("127.0.0.1")
	addr := listener.Addr().String()
	keys := []membership.Key{membership.Key(make([]byte, 32))}
	coordinator := &Coordinator{config: Config{AdvertiseAddr: addr}, closed: make(chan struct{})}
	coordinator.SetClusterKeys(keys)
	layer := newStreamLayer(coordinator, listener)
	clientErr := make(chan error)
	go func() {
		requester := client.Client{Coordinators: []string{addr}, Keys: keys, Timeout: time.Second}
		_, err := requester.Do(client.Request{History: false})
		clientErr <- err
	}()
	fake.WaitFor("the request to be pending", func() bool { return len(layer.slots) == 1 })
	must(layer.Close())
	fmt.Println(<-clientErr != nil)
	// Output:
	// true
}
