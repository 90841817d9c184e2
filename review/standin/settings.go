package standin

import "strings"

// The effects of a class, as they are named in the settings.
const (
	Idempotent   = "idempotent"
	Deduplicated = "deduplicated"
	AtMostOnce   = "at_most_once"
)

// Class is a class of requests in the settings.
type Class struct {
	Name, Effect string
	Calls        bool // whether its runs make calls
}

const classTemplate = `{"name":"NAME","credit":1,"promise-s":2,"give-up-s":4,"late-share":0.2,"repeat":"EFFECT",` +
	`"dedup-window-s":16.989}`

const settingsTemplate = `{"classes":[CLASSES],"clients":{"marks-retry":false},"tenants":[],"tick-s":0.002,
 "domain":{"below":"common","calls-over-s":5,"class-calls":[CALLS],"class-skip-worth":[SKIP],"dep-share":60,
 "clients-total":3,"cpus":6,"deep-checks":true,"halt":"silent","hangup-seen":true,"idle-s":30,"fresh-s":0,
 "heard-for-s":1,"key-kb":1,"linger-s":0.2,"memory-kb":20000,"meters":["cpu_busy","runnable","mem_used","sockets"],
 "passes-deadline":true,"readiness":false,"fresh-start":false,"run-mem-factor":4,"signal":"silent"},"fleet-size":1,
 "rules":{"drain-grace-s":2.5,"fall-multiple":8,"grace-to-answer-s":0.1,"start-capacity":0.3,"tip-after-s":2,
 "warm-within-s":15},"policy-limits":{"retry-after":true,"max-retry-after-s":1}}`

// Settings returns settings of a small deployment with these classes.
func Settings(classes ...Class) string {
	var list, calls, skip []string
	for _, class := range classes {
		list = append(list, strings.NewReplacer("NAME", class.Name, "EFFECT", class.Effect).Replace(classTemplate))
		call := "false"
		if class.Calls {
			call = "true"
		}
		calls = append(calls, call)
		skip = append(skip, "0")
	}
	return strings.NewReplacer(
		"CLASSES", strings.Join(list, ","),
		"CALLS", strings.Join(calls, ","),
		"SKIP", strings.Join(skip, ","),
	).Replace(settingsTemplate)
}
