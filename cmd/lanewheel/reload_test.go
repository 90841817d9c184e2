package main

import (
	"fmt"
	"os"
	"strings"

	"lanewheel/internal/fake"
)

// SIGHUP moves runtime, database and registry. While the file is half written the old addresses stay; when it is
// whole, requests, runs and event numbers carry on at the new ones without another signal. A second move comes
// before the first is done.
func Example_addressesReloaded() {
	t := deployReady()
	defer t.close()
	s := t.client()
	old := t.runtime
	s.Send(fake.NewRequest(1, "view", fake.RequestID(1), nil))
	fmt.Println(old.NextCommand())
	text := t.movedConfig()
	t.writeConfig(text[:len(text)/2])
	t.sendHangup()
	fake.WaitFor("the half file", func() bool { return t.failedReloads() > 0 })
	s.Send(fake.NewRequest(2, "pay", fake.RequestID(2), nil))
	fmt.Println(old.NextCommand())
	old.SendNotice("end", fake.RequestID(2), "success", "two")
	fmt.Println(s.NextText())
	t.writeConfig(text)
	fmt.Println("sync", t.runtime.Accept()) // no ready yet, and it moves again
	fmt.Println(old.NextCommand())
	first := t.runtime
	t.writeConfig(t.movedConfig())
	t.sendHangup()
	t.sendHangup()
	fmt.Println("sync", t.runtime.Accept())
	fmt.Println(first.NextCommand())
	t.runtime.SendReady("steady")
	fmt.Println(t.runtime.NextCommand()) // it may have been swallowed; nothing happens if it was not
	t.runtime.LastNotice = 1
	t.runtime.SendNotice("wants", fake.RequestID(1), "", "ask")
	t.database.NextCall().Reply("200 OK", "", "rows")
	fmt.Println(t.runtime.NextCommand())
	t.runtime.SendNotice("end", fake.RequestID(1), "success", "one")
	fmt.Println(s.NextText())
	fmt.Println(t.registry.NextReport())
	t.sendTerminate()
	t.writeConfig(t.movedConfig())
	t.sendHangup()
	fmt.Println("sync", t.runtime.Accept())
	s.Close()
	code, log := t.waitExit()
	fmt.Println(code, strings.Count(log, reloadFailed), strings.Count(log, "code=address-changed"))
	// Output:
	// start 1 route view body ""
	// start 2 route pay body ""
	// ['\x01' '\x02' <nil> ["two" map[]]]
	// sync 1
	// link closed
	// sync 1
	// link closed
	// start 1 route view body ""
	// give 1 body "rows"
	// ['\x01' '\x01' <nil> ["one" map[]]]
	// HERE n1 on
	// sync 3
	// 0 1 3
}

// A configuration is read again while the instance drains: runtime, database and registry move, the run that is
// under way ends by the new ones, and the drain goes on by its own times; a wrong one changes nothing.
func Example_reloadedWhileDraining() {
	t := deployReady()
	defer t.close()
	s := t.client()
	s.Send(fake.NewRequest(1, "view", fake.RequestID(1), nil))
	fmt.Println(t.runtime.NextCommand())
	t.sendTerminate()
	fake.WaitFor("the notice", func() bool { return strings.Contains(t.log.text(), "msg=draining") })
	whole := t.config
	t.writeConfig("{")
	t.sendHangup()
	fake.WaitFor("the wrong file", func() bool { return t.failedReloads() > 0 })
	t.config = whole
	t.writeConfig(t.movedConfig())
	t.sendHangup()
	fmt.Println("sync", t.runtime.Accept())
	t.runtime.SendReady("steady")
	fmt.Println(t.registry.NextReport())
	t.runtime.LastNotice = 0
	t.runtime.SendNotice("wants", fake.RequestID(1), "", "ask")
	t.database.NextCall().Reply("200 OK", "", "rows")
	heard := t.runtime.NextCommand()
	if strings.HasPrefix(heard, "start 1 ") { // said again on the new link, as it may have been lost on the old one
		heard = t.runtime.NextCommand()
	}
	fmt.Println(heard)
	t.runtime.SendNotice("end", fake.RequestID(1), "success", "one")
	fmt.Println(s.NextText())
	fmt.Println(s.NextText())
	s.Close()
	code, log := t.waitExit()
	fmt.Println(code, strings.Count(log, `msg="addresses changed"`))
	// Output:
	// start 1 route view body ""
	// sync 0
	// HERE n1 off
	// give 1 body "rows"
	// ['\x01' '\x01' <nil> ["one" map[]]]
	// ['\x02' "goaway" []]
	// 0 1
}

// Reloads that come twice at once, half written, cut off behind a whole line, while draining and during a
// handshake: never half a change, and nothing is dropped.
func Example_reloads() {
	h := deployWithAuth()
	defer h.close()
	s, water := h.client(), h.token("k1", "water-1")
	standing := fake.Must(dial(h.tlsAddr)) // a handshake that stands
	defer func() { _ = standing.Close() }()
	kept := h.failedReloads
	for _, file := range []string{"op.ini", "keys/k1.json", "server.pem", "ca/revoked.pem", "ca/authority.pem"} {
		whole := fake.Must(os.ReadFile(h.path(file)))
		before := kept()
		h.writeFile(file, string(whole[:len(whole)*2/3]))
		h.sendHangup()
		fake.WaitFor("the refusal of "+file, func() bool { return kept() > before })
		fmt.Println(h.requestAnswer(s, 1, "token", water))
		before = h.reloads()
		h.writeFile(file, string(whole))
		h.sendHangup()
		h.sendHangup()
		fake.WaitFor("the reload", func() bool { return h.reloads() > before })
	}
	h.writeFile("op.ini", strings.Replace(h.operatorFile, h.tlsAddr, "127.0.0.1:1", 1)) // holds from the next start
	before := kept()
	h.sendHangup()
	fake.WaitFor("the refusal", func() bool { return kept() > before })
	h.writeFile("op.ini", strings.Replace(h.operatorFile, "roles = crew", "roles = slow", 1))
	h.reloadAndWait()
	s.Send(fake.NewRequest(2, "pay", fake.RequestID(2), nil, "token", water))
	fmt.Println(s.NextText())
	h.sendTerminate()
	h.writeFile("op.ini", h.operatorFile)
	h.sendHangup()
	fmt.Println(h.requestAnswer(s, 3, "token", h.token("k1", "water-2")) != "")
	s.Close()
	code, _ := h.waitExit()
	fmt.Println(code)
	// Output:
	// done
	// done
	// done
	// done
	// done
	// ['\x01' '\x02' ["Denied" map["why":"type"]] <nil>]
	// true
	// 0
}
