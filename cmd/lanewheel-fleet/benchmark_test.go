package main

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"lanewheel/internal/fake"
)

// clockTick is the unit of CPU times in /proc.
const clockTick = 10 * time.Millisecond

// BenchmarkProxy sends one request after the other, directly to an instance and through a proxy in front of two
// instances. It measures the latency that the proxy adds and the CPU time that a request costs the proxy.
//
//	go test -run xxx -bench Proxy -benchtime 5000x ./cmd/lanewheel-fleet
func BenchmarkProxy(b *testing.B) {
	x := startNode(nodeOptions{name: "x", host: 31, keys: "x", seeds: []int{31}, extra: "zone = a\n"})
	defer x.stop(syscall.SIGKILL)
	y := startNode(nodeOptions{name: "y", host: 32, keys: "x", seeds: []int{31}, extra: "zone = a\n"})
	defer y.stop(syscall.SIGKILL)
	x.waitFor("y", "up")
	y.waitFor("x", "up")
	proxyPID := startProxy(b, x)
	x.waitFor("r", "up")
	y.waitFor("r", "up")
	sender := &requestSender{}
	for _, path := range []struct{ name, addr string }{
		{"direct", clientAddr(31)},
		{"proxy", clientAddr(33)},
	} {
		b.Run(path.name, func(b *testing.B) {
			sender.send(path.addr, 200) // warms up the connections and the estimates
			cpuBefore, startedAt := cpuTime(proxyPID), time.Now()
			latencies := sender.send(path.addr, b.N)
			cpu, elapsed := cpuTime(proxyPID)-cpuBefore, time.Since(startedAt)
			if len(latencies) < b.N*9/10 {
				b.Fatalf("%d of %d requests succeeded, must be at least 90%%", len(latencies), b.N)
			}
			b.ReportMetric(float64(latencies[len(latencies)/2].Microseconds()), "median-us")
			b.ReportMetric(float64(latencies[len(latencies)*99/100].Microseconds()), "99th-us")
			b.ReportMetric(float64(cpu.Microseconds())/float64(b.N), "proxy-cpu-us/request")
			b.ReportMetric(float64(b.N)/elapsed.Seconds(), "requests/s")
		})
	}
}

// startProxy starts a proxy named r with the configuration of an instance and returns its process id.
func startProxy(b *testing.B, instance *node) (pid int) {
	b.Helper()
	config, err := os.ReadFile(filepath.Join(filepath.Dir(instance.operatorPath), "config.json"))
	if err != nil {
		b.Fatal(err)
	}
	replacer := strings.NewReplacer(`"name":"x"`, `"name":"r"`, clientAddr(31), clientAddr(33))
	dir := filepath.Join(binDir, "proxy")
	writeFiles(dir, map[string]string{
		"config.json": replacer.Replace(string(config)),
		"keys":        clusterKeys("x"),
		"proxy.ini": "[proxy]\n[fleet]\n" +
			"listen = " + gossipAddr(33) + "\n" +
			"seeds = " + gossipAddr(31) + "\n" +
			"key-file = keys\n",
	})
	proxy := command("proxy", "--operator", filepath.Join(dir, "proxy.ini"))
	proxy.Env = append(os.Environ(), "RELAY_CONFIG="+filepath.Join(dir, "config.json"))
	if err := proxy.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		_ = proxy.Process.Kill()
		_ = proxy.Wait() // returns an error because the proxy was killed
		_ = os.RemoveAll(dir)
	})
	return proxy.Process.Pid
}

// requestSender sends requests, each with an id of its own.
type requestSender struct{ sent int }

// send sends count requests one after the other and returns the latencies of those that succeeded, sorted.
func (s *requestSender) send(addr string, count int) (latencies []time.Duration) {
	client := fake.Dial(addr)
	defer client.Close()
	for i := range count {
		s.sent++
		startedAt := time.Now()
		client.Send(fake.NewRequest(i+1, "view", fake.RequestID(s.sent), []byte("x"), "kb", "1", "rank", "0.5"))
		if response, err := client.NextResponse(); err == nil && response.Error == "" {
			latencies = append(latencies, time.Since(startedAt))
		}
	}
	slices.Sort(latencies)
	return latencies
}

// cpuTime returns the CPU time of a process, 0 if the process does not exist.
func cpuTime(pid int) time.Duration {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	_, afterName, _ := strings.Cut(string(text), ")")
	fields := strings.Fields(afterName) // starts with the third field of the line
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return time.Duration(user+system) * clockTick
}
