package main

import (
	"fmt"
	"strings"
	"time"

	"lanewheel/internal/fake"
)

// Example_authorization checks the permissions of callers that authenticate by token or by certificate, and the
// reason of each denial. A denied request never runs.
func Example_authorization() {
	h := deployWithAuth()
	defer h.close()
	s := h.client()
	water, roads := h.token("k1", "water-1"), h.token("k1", "roads-1")
	fmt.Println(h.requestAnswer(s, 1, "token", water, "tenant", "water"))
	fmt.Println(h.requestAnswer(s, 2, "token", water))
	fmt.Println(h.requestAnswer(s, 3, "token", roads, "tenant", "water"))
	fmt.Println(h.requestAnswer(s, 4))
	fmt.Println(h.requestAnswer(s, 5, "token", h.token("k1", "gas-1")))
	fmt.Println(h.requestAnswer(s, 6, "token", h.token("k1", "water-1", "--validity=-1m")))
	fmt.Println(h.requestAnswer(s, 7, "token", water[:len(water)-8]+"AAAAAAAA"))
	fmt.Println(h.requestAnswer(s, 8, "token", water, "key", "k")) // a read
	t := fake.Must(h.dialTLS(h.clientTLS("water-7")))
	fmt.Println(h.requestAnswer(t, 9, "tenant", "water"), h.requestAnswer(t, 10, "tenant", "roads"))
	t = fake.Must(h.dialTLS(h.clientTLS("")))
	fmt.Println(h.requestAnswer(t, 11, "token", water), h.requestAnswer(t, 12))
	h.sendTerminate()
	s.Close()
	t.Close()
	code, log := h.waitExit()
	fmt.Println(code, strings.Count(log, `msg="request denied"`), strings.Contains(log, water))
	// Output:
	// done
	// done
	// Denied tenant
	// Denied no-identity
	// Denied unmapped
	// Denied expired
	// Denied signature
	// done
	// done Denied tenant
	// done Denied no-identity
	// 0 7 false
}

// Example_coalescedWithinTenant checks that reads of the same resource are coalesced within a tenant only. A read of
// another tenant runs on its own.
func Example_coalescedWithinTenant() {
	h := deployWithAuth()
	defer h.close()
	h.close()
	operatorPath = h.path("op.ini")
	h.deployment = deployReady("FRESH", "5", `"tenants":[]`, `"tenants":[{"name":"water"},{"name":"roads"}]`)
	operatorPath = ""
	defer h.close()
	s := h.client()
	for i, subject := range []string{"water-1", "water-2", "roads-1"} {
		s.Send(fake.NewRequest(i+1, "view", fake.RequestID(i+1), nil,
			"token", h.token("k1", subject), "key", "crew-9", "kb", "1"))
		if i != 1 {
			fmt.Println(h.runtime.NextCommand())
			h.runtime.SendNotice("end", fake.RequestID(i+1), "success", "for "+subject)
		}
		fmt.Println(s.NextText())
	}
	// Output:
	// start 1 route view body ""
	// ['\x01' '\x01' <nil> ["for water-1" map[]]]
	// ['\x01' '\x02' <nil> ["for water-1" map[]]]
	// start 3 route view body ""
	// ['\x01' '\x03' <nil> ["for roads-1" map[]]]
}

// Example_keyRotation checks that a key is published before it signs and kept after it stops. Requests with tokens
// of the old key are admitted until its configured retirement time, whenever the instance read that time. A token
// signed by a key that the instance has not read yet makes it read the key directory without a reload.
func Example_keyRotation() {
	h := deployWithAuth()
	defer h.close()
	s := h.client()
	old := h.token("k1", "water-1")
	h.runCommand("keys", "new", "--private", h.path("private"), "--id", "k2", "--algorithm", "ES256")
	h.runCommand("keys", "publish", h.path("private/k2.private"), "--folder", h.path("keys"))
	fmt.Println(h.requestAnswer(s, 1, "token", h.token("k2", "water-1")), h.requestAnswer(s, 2, "token", old))
	// The key files hold whole seconds.
	at := time.Now().Add(1200 * time.Millisecond).Truncate(time.Second).Add(time.Second)
	h.runCommand("keys", "retire", "k1", "--folder", h.path("keys"), "--at", at.Format(time.RFC3339))
	h.reloadAndWait()
	n, wrong := 3, 0
	for ; time.Now().Before(at.Add(200 * time.Millisecond)); n++ {
		before := time.Now()
		answer := h.requestAnswer(s, n, "token", old)
		after := time.Now()
		if after.Before(at) && answer != "done" || !before.Before(at) && answer != "Denied retired-key" {
			wrong++
		}
	}
	fmt.Println("more than 100 requests", n > 100, "wrong", wrong)
	h.runCommand("keys", "retire", "k2", "--folder", h.path("keys"), "--now")
	h.reloadAndWait()
	fmt.Println(h.requestAnswer(s, n, "token", h.token("k2", "water-1")))
	// Output:
	// done done
	// more than 100 requests true wrong 0
	// Denied withdrawn-key
}

