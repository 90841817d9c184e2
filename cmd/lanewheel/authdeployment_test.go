package main

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"path/filepath"
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
	h.deployment = deployReady(
		`"tenants":[]`, `"tenants":[{"name":"water"},{"name":"roads"}]`,
		`"retry-after":false`, `"retry-after":true,"max-retry-after-s":0.2`)
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
	before := h.reloads()
	h.sendHangup()
	fake.WaitFor("the reload", func() bool { return h.reloads() > before })
	h.client().CheckHealth() // what was handed to the loop before is done
}

func (h *authDeployment) token(key, subject string, more ...string) string {
	keyPath := h.path("private/" + key + ".private")
	return h.runCommand(append([]string{"token", "issue", "--key", keyPath, "--issuer", "us", "--audience", "rota",
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
	conn, err := (&tls.Dialer{Config: c}).DialContext(context.Background(), "tcp", h.tlsAddr)
	if err != nil {
		return nil, err
	}
	return fake.NewClient(conn), nil
}

// requestAnswer sends one request and returns its response without the load report; the runtime ends its run if it
// gets there.
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

// reloads counts the reloads of the operator's file that the log tells of.
func (h *authDeployment) reloads() int {
	return strings.Count(h.log.text(), `msg="operator configuration reloaded"`)
}
