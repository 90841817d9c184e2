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

// cpuTime is the CPU that a process has used, in the kernel's ticks of 10 ms.
func cpuTime(pid int) time.Duration {
	text := string(fake.Must(os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))))
	f := strings.Fields(text[strings.LastIndexByte(text, ')')+2:])
	return time.Duration(fake.Must(strconv.Atoi(f[11]))+fake.Must(strconv.Atoi(f[12]))) * 10 * time.Millisecond
}

// residentKB is what a process holds, in KB.
func residentKB(pid int) int {
	_, rest, _ := strings.Cut(string(fake.Must(os.ReadFile(fmt.Sprintf("/proc/%d/status", pid)))), "VmRSS:")
	return fake.Must(strconv.Atoi(strings.Fields(rest)[0]))
}

// endRunsAtOnce has the runtime end each run at once.
func (t *deployment) endRunsAtOnce() {
	go func() {
		for line := range t.runtime.Messages {
			if line["t"] == "start" {
				t.runtime.SendNotice("end", line["rid"].(string), "success", "res")
			}
		}
	}()
}

// roomyConfig are changes of a configuration by which nothing is rejected.
var roomyConfig = []string{
	`"cpus":2`, `"cpus":64`, `"memory-kb":1900`, `"memory-kb":1900000`, `"sockets":64`, `"sockets":1024`,
}

// sendRequests sends requests on connections, eight pending on each, until count are answered, and returns how many did
// not succeed.
func sendRequests(dial func() *fake.Client, conns, count int, token string) int64 {
	var asked, other atomic.Int64
	var all sync.WaitGroup
	for k := range conns {
		all.Add(1)
		go func() {
			defer all.Done()
			s := dial()
			defer s.Close()
			n, open := 0, 0
			for {
				for open < 8 && asked.Add(1) <= int64(count) {
					n++
					open++
					more := []string{"from", fmt.Sprint(k + 1), "kb", "1"}
					if token != "" {
						more = append(more, "token", token)
					}
					s.Send(fake.NewRequest(n, "view", fmt.Sprintf("%08x%08x", k, n), []byte("body of some length"), more...))
				}
				if open == 0 {
					return
				}
				if a, err := s.NextResponse(); err != nil {
					panic(err)
				} else if a.Error != "" {
					other.Add(1)
				}
				open--
			}
		}()
	}
	all.Wait()
	return other.Load()
}

// What a request costs an instance: without callers, with a remembered token, under TLS, and under both.
//
//	go test -run xxx -bench Request -benchtime 60000x ./cmd/lanewheel
func BenchmarkRequest(b *testing.B) {
	for _, how := range []string{"plain", "token", "tls", "tls and token"} {
		b.Run(how, func(b *testing.B) {
			var t *deployment
			token := ""
			dial := func() *fake.Client { return t.client() }
			if how == "plain" {
				t = deployReady(roomyConfig...)
			} else {
				h := deployWithAuth(
					"max-in-flight = 8", "max-in-flight = 0",
					"client-certificates = optional", "client-certificates = optional\nhandshake-rate = 10000",
				)
				h.close()
				operatorPath = h.path("op.ini")
				h.deployment = deployReady(append(roomyConfig, `"tenants":[]`, `"tenants":[{"name":"water"},{"name":"roads"}]`)...)
				operatorPath = ""
				t = h.deployment
				if how != "tls" {
					token = h.token("k1", "water-1", "--validity", "10h")
				}
				if how != "token" {
					c := h.clientTLS("water-7")
					dial = func() *fake.Client { return fake.Must(h.dialTLS(c)) }
				}
			}
			defer t.close()
			t.endRunsAtOnce()
			sendRequests(dial, 16, 2000, token)
			before := cpuTime(t.cmd.Process.Pid)
			b.ResetTimer()
			turned := sendRequests(dial, 16, b.N, token)
			b.StopTimer()
			b.ReportMetric(float64((cpuTime(t.cmd.Process.Pid)-before).Microseconds())/float64(b.N), "cpu-µs/op")
			b.ReportMetric(float64(turned)/float64(b.N), "turned/op")
		})
	}
}

