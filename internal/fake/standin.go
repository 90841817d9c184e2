// Package fake is the parties that an instance speaks to, as tests and "lanewheel try" need them: client stubs, the
// runtime, the database and the roster. They are scripted or work by themselves; what can't be ends them with a panic.
package fake

import (
	"net"
	"time"
)

// Must ends whatever can't go on.
func Must[T any](x T, err error) T {
	if err != nil {
		panic(err)
	}
	return x
}

// WaitTimeout is how long a condition is waited for before it counts as not to come: far longer than any of them takes on a
// busy machine.
const WaitTimeout = 10 * time.Second

// WaitFor waits for a condition.
func WaitFor(what string, condition func() bool) {
	for end := time.Now().Add(WaitTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			panic("waited in vain for " + what)
		}
	}
}

// Settings of two cores and three types: one that may run again, one that may not, one that can leave calls out. IDLE and
// FRESH are seconds, to be put in.
const Settings = `{"classes":[
 {"name":"view","credit":1,"promise-s":1,"give-up-s":3,"late-share":0,"repeat":"idempotent"},
 {"name":"pay","credit":1,"promise-s":1,"give-up-s":3,"late-share":0,"repeat":"at_most_once"},
 {"name":"list","credit":1,"promise-s":1,"give-up-s":3,"late-share":0,"repeat":"idempotent"}],
 "domain":{"below":"common","calls-over-s":5,"class-calls":[true,true,true],"class-skip-worth":[0,0,0.5],"dep-share":8,
 "clients-total":2,"cpus":2,"deep-checks":true,"halt":"drop","hangup-seen":true,"idle-s":IDLE,"fresh-s":FRESH,"key-kb":1,
 "linger-s":0.2,"memory-kb":1900,"meters":["cpu_busy","runnable"],"passes-deadline":true,"run-mem-factor":4,"signal":"silent"},
 "fleet-size":1,"rules":{"drain-grace-s":0.5,"fall-multiple":8,"grace-to-answer-s":0.1,"start-capacity":0.3,
 "tip-after-s":2,"warm-within-s":5},"policy-limits":{"retry-after":false},"tenants":[],"tick-s":0.002}`

// Registry takes the reports.
type Registry struct{ conn net.PacketConn }

func NewRegistry() *Registry { return &Registry{Must(net.ListenPacket("udp", "127.0.0.1:0"))} }

func (r *Registry) Addr() string { return r.conn.LocalAddr().String() }
func (r *Registry) Close()       { r.conn.Close() }

// NextReport waits for the next datagram.
func (r *Registry) NextReport() string {
	buffer := make([]byte, 100)
	_ = r.conn.SetReadDeadline(time.Now().Add(WaitTimeout))
	n, _, err := r.conn.ReadFrom(buffer)
	return string(buffer[:Must(n, err)])
}
