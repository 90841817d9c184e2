package coordinator

import (
	"fmt"
	"net"
	"time"

	"lanewheel/internal/fake"
	"lanewheel/internal/fleet/coordinator/client"
	"lanewheel/internal/membership"
)

// A question that comes while the steward's folder is still being read waits, and one whose steward ends before that is not answered.
func Example_askedBeforeItIsOpen() {
	l := fake.Must(net.Listen("tcp", "127.0.0.1:0"))
	key := membership.Key(make([]byte, 32))
	s := &Coordinator{config: Config{AdvertiseAddr: l.Addr().String()}, closed: make(chan struct{})}
	keys := []membership.Key{key}
	s.clusterKeys.Store(&keys)
	x := newStreamLayer(s, l)
	said := make(chan error)
	go func() {
		_, err := client.Client{Coordinators: []string{l.Addr().String()}, Keys: keys, Timeout: time.Second}.Do(client.Request{History: false})
		said <- err
	}()
	fake.WaitFor("it is being asked", func() bool { return len(x.slots) == 1 })
	x.Close()
	fmt.Println(<-said != nil)
	// Output:
	// true
}
