package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lanewheel/internal/fake"
)

// cpuTime returns the CPU time that a process has used. The kernel counts it in ticks of 10 ms.
func cpuTime(pid int) time.Duration {
	text := string(fake.Must(os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))))
	f := strings.Fields(text[strings.LastIndexByte(text, ')')+2:])
	return time.Duration(fake.Must(strconv.Atoi(f[11]))+fake.Must(strconv.Atoi(f[12]))) * 10 * time.Millisecond
}

// residentKB returns the resident memory of a process in KB.
func residentKB(pid int) int {
	_, rest, _ := strings.Cut(string(fake.Must(os.ReadFile(fmt.Sprintf("/proc/%d/status", pid)))), "VmRSS:")
	return fake.Must(strconv.Atoi(strings.Fields(rest)[0]))
}

// endRunsAtOnce makes the runtime end each run at once.
func (t *deployment) endRunsAtOnce() {
	go func() {
		for message := range t.runtime.Messages {
			if message["t"] == "start" {
				t.runtime.SendNotice("end", message["rid"].(string), "success", "res")
			}
		}
	}()
}

// highLimits is a list of changes to the configuration that raise its limits so far that no request is rejected.
var highLimits = []string{
	`"cpus":2`, `"cpus":64`, `"memory-kb":1900`, `"memory-kb":1900000`, `"sockets":64`, `"sockets":1024`,
}

// sendRequests sends requests on the given number of connections, up to eight pending on each, until count are
// answered. It returns the number of requests that did not succeed.
func sendRequests(dial func() *fake.Client, conns, count int, token string) int64 {
	var sent, unsuccessful atomic.Int64
	var all sync.WaitGroup
	for k := range conns {
		all.Add(1)
		go func() {
			defer all.Done()
			s := dial()
			defer s.Close()
			n, pending := 0, 0
			for {
				for pending < 8 && sent.Add(1) <= int64(count) {
					n++
					pending++
					more := []string{"from", fmt.Sprint(k + 1), "kb", "1"}
					if token != "" {
						more = append(more, "token", token)
					}
					s.Send(fake.NewRequest(n, "view", fmt.Sprintf("%08x%08x", k, n), []byte("body of some length"), more...))
				}
				if pending == 0 {
					return
				}
				if a, err := s.NextResponse(); err != nil {
					panic(err)
				} else if a.Error != "" {
					unsuccessful.Add(1)
				}
				pending--
			}
		}()
	}
	all.Wait()
	return unsuccessful.Load()
}

// BenchmarkRequest measures the cost of a request to an instance: without authentication, with a cached token, under
// TLS, and with both.
//
//	go test -run xxx -bench Request -benchtime 60000x ./cmd/lanewheel
func BenchmarkRequest(b *testing.B) {
	for _, mode := range []string{"plain", "token", "tls", "tls and token"} {
		b.Run(mode, func(b *testing.B) {
			var t *deployment
			token := ""
			dial := func() *fake.Client { return t.client() }
			if mode == "plain" {
				t = deployReady(highLimits...)
			} else {
				h := deployWithAuth(
					"max-in-flight = 8", "max-in-flight = 0",
					"client-certificates = optional", "client-certificates = optional\nhandshake-rate = 10000",
				)
				h.close()
				operatorPath = h.path("op.ini")
				h.deployment = deployReady(append(highLimits, `"tenants":[]`, `"tenants":[{"name":"water"},{"name":"roads"}]`)...)
				operatorPath = ""
				t = h.deployment
				if mode != "tls" {
					token = h.token("k1", "water-1", "--validity", "10h")
				}
				if mode != "token" {
					c := h.clientTLS("water-7")
					dial = func() *fake.Client { return fake.Must(h.dialTLS(c)) }
				}
			}
			defer t.close()
			t.endRunsAtOnce()
			sendRequests(dial, 16, 2000, token)
			before := cpuTime(t.cmd.Process.Pid)
			b.ResetTimer()
			unsuccessful := sendRequests(dial, 16, b.N, token)
			b.StopTimer()
			b.ReportMetric(float64((cpuTime(t.cmd.Process.Pid)-before).Microseconds())/float64(b.N), "cpu-µs/op")
			b.ReportMetric(float64(unsuccessful)/float64(b.N), "unsuccessful/op")
		})
	}
}

// BenchmarkConnections measures the memory that an instance uses for an idle connection: plain, and under TLS with a
// client certificate.
//
//	go test -run xxx -bench Connections -benchtime 1x ./cmd/lanewheel
func BenchmarkConnections(b *testing.B) {
	const connections = 500
	for _, mode := range []string{"plain", "tls"} {
		b.Run(mode, func(b *testing.B) {
			h := deployWithAuth("client-certificates = optional", "client-certificates = optional\nhandshake-rate = 10000")
			h.close()
			operatorPath = h.path("op.ini")
			h.deployment = deployReady(highLimits...)
			operatorPath = ""
			defer h.close()
			before := residentKB(h.cmd.Process.Pid)
			c := h.clientTLS("water-7")
			for range connections {
				dialClient := h.client
				if mode == "tls" {
					dialClient = func() *fake.Client { return fake.Must(h.dialTLS(c)) }
				}
				s := dialClient()
				s.CheckHealth()
				defer s.Close()
			}
			b.ReportMetric(float64(before)/1024, "MB-at-rest")
			b.ReportMetric(float64(residentKB(h.cmd.Process.Pid)-before)/connections, "KB/connection")
		})
	}
}

