package coordinator

import (
	"fmt"
	"time"

	"lanewheel/internal/fake"
	"lanewheel/internal/fleet/coordinator/client"
	"lanewheel/internal/membership"
)

// A request that comes while the coordinator's folder is still being read waits, and is not answered if the
// coordinator ends before that.
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
	fake.WaitFor("it is being asked", func() bool { return len(layer.slots) == 1 })
	must(layer.Close())
	fmt.Println(<-clientErr != nil)
	// Output:
	// true
}
