// Package fake is the programs that an instance speaks with, as tests and "lanewheel try" need them: clients, the
// runtime, the database and the registry. They follow a script, or work by themselves after a call of an Auto method.
// What can't go on ends the process with a panic.
package fake

import (
	"context"
	"net"
	"time"
)

// Must gives x, and panics on an error.
func Must[T any](x T, err error) T {
	if err != nil {
		panic(err)
	}
	return x
}

// WaitTimeout is for how long a condition is waited for: far longer than any of them takes on a busy machine.
const WaitTimeout = 10 * time.Second

// pollInterval is how often WaitFor looks.
const pollInterval = time.Millisecond

// WaitFor waits for a condition, and panics with what it is if it does not hold in time.
func WaitFor(what string, condition func() bool) {
	for end := time.Now().Add(WaitTimeout); !condition(); time.Sleep(pollInterval) {
		if time.Now().After(end) {
			panic("timed out waiting for " + what)
		}
	}
}

// Settings are an instance's settings for two cores and three classes: one that is idempotent, one that is not, and one
// that can do without its calls. IDLE and FRESH are seconds, to be replaced.
const Settings = `{"classes":[
 {"name":"view","credit":1,"promise-s":1,"give-up-s":3,"late-share":0,"repeat":"idempotent"},
 {"name":"pay","credit":1,"promise-s":1,"give-up-s":3,"late-share":0,"repeat":"at_most_once"},
 {"name":"list","credit":1,"promise-s":1,"give-up-s":3,"late-share":0,"repeat":"idempotent"}],
 "domain":{"below":"common","calls-over-s":5,"class-calls":[true,true,true],"class-skip-worth":[0,0,0.5],` +
	`"dep-share":8,
 "clients-total":2,"cpus":2,"deep-checks":true,"halt":"drop","hangup-seen":true,"idle-s":IDLE,"fresh-s":FRESH,` +
	`"key-kb":1,
 "linger-s":0.2,"memory-kb":1900,"meters":["cpu_busy","runnable"],"passes-deadline":true,"run-mem-factor":4,` +
	`"signal":"silent"},
 "fleet-size":1,"rules":{"drain-grace-s":0.5,"fall-multiple":8,"grace-to-answer-s":0.1,"start-capacity":0.3,
 "tip-after-s":2,"warm-within-s":5},"policy-limits":{"retry-after":false},"tenants":[],"tick-s":0.002}`

// listen listens on a free port of the loopback address.
func listen() net.Listener {
	return Must((&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0"))
}
