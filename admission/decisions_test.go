package admission

import (
	"bufio"
	"bytes"
	"flag"
	"fmt"
	"hash/fnv"
	"os"
	"strings"
	"sync"
	"testing"
)

// TestSameDecisions compares digests of the decisions in random scenarios, one digest per block of scenarios. A
// change that must not alter decisions must reproduce them. To compare more blocks than the file holds, record them
// with the previous version:
//
//	go test -run SameDecisions ./admission -blocks 60 -record
var (
	blocks = flag.Int("blocks", 6, "how many blocks of scenarios TestSameDecisions plays")
	record = flag.Bool("record", false, "write the digests of TestSameDecisions instead of comparing them")
)

const (
	scenariosPerBlock = 50
	decisionsFile     = "testdata/decisions"
)

func TestSameDecisions(t *testing.T) {
	lines := playBlocks(*blocks)
	if *record {
		text := strings.Join(lines, "\n") + "\n"
		if err := os.WriteFile(decisionsFile, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	text, err := os.ReadFile(decisionsFile)
	if err != nil {
		t.Fatal(err)
	}
	recorded := bufio.NewScanner(bytes.NewReader(text))
	for b, line := range lines {
		if !recorded.Scan() {
			t.Fatalf("%s has %d blocks, want %d", decisionsFile, b, len(lines))
		}
		if want := recorded.Text(); line != want {
			t.Errorf("block %s, want %s", line, want)
		}
	}
}

// playBlocks returns a line for each block: its number, its digest and the number of decisions.
func playBlocks(n int) []string {
	lines := make([]string, n)
	var all sync.WaitGroup
	for b := range n {
		all.Go(func() {
			hash, decided := fnv.New64a(), 0
			for i := range scenariosPerBlock {
				digest, n := play(uint64(b*scenariosPerBlock + i))
				_, _ = fmt.Fprintln(hash, digest) // writing to a hash never fails
				decided += n
			}
			lines[b] = fmt.Sprintf("%d %016x %d", b, hash.Sum64(), decided)
		})
	}
	all.Wait()
	return lines
}
