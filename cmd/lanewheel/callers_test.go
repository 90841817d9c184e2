package main

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"lanewheel/internal/fake"
)

// authDeployment is a deployment that knows its callers, set up from nothing by the program's own commands.
type authDeployment struct {
	*deployment
	dir          string
	tlsAddr      string // of the listener with TLS
	operatorFile string
}

const authOperatorFile = `[callers]
write-classes = set
[role crew]
classes = view, pay, list
permissions = read, write
max-in-flight = 8
[role slow]
classes = view
permissions = read, write
rate = 20
burst = 2
[caller water]
match = uri:rota://water/*, token:water-*
tenant = water
roles = crew
[caller roads]
match = uri:rota://roads/*, token:roads-*
tenant = roads
roles = crew
[caller slow]
match = token:slow
tenant = water
roles = slow
[tokens]
key-dir = keys
issuer = us
audience = rota
leeway = 1s
key-reload-interval = 100ms
revocation-file = revoked.txt
[tls]
listen = ADDR
certificate = server.pem
key = server.key
authorities = ca/authority.pem
revocation-lists = ca/revoked.pem
client-certificates = optional
`

var authDeploymentCount int

// runCommand carries out a command of the program, which has to go well, and gives what it prints.
func (h *authDeployment) runCommand(args ...string) string {
	text := runCommand(args...)
	if !strings.HasPrefix(text, "0 ") {
		panic(fmt.Sprint(args, text))
	}
	return strings.TrimSpace(text[2:])
}

func (h *authDeployment) path(name string) string { return filepath.Join(h.dir, name) }

func (h *authDeployment) writeFile(name, text string) {
	if err := os.WriteFile(h.path(name), []byte(text), 0o600); err != nil {
		panic(err)
	}
}

// deployWithAuth sets one up and has it serve; changes are pairs of text to replace in the operator's file.
func deployWithAuth(changes ...string) *authDeployment {
	h := &authDeployment{dir: fake.Must(os.MkdirTemp(tempDir, "house"))}
	authDeploymentCount++
	h.tlsAddr = fmt.Sprintf("127.73.%d.%d:%d", os.Getpid()%250, authDeploymentCount, 9000+authDeploymentCount)
	h.runCommand("keys", "new", "--private", h.path("private"), "--id", "k1")
	h.runCommand("keys", "publish", h.path("private/k1.private"), "--folder", h.path("keys"))
	h.runCommand("cert", "authority", h.path("ca"))
	h.runCommand("cert", "issue", h.path("server"), "--authority", h.path("ca"), "--server", "--host", "127.0.0.1")
	h.runCommand("cert", "issue", h.path("water-7"), "--authority", h.path("ca"), "--uri", "rota://water/7")
	h.writeFile("revoked.txt", "# none\n")
	h.operatorFile = strings.NewReplacer(append(changes, "ADDR", h.tlsAddr)...).Replace(authOperatorFile)
	h.writeFile("op.ini", h.operatorFile)
	operatorPath = h.path("op.ini")
	h.deployment = deployReady(`"tenants":[]`, `"tenants":[{"name":"water"},{"name":"roads"}]`, `"retry-after":false`, `"retry-after":true,"max-retry-after-s":0.2`)
	operatorPath = ""
	return h
}

// client gives a connection on which something was said: commands that take long do not make it a silent one.
func (h *authDeployment) client() *fake.Client {
	s := h.deployment.client()
	s.CheckHealth()
	return s
}

// reloadAndWait asks for a reload and waits until it is in force.
func (h *authDeployment) reloadAndWait() {
	before := strings.Count(h.log.text(), "msg=operated")
	h.sendHangup()
	fake.WaitFor("the reload", func() bool { return strings.Count(h.log.text(), "msg=operated") > before })
	h.client().CheckHealth() // what was handed to the loop before is done
}

