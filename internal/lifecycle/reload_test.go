package lifecycle

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"lanewheel/internal/fake"
)

const instanceConfig = `{"name":"n","listen":"l","runtime":"r","db":"d","roster":"o",` +
	`"limits":{"cores":1,"memory_mb":1,"sockets":64},` +
	`"settings":{"classes":[{"name":"view"}],"domain":{"cpus":1}}}`

// A file that is truncated after a complete line parses as one with fewer settings. Therefore a file that changes
// between two reads is rejected, as is a changed setting that takes effect only when the process starts.
func Example_partlyWritten() {
	dir := fake.Must(os.MkdirTemp("", "lifecycle"))
	defer func() { _ = os.RemoveAll(dir) }() // the system clears it in any case
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			panic(err)
		}
		return path
	}
	configPath := write("config.json", instanceConfig)
	const whole = "[role a]\ntypes = view\nmay = read\n[role b]\ntypes = view\nmay = read\n"
	operatorPath := write("op.ini", whole)
	operatorConfig := fake.Must(LoadOperatorConfig(operatorPath))
	reload := newReloader(Options{ConfigPath: configPath, OperatorPath: operatorPath}, operatorConfig)
	reload.waitBetweenReads = func() {}
	printResult := func(result reloadResult) {
		roles := len(result.operatorConfig.File.Callers.Roles)
		fmt.Println(roles, strings.ReplaceAll(fmt.Sprint(result.err), dir+"/", ""))
	}
	printResult(reload.read())
	write("op.ini", whole[:len(whole)/2])
	reload.waitBetweenReads = func() { write("op.ini", whole) }
	printResult(reload.read())
	reload.waitBetweenReads = func() {}
	write("op.ini", whole+"[log]\nformat = json\n")
	result := reload.read()
	fmt.Println(strings.ReplaceAll(fmt.Sprint(reload.apply(result)), dir+"/", ""))
	// Output:
	// 2 <nil>
	// 1 op.ini: this file or a file that it names is being written
	// op.ini: log.format: is "json", must remain "text" until the process is restarted
}
