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

	"lanewheel/internal/standin"
)

// BenchmarkRelay asks one op after the other, straight at an instance and by a relay before two: what the relay adds to each, and the CPU that an
// op takes of the relay. go test -run xxx -bench Relay -benchtime 5000x ./cmd/lanewheel-fleet
func BenchmarkRelay(b *testing.B) {
	x := start("x", 31, "x", []int{31}, "zone = a\n")
	defer x.stop(syscall.SIGKILL)
	y := start("y", 32, "x", []int{31}, "zone = a\n")
	defer y.stop(syscall.SIGKILL)
	x.sees("y", "up")
	y.sees("x", "up")
	dir := filepath.Join(folder, "relay")
	if err := os.MkdirAll(dir, 0o700); err != nil {
		b.Fatal(err)
	}
	config, _ := os.ReadFile(filepath.Join(filepath.Dir(x.ini), "config.json"))
	text := strings.NewReplacer(`"name":"x"`, `"name":"r"`, at(31)+":8443", at(33)+":8443").Replace(string(config))
	for file, text := range map[string]string{"config.json": text, "keys": key("x"), "relay.ini": "[relay]\n[fleet]\nlisten = " + at(33) + ":7946\nseeds = " + at(31) + ":7946\nkeys = keys\n"} {
		if err := os.WriteFile(filepath.Join(dir, file), []byte(text), 0o600); err != nil {
			b.Fatal(err)
		}
	}
	r := exec.Command(filepath.Join(folder, "lanewheel"), "relay", "--operator", filepath.Join(dir, "relay.ini"))
	r.Env = append(os.Environ(), "RELAY_CONFIG="+filepath.Join(dir, "config.json"))
	r.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := r.Start(); err != nil {
		b.Fatal(err)
	}
	defer func() { _ = r.Process.Kill(); _ = r.Wait() }()
	x.sees("r", "up")
	y.sees("r", "up")
	spent := func() time.Duration {
		text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", r.Process.Pid))
		f := strings.Fields(string(text[strings.LastIndexByte(string(text), ')'):]))
		user, _ := strconv.Atoi(f[12])
		system, _ := strconv.Atoi(f[13])
		return time.Duration(user+system) * 10 * time.Millisecond
	}
	nth := 0
	ask := func(addr string, n int) (took []time.Duration) {
		s := standin.Dial(addr)
		defer s.Close()
		for i := range n {
			nth++
			began := time.Now()
			s.Send(standin.Op(i+1, "view", standin.ID(nth), []byte("x"), "kb", "1", "rank", "0.5"))
			if a, err := s.Answer(); err == nil && a.Error == "" {
				took = append(took, time.Since(began))
			}
		}
		slices.Sort(took)
		return took
	}
	for _, way := range []struct{ name, addr string }{{"straight", at(31) + ":8443"}, {"relay", at(33) + ":8443"}} {
		b.Run(way.name, func(b *testing.B) {
			ask(way.addr, 200) // connections, and what is learnt
			before, began := spent(), time.Now()
			took := ask(way.addr, b.N)
			after := spent()
			if len(took) < b.N*9/10 {
				b.Fatalf("%d of %d acked", len(took), b.N)
			}
			b.ReportMetric(float64(took[len(took)/2].Microseconds()), "median-us")
			b.ReportMetric(float64(took[len(took)*99/100].Microseconds()), "99th-us")
			b.ReportMetric(float64((after-before).Microseconds())/float64(b.N), "relay-cpu-us/op")
			b.ReportMetric(float64(b.N)/time.Since(began).Seconds(), "ops/s")
		})
	}
}