// sendForged sends requests with tokens forged from the valid token good, on one connection after the other, until
// stop is true. It increments forged by one for each response.
func (h *authDeployment) sendForged(k int, good string, stop *atomic.Bool, forged *atomic.Int64) {
	for n := 0; !stop.Load(); {
		s := h.deployment.client()
		for range 8 { // the instance closes a connection after eight forged tokens
			n++
			s.Send(fake.NewRequest(n, "view", fmt.Sprintf("%08x%08x", k+9, n), nil, "kb", "1",
				"token", fmt.Sprintf("%s%d%07d", good[:len(good)-8], k, n%10_000_000)))
			if _, err := s.NextResponse(); err != nil {
				break
			}
			forged.Add(1)
		}
		s.Close()
	}
}

// BenchmarkForged measures the latency of an authenticated caller that sends 200 requests a second on one connection,
// without and with a flood of forged tokens on four other connections.
//
//	go test -run xxx -bench Forged -benchtime 2000x ./cmd/lanewheel
func BenchmarkForged(b *testing.B) {
	for _, flooded := range []bool{false, true} {
		b.Run(fmt.Sprint("flood ", flooded), func(b *testing.B) {
			h := deployWithAuth()
			defer h.close()
			h.endRunsAtOnce()
			good := h.token("k1", "water-1", "--validity", "10h")
			var stop atomic.Bool
			var forged atomic.Int64
			var all sync.WaitGroup
			for k := range 4 {
				if !flooded {
					break
				}
				all.Add(1)
				go func() {
					defer all.Done()
					h.sendForged(k, good, &stop, &forged)
				}()
			}
			s := h.client()
			latencies := hdrhistogram.New(1, 60e6, 3)
			before := cpuTime(h.cmd.Process.Pid)
			b.ResetTimer()
			began := time.Now()
			for n := range b.N {
				time.Sleep(time.Until(began.Add(time.Duration(n) * 5 * time.Millisecond)))
				at := time.Now()
				s.Send(fake.NewRequest(n+2, "view", fmt.Sprintf("%08x%08x", 1, n), nil, "kb", "1", "token", good))
				if a, err := s.NextResponse(); err != nil || a.Error != "" {
					b.Fatal(a, err)
				}
				_ = latencies.RecordValue(time.Since(at).Microseconds())
			}
			b.StopTimer()
			b.ReportMetric(float64(latencies.ValueAtQuantile(50))/1e3, "median-ms")
			b.ReportMetric(float64(latencies.ValueAtQuantile(99))/1e3, "99th-ms")
			b.ReportMetric(float64(forged.Load())/time.Since(began).Seconds(), "forged/s")
			b.ReportMetric((cpuTime(h.cmd.Process.Pid)-before).Seconds()/time.Since(began).Seconds(), "cores")
			stop.Store(true)
			all.Wait()
		})
	}
}

// BenchmarkStart measures the duration of a start by its phases: from exec to the log line "listening", from there
// to the link with the runtime, and from there, with the runtime's ready event sent at once, to the first
// successful health check. It measures one instance, one whose database and registry are stopped, and 60
// instances started at the same time, as in the restart of a fleet.
//
//	go test -run xxx -bench Start -benchtime 20x ./cmd/lanewheel
func BenchmarkStart(b *testing.B) {
	for _, test := range []struct {
		name      string
		instances int  // number of instances started at the same time
		stopPeers bool // whether the database and the registry are stopped
	}{{"alone", 1, false}, {"database and registry stopped", 1, true}, {"60 at once", 60, false}} {
		b.Run(test.name, func(b *testing.B) {
			var phases [4]*hdrhistogram.Histogram
			for i := range phases {
				phases[i] = hdrhistogram.New(1, 60e6, 3)
			}
			var mu sync.Mutex
			for range b.N {
				var all sync.WaitGroup
				for range test.instances {
					began := time.Now()
					t := deploy()
					if test.stopPeers {
						_ = t.database.Listener.Close()
						t.registry.Close()
					}
					all.Add(1)
					go func() {
						defer all.Done()
						defer t.close()
						fake.WaitFor("the instance to listen", func() bool {
							return strings.Contains(t.log.text(), "listening")
						})
						listening := time.Now()
						t.runtime.Accept()
						linked := time.Now()
						s := t.client()
						t.runtime.SendReady("steady")
						fake.WaitFor("a successful health check", func() bool { return s.CheckHealth() })
						healthy := time.Now()
						s.Close()
						mu.Lock()
						defer mu.Unlock()
						for i, duration := range []time.Duration{
							listening.Sub(began), linked.Sub(listening), healthy.Sub(linked), healthy.Sub(began),
						} {
							_ = phases[i].RecordValue(duration.Microseconds())
						}
					}()
				}
				all.Wait()
			}
			for i, name := range []string{"listening", "link", "healthy", "total"} {
				b.ReportMetric(float64(phases[i].Min())/1e3, name+"-min-ms")
				b.ReportMetric(float64(phases[i].ValueAtQuantile(50))/1e3, name+"-median-ms")
				b.ReportMetric(float64(phases[i].Max())/1e3, name+"-max-ms")
			}
		})
	}
}
