package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"lanewheel/internal/fake"
)

// BenchmarkProxy asks one op after the other, straight at an instance and by a relay before two: what the relay adds to each, and the CPU that an
// op takes of the relay. go test -run xxx -bench Relay -benchtime 5000x ./cmd/lanewheel-fleet
func BenchmarkProxy(b *testing.B) {
	x := startNode("x", 31, "x", []int{31}, "zone = a\n")
	defer x.stop(syscall.SIGKILL)
	y := startNode("y", 32, "x", []int{31}, "zone = a\n")
	defer y.stop(syscall.SIGKILL)
	x.waitFor("y", "up")
	y.waitFor("x", "up")
	dir := filepath.Join(binDir, "relay")
	if err := os.MkdirAll(dir, 0o700); err != nil {
		b.Fatal(err)
	}
	config, _ := os.ReadFile(filepath.Join(filepath.Dir(x.operatorPath), "config.json"))
	text := strings.NewReplacer(`"name":"x"`, `"name":"r"`, loopback(31)+":8443", loopback(33)+":8443").Replace(string(config))
	for file, text := range map[string]string{"config.json": text, "keys": clusterKeys("x"), "relay.ini": "[relay]\n[fleet]\nlisten = " + loopback(33) + ":7946\nseeds = " + loopback(31) + ":7946\nkeys = keys\n"} {
		if err := os.WriteFile(filepath.Join(dir, file), []byte(text), 0o600); err != nil {
			b.Fatal(err)
		}
	}
	r := exec.Command(filepath.Join(binDir, "lanewheel"), "relay", "--operator", filepath.Join(dir, "relay.ini"))
	r.Env = append(os.Environ(), "RELAY_CONFIG="+filepath.Join(dir, "config.json"))
	r.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := r.Start(); err != nil {
		b.Fatal(err)
	}
	defer func() { _ = r.Process.Kill(); _ = r.Wait() }()
	x.waitFor("r", "up")
	y.waitFor("r", "up")
	cpuTime := func() time.Duration {
		text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", r.Process.Pid))
		f := strings.Fields(string(text[strings.LastIndexByte(string(text), ')'):]))
		user, _ := strconv.Atoi(f[12])
		system, _ := strconv.Atoi(f[13])
		return time.Duration(user+system) * 10 * time.Millisecond
	}
	requests := 0
	sendRequests := func(addr string, n int) (latencies []time.Duration) {
		s := fake.Dial(addr)
		defer s.Close()
		for i := range n {
			requests++
			began := time.Now()
			s.Send(fake.NewRequest(i+1, "view", fake.RequestID(requests), []byte("x"), "kb", "1", "rank", "0.5"))
			if a, err := s.NextResponse(); err == nil && a.Error == "" {
				latencies = append(latencies, time.Since(began))
			}
		}
		slices.Sort(latencies)
		return latencies
	}
	for _, path := range []struct{ name, addr string }{{"straight", loopback(31) + ":8443"}, {"relay", loopback(33) + ":8443"}} {
		b.Run(path.name, func(b *testing.B) {
			sendRequests(path.addr, 200) // connections, and what is learnt
			before, began := cpuTime(), time.Now()
			latencies := sendRequests(path.addr, b.N)
			after := cpuTime()
			if len(latencies) < b.N*9/10 {
				b.Fatalf("%d of %d acked", len(latencies), b.N)
			}
			b.ReportMetric(float64(latencies[len(latencies)/2].Microseconds()), "median-us")
			b.ReportMetric(float64(latencies[len(latencies)*99/100].Microseconds()), "99th-us")
			b.ReportMetric(float64((after-before).Microseconds())/float64(b.N), "relay-cpu-us/op")
			b.ReportMetric(float64(b.N)/time.Since(began).Seconds(), "ops/s")
		})
	}
}
