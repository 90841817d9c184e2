package drill

import "time"

// interval is a span of time. The field to is zero until the interval has ended.
type interval struct{ from, to time.Time }

// overlaps reports whether the interval overlaps the span between from and to.
func (i interval) overlaps(from, to time.Time) bool {
	return i.from.Before(to) && (i.to.IsZero() || i.to.After(from))
}
