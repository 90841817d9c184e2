package settings

import (
	"fmt"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fastjson"
)

const sampleSettings = `{
 "classes":[
  {"name":"a","credit":1,"promise-s":0.3,"give-up-s":1,"late-share":0.2,"repeat":"idempotent","dedup-window-s":5,
   "aim-stretch":0.5,"portion":0.5},
  {"name":"b","credit":2,"promise-s":0.3,"give-up-s":1,"late-share":0,"repeat":"at_most_once"},
  {"name":"c","credit":3,"promise-s":0.3,"give-up-s":1,"late-share":0,"repeat":"deduplicated","dedup-window-s":0.5}],
 "tenants":[{"name":"x","quota-per-s":9,"portion":0.7},{"name":"y","quota-per-s":5,"portion":0.3}],
 "clients":{"marks-retry":true},
 "domain":{"below":"common","calls-over-s":5,"class-calls":[true,true,false],"class-skip-worth":[0,0.5,0],
  "dep-share":0.8,"clients-total":3,"cpus":2,"fresh-s":0.2,"fresh-start":true,"halt":"drop","hangup-seen":true,
  "heard-for-s":1,"idle-s":30,"key-kb":1,"linger-s":0.2,"memory-kb":1900,"run-mem-factor":4,"signal":"tokens"},
 "fleet-size":3,"over-share-worth":0.1,"policy-limits":{"max-retry-after-s":1,"retry-after":true},
 "rules":{"drain-grace-s":0.5,"fall-multiple":8,"start-capacity":0.3,"tip-after-s":2,"warm-within-s":5},
 "tick-s":0.002}`

// replacements are the JSON values that replace a setting. An empty string removes the setting.
var replacements = []string{
	"", "null", `"what"`, `""`, "true", "[]", "{}", "[null]",
	"0", "-1", "-0.0001", "1e-12", "1e7", "9e15", "1e300",
}

// Each value in the settings is removed, and replaced by values of other types and by zero, negative, tiny and huge
// numbers. Either Parse reports an error that names the setting, or the controller works and every request is answered
// in time.
func TestReplacedSettings(t *testing.T) {
	base := fastjson.MustParse(sampleSettings)
	if parsed, problems := Parse(base); len(problems) > 0 || len(simulate(parsed)) > 0 {
		t.Fatal(problems, simulate(parsed))
	}
	var workers sync.WaitGroup
	defer workers.Wait()
	slots := make(chan struct{}, runtime.NumCPU())
	for _, path := range allPaths(base, nil) {
		for _, replacement := range replacements {
			slots <- struct{}{}
			workers.Go(func() {
				defer func() { <-slots }()
				checkReplaced(t, path, replacement)
			})
		}
	}
}

// allPaths returns the paths of all values nested in v. Items of lists are identified by their indexes.
func allPaths(v *fastjson.Value, path []string) [][]string {
	var paths [][]string
	if len(path) > 0 {
		paths = append(paths, path)
	}
	childPath := func(name string) []string { return append(path[:len(path):len(path)], name) }
	if object, err := v.Object(); err == nil {
		object.Visit(func(name []byte, value *fastjson.Value) {
			paths = append(paths, allPaths(value, childPath(string(name)))...)
		})
	}
	for i, item := range v.GetArray() {
		paths = append(paths, allPaths(item, childPath(strconv.Itoa(i)))...)
	}
	return paths
}

// checkReplaced checks Parse and the controller with one value replaced. It may be called on any goroutine.
func checkReplaced(t *testing.T, path []string, replacement string) {
	t.Helper()
	description := strings.Join(path, ".") + " = " + replacement
	defer func() {
		if p := recover(); p != nil {
			t.Error(description, "panicked:", p)
		}
	}()
	parsed, problems := Parse(replaced(path, replacement))
	if len(problems) > 0 {
		if text := fmt.Sprint(problems[0]); !strings.Contains(text, path[0]) {
			t.Error(description, "is rejected with an error that does not name it:", text)
		}
		return
	}
	start := time.Now()
	if failures := simulate(parsed); len(failures) > 0 {
		t.Error(description+":", failures[0])
	}
	if elapsed := time.Since(start); elapsed > time.Minute {
		t.Error(description, "took", elapsed)
	}
}

// replaced returns the sample settings with the value at path replaced or removed.
func replaced(path []string, replacement string) *fastjson.Value {
	v := fastjson.MustParse(sampleSettings)
	parent, last := v.Get(path[:len(path)-1]...), path[len(path)-1]
	if replacement == "" {
		parent.Del(last)
	} else if i, err := strconv.Atoi(last); err == nil {
		parent.SetArrayItem(i, fastjson.MustParse(replacement))
	} else {
		parent.Set(last, fastjson.MustParse(replacement))
	}
	return v
}
