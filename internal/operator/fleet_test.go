package operator

import (
	"fmt"
	"os"

	"lanewheel/internal/fault"
)

// The shipped file says what holds without it, but for its examples, and can be read; what is wrong is said whole.
func Example_fleet() {
	text, err := os.ReadFile("../../deploy/fleet.ini")
	if err != nil {
		panic(err)
	}
	shipped, err := Parse("fleet.ini", text)
	bare, _ := Parse("x", []byte("[fleet]\nlisten = 127.0.0.1:7946\nkeys = k\n"))
	fmt.Println(err, shipped.Fleet.Probe == bare.Fleet.Probe, shipped.Fleet.Warm == bare.Fleet.Warm, shipped.Fleet.Rate == bare.Fleet.Rate)
	shipped.Fleet.Told.Seeds = nil
	fmt.Println(fmt.Sprint(shipped.Fleet.Told) == fmt.Sprint(bare.Fleet.Told))
	_, err = Parse("op.ini", []byte("[fleet]\nlisten = here:7946\nseeds = 10.0.0.1:7946, 10.0.0.2\nroles = instance, king\nzone = a b\nflaps = 2\nflaps-over = 2\ncut-off-at = 0.9\n"))
	for _, f := range err.(fault.List) {
		fmt.Println(f)
	}
	_, err = ReadClusterKeys("keys", []byte("# two\nAAAAAAAAAAAAAAAAAAAAAA==\nAAAAAAAAAAAAAAAAAAAAAA==\nsecret\n"))
	fmt.Println(err)
	// Output:
	// <nil> true true true
	// true
	// op.ini:1: fleet.keys: wants a path
	// op.ini:2: fleet.listen: is "here:7946", wants an address in figures and a port, as 10.0.0.7:7946
	// op.ini:3: fleet.seeds: is "10.0.0.2", wants an address in figures and a port, as 10.0.0.7:7946
	// op.ini:4: fleet.roles: is "king", wants some of instance, relay, steward, below
	// op.ini:5: fleet.zone: is "a b", wants up to 64 bytes without @ or blanks
	// op.ini:7: fleet.flaps-over: is "2", wants less than flaps
	// op.ini:8: fleet.cut-off-at: is "0.9", wants thin-at or less
	// keys:3: stands there already (and 1 more)
}

// The shipped file of a relay says what holds without it.
func Example_relay() {
	text, err := os.ReadFile("../../deploy/relay.ini")
	if err != nil {
		panic(err)
	}
	shipped, err := Parse("relay.ini", text)
	bare, _ := Parse("x", []byte("[relay]\n[fleet]\nlisten = 127.0.0.1:7947\nkeys = k\n"))
	fmt.Println(err, shipped.Relay == bare.Relay)
	_, err = Parse("x", []byte("[relay]\nway = best\nasks = many\n"))
	for _, f := range err.(fault.List) {
		fmt.Println(f)
	}
	// Output:
	// <nil> true
	// x:1: relay: wants a section [fleet], by which it knows the members
	// x:2: relay.way: is "best", wants one of greedy, informed, least-open, random, round-robin, two-own, two-told
	// x:3: relay.asks: is "many", wants a number from 0 to 16
}