func (h *authDeployment) token(key, subject string, more ...string) string {
	return h.runCommand(append([]string{"token", "issue", "--key", h.path("private/" + key + ".private"), "--issuer", "us", "--audience", "rota",
		"--subject", subject}, more...)...)
}

// clientTLS is a handheld's configuration with the certificate of that name, none if empty.
func (h *authDeployment) clientTLS(name string) *tls.Config {
	roots := x509.NewCertPool()
	roots.AppendCertsFromPEM(fake.Must(os.ReadFile(h.path("ca/authority.pem"))))
	c := &tls.Config{RootCAs: roots, ServerName: "127.0.0.1", ClientSessionCache: tls.NewLRUClientSessionCache(8)}
	if name != "" {
		c.Certificates = []tls.Certificate{fake.Must(tls.LoadX509KeyPair(h.path(name+".pem"), h.path(name+".key")))}
	}
	return c
}

func (h *authDeployment) dialTLS(c *tls.Config) (*fake.Client, error) {
	conn, err := tls.Dial("tcp", h.tlsAddr, c)
	if err != nil {
		return nil, err
	}
	return fake.NewClient(conn), nil
}

// requestAnswer sends one op and gives its answer without what rides on it; the runtime ends it if it comes there.
func (h *authDeployment) requestAnswer(s *fake.Client, n int, more ...string) string {
	s.Send(fake.NewRequest(n, "view", fake.RequestID(n), nil, append([]string{"kb", "1", "cost", "1"}, more...)...))
	answers := make(chan string, 1)
	go func() {
		a, err := s.NextResponse()
		switch {
		case err != nil:
			answers <- "closed"
		case a.Error == "":
			answers <- string(a.Result)
		default:
			answers <- strings.TrimSpace(fmt.Sprint(a.Error, " ", a.Fields["why"]))
		}
	}()
	for {
		select {
		case said := <-answers:
			return said
		case line := <-h.runtime.Messages:
			if line["t"] == "start" {
				h.runtime.SendNotice("end", line["rid"].(string), "success", "done")
			}
		case <-time.After(fake.WaitTimeout):
			panic("no answer")
		}
	}
}

