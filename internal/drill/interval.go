package drill

import "time"

// interval is a span of time; to is zero while it has not ended.
type interval struct{ from, to time.Time }

// overlaps reports whether some of the interval lies between two times.
func (i interval) overlaps(from, to time.Time) bool {
	return i.from.Before(to) && (i.to.IsZero() || i.to.After(from))
}
