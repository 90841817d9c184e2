// Package life is the start and the stop of a service instance.
package life

import (
	"errors"
	"fmt"
	"hash/fnv"
	"log"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"github.com/valyala/fastjson"

	"lanewheel/internal/facts"
	"lanewheel/internal/keep"
)

// Live starts the instance that the environment tells of and serves until it is told to go.
func Live() error {
	log.SetFlags(log.Ldate | log.Lmicroseconds | log.LUTC)
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGHUP) // before all else: untold, either would end us
	path := os.Getenv("RELAY_CONFIG")
	told, err := tell(path)
	if err != nil {
		return err
	}
	// One processor for each core told, and no more: a second one on a part of a core wakes and sleeps for each message.
	runtime.GOMAXPROCS(int(math.Ceil(told.Cores)))
	// Half the limit: the rest is for what the kernel and the binary itself take.
	debug.SetMemoryLimit(int64(told.MemoryMB * (1 << 19)))
	in, err := keep.Open(told)
	if err != nil {
		return err
	}
	go heed(in, signals, path)
	log.Printf("msg=listening name=%s addr=%s", told.Name, told.Listen)
	in.Serve()
	return nil
}

// heed carries out what signals ask for: SIGTERM to leave, SIGHUP to go by the configuration as it is now.
// Danger: a configuration that can't be read, or is still being written, must not end or change a running instance.
// The old one stays in force and the file is read again, soon and then less and less often.
func heed(in *keep.Instance, signals <-chan os.Signal, path string) {
	const soon, seldom = 50 * time.Millisecond, 5 * time.Second // a file takes far less to write; a person far more
	var again <-chan time.Time
	var wait time.Duration
	for {
		select {
		case s := <-signals:
			if s == syscall.SIGTERM {
				in.Hand(in.Leave)
				continue
			}
			wait = 0
		case <-again:
		}
		again = nil
		told, err := tell(path)
		if err == nil {
			in.Hand(func() { in.Move(told) })
			continue
		}
		if wait == 0 {
			log.Printf("msg=configuration-kept err=%q", err)
		}
		wait = min(max(2*wait, soon), seldom)
		again = time.After(wait)
	}
}

// tell reads the configuration.
func tell(path string) (keep.Told, error) {
	var told keep.Told
	if path == "" {
		return told, errors.New("RELAY_CONFIG is not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return told, err
	}
	v, err := fastjson.ParseBytes(text)
	if err != nil {
		return told, fmt.Errorf("%s: %w", path, err)
	}
	for _, text := range []struct {
		name string
		to   *string
	}{{"name", &told.Name}, {"listen", &told.Listen}, {"runtime", &told.Runtime}, {"db", &told.Database},
		{"roster", &told.Roster}} {
		if *text.to = string(v.GetStringBytes(text.name)); *text.to == "" {
			return told, fmt.Errorf("%s: %s: wants text", path, text.name)
		}
	}
	for _, limit := range []struct {
		name string
		to   *float64
	}{{"cores", &told.Cores}, {"memory_mb", &told.MemoryMB}} {
		if *limit.to = v.GetFloat64("limits", limit.name); *limit.to <= 0 {
			return told, fmt.Errorf("%s: limits.%s: wants a number over 0", path, limit.name)
		}
	}
	if told.Sockets = v.GetInt("limits", "sockets"); told.Sockets < 32 {
		return told, fmt.Errorf("%s: limits.sockets: wants a number of 32 or more", path)
	}
	told.Stop = time.Duration(v.GetFloat64("stop_ms") * float64(time.Millisecond))
	seed := string(v.GetStringBytes("seed"))
	if told.Seed, err = strconv.ParseUint(seed, 16, 64); err != nil {
		h := fnv.New64a()
		h.Write([]byte(seed))
		told.Seed = h.Sum64()
	}
	settings := v.Get("settings")
	if settings == nil {
		return told, fmt.Errorf("%s: settings: wants an object", path)
	}
	if told.Facts, err = facts.Read(settings); err != nil {
		return told, fmt.Errorf("%s: settings: %w", path, err)
	}
	told.Gauges = facts.Gauges(settings)
	told.Readiness = settings.GetBool("domain", "readiness")
	return told, nil
}
