package settings

import (
	"time"

	"github.com/valyala/fastjson"

	"lanewheel/admission"
)

// field describes one setting of an object that is read into a T.
type field[T any] struct {
	path []string // names on the wire, from the root of the object
	read func(*T, *fastjson.Value) []FieldError
}

// valueReader reads one value. ok reports whether the value has the right type.
type valueReader[V any] func(*fastjson.Value) (value V, ok bool)

// newField returns a field that reads its value with the given reader and stores it in the variable whose address
// target returns.
func newField[T, V any](read valueReader[V], target func(*T) *V, path ...string) field[T] {
	return field[T]{path, func(dst *T, v *fastjson.Value) []FieldError {
		value, ok := read(v)
		if !ok {
			return []FieldError{wrongType(v)}
		}
		*target(dst) = value
		return nil
	}}
}

// newListField returns a field that is a list of objects with the given fields.
func newListField[T, Item any](fields []field[Item], target func(*T) *[]Item, path ...string) field[T] {
	return field[T]{path, func(dst *T, v *fastjson.Value) []FieldError {
		items, problems := readObjects(v, fields)
		if len(problems) == 0 {
			*target(dst) = items
		}
		return problems
	}}
}

// newClassListField returns a field that is a list with one value per class, in the order of the classes.
func newClassListField[V any](read valueReader[V], target func(*admission.ClassSettings) *V,
	path ...string) field[admission.Settings] {
	return field[admission.Settings]{path, func(dst *admission.Settings, v *fastjson.Value) []FieldError {
		values, ok := readList(v, read)
		if !ok {
			return []FieldError{wrongType(v)}
		}
		for i := range min(len(values), len(dst.Classes)) {
			*target(&dst.Classes[i]) = values[i]
		}
		return nil
	}}
}

type (
	instance = admission.Settings
	class    = admission.ClassSettings
	tenant   = admission.TenantSettings
)

var (
	classesPath = []string{"classes"}
	coresPath   = []string{"domain", "cpus"}
)

// instanceFields are the settings of an instance, read in this order. Lists with one value per class must come
// after the list of classes, because their values are stored in its items.
var instanceFields = []field[instance]{
	newListField(classFields, func(s *instance) *[]class { return &s.Classes }, classesPath...),
	newListField(tenantFields, func(s *instance) *[]tenant { return &s.Tenants }, "tenants"),
	newField(boolean, func(s *instance) *bool { return &s.RetriesMarked }, "clients", "marks-retry"),
	newField(upstreamKinds.read, func(s *instance) *admission.UpstreamKind { return &s.Upstream }, "domain", "below"),
	newField(duration, func(s *instance) *time.Duration { return &s.UpstreamWindow }, "domain", "calls-over-s"),
	newField(number, func(s *instance) *float64 { return &s.UpstreamShare }, "domain", "dep-share"),
	newClassListField(boolean, func(c *class) *bool { return &c.CallsUpstream }, "domain", "class-calls"),
	newClassListField(number, func(c *class) *float64 { return &c.SkippedCallValue }, "domain", "class-skip-worth"),
	newField(number, func(s *instance) *float64 { return &s.Callers }, "domain", "clients-total"),
	newField(number, func(s *instance) *float64 { return &s.Cores }, coresPath...),
	newField(boolean, func(s *instance) *bool { return &s.JustStarted }, "domain", "fresh-start"),
	newField(duration, func(s *instance) *time.Duration { return &s.CoalescedReadWindow }, "domain", "fresh-s"),
	newField(haltModes.read, func(s *instance) *admission.HaltMode { return &s.Halt }, "domain", "halt"),
	newField(boolean, func(s *instance) *bool { return &s.CancellationsSeen }, "domain", "hangup-seen"),
	newField(duration, func(s *instance) *time.Duration { return &s.LoadSignalLifetime }, "domain", "heard-for-s"),
	newField(duration, func(s *instance) *time.Duration { return &s.MaxIdleTimeout }, "domain", "idle-s"),
	newField(number, func(s *instance) *float64 { return &s.RecordKB }, "domain", "key-kb"),
	newField(duration, func(s *instance) *time.Duration { return &s.TimedOutCallLinger }, "domain", "linger-s"),
	newField(number, func(s *instance) *float64 { return &s.MemoryKB }, "domain", "memory-kb"),
	newField(number, func(s *instance) *float64 { return &s.RunMemoryFactor }, "domain", "run-mem-factor"),
	newField(loadSignals.read, func(s *instance) *admission.LoadSignal { return &s.LoadSignal }, "domain", "signal"),
	newField(number, func(s *instance) *float64 { return &s.FleetSize }, "fleet-size"),
	newField(number, func(s *instance) *float64 { return &s.OverQuotaWeight }, "over-share-worth"),
	newField(duration, func(s *instance) *time.Duration { return &s.MaxRetryAfter }, "policy-limits", "max-retry-after-s"),
	newField(boolean, func(s *instance) *bool { return &s.RetryAfterAllowed }, "policy-limits", "retry-after"),
	newField(duration, func(s *instance) *time.Duration { return &s.DrainGrace }, "rules", "drain-grace-s"),
	newField(number, func(s *instance) *float64 { return &s.SurvivableRunsPerCore }, "rules", "fall-multiple"),
	newField(duration, func(s *instance) *time.Duration { return &s.OverloadTolerance }, "rules", "tip-after-s"),
	newField(number, func(s *instance) *float64 { return &s.WarmUpSpeedShare }, "rules", "start-capacity"),
	newField(duration, func(s *instance) *time.Duration { return &s.WarmUp }, "rules", "warm-within-s"),
	newField(duration, func(s *instance) *time.Duration { return &s.Tick }, "tick-s"),
	newField(number, func(s *instance) *float64 { return &s.Tier }, "tier"),
}

