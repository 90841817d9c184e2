// Package fake provides fakes of the programs that an instance communicates with, for tests and for "lanewheel try":
// clients, the runtime, the database and the registry. A fake is driven step by step by a script, or works by itself
// after a call of one of its Auto methods. An unrecoverable error causes a panic, which ends the process.
package fake

import (
	"context"
	"net"
	"time"
)

// Must returns x, and panics if err is not nil.
func Must[T any](x T, err error) T {
	if err != nil {
		panic(err)
	}
	return x
}

// WaitTimeout is the maximum time to wait for a condition or a message. It is far longer than any of them takes, even
// on a busy machine.
const WaitTimeout = 10 * time.Second

// pollInterval is the time between two evaluations of the condition in WaitFor.
const pollInterval = time.Millisecond

// WaitFor waits until the condition holds. It panics with the description in what if that takes longer than
// WaitTimeout.
func WaitFor(what string, condition func() bool) {
	for end := time.Now().Add(WaitTimeout); !condition(); time.Sleep(pollInterval) {
		if time.Now().After(end) {
			panic("timed out waiting for " + what)
		}
	}
}

// Settings holds an instance's settings for two cores and three classes: one idempotent class, one that is not
// idempotent, and one whose calls can be skipped. IDLE and FRESH are placeholders for numbers of seconds.
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

// listen returns a TCP listener on a free port of the loopback address.
func listen() net.Listener {
	return Must((&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0"))
}
