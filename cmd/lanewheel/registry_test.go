package main

import (
	"context"
	"fmt"
	"net"
	"strings"
	"time"

	"lanewheel/internal/fake"
)

// The registry hears "off" from an instance that is not healthy where its list follows health, and "on" when it is
// back.
func Example_readiness() {
	t := deployReady(`"deep-checks":true`, `"deep-checks":true,"readiness":true`)
	defer t.close()
	s := t.client()
	s.Send(fake.NewRequest(1, "pay", fake.RequestID(1), nil, "cost", "1")) // a run that hangs
	fmt.Println(t.runtime.NextCommand())
	fake.WaitFor("off", func() bool { return t.registry.NextReport() == "HERE n1 off" })
	t.runtime.SendNotice("end", fake.RequestID(1), "success", "late")
	fmt.Println(s.NextText())
	fake.WaitFor("on", func() bool { return t.registry.NextReport() == "HERE n1 on" })
	// Output:
	// start 1 route pay body ""
	// ['\x01' '\x01' <nil> ["late" map[]]]
}

// The registry is down at the start, is back later, goes silent, and moves: reports go on all the while, each with
// the state of its moment.
func Example_registryDown() {
	t := deploy()
	defer t.close()
	addr := t.registry.Addr()
	t.registry.Close()
	t.runtime.Accept()
	t.runtime.SendReady("steady")
	c := t.client()
	fake.WaitFor("health", func() bool { return c.CheckHealth() })
	conn := fake.Must((&net.ListenConfig{}).ListenPacket(context.Background(), "udp", addr)) // back
	b := make([]byte, 100)
	hear := func() string {
		_ = conn.SetReadDeadline(time.Now().Add(fake.WaitTimeout))
		n, _, err := conn.ReadFrom(b)
		return string(b[:fake.Must(n, err)])
	}
	fmt.Println(hear(), "|", hear())
	t.registry = fake.NewRegistry()
	t.writeConfig(strings.Replace(t.config, addr, t.registry.Addr(), 1))
	t.sendHangup()
	fmt.Println(t.registry.NextReport())
	_ = conn.Close()
	t.sendTerminate()
	off := 0
	fake.WaitFor("the list hears that it goes, more than once", func() bool {
		if t.registry.NextReport() == "HERE n1 off" {
			off++
		}
		return off == 3
	})
	c.Close()
	code, _ := t.waitExit()
	fmt.Println(code)
	// Output:
	// HERE n1 on | HERE n1 on
	// HERE n1 on
	// 0
}
