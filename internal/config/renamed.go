package config

import (
	"log/slog"
	"strings"
	"sync"
)

// renames maps the earlier terms that a kind of file may still use to the current ones. Earlier terms are accepted, but
// diagnostics never suggest them.
type renames struct {
	sections map[string]string            // whole names of sections
	names    map[string]map[string]string // names of settings, by the first word of the section's current name
	values   map[string]map[string]string // words in values, by the key in names, a dot and the setting's current name
}

// section returns the current name of a section.
func (t *renames) section(written string) string {
	if current, renamed := t.sections[written]; renamed {
		return current
	}
	return written
}

// name returns the current name of a setting in the section with the given current name.
func (t *renames) name(section, written string) string {
	kind, _, _ := strings.Cut(section, " ")
	if current, renamed := t.names[kind][written]; renamed {
		return current
	}
	return written
}

// value returns the value of a setting, in which it replaces each earlier word by the current one. Words are separated
// by commas. section and name are current names.
func (t *renames) value(section, name, written string) string {
	kind, _, _ := strings.Cut(section, " ")
	words := t.values[kind+"."+name]
	if words == nil {
		return written
	}
	items := strings.Split(written, ",")
	renamed := false
	for i, item := range items {
		if current, found := words[strings.TrimSpace(item)]; found {
			items[i], renamed = strings.Replace(item, strings.TrimSpace(item), current, 1), true
		}
	}
	if !renamed {
		return written
	}
	return strings.Join(items, ",")
}

// RenamedSettings lists the earlier terms that a file uses, each with the current one, as "EARLIER is now CURRENT".
type RenamedSettings []string

// warnedRenames contains the uses of earlier terms about which this process has warned. Its mutex guards it.
var warnedRenames = struct {
	sync.Mutex
	uses map[string]bool
}{uses: map[string]bool{}}

// Warn logs one warning that lists the uses of earlier terms about which this process has not warned yet. Any goroutine
// may call it.
//
// Parse does not call Warn, because the warning would then be logged twice when a program replaces itself with another
// program: both read the file, and only the other program is to warn.
func (s RenamedSettings) Warn() {
	warnedRenames.Lock()
	defer warnedRenames.Unlock()
	var unwarned []string
	for _, use := range s {
		if !warnedRenames.uses[use] {
			warnedRenames.uses[use] = true
			unwarned = append(unwarned, use)
		}
	}
	if len(unwarned) > 0 {
		slog.Warn("renamed settings", "use", strings.Join(unwarned, "; "))
	}
}

// operatorRenames contains the earlier terms of an operator's file.
var operatorRenames = renames{
	sections: map[string]string{
		"relay":    "proxy",
		"below":    "upstream",
		"grants":   "allocator",
		"handover": "spillover",
		"steward":  "coordinator",
	},
	names: map[string]map[string]string{
		"callers":     callersRenames,
		"role":        roleRenames,
		"tokens":      tokensRenames,
		"tls":         tlsRenames,
		"amqp":        amqpRenames,
		"queue":       queueRenames,
		"fleet":       fleetRenames,
		"proxy":       proxyRenames,
		"upstream":    upstreamRenames,
		"allocator":   allocatorRenames,
		"spillover":   spilloverRenames,
		"coordinator": coordinatorRenames,
	},
	values: map[string]map[string]string{
		"tls.client-certificates": {"asked": "optional"},
		"fleet.when-fenced":       {"leave": "drain"},
		"fleet.roles":             earlierRoles,
	},
}

// planRenames contains the earlier terms of the files that operators send to the coordinators.
var planRenames = renames{
	names: map[string]map[string]string{
		"budget": {
			"most":           "max-unavailable",
			"share":          "max-unavailable-fraction",
			"least-capacity": "min-capacity",
			"below":          "upstream",
		},
		"release": {
			"to":          "target-release",
			"judged":      "analyzed",
			"back-faster": "rollback-speedup",
			"tries":       "max-tries",
		},
	},
	values: map[string]map[string]string{
		"budget.role":     earlierRoles,
		"release.of-role": earlierRoles,
	},
}

// earlierRoles maps the earlier words for roles to the current ones. Gossip, status sockets and the coordinators' log
// still use the earlier words; storedRoles is the inverse mapping.
var earlierRoles = map[string]string{"relay": "proxy", "steward": "coordinator", "below": "upstream"}

