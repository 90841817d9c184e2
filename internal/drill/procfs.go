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

const (
	// processMB is the memory of one process of a large fleet, in MB, including its share of the binary's pages.
	processMB = 24

	// reservedMB is the memory of the drill itself, in MB.
	reservedMB = 200
)

// readProcMB returns the value of a key of a /proc file, converted from KB to MB, or 0 if the file does not contain the
// key. It returns an error if the file cannot be read or the value is not a number.
func readProcMB(path, key string) (float64, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(text)) {
		if value, found := strings.CutPrefix(line, key+":"); found {
			kilobytes, err := strconv.ParseFloat(strings.Fields(value)[0], 64)
			if err != nil {
				return 0, fmt.Errorf("%s: %s: %w", path, key, err)
			}
			return kilobytes / 1024, nil
		}
	}
	return 0, nil
}

// checkMemory prints the size of a drill and returns an error if the machine does not have enough memory for it.
func checkMemory(script *config.Drill, out io.Writer) error {
	availableMB, err := readProcMB("/proc/meminfo", "MemAvailable")
	if err != nil {
		return err
	}
	processes := layoutOf(script).end
	neededMB := float64(processes)*processMB + reservedMB
	printf(out, "%d instances, %d proxies, %d allocators and %d coordinators, about %.0f MB of %.0f available, "+
		"%d cores, seed %d, from %s\n",
		script.Instances, script.Proxies, script.Allocators, script.Coordinators, neededMB, availableMB,
		runtime.NumCPU(), script.RandomSeed, filepath.Base(script.Path))
	if neededMB > availableMB {
		return fmt.Errorf("%d processes need about %.0f MB of memory, but only %.0f MB are available",
			processes, neededMB, availableMB)
	}
	return nil
}
