package main

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"lanewheel/internal/fake"
)

// entryWork is the work of a keyed operation.
const entryWork = 200 * time.Millisecond

// startBookFleet starts two instances that know each other, with a section of their operator's file besides [fleet].
func startBookFleet(b *bench, section string) (group *fleet, instances []*process, runtimes []*runtime) {
	settings := settingsText(bookClasses, bookTenants)
	group = b.newFleet()
	for i, name := range []string{"n1", "n2"} {
		r := b.newRuntime(name, 2)
		p := b.start(instanceOptions{name: name, command: "serve", runtime: r.addr(), settings: settings,
			operator: section + group.section(i == 0), stopMS: 3200, seed: fmt.Sprint(i + 1)})
		b.waitHealthy(p)
		instances, runtimes = append(instances, p), append(runtimes, r)
	}
	return group, instances, runtimes
}

// entry returns a try of a keyed operation.
func entry(body string) operation {
	return operation{class: "runlog-entry", id: newID(), body: body,
		fields: []string{"wait", "5700", "tenant", "nordlys", "rank", "0.9"}}
}

// repeatAfterReset sends a keyed operation and, if the disruption is to happen, loses its answer by a reset and sends
// it again to the same address, at most three times until an answer comes that is not "failed".
func repeatAfterReset(b *bench, listen, body string) {
	if !b.trouble {
		b.perform(listen, entry(body))
		return
	}
	b.performWithReset(listen, entry(body))
	for range 3 {
		time.Sleep(300 * time.Millisecond)
		if code, _ := b.perform(listen, entry(body)); code == "" {
			return
		}
	}
}

// judgeRuns reports whether the body of no keyed operation was started more than once.
func judgeRuns(b *bench, runtimes ...*runtime) bool {
	operations, twice := 0, 0
	for body, runs := range runsOf(runtimes...) {
		if !strings.HasPrefix(body, "entry") {
			continue
		}
		operations++
		if len(runs) > 1 {
			twice++
			b.record("BROKEN: %q ran more than once: %s", body, strings.Join(runs, ", "))
		}
	}
	b.copyLogs(12)
	b.record("%d operations ran, %d of them more than once", operations, twice)
	return twice == 0
}

// keyedThroughProxy is no case, see REPORT-2.md: client stubs send keyed operations to a proxy before two instances. As
// the answers arrive, the client stubs' connections are reset, and they send the operations again to the same address,
// within the window. None may run more than once.
func keyedThroughProxy(b *bench) bool {
	group, _, runtimes := startBookFleet(b, "")
	proxy := b.start(instanceOptions{name: "p1", command: "proxy", runtime: runtimes[0].addr(), stopMS: 3200, seed: "3",
		settings: settingsText(bookClasses, bookTenants), operator: "[proxy]\n" + group.section(false)})
	b.waitHealthy(proxy)
	fake.WaitFor("the proxy to use both instances", func() bool {
		for range 4 {
			b.perform(proxy.listen, operation{class: "shift-lookup", id: newID(), body: warmUpBody,
				fields: []string{"wait", "5700", "tenant", "nordlys"}})
		}
		return len(runtimes[0].started()) > 0 && len(runtimes[1].started()) > 0
	})
	var stubs sync.WaitGroup
	for i := range 16 {
		stubs.Go(func() { repeatAfterReset(b, proxy.listen, bodyOf(fmt.Sprint("entry ", i), entryWork)) })
		time.Sleep(150 * time.Millisecond)
	}
	stubs.Wait()
	return judgeRuns(b, runtimes...)
}

// keyedSpilledOver is case 8: client stubs send keyed operations to one of two instances, at once more than its cores
// can do in time. It passes some on to the other one. As the answers arrive, the client stubs' connections are reset,
// and they send the operations again to the same instance, within the window. None may run more than once.
func keyedSpilledOver(b *bench) bool {
	_, instances, runtimes := startBookFleet(b, "[spillover]\nbudget = 0.5\n")
	time.Sleep(3 * time.Second) // the instances learn of each other
	var stubs sync.WaitGroup
	for i := range 40 {
		stubs.Go(func() { repeatAfterReset(b, instances[0].listen, bodyOf(fmt.Sprint("entry ", i), entryWork)) })
		time.Sleep(2 * time.Millisecond)
	}
	stubs.Wait()
	return judgeRuns(b, runtimes...)
}