// storedRoles maps the current words for roles to those in gossip, status sockets and the coordinators' log, where they
// differ.
var storedRoles = invert(earlierRoles)

// storedRole returns the word that gossip, status sockets and the coordinators' log use for a role in a file.
func storedRole(role string) string {
	if stored, differs := storedRoles[role]; differs {
		return stored
	}
	return role
}

func invert(table map[string]string) map[string]string {
	result := make(map[string]string, len(table))
	for key, value := range table {
		result[value] = key
	}
	return result
}

var callersRenames = map[string]string{
	"anonymous": "anonymous-roles",
	"writes":    "write-classes",
	"entries":   "max-rate-entries",
}

var roleRenames = map[string]string{
	"types": "classes",
	"may":   "permissions",
	"open":  "max-in-flight",
}

var tokensRenames = map[string]string{
	"keys":                  "key-dir",
	"longest":               "max-bytes",
	"revoked":               "revocation-file",
	"single-use-remembered": "max-single-use-ids",
	"remembered":            "cache-size",
	"waiting":               "max-waiting",
	"share":                 "cpu-fraction",
	"look-every":            "key-reload-interval",
}

var tlsRenames = map[string]string{
	"revoked":       "revocation-lists",
	"revoked-grace": "revocation-grace",
	"stale-list":    "stale-revocation-list",
	"clients":       "client-certificates",
	"oldest":        "min-version",
	"handshakes":    "max-handshakes",
}

var amqpRenames = map[string]string{
	"login":          "login-file",
	"in-hand":        "max-in-flight",
	"retry-share":    "retry-budget",
	"unstarted-rate": "rejected-rate",
	"remembered":     "dedup-entries",
	"remembered-for": "dedup-ttl",
	"watch":          "status-socket",
}

var queueRenames = map[string]string{
	"floor":        "min-in-flight",
	"most":         "max-in-flight",
	"attempts":     "max-attempts",
	"dead-letters": "dead-letter-queue",
	"wait":         "default-timeout",
	"longest":      "max-body-bytes",
	"type":         "class",
	"rank-default": "default-rank",
	"kb-default":   "default-kb",
}

var fleetRenames = map[string]string{
	"serves":      "service-address",
	"keys":        "key-file",
	"watch":       "status-socket",
	"fenced":      "when-fenced",
	"permits":     "require-permit",
	"call-every":  "probe-interval",
	"messages":    "max-message-rate",
	"members":     "max-members",
	"gone-kept":   "dead-retention",
	"doubt":       "suspicion-delay",
	"gone-after":  "dead-after",
	"mute-after":  "silent-after",
	"stall":       "stall-threshold",
	"settle":      "settle-time",
	"facts-every": "publish-interval",
	"facts-rate":  "max-publish-rate",
	"facts":       "facts-per-message",
	"flaps":       "flap-suppress",
	"flaps-over":  "flap-reuse",
	"flaps-half":  "flap-half-life",
	"hearing":     "contact-window",
	"thin-at":     "degraded-threshold",
	"cut-off-at":  "isolated-threshold",
	"adapt":       "baseline-adapt-time",
	"unanswered":  "probe-timeout",
}

var proxyRenames = map[string]string{
	"way":         "policy",
	"choices":     "choice-count",
	"fades":       "load-half-life",
	"believed":    "load-max-age",
	"near":        "zone-affinity",
	"trickle":     "ejected-fraction",
	"bad-share":   "max-ejected-fraction",
	"memory":      "outcome-half-life",
	"retry-share": "retry-budget",
	"retry-saved": "retry-burst",
	"asks":        "probes-per-request",
	"in-hand":     "max-in-flight",
	"connections": "connections-per-member",
	"subset":      "subset-size",
	"unused":      "idle-timeout",
	"grace":       "drain-grace",
	"come-back":   "retry-after",
}

var upstreamRenames = map[string]string{
	"services":  "addresses",
	"calls":     "max-concurrency",
	"longest":   "call-timeout",
	"near":      "zone-affinity",
	"trickle":   "ejected-fraction",
	"bad-share": "max-ejected-fraction",
	"memory":    "outcome-half-life",
}

