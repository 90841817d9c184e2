package steward

import (
	"fmt"
	"net"
	"time"

	"lanewheel/internal/fleet/steward/ask"
	"lanewheel/internal/members"
	"lanewheel/internal/standin"
)

// A question that comes while the steward's folder is still being read waits, and one whose steward ends before that is not answered.
func Example_askedBeforeItIsOpen() {
	l := standin.Must(net.Listen("tcp", "127.0.0.1:0"))
	key := members.Key(make([]byte, 32))
	s := &Steward{told: Told{At: l.Addr().String()}, over: make(chan struct{})}
	keys := []members.Key{key}
	s.keyring.Store(&keys)
	x := newStreams(s, l)
	said := make(chan error)
	go func() {
		_, err := ask.Client{Stewards: []string{l.Addr().String()}, Keys: keys, Limit: time.Second}.Ask(ask.Question{History: false})
		said <- err
	}()
	standin.Until("it is being asked", func() bool { return len(x.busy) == 1 })
	x.Close()
	fmt.Println(<-said != nil)
	// Output:
	// true
}