// Example_rateLimits checks that requests of an identity that sends ten times its rate are rejected with a
// Retry-After, and that another identity is not affected. A request whose token expires while it is queued is still
// answered.
func Example_rateLimits() {
	h := deployWithAuth()
	defer h.close()
	slow, water := h.token("k1", "slow"), h.token("k1", "water-1")
	s, other := h.client(), h.client()
	counts := map[string]int{}
	began := time.Now()
	n := 0
	for ; time.Since(began) < 500*time.Millisecond; n += 2 {
		counts["slow "+h.requestAnswer(s, n+1, "token", slow)]++
		counts["water "+h.requestAnswer(other, n+2, "token", water)]++
	}
	fmt.Println(
		counts["slow done"] <= 2+11, counts["slow done"] >= 8, counts["slow Busy <nil>"] > 10, counts["water done"]*2 == n)
	s.Send(
		fake.NewRequest(9, "view", fake.RequestID(999999), nil, "token", slow),
		fake.NewRequest(10, "view", fake.RequestID(999998), nil, "token", slow),
		fake.NewRequest(11, "view", fake.RequestID(999997), nil, "token", slow))
	answers := ""
	for range 2 { // at most two of the three are admitted
		answers += s.NextText()
		h.runtime.SendNotice("end", fake.RequestID(999999), "success", "x")
		h.runtime.SendNotice("end", fake.RequestID(999998), "success", "x")
	}
	fmt.Println(strings.Contains(answers, `["Busy" map["after":`))
	short := h.token("k1", "water-1", "--validity", "1s")
	s = h.client()
	s.Send(fake.NewRequest(12, "view", fake.RequestID(12), nil, "token", short, "cost", "1500"))
	fake.WaitFor("the request to start", func() bool { return strings.HasPrefix(h.runtime.NextCommand(), "start c ") })
	fake.WaitFor("the token to expire", func() bool {
		return h.requestAnswer(other, 13, "token", short) == "Denied expired"
	})
	h.runtime.SendNotice("end", fake.RequestID(12), "success", "late")
	fmt.Println(s.NextText())
	// Output:
	// true true true true
	// true
	// ['\x01' '\f' <nil> ["late" map[]]]
}

// Example_canceledWhileAuthenticated checks requests that are canceled, or whose connection is closed, while their
// token is being verified. Neither runs, and their ids can be used again.
func Example_canceledWhileAuthenticated() {
	h := deployWithAuth()
	defer h.close()
	fresh := func() string { return h.token("k1", "water-1") }
	one, two, three := fresh(), fresh(), fresh()
	s, closed := h.client(), h.client()
	s.Send(fake.NewRequest(2, "view", fake.RequestID(1), nil, "token", one, "kb", "1"), []any{2, "interrupt", []any{2}})
	closed.Send(fake.NewRequest(2, "view", fake.RequestID(2), nil, "token", two, "kb", "1"))
	closed.Close()
	fake.WaitFor("the connection to be closed", func() bool {
		return strings.Contains(h.log.text(), "code=peer-closed")
	})
	s.Send(fake.NewRequest(3, "view", fake.RequestID(3), nil, "token", three, "kb", "1"))
	command := h.runtime.NextCommand()
	// The token of request 2 may have been verified before the connection was closed.
	for strings.HasPrefix(command, "start 2 ") || strings.HasPrefix(command, "stop 2") {
		command = h.runtime.NextCommand()
	}
	fmt.Println(command)
	h.runtime.SendNotice("end", fake.RequestID(3), "success", "three")
	fmt.Println(s.NextText())
	// Output:
	// start 3 route view body ""
	// ['\x01' '\x03' <nil> ["three" map[]]]
}

// Example_forgedTokens checks that the instance closes a connection that sends forged tokens, and serves callers with
// valid tokens meanwhile.
func Example_forgedTokens() {
	h := deployWithAuth()
	defer h.close()
	good := h.token("k1", "water-1")
	s := h.client()
	fmt.Println(h.requestAnswer(s, 1, "token", good))
	for k := range 5 {
		bad := h.client()
		for i := range 40 {
			token := fmt.Sprintf("%s%04d", good[:len(good)-4], 1000*k+i)
			if answer := h.requestAnswer(bad, i+1, "token", token); answer == "closed" {
				fmt.Print(i, " ")
				break
			} else if answer != "Denied signature" {
				panic(answer)
			}
		}
	}
	fmt.Println(h.requestAnswer(s, 2, "token", good))
	// Output:
	// done
	// 8 8 8 8 8 done
}

// Example_singleUseToken checks that a single-use token is accepted for one request and denied as replayed for the
// second, and that requests are rejected once the maximum number of remembered token ids is reached.
func Example_singleUseToken() {
	h := deployWithAuth("revocation-file = revoked.txt", "single-use = yes\nmax-single-use-ids = 2")
	defer h.close()
	s := h.client()
	first := h.token("k1", "water-1", "--jti", "a", "--validity", "2s")
	fmt.Println(h.requestAnswer(s, 1, "token", first), h.requestAnswer(s, 2, "token", first))
	fmt.Println(
		h.requestAnswer(s, 3, "token", h.token("k1", "water-1", "--jti", "b")),
		h.requestAnswer(s, 4, "token", h.token("k1", "water-1", "--jti", "c")))
	// Output:
	// done Denied replayed
	// done Busy <nil>
}

// Example_callersNotConfigured checks that a token of any form is ignored if no callers are configured.
func Example_callersNotConfigured() {
	t := deployReady()
	defer t.close()
	s := t.client()
	s.Send(fake.NewRequest(1, "view", fake.RequestID(1), nil, "token", strings.Repeat("x", 3000)))
	fmt.Println(t.runtime.NextCommand())
	t.runtime.SendNotice("end", fake.RequestID(1), "success", "one")
	fmt.Println(s.NextText())
	// Output:
	// start 1 route view body ""
	// ['\x01' '\x01' <nil> ["one" map[]]]
}