// Who may what, by token and by certificate, and each denial said in one word; what is denied never runs.
func Example_callers() {
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
	fmt.Println(code, strings.Count(log, "msg=denied"), strings.Contains(log, water))
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

// Reads of like key are shared within a tenant, never across: another tenant's read runs.
func Example_sharedWithinTenant() {
	h := deployWithAuth()
	defer h.close()
	h.close()
	operatorPath = h.path("op.ini")
	h.deployment = deployReady("FRESH", "5", `"tenants":[]`, `"tenants":[{"name":"water"},{"name":"roads"}]`)
	operatorPath = ""
	defer h.close()
	s := h.client()
	for i, subject := range []string{"water-1", "water-2", "roads-1"} {
		s.Send(fake.NewRequest(i+1, "view", fake.RequestID(i+1), nil, "token", h.token("k1", subject), "key", "crew-9", "kb", "1"))
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

// A key is published before it signs and kept after it stops: an op under the old one is admitted until the told moment, by
// instances that read it whenever; one under a key that is not read yet leads to a look, without a reload.
func Example_rotation() {
	h := deployWithAuth()
	defer h.close()
	s := h.client()
	old := h.token("k1", "water-1")
	h.runCommand("keys", "new", "--private", h.path("private"), "--id", "k2", "--algorithm", "ES256")
	h.runCommand("keys", "publish", h.path("private/k2.private"), "--folder", h.path("keys"))
	fmt.Println(h.requestAnswer(s, 1, "token", h.token("k2", "water-1")), h.requestAnswer(s, 2, "token", old))
	at := time.Now().Add(1200 * time.Millisecond).Truncate(time.Second).Add(time.Second) // files tell whole seconds
	h.runCommand("keys", "retire", "k1", "--folder", h.path("keys"), "--at", at.Format(time.RFC3339))
	h.reloadAndWait()
	n, wrong := 3, 0
	for ; time.Now().Before(at.Add(200 * time.Millisecond)); n++ {
		before := time.Now()
		said := h.requestAnswer(s, n, "token", old)
		after := time.Now()
		if after.Before(at) && said != "done" || !before.Before(at) && said != "Denied retired-key" {
			wrong++
		}
	}
	fmt.Println("asked", n > 100, "wrong", wrong)
	h.runCommand("keys", "retire", "k2", "--folder", h.path("keys"), "--now")
	h.reloadAndWait()
	fmt.Println(h.requestAnswer(s, n, "token", h.token("k2", "water-1")))
	// Output:
	// done done
	// asked true wrong 0
	// Denied withdrawn-key
}

// A certificate is taken back while an op is open on its connection: the op gets its answer, the next is denied unrun, the
// connection ends, and neither a new handshake nor a resumed session gets in. Others go on.
func Example_takenBack() {
	h := deployWithAuth()
	defer h.close()
	h.runCommand("cert", "issue", h.path("water-8"), "--authority", h.path("ca"), "--uri", "rota://water/8")
	c := h.clientTLS("water-7")
	s := fake.Must(h.dialTLS(c))
	fmt.Println(h.requestAnswer(s, 1))
	again := fake.Must(h.dialTLS(c))
	fmt.Println("resumed", again.Conn.(*tls.Conn).ConnectionState().DidResume, h.requestAnswer(again, 2))
	other := fake.Must(h.dialTLS(h.clientTLS("water-8")))
	s.Send(fake.NewRequest(3, "view", fake.RequestID(3), nil, "kb", "1"))
	fmt.Println(h.runtime.NextCommand())
	h.runCommand("cert", "revoke", h.path("water-7.pem"), "--authority", h.path("ca"))
	h.reloadAndWait()
	s.Send(fake.NewRequest(4, "view", fake.RequestID(4), nil, "kb", "1"))
	heard := []string{s.NextText(), s.NextText()} // the asking may come before the op or behind it
	slices.Sort(heard)
	fmt.Println(heard)
	h.runtime.SendNotice("end", fake.RequestID(3), "success", "one")
	fmt.Println(s.NextText(), s.NextText())
	fake.WaitFor("the end of the idle one", func() bool { return again.NextText() == "closed" })
	fmt.Println(h.requestAnswer(other, 5), len(h.runtime.Messages))
	for range 2 {
		late, err := h.dialTLS(c)
		if err == nil {
			_, err = late.NextResponse()
		}
		fmt.Println(err != nil, strings.Contains(err.Error(), "bad certificate"))
	}
	// Output:
	// done
	// resumed true done
	// start 3 route view body ""
	// [['\x01' '\x04' ["Denied" map["why":"revoked"]] <nil>] ['\x02' "goaway" []]]
	// ['\x01' '\x03' <nil> ["one" map[]]] closed
	// done 0
	// true true
	// true true
}

// Reloads that come twice at once, half written, cut off behind a whole line, while leaving and while a handshake stands:
// never half a change, and nothing is dropped.
func Example_reloads() {
	h := deployWithAuth()
	defer h.close()
	s, water := h.client(), h.token("k1", "water-1")
	standing := fake.Must(net.Dial("tcp", h.tlsAddr)) // a handshake that stands
	defer standing.Close()
	kept := func() int { return strings.Count(h.log.text(), "msg=configuration-kept") }
	for _, file := range []string{"op.ini", "keys/k1.json", "server.pem", "ca/revoked.pem", "ca/authority.pem"} {
		whole := fake.Must(os.ReadFile(h.path(file)))
		before := kept()
		h.writeFile(file, string(whole[:len(whole)*2/3]))
		h.sendHangup()
		fake.WaitFor("the refusal of "+file, func() bool { return kept() > before })
		fmt.Println(h.requestAnswer(s, 1, "token", water))
		before = strings.Count(h.log.text(), "msg=operated")
		h.writeFile(file, string(whole))
		h.sendHangup()
		h.sendHangup()
		fake.WaitFor("the reload", func() bool { return strings.Count(h.log.text(), "msg=operated") > before })
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

// One identity that sends ten times its rate is nacked with a time to come back; its neighbour feels nothing. An op whose
// token expires while it is held is answered all the same.
func Example_rates() {
	h := deployWithAuth()
	defer h.close()
	slow, water := h.token("k1", "slow"), h.token("k1", "water-1")
	s, other := h.client(), h.client()
	said := map[string]int{}
	began := time.Now()
	n := 0
	for ; time.Since(began) < 500*time.Millisecond; n += 2 {
		said["slow "+h.requestAnswer(s, n+1, "token", slow)]++
		said["water "+h.requestAnswer(other, n+2, "token", water)]++
	}
	fmt.Println(said["slow done"] <= 2+11, said["slow done"] >= 8, said["slow Busy <nil>"] > 10, said["water done"]*2 == n)
	s.Send(fake.NewRequest(9, "view", fake.RequestID(999999), nil, "token", slow), fake.NewRequest(10, "view", fake.RequestID(999998), nil, "token", slow),
		fake.NewRequest(11, "view", fake.RequestID(999997), nil, "token", slow))
	heard := ""
	for range 2 { // at most two of the three are let in
		heard += s.NextText()
		h.runtime.SendNotice("end", fake.RequestID(999999), "success", "x")
		h.runtime.SendNotice("end", fake.RequestID(999998), "success", "x")
	}
	fmt.Println(strings.Contains(heard, `["Busy" map["after":`))
	short := h.token("k1", "water-1", "--validity", "1s")
	s = h.client()
	s.Send(fake.NewRequest(12, "view", fake.RequestID(12), nil, "token", short, "cost", "1500"))
	fake.WaitFor("its start", func() bool { return strings.HasPrefix(h.runtime.NextCommand(), "start c ") })
	fake.WaitFor("its expiry", func() bool { return h.requestAnswer(other, 13, "token", short) == "Denied expired" })
	h.runtime.SendNotice("end", fake.RequestID(12), "success", "late")
	fmt.Println(s.NextText())
	// Output:
	// true true true true
	// true
	// ['\x01' '\f' <nil> ["late" map[]]]
}

// Hundreds of connections that stop in the handshake keep nobody out for long; half a handshake has an end.
func Example_stalledHandshakes() {
	h := deployWithAuth("client-certificates = optional", "client-certificates = required\nmax-handshakes = 16\nhandshake-rate = 10000")
	defer h.close()
	var stalled []net.Conn
	for range 200 {
		c := fake.Must(net.Dial("tcp", h.tlsAddr))
		stalled = append(stalled, c)
		_, _ = c.Write([]byte{0x16, 3, 1, 0, 200, 1})
	}
	began := time.Now()
	s := fake.Must(h.dialTLS(h.clientTLS("water-7")))
	fmt.Println(h.requestAnswer(s, 1), time.Since(began) < 4*time.Second)
	for _, c := range stalled {
		_ = c.SetReadDeadline(time.Now().Add(fake.WaitTimeout))
		if _, err := c.Read(make([]byte, 64)); os.IsTimeout(err) {
			panic("a handshake without end")
		}
		c.Close()
	}
	noise := fake.Must(net.Dial("tcp", h.tlsAddr))
	_, _ = noise.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
	fake.WaitFor("its end", func() bool { return strings.Contains(h.log.text(), "code=handshake-failed") })
	none, err := h.dialTLS(h.clientTLS(""))
	if err == nil { // the client hears of the refusal with its first read
		_, err = none.NextResponse()
	}
	fmt.Println(strings.Contains(err.Error(), "certificate required"))
	fmt.Println(h.requestAnswer(s, 2))
	// Output:
	// done true
	// true
	// done
}

// However many connections stop in the handshake, no more than told hold a descriptor and memory; the others wait outside.
func Example_handshakesAtATime() {
	h := deployWithAuth("client-certificates = optional", "client-certificates = optional\nmax-handshakes = 4\nhandshake-rate = 10000")
	defer h.close()
	held := func() (n int) {
		for _, fd := range fake.Must(os.ReadDir(fmt.Sprintf("/proc/%d/fd", h.cmd.Process.Pid))) {
			if to, _ := os.Readlink(fmt.Sprintf("/proc/%d/fd/%s", h.cmd.Process.Pid, fd.Name())); strings.HasPrefix(to, "socket:") {
				n++
			}
		}
		return n
	}
	before, most := held(), 0
	for range 25 {
		defer fake.Must(net.Dial("tcp", h.tlsAddr)).Close()
	}
	for end := time.Now().Add(500 * time.Millisecond); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		most = max(most, held()-before)
	}
	fmt.Println(most >= 4, most < 12) // some are closed while others are accepted
	// Output:
	// true true
}

// Ops whose callers leave while a token is being checked, by interrupt and by closing: neither runs, and the ids are free again.
func Example_goneAtTheDoor() {
	h := deployWithAuth()
	defer h.close()
	fresh := func() string { return h.token("k1", "water-1") }
	one, two, three := fresh(), fresh(), fresh()
	s, closed := h.client(), h.client()
	s.Send(fake.NewRequest(2, "view", fake.RequestID(1), nil, "token", one, "kb", "1"), []any{2, "interrupt", []any{2}})
	closed.Send(fake.NewRequest(2, "view", fake.RequestID(2), nil, "token", two, "kb", "1"))
	closed.Close()
	fake.WaitFor("the end of it", func() bool { return strings.Contains(h.log.text(), "code=peer-closed") })
	s.Send(fake.NewRequest(3, "view", fake.RequestID(3), nil, "token", three, "kb", "1"))
	heard := h.runtime.NextCommand()
	for strings.HasPrefix(heard, "start 2 ") || strings.HasPrefix(heard, "stop 2") { // its check was over before the close came
		heard = h.runtime.NextCommand()
	}
	fmt.Println(heard)
	h.runtime.SendNotice("end", fake.RequestID(3), "success", "three")
	fmt.Println(s.NextText())
	// Output:
	// start 3 route view body ""
	// ['\x01' '\x03' <nil> ["three" map[]]]
}

// Forged tokens end the connections that bring them, while known callers are served.
func Example_forged() {
	h := deployWithAuth()
	defer h.close()
	good := h.token("k1", "water-1")
	s := h.client()
	fmt.Println(h.requestAnswer(s, 1, "token", good))
	for k := range 5 {
		bad := h.client()
		for i := range 40 {
			if said := h.requestAnswer(bad, i+1, "token", fmt.Sprintf("%s%04d", good[:len(good)-4], 1000*k+i)); said == "closed" {
				fmt.Print(i, " ")
				break
			} else if said != "Denied signature" {
				panic(said)
			}
		}
	}
	fmt.Println(h.requestAnswer(s, 2, "token", good))
	// Output:
	// done
	// 8 8 8 8 8 done
}

// A token of single use is good for one op; the second is a replay.
func Example_singleUse() {
	h := deployWithAuth("revocation-file = revoked.txt", "single-use = yes\nmax-single-use-ids = 2")
	defer h.close()
	s := h.client()
	first := h.token("k1", "water-1", "--jti", "a", "--validity", "2s")
	fmt.Println(h.requestAnswer(s, 1, "token", first), h.requestAnswer(s, 2, "token", first))
	fmt.Println(h.requestAnswer(s, 3, "token", h.token("k1", "water-1", "--jti", "b")), h.requestAnswer(s, 4, "token", h.token("k1", "water-1", "--jti", "c")))
	// Output:
	// done Denied replayed
	// done Busy <nil>
}

// With nothing told of callers a token changes nothing, whatever form it has.
func Example_callersOff() {
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
