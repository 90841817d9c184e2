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

// authDeployment is a deployment that authenticates its callers. The program's own commands create its keys and
// certificates.
type authDeployment struct {
	*deployment
	dir          string
	tlsAddr      string // address of the TLS listener
	operatorFile string // text of the operator's file
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

// runCommand runs a command of the program and returns its output. It panics if the command fails.
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

// deployWithAuth creates an authDeployment and waits until it serves. changes are pairs of a text in the operator's
// file and its replacement.
func deployWithAuth(changes ...string) *authDeployment {
	h := &authDeployment{dir: fake.Must(os.MkdirTemp(tempDir, "auth"))}
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

// client returns a connection on which one request was answered. The instance therefore does not consider the
// connection silent and does not close it while a slow command runs.
func (h *authDeployment) client() *fake.Client {
	s := h.deployment.client()
	s.CheckHealth()
	return s
}

// reloadAndWait triggers a reload and waits until it is in force.
func (h *authDeployment) reloadAndWait() {
	before := h.reloads()
	h.sendHangup()
	fake.WaitFor("the reload", func() bool { return h.reloads() > before })
	h.client().CheckHealth() // the event loop has by now handled all events that were queued before
}

func (h *authDeployment) token(key, subject string, more ...string) string {
	keyPath := h.path("private/" + key + ".private")
	return h.runCommand(append([]string{"token", "issue", "--key", keyPath, "--issuer", "us", "--audience", "rota",
		"--subject", subject}, more...)...)
}

// clientTLS returns a client's TLS configuration with the named certificate, or without one if name is empty.
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

// requestAnswer sends one request and returns its response without the load report. If the request is started, the
// fake runtime ends its run with success.
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
		case answer := <-answers:
			return answer
		case message := <-h.runtime.Messages:
			if message["t"] == "start" {
				h.runtime.SendNotice("end", message["rid"].(string), "success", "done")
			}
		case <-time.After(fake.WaitTimeout):
			panic("timed out waiting for a response")
		}
	}
}

// reloads returns the number of reloads of the operator's file in the log.
func (h *authDeployment) reloads() int {
	return strings.Count(h.log.text(), `msg="operator configuration reloaded"`)
}
