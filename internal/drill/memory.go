package drill

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"

	"lanewheel/internal/config"
)

// checkMemory says what a rehearsal takes and whether the machine has it.
func checkMemory(script *config.Drill, out io.Writer) error {
	text, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return err
	}
	var freeMB float64
	for _, line := range strings.Split(string(text), "\n") {
		if rest, found := strings.CutPrefix(line, "MemAvailable:"); found {
			kilobytes, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			freeMB = kilobytes / 1024
		}
	}
	const processMB = 24 // MB: what a process was seen to hold with 300 members, the pages of its own and a share of the binary's
	neededMB := float64(script.Instances+script.Proxies+script.Allocators+script.Coordinators)*processMB + 200
	fmt.Fprintf(out, "%d processes, %d relays and %d desks, some %.0f MB of %.0f free, %d cores, seed %d, from %s\n", script.Instances, script.Proxies, script.Allocators, neededMB, freeMB, runtime.NumCPU(), script.RandomSeed, filepath.Base(script.Path))
	if neededMB > freeMB {
		return fmt.Errorf("%d processes take some %.0f MB, and %.0f are free", script.Instances, neededMB, freeMB)
	}
	return nil
}
