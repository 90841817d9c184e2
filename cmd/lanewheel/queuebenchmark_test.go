package main

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lanewheel/internal/fake"
)

// BenchmarkFlood measures the latency of a client that sends requests at a constant rate, without and with a flood of
// messages past their deadline.
//
//	go test -run xxx -bench Flood -benchtime 1000x ./cmd/lanewheel
func BenchmarkFlood(b *testing.B) {
	for _, flooded := range []bool{false, true} {
		b.Run(fmt.Sprint("flood ", flooded), func(b *testing.B) {
			d := deployWithQueue(queueOperatorFile, highLimits...)
			defer d.close()
			d.endRunsAtOnce()
			const flood = 5_000 // a tenth of the flood described in the queue documentation, the messages of 10 s
			began := time.Now()
			var drainTime time.Duration
			floodDone := make(chan bool)
			go func() {
				defer close(floodDone)
				if !flooded {
					return
				}
				for i := range flood {
					p := queueMessage(fmt.Sprint(i), "view")
					p.Timestamp, p.Expiration = time.Now().Add(-time.Hour), ""
					d.broker.Publish("ops", p)
				}
				for d.broker.Counts("replies").Ready < flood {
					time.Sleep(time.Millisecond)
				}
				drainTime = time.Since(began)
			}()
			s := d.client()
			s.CheckHealth()
			latencies := hdrhistogram.New(1, 60e6, 3)
			b.ResetTimer()
			for n := range b.N {
				time.Sleep(time.Until(began.Add(time.Duration(n) * 5 * time.Millisecond)))
				at := time.Now()
				s.Send(fake.NewRequest(n+2, "view", fmt.Sprintf("%08x%08x", 1, n), nil, "kb", "1"))
				if a, err := s.NextResponse(); err != nil || a.Error != "" {
					b.Fatal(a, err)
				}
				_ = latencies.RecordValue(time.Since(at).Microseconds())
			}
			b.StopTimer()
			<-floodDone
			b.ReportMetric(float64(latencies.ValueAtQuantile(50))/1e3, "median-ms")
			b.ReportMetric(float64(latencies.ValueAtQuantile(99))/1e3, "99th-ms")
			b.ReportMetric(drainTime.Seconds(), "s-to-drain")
		})
	}
}

// BenchmarkWaiting measures the memory that an instance uses for thousands of unsettled messages whose runs do not end.
// 5,000 messages are published; the benchmark reports the highest number that is unsettled at the same time.
//
//	go test -run xxx -bench Waiting -benchtime 1x ./cmd/lanewheel
func BenchmarkWaiting(b *testing.B) {
	const messageCount = 5000 // below 6,144, the maximum number of requests with 192 MB
	file := strings.Replace(queueOperatorFile, "min-in-flight = 4", "min-in-flight = 1000\nmax-in-flight = 5000", 1)
	file = strings.NewReplacer(
		"min-in-flight = 4", "min-in-flight = 5000\nmax-in-flight = 5000",
		"[queue", "max-in-flight = 5000\n[queue",
	).Replace(file)
	d := deployWithQueue(file, highLimits...)
	defer d.close()
	before := residentKB(d.cmd.Process.Pid)
	go func() {
		for range d.runtime.Messages {
		}
	}()
	for i := range messageCount {
		p := queueMessage(fmt.Sprint(i), "pay")
		p.Expiration = "2900000"
		d.broker.Publish("ops", p)
	}
	maxUnsettled := 0
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		maxUnsettled = max(maxUnsettled, d.broker.Counts("ops").Unsettled)
	}
	b.ReportMetric(float64(maxUnsettled), "unsettled")
	b.ReportMetric(float64(residentKB(d.cmd.Process.Pid)-before)/1024, "MB-added")
}

// BenchmarkMessages measures the throughput of messages and the cost of a message to an instance, to compare with the
// client requests of BenchmarkRequest.
//
//	go test -run xxx -bench Messages -benchtime 30000x ./cmd/lanewheel
func BenchmarkMessages(b *testing.B) {
	file := strings.Replace(queueOperatorFile, "min-in-flight = 4", "min-in-flight = 64\nmax-in-flight = 128", 1)
	d := deployWithQueue(file, highLimits...)
	defer d.close()
	d.endRunsAtOnce()
	cpuBefore, residentBefore := cpuTime(d.cmd.Process.Pid), residentKB(d.cmd.Process.Pid)
	b.ResetTimer()
	for i := range b.N {
		d.broker.Publish("ops", queueMessage(fmt.Sprint(i), "view"))
	}
	for c := d.broker.Counts("ops"); c.Acked < b.N; c = d.broker.Counts("ops") {
		time.Sleep(time.Millisecond)
	}
	b.StopTimer()
	b.ReportMetric(float64((cpuTime(d.cmd.Process.Pid)-cpuBefore).Microseconds())/float64(b.N), "cpu-µs/op")
	b.ReportMetric(float64(residentKB(d.cmd.Process.Pid)-residentBefore)/1024, "MB-added")
	outcomes := map[string]int{}
	for _, p := range d.broker.DrainQueue("replies") {
		outcomes[p.Type]++
	}
	b.ReportMetric(float64(b.N-outcomes["acked"])/float64(b.N), "unsuccessful/op")
	began := time.Now()
	d.broker.DropConnections()
	connections, _ := d.broker.Connections()
	for ; connections < 2 || d.broker.Counts("ops").Consumers == 0; connections, _ = d.broker.Connections() {
		time.Sleep(time.Millisecond)
	}
	b.ReportMetric(float64(time.Since(began).Milliseconds()), "ms-to-consume-again")
}