// classFields are the settings of a request class.
var classFields = []field[class]{
	newField(text[admission.Class], func(c *class) *admission.Class { return &c.Name }, "name"),
	newField(number, func(c *class) *float64 { return &c.Weight }, "credit"),
	newField(duration, func(c *class) *time.Duration { return &c.LatencyObjective }, "promise-s"),
	newField(number, func(c *class) *float64 { return &c.ObjectivePerWork }, "aim-stretch"),
	newField(duration, func(c *class) *time.Duration { return &c.Timeout }, "give-up-s"),
	newField(number, func(c *class) *float64 { return &c.LateValue }, "late-share"),
	newField(duration, func(c *class) *time.Duration { return &c.IdempotencyWindow }, "dedup-window-s"),
	newField(idempotencies.read, func(c *class) *admission.Idempotency { return &c.Idempotency }, "repeat"),
}

// tenantFields are the settings of a tenant.
var tenantFields = []field[tenant]{
	newField(text[admission.TenantID], func(t *tenant) *admission.TenantID { return &t.Name }, "name"),
	newField(number, func(t *tenant) *float64 { return &t.QuotaPerSecond }, "quota-per-s"),
	newField(number, func(t *tenant) *float64 { return &t.Share }, "portion"),
}

// The enumerations, by the names of their values on the wire. They include the names that the platform uses today and
// older names, which are still accepted.
var (
	upstreamKinds = enumeration[admission.UpstreamKind]{
		values: map[string]admission.UpstreamKind{
			"":          admission.UpstreamUnspecified,
			"common":    admission.UpstreamShared,
			"shared":    admission.UpstreamShared,
			"next_hop":  admission.UpstreamNextTier,
			"next tier": admission.UpstreamNextTier,
			"silent":    admission.UpstreamNone,
			"none":      admission.UpstreamNone,
		},
		fallback: admission.UpstreamUnknown,
	}
	haltModes = enumeration[admission.HaltMode]{
		values: map[string]admission.HaltMode{
			"drop":   admission.HaltDrop,
			"pause":  admission.HaltPause,
			"silent": admission.HaltNone,
		},
		fallback: admission.HaltNone,
	}
	loadSignals = enumeration[admission.LoadSignal]{
		values: map[string]admission.LoadSignal{
			"min_rank":   admission.LoadSignalLeastRank,
			"least rank": admission.LoadSignalLeastRank,
			"bias":       admission.LoadSignalChance,
			"chance":     admission.LoadSignalChance,
			"tokens":     admission.LoadSignalTokens,
			"silent":     admission.LoadSignalNone,
		},
		fallback: admission.LoadSignalNone,
	}
	idempotencies = enumeration[admission.Idempotency]{
		values: map[string]admission.Idempotency{
			"idempotent":   admission.Idempotent,
			"retryable":    admission.Idempotent,
			"deduplicated": admission.IdempotentByKey,
			"keyed":        admission.IdempotentByKey,
			"at_most_once": admission.NotIdempotent,
		},
		fallback: admission.NotIdempotent,
	}
)
