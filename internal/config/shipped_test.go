package config

import (
	"fmt"
	"os"
)

// The shipped file of the fleet is valid and contains the defaults, except for its examples. All errors in a file are
// reported.
func Example_fleet() {
	text, err := os.ReadFile("../../deploy/fleet.ini")
	if err != nil {
		panic(err)
	}
	shipped, err := Parse("fleet.ini", text)
	bare, _ := Parse("x", []byte("[fleet]\nlisten = 127.0.0.1:7946\nkey-file = k\n"))
	fmt.Println(err, shipped.Fleet.ProbeInterval == bare.Fleet.ProbeInterval,
		shipped.Fleet.WarmUp == bare.Fleet.WarmUp,
		shipped.Fleet.MaxMessageRate == bare.Fleet.MaxMessageRate)
	shipped.Fleet.Config.Seeds = nil
	fmt.Println(fmt.Sprint(shipped.Fleet.Config) == fmt.Sprint(bare.Fleet.Config))
	_, err = Parse("op.ini", []byte("[fleet]\nlisten = here:7946\nseeds = 10.0.0.1:7946, 10.0.0.2\n"+
		"roles = instance, king\nzone = a b\nflap-suppress = 2\nflap-reuse = 2\nisolated-threshold = 0.9\n"))
	printDiagnostics(err)
	_, err = ParseClusterKeys("keys", []byte("# two\nAAAAAAAAAAAAAAAAAAAAAA==\nAAAAAAAAAAAAAAAAAAAAAA==\nsecret\n"))
	fmt.Println(err)
	// Output:
	// <nil> true true true
	// true
	// op.ini:1: fleet.key-file: must be a path
	// op.ini:2: fleet.listen: is "here:7946", must be an IP address and a port from 1 to 65535, for example 10.0.0.7:7946
	// op.ini:3: fleet.seeds: is "10.0.0.2", must be an IP address and a port from 1 to 65535, for example 10.0.0.7:7946
	// op.ini:4: fleet.roles: is "king", must be one of instance, proxy, coordinator, upstream
	// op.ini:5: fleet.zone: is "a b", must be at most 64 bytes without @, spaces or tabs
	// op.ini:7: fleet.flap-reuse: is "2", must be less than flap-suppress
	// op.ini:8: fleet.isolated-threshold: is "0.9", must be at most degraded-threshold
	// keys:3: must be unique; the same key appears on an earlier line (and 1 more)
}

// The shipped files of upstream services and of spillover contain the defaults, except for their examples. All errors
// in a file are reported.
//
//nolint:lll // each diagnostic is one line
func Example_upstream() {
	const fleet = "[fleet]\nlisten = 127.0.0.1:7948\nkey-file = k\nname = d\nservice-address = 127.0.0.1:1\n"
	read := func(name string) Operator {
		text, err := os.ReadFile("../../deploy/" + name)
		if err != nil {
			panic(err)
		}
		f, err := Parse(name, text)
		fmt.Print(err, " ")
		return f
	}
	shipped, spillover := read("upstream.ini"), read("spillover.ini")
	bare, err := Parse("x", []byte("[upstream]\n[allocator]\nmax-concurrency = 200\n[spillover]\n"+fleet))
	shipped.Upstream.Config.Addresses, shipped.Allocator.LockFile = nil, ""
	bare.Spillover.Config.LocalAddress = spillover.Spillover.Config.LocalAddress
	fmt.Println(err, fmt.Sprint(shipped.Upstream) == fmt.Sprint(bare.Upstream), shipped.Allocator == bare.Allocator,
		spillover.Spillover == bare.Spillover)
	_, err = Parse("x", []byte("[upstream]\nmax-concurrency = some\n"+
		"[allocator]\nmax-concurrency = 5\nunleased-per-process = 1\n[spillover]\nbudget = 2\n"))
	printDiagnostics(err)
	_, err = Parse("x", []byte("[allocator]\nlease-duration = 1ms\n"+fleet))
	printDiagnostics(err)
	// Output:
	// <nil> <nil> <nil> true true true
	// x:1: upstream.addresses: must be a comma-separated list of addresses, unless a section [fleet] provides the members with the role upstream
	// x:2: upstream.max-concurrency: is "some", must be a whole number from 0 to 100000
	// x:3: allocator: must be used with a section [fleet], which provides the lease holders
	// x:5: allocator.unleased-per-process: must leave calls to lease: unleased-per-process times max-processes must be less than max-concurrency
	// x:6: spillover: must be used with a section [fleet], which provides the members
	// x:7: spillover.budget: is "2", must be a number from 0 to 1
	// x:1: allocator.max-concurrency: must be the number of concurrent calls that the service accepts
	// x:2: allocator.lease-duration: is "1ms", must be a duration with its unit, from 200ms to 1m0s
}

