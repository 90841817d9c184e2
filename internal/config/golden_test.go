package config

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"lanewheel/internal/setuptest"
)

var update = flag.Bool("update", false, "rewrite the golden files with the current listings")

// listGolden parses and lists a golden file. The prefix of its name determines its kind.
func listGolden(t *testing.T, l *listing, path string, text []byte) {
	t.Helper()
	name := filepath.Base(path)
	path = "etc/" + name // so that the golden listings contain no other directory
	switch {
	case strings.HasPrefix(name, "drill-"):
		d, err := ParseDrill(path, text)
		if err != nil {
			t.Fatal(err)
		}
		listDrill(l, &d)
	case strings.HasPrefix(name, "agreed-budgets"):
		all, err := ParseBudgets(path, text)
		if err != nil {
			t.Fatal(err)
		}
		listBudgets(l, all)
	case strings.HasPrefix(name, "agreed-plan"):
		p, err := ParseRollout(path, text)
		if err != nil {
			t.Fatal(err)
		}
		listRollout(l, &p)
	default:
		f, err := Parse(path, text)
		if err != nil {
			t.Fatal(err)
		}
		listFile(l, &f)
	}
}

// compareGolden compares a listing with the golden listing at path. With -update, it writes the listing there instead.
func compareGolden(t *testing.T, path, got string) {
	t.Helper()
	if *update {
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	want := strings.Split(string(setuptest.Must(os.ReadFile(path))), "\n")
	for i, line := range strings.Split(got, "\n") {
		if i >= len(want) || line != want[i] {
			t.Fatalf("%s:%d: got\n%s\nwant\n%s", path, i+1, line, want[min(i, len(want)-1)])
		}
	}
	if strings.Count(got, "\n")+1 != len(want) {
		t.Fatalf("%s: %d lines, want %d", path, strings.Count(got, "\n")+1, len(want))
	}
}

// All files that have been shipped, and the files that contain every setting, must still be read with the same result.
func TestGoldenFiles(t *testing.T) {
	files := setuptest.Must(filepath.Glob("testdata/golden/*.ini"))
	if len(files) < 25 {
		t.Fatalf("%d golden files", len(files))
	}
	for _, path := range files {
		t.Run(filepath.Base(path), func(t *testing.T) {
			var l listing
			listGolden(t, &l, path, setuptest.Must(os.ReadFile(path)))
			compareGolden(t, strings.TrimSuffix(path, ".ini")+".golden", l.String())
		})
	}
}

// The defaults without a file and with an empty file must not change.
func TestGoldenDefaults(t *testing.T) {
	var l listing
	f := setuptest.Must(Load(""))
	listFile(&l, &f)
	compareGolden(t, "testdata/golden/without-file.golden", l.String())
	l.Reset()
	f = setuptest.Must(Parse("etc/empty.ini", nil))
	listFile(&l, &f)
	compareGolden(t, "testdata/golden/empty-file.golden", l.String())
}

// Overrides replace values of a script, also under earlier names.
func TestGoldenSet(t *testing.T) {
	text := setuptest.Must(os.ReadFile("testdata/golden/drill-release-bad.ini"))
	d := setuptest.Must(ParseDrill("etc/x", text, "bad-release.slow=1", "bad-release.crashes-after=8s", "drill.for=60s",
		"relaying.way=random"))
	if d.BadRelease.RunTimeFactor != 1 || d.BadRelease.CrashAfter != 8*time.Second || d.LoadDuration != time.Minute ||
		fmt.Sprint(d.ProxySettings) != "[{policy random}]" {
		t.Fatalf("%+v", d)
	}
}

// A file of cluster keys contains one key per line in base64. The keys are read in the order of the file.
func TestGoldenClusterKeys(t *testing.T) {
	text := setuptest.Must(os.ReadFile("testdata/golden/cluster-keys.txt"))
	keys := setuptest.Must(ParseClusterKeys("cluster-keys", text))
	var want [3][]byte
	for i, size := range []int{16, 24, 32} {
		for n := range size {
			want[i] = append(want[i], byte(i*32+n))
		}
	}
	if len(keys) != 3 {
		t.Fatalf("%d keys", len(keys))
	}
	for i, key := range keys {
		if string(key) != string(want[i]) {
			t.Errorf("key %d: %x, want %x", i, key, want[i])
		}
	}
}