var allocatorRenames = map[string]string{
	"lock":      "lock-file",
	"cap":       "max-concurrency",
	"alone":     "unleased-per-process",
	"processes": "max-processes",
	"holds":     "lease-duration",
	"longest":   "call-timeout",
	"drift":     "max-clock-drift",
	"holders":   "max-holders",
}

var spilloverRenames = map[string]string{
	"share":       "budget",
	"saved":       "burst",
	"full":        "saturated-load",
	"most-full":   "max-saturated-fraction",
	"fresh":       "load-max-age",
	"connections": "connections-per-member",
	"unused":      "idle-timeout",
}

var coordinatorRenames = map[string]string{
	"at":             "advertise",
	"stewards":       "coordinators",
	"folder":         "data-dir",
	"beat":           "leader-timeout",
	"restart":        "restart-command",
	"restart-within": "restart-timeout",
	"restart-output": "restart-output-bytes",
	"snapshot-every": "snapshot-entries",
	"history":        "history-entries",
	"waiting":        "max-waiting-permits",
	"passed-over":    "max-passed-over",
	"wrong":          "error-probability",
	"late":           "late-regression",
	"slow":           "latency-regression",
	"windows":        "min-windows",
	"window-ops":     "min-window-requests",
	"crashes":        "max-crashes",
	"asked":          "sampled-members",
}

// drillRenames contains the earlier terms of a script for a drill. The sections that are copied into the files of
// processes have the same earlier terms as in an operator's file.
var drillRenames = renames{
	sections: map[string]string{
		"members":    "fleet",
		"relaying":   "proxy",
		"calling":    "upstream",
		"granting":   "allocator",
		"stewarding": "coordinator",
		"handing":    "spillover",
		"agreed":     "rollout",
		"even":       "balance",
	},
	names: map[string]map[string]string{
		"fleet":       fleetRenames,
		"proxy":       proxyRenames,
		"upstream":    upstreamRenames,
		"allocator":   allocatorRenames,
		"coordinator": coordinatorRenames,
		"spillover":   spilloverRenames,
		"drill":       scriptRenames,
		"bad-release": {
			"slow":          "run-time-factor",
			"fails":         "fail-runs",
			"crashes-after": "crash-after",
			"never-up":      "never-ready",
		},
		"rollout": {
			"ends-on":      "final-release",
			"ever-on":      "limited-release",
			"ever-on-most": "max-limited-fraction",
		},
		"balance": {
			"most": "max-imbalance",
			"idle": "max-idle-gaps",
			"back": "recovery-time",
		},
		"fault": faultRenames,
	},
	values: map[string]map[string]string{
		"fleet.when-fenced": {"leave": "drain"},
		"fleet.roles":       earlierRoles,
		"fault.action":      earlierActions,
		"fault.targets":     earlierSelectors,
		"fault.from":        earlierSelectors,
		"fault.to":          earlierSelectors,
	},
}

var scriptRenames = map[string]string{
	"relays":         "proxies",
	"desks":          "allocators",
	"stewards":       "coordinators",
	"stubs":          "clients",
	"seed-processes": "seed-members",
	"for":            "duration",
	"start":          "startup",
	"mean":           "mean-run-time",
	"calls-take":     "upstream-call-duration",
	"memory-mb":      "max-memory-mb",
}

var faultRenames = map[string]string{
	"do":        "action",
	"for":       "duration",
	"on":        "targets",
	"both":      "bidirectional",
	"share":     "fraction",
	"seeds":     "seed-members",
	"none-gone": "forbid-eviction",
	"refuses":   "allow-unanswered",
}

// earlierActions and earlierSelectors map the earlier words for the actions of a drill and for the kinds of selectors
// to the current ones. The records of drills still use the earlier words: they are the values of DrillAction and
// SelectorKind. storedSelectors is the inverse of earlierSelectors.
var (
	earlierActions   = map[string]string{"swallow": "blackhole", "narrow": "throttle", "agree": "coordinator-command"}
	earlierSelectors = map[string]string{
		"relays":   "proxies",
		"desks":    "allocators",
		"stewards": "coordinators",
		"rest":     "others",
	}
	storedSelectors = invert(earlierSelectors)
)
