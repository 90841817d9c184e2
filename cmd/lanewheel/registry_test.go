package main

import (
	"context"
	"fmt"
	"net"
	"strings"
	"time"

	"lanewheel/internal/fake"
)

// Example_readiness checks that an instance with the setting readiness reports "off" to the registry while it is not
// healthy, and "on" when it is healthy again.
func Example_readiness() {
	t := deployReady(`"deep-checks":true`, `"deep-checks":true,"readiness":true`)
	defer t.close()
	s := t.client()
	s.Send(fake.NewRequest(1, "pay", fake.RequestID(1), nil, "cost", "1")) // a run that hangs
	fmt.Println(t.runtime.NextCommand())
	fake.WaitFor("the report off", func() bool { return t.registry.NextReport() == "HERE n1 off" })
	t.runtime.SendNotice("end", fake.RequestID(1), "success", "late")
	fmt.Println(s.NextText())
	fake.WaitFor("the report on", func() bool { return t.registry.NextReport() == "HERE n1 on" })
	// Output:
	// start 1 route pay body ""
	// ['\x01' '\x01' <nil> ["late" map[]]]
}

// Example_registryDown checks an instance whose registry is down at the start, comes up later, stops answering and
// moves to another address. The instance keeps sending reports, each with its state at the time.
func Example_registryDown() {
	t := deploy()
	defer t.close()
	addr := t.registry.Addr()
	t.registry.Close()
	t.runtime.Accept()
	t.runtime.SendReady("steady")
	c := t.client()
	fake.WaitFor("a successful health check", func() bool { return c.CheckHealth() })
	conn := fake.Must((&net.ListenConfig{}).ListenPacket(context.Background(), "udp", addr)) // the registry is up again
	b := make([]byte, 100)
	readReport := func() string {
		_ = conn.SetReadDeadline(time.Now().Add(fake.WaitTimeout))
		n, _, err := conn.ReadFrom(b)
		return string(b[:fake.Must(n, err)])
	}
	fmt.Println(readReport(), "|", readReport())
	t.registry = fake.NewRegistry()
	t.writeConfig(strings.Replace(t.config, addr, t.registry.Addr(), 1))
	t.sendHangup()
	fmt.Println(t.registry.NextReport())
	_ = conn.Close()
	t.sendTerminate()
	offReports := 0
	fake.WaitFor("three reports off", func() bool {
		if t.registry.NextReport() == "HERE n1 off" {
			offReports++
		}
		return offReports == 3
	})
	c.Close()
	code, _ := t.waitExit()
	fmt.Println(code)
	// Output:
	// HERE n1 on | HERE n1 on
	// HERE n1 on
	// 0
}