// What a connection holds at rest: plain, and under TLS with a client's certificate.
//
//	go test -run xxx -bench Connections -benchtime 1x ./cmd/lanewheel
func BenchmarkConnections(b *testing.B) {
	const many = 500
	for _, how := range []string{"plain", "tls"} {
		b.Run(how, func(b *testing.B) {
			h := deployWithAuth("client-certificates = optional", "client-certificates = optional\nhandshake-rate = 10000")
			h.close()
			operatorPath = h.path("op.ini")
			h.deployment = deployReady(roomyConfig...)
			operatorPath = ""
			defer h.close()
			before := residentKB(h.cmd.Process.Pid)
			c := h.clientTLS("water-7")
			for range many {
				s := h.client
				if how == "tls" {
					s = func() *fake.Client { return fake.Must(h.dialTLS(c)) }
				}
				one := s()
				one.CheckHealth()
				defer one.Close()
			}
			b.ReportMetric(float64(before)/1024, "MB-at-rest")
			b.ReportMetric(float64(residentKB(h.cmd.Process.Pid)-before)/many, "KB/connection")
		})
	}
}

// sendForged sends requests with tokens like a good one, on one connection after the other, and counts their responses.
func (h *authDeployment) sendForged(k int, good string, stop *atomic.Bool, forged *atomic.Int64) {
	for n := 0; !stop.Load(); {
		s := h.deployment.client()
		for range 8 { // as many as end a connection
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

// How a known caller fares, 200 requests a second on one connection, without and with a flood of forged tokens from
// four others.
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
			took := hdrhistogram.New(1, 60e6, 3)
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
				_ = took.RecordValue(time.Since(at).Microseconds())
			}
			b.StopTimer()
			b.ReportMetric(float64(took.ValueAtQuantile(50))/1e3, "median-ms")
			b.ReportMetric(float64(took.ValueAtQuantile(99))/1e3, "99th-ms")
			b.ReportMetric(float64(forged.Load())/time.Since(began).Seconds(), "forged/s")
			b.ReportMetric((cpuTime(h.cmd.Process.Pid)-before).Seconds()/time.Since(began).Seconds(), "cores")
			stop.Store(true)
			all.Wait()
		})
	}
}

// How long a start takes, by its parts: from exec to the line "listening", from there to the link with the runtime,
// and from the runtime's ready event to the first good health check; alone, with the database and the registry
// silent, and many at one moment as in a fleet's restart.
//
//	go test -run xxx -bench Start -benchtime 20x ./cmd/lanewheel
func BenchmarkStart(b *testing.B) {
	for _, how := range []struct {
		name string
		at   int // started at one moment
		mute bool
	}{{"alone", 1, false}, {"database and list silent", 1, true}, {"60 at once", 60, false}} {
		b.Run(how.name, func(b *testing.B) {
			var parts [4]*hdrhistogram.Histogram
			for i := range parts {
				parts[i] = hdrhistogram.New(1, 60e6, 3)
			}
			var mu sync.Mutex
			for range b.N {
				var all sync.WaitGroup
				for range how.at {
					began := time.Now()
					t := deploy()
					if how.mute {
						_ = t.database.Listener.Close()
						t.registry.Close()
					}
					all.Add(1)
					go func() {
						defer all.Done()
						defer t.close()
						fake.WaitFor("listening", func() bool { return strings.Contains(t.log.text(), "listening") })
						listens := time.Now()
						t.runtime.Accept()
						linked := time.Now()
						s := t.client()
						t.runtime.SendReady("steady")
						fake.WaitFor("health", func() bool { return s.CheckHealth() })
						ready := time.Now()
						s.Close()
						mu.Lock()
						defer mu.Unlock()
						for i, span := range []time.Duration{
							listens.Sub(began), linked.Sub(listens), ready.Sub(linked), ready.Sub(began),
						} {
							_ = parts[i].RecordValue(span.Microseconds())
						}
					}()
				}
				all.Wait()
			}
			for i, name := range []string{"listening", "link", "healthy", "in-all"} {
				b.ReportMetric(float64(parts[i].Min())/1e3, name+"-least-ms")
				b.ReportMetric(float64(parts[i].ValueAtQuantile(50))/1e3, name+"-median-ms")
				b.ReportMetric(float64(parts[i].Max())/1e3, name+"-most-ms")
			}
		})
	}
}
