package main

import "strings"

// settingsText returns the settings of an instance as the platform states them. classes is the list of classes.
func settingsText(classes, tenants string, changes ...string) string {
	text := `{"classes":[` + classes + `],"clients":{"marks-retry":false},
"domain":{"below":"silent","clients-total":4,"cpus":2,"deep-checks":true,"fresh-s":0,"fresh-start":false,"halt":"drop",
"hangup-seen":true,"heard-for-s":1,"idle-s":30,"key-kb":1,"linger-s":0.2,"memory-kb":17274,
"meters":["cpu_busy","runnable","mem_used","sockets"],"passes-deadline":true,"readiness":false,"run-mem-factor":4,
"signal":"silent"},
"fleet-size":2,"over-share-worth":0.1,"policy-limits":{"max-retry-after-s":1,"retry-after":true},
"rules":{"drain-grace-s":2.5,"fall-multiple":8,"grace-to-answer-s":0.1,"start-capacity":0.29,"tip-after-s":2,
"warm-within-s":15},
"tenants":[` + tenants + `],"tick-s":0.002,"tier":0,"tiers":["nodes"],"workload":"server","worth-by":"work"}`
	return strings.NewReplacer(changes...).Replace(text)
}

// The classes and tenants of the sites, with the figures of their briefs.
const (
	rotaClasses = `{"name":"rota-view","credit":1,"promise-s":1.8,"give-up-s":4.6,"late-share":0,
"repeat":"idempotent"},
{"name":"shift-set","credit":1,"promise-s":1.8,"give-up-s":4.6,"late-share":0,
"repeat":"idempotent"},
{"name":"callout-set","credit":3,"promise-s":1.8,"give-up-s":4.6,"late-share":0,
"repeat":"idempotent"}`
	rotaTenants = `{"name":"water-div","portion":0.45,"quota-per-s":86},
{"name":"waste-div","portion":0.32,"quota-per-s":61},
{"name":"roads-div","portion":0.23,"quota-per-s":44}`

	bookClasses = `{"name":"calib-fetch","credit":1,"promise-s":3.8,"give-up-s":9.4,"late-share":0.1,
"repeat":"idempotent"},
{"name":"shift-lookup","credit":2,"promise-s":1.5,"give-up-s":5.7,"late-share":0.1,
"repeat":"idempotent"},
{"name":"runlog-entry","credit":3,"promise-s":2.3,"give-up-s":5.7,"late-share":0.1,
"repeat":"deduplicated",
"dedup-window-s":16.989}`
	bookTenants = `{"name":"nordlys","portion":0.4,"quota-per-s":40},{"name":"havgus","portion":0.36,"quota-per-s":36},
{"name":"stenvik","portion":0.24,"quota-per-s":24}`

	lightClasses = `{"name":"status-read","credit":1,"promise-s":2.8,"give-up-s":8.6,"late-share":0.1,
"repeat":"idempotent"},
{"name":"dim-set","credit":1,"promise-s":1,"give-up-s":3.4,"late-share":0.1,
"repeat":"idempotent"},
{"name":"fault-log","credit":3,"promise-s":1.7,"give-up-s":4.1,"late-share":0.1,
"repeat":"at_most_once"}`
	lightTenants = `{"name":"hinoura","portion":0.5,"quota-per-s":100},
{"name":"kasemachi","portion":0.5,"quota-per-s":100}`
)
