package main

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"lanewheel/internal/fake"
)

// callerCount is the number of client stubs that wait for an answer while the other client sends its request.
const callerCount = 12

// foreignAnswers is case 6: client stubs send requests through a proxy to two instances. While the requests run,
// another client sends requests with a long token. Each client stub must get the result of its own request, and the
// runtimes must get no request that nobody sent.
func foreignAnswers(b *bench) bool {
	proxy, runtimes := startRotaFleet(b)
	sent := map[string]bool{warmUpBody: true}
	var callers sync.WaitGroup
	wrong := make(chan string, callerCount)
	for i := range callerCount {
		body := bodyOf(fmt.Sprint("callout ", i), 600*time.Millisecond)
		sent[body] = true
		callers.Go(func() {
			code, result := b.perform(proxy.listen, rotaOperation("callout-set", body))
			if code == "" && result != resultOf(body) {
				wrong <- fmt.Sprintf("the request with the body %q was served with %q", body, result)
			}
		})
	}
	time.Sleep(300 * time.Millisecond) // the requests run
	if b.trouble {
		sendLongTokens(b, proxy.listen, sent)
	}
	callers.Wait()
	close(wrong)
	broken := 0
	for text := range wrong {
		broken++
		b.record("BROKEN: %s", text)
	}
	for body, runs := range runsOf(runtimes...) {
		if !sent[body] {
			broken++
			b.record("BROKEN: nobody sent a request with the body %q, but it ran %d times", body, len(runs))
		}
	}
	b.copyLogs(6)
	return broken == 0
}

// warmUpBody is the body of the requests that are sent until the proxy uses both instances.
var warmUpBody = bodyOf("first", 5*time.Millisecond)

// startRotaFleet starts two instances and a proxy that know each other, and waits until the proxy uses both instances.
func startRotaFleet(b *bench) (proxy *process, runtimes []*runtime) {
	settings := settingsText(rotaClasses, rotaTenants, `"cpus":2`, `"cpus":6`)
	group := b.newFleet()
	for i, name := range []string{"n1", "n2"} {
		r := b.newRuntime(name, 6)
		runtimes = append(runtimes, r)
		instance := b.start(instanceOptions{name: name, command: "serve", runtime: r.addr(), settings: settings,
			operator: group.section(i == 0), stopMS: 3200, seed: fmt.Sprint(i + 1)})
		b.waitHealthy(instance)
	}
	proxy = b.start(instanceOptions{name: "p1", command: "proxy", runtime: runtimes[0].addr(), settings: settings,
		operator: "[proxy]\n" + group.section(false), stopMS: 3200, seed: "3"})
	b.waitHealthy(proxy)
	fake.WaitFor("the proxy to use both instances", func() bool {
		for range 4 {
			b.perform(proxy.listen, rotaOperation("rota-view", warmUpBody))
		}
		return len(runtimes[0].started()) > 0 && len(runtimes[1].started()) > 0
	})
	return proxy, runtimes
}

// rotaOperation returns a try of a request. fields are further fields.
func rotaOperation(class, body string, fields ...string) operation {
	fields = append(fields, "wait", "4600", "tenant", "water-div")
	return operation{class: class, id: newID(), body: body, fields: fields}
}

// sendLongTokens sends four requests, each with a token of a few KB, so that both instances get one. The token is a
// valid string of the protocol; behind its first bytes, its text happens to be the bytes of messages.
func sendLongTokens(b *bench, listen string, sent map[string]bool) {
	body := bodyOf("other client", 5*time.Millisecond)
	sent[body] = true
	for range 4 {
		client := b.send(listen, rotaOperation("rota-view", body, "token", longToken()))
		time.Sleep(20 * time.Millisecond)
		client.Close()
	}
}

// longToken returns a token whose length is 5 more than a multiple of 256. If its length is written as one byte, the
// bytes behind the first 5 are read as further messages: for each of the first message ids, a withdrawal and a request
// of its own.
func longToken() string {
	const kept = 5
	tail := []byte{}
	tail = fake.Encode(tail, "pad")
	padAt := len(tail)
	rest := append([]byte{0xc4, 0}, messages()...) // ends the map and the body of the request that carries the token
	padding := 256 - (padAt+3+len(rest))%256
	tail = append(tail, 0xda, byte(padding>>8), byte(padding))
	tail = append(tail, strings.Repeat("x", padding)...)
	tail = append(tail, rest...)
	return strings.Repeat("t", kept) + string(tail)
}

// messages returns the bytes of complete messages, the last of which lacks its last field and its body.
func messages() []byte {
	var b []byte
	for id := 1; id <= 20; id++ {
		b = fake.Encode(b, []any{2, "interrupt", []any{id}})
		b = fake.Encode(b, fake.NewRequest(id, "rota-view", newID(), []byte(bodyOf("nobody sent this", 5*time.Millisecond)),
			"tenant", "water-div"))
	}
	last := fake.Encode(nil, fake.NewRequest(99, "rota-view", newID(), nil, "tenant", "water-div"))
	last[mapIndex()]++ // one more field follows
	const emptyBody = 3
	return append(b, last[:len(last)-emptyBody]...)
}

// mapIndex returns the index of the map of fields in an encoded request of the class "rota-view", behind the tags of
// two lists, two numbers and the class.
func mapIndex() int {
	number := fake.Encode(nil, 0)
	return 1 + 2*len(number) + len(fake.Encode(nil, "rota-view")) + 1
}