// The shipped file of a coordinator contains the defaults, except for its examples. The shipped files of budgets and
// rollouts are valid. All errors in a file are reported.
func Example_coordinator() {
	text, err := os.ReadFile("../../deploy/coordinator.ini")
	if err != nil {
		panic(err)
	}
	shipped, err := Parse("coordinator.ini", text)
	bare, _ := Parse("x", []byte("[coordinator]\nlisten = 127.0.0.1:7960\ndata-dir = coordinator.d\n"+
		"coordinators = 127.0.0.1:7960\n[fleet]\nname = coordinator-1\nlisten = 127.0.0.1:7949\nkey-file = k\n"))
	shipped.Coordinator.Config.RestartCommand = ""
	shipped.Coordinator.Config.Coordinators = bare.Coordinator.Config.Coordinators
	fmt.Println(err, fmt.Sprint(shipped.Coordinator) == fmt.Sprint(bare.Coordinator))
	_, err = Parse("x", []byte("[coordinator]\nlisten = here\nleader-timeout = 1ms\n"))
	printDiagnostics(err)
	for _, name := range []string{"budgets.ini", "budgets-100.ini"} {
		text, _ := os.ReadFile("../../drills/agreed/" + name)
		all, err := ParseBudgets(name, text)
		fmt.Println(len(all), all[0], err)
	}
	for _, name := range []string{"plan.ini", "plan-judged.ini"} {
		text, _ := os.ReadFile("../../drills/agreed/" + name)
		p, err := ParseRollout(name, text)
		fmt.Println(p.Name, p.TargetRelease, p.Waves, p.Pause, p.AnalysisRequired, err)
	}
	_, err = ParseBudgets("b", []byte("[budget x]\nmax-unavailable = 1\nmax-unavailable-fraction = 0.5\n"+
		"[budget y]\n[other]\n"))
	printDiagnostics(err)
	_, err = ParseRollout("p", []byte("[release]\ntarget-release = 2\nwaves = 1, ten, 120%\n"))
	printDiagnostics(err)
	// Output:
	// <nil> true
	// x:1: coordinator: must be used with a section [fleet], which provides the members
	// x:1: coordinator.coordinators: must be a comma-separated list of the addresses of all coordinators
	// x:1: coordinator.data-dir: must be a path
	// x:2: coordinator.listen: is "here", must be an IP address and a port from 1 to 65535, for example 10.0.0.7:7946
	// x:3: coordinator.leader-timeout: is "1ms", must be a duration with its unit, from 100ms to 1m0s
	// 3 {all role=instance 3 -1 0} <nil>
	// 7 {all role=instance 12 -1 0} <nil>
	// r2 2 [{1 0 } {0 0.25 }] 1s false <nil>
	// r2 2 [{4 0 } {0 0.1 } {0 0.4 }] 4s true <nil>
	// b:2: budget x.max-unavailable: must be set if and only if max-unavailable-fraction is not set
	// b:4: budget y.max-unavailable: must be set if and only if max-unavailable-fraction is not set
	// b:5: other: is not a known section; must be one of budget NAME
	// p:1: release.name: must be a non-empty string
	// p:3: release.waves: is "ten", must be a whole number of at least 1, a percentage from 1% to 100%, or zone NAME
	// p:3: release.waves: is "120%", must be a whole number of at least 1, a percentage from 1% to 100%, or zone NAME
}

// The shipped file of a proxy contains the defaults.
func Example_proxy() {
	text, err := os.ReadFile("../../deploy/proxy.ini")
	if err != nil {
		panic(err)
	}
	shipped, err := Parse("proxy.ini", text)
	bare, _ := Parse("x", []byte("[proxy]\n[fleet]\nlisten = 127.0.0.1:7947\nkey-file = k\n"))
	fmt.Println(err, shipped.Proxy == bare.Proxy)
	_, err = Parse("x", []byte("[proxy]\npolicy = best\nprobes-per-request = many\n"))
	printDiagnostics(err)
	// Output:
	// <nil> true
	// x:1: proxy: must be used with a section [fleet], which provides the members
	// x:2: proxy.policy: is "best", must be one of greedy, informed, least-open, random, round-robin, two-own, two-told
	// x:3: proxy.probes-per-request: is "many", must be a number from 0 to 16
}
