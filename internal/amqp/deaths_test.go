package amqp

import (
	"testing"
	"time"

	client "github.com/rabbitmq/amqp091-go"
)

// The x-death header, as RabbitMQ writes it, from versions that keep more than is documented, and malformed.
func TestReadDeaths(t *testing.T) {
	at := time.Unix(1_800_000_000, 0)
	rejected := client.Table{"queue": "ops", "reason": "rejected", "count": int64(2), "time": at,
		"exchange": "tenants", "routing-keys": []any{"water", "copy"}}
	expired := client.Table{"queue": "ops", "reason": "expired", "count": int64(1), "time": at.Add(-time.Second),
		"original-expiration": "1500"}
	expiredAfterReturn := client.Table{"queue": "ops", "reason": "expired", "count": int64(1), "time": at.Add(time.Second),
		"exchange": "", "routing-keys": []any{"ops"}}
	rejectedWithExpiration := client.Table{"queue": "ops", "reason": "rejected", "count": int64(1),
		"original-expiration": "2500"}
	for _, tc := range []struct {
		name    string
		headers client.Table
		want    deaths
	}{
		{"none", nil, deaths{}},
		{"rejected", client.Table{"x-death": []any{rejected}},
			deaths{occurred: true, rejections: 2, sentBefore: at, routingKey: "water"}},
		{"rejected and expired", client.Table{"x-death": []any{rejected, expired}},
			deaths{occurred: true, rejections: 2, sentBefore: at.Add(-2500 * time.Millisecond), routingKey: "water",
				expiration: "1500"}},
		{"expired after its return", client.Table{"x-death": []any{rejected, expiredAfterReturn}},
			deaths{occurred: true, rejections: 2, sentBefore: at, routingKey: "water"}},
		{"rejected, expiration kept", client.Table{"x-death": []any{rejectedWithExpiration}},
			deaths{occurred: true, rejections: 1, expiration: "2500"}},
		{"full", client.Table{"x-death": []any{client.Table{"queue": "ops", "reason": "maxlen", "count": int64(7)}}},
			deaths{occurred: true}},
		{"delayed in another queue", client.Table{"x-death": []any{client.Table{"queue": "later", "reason": "expired",
			"count": int64(1), "time": at, "original-expiration": "60000", "routing-keys": []any{"k"}}}}, deaths{}},
		{"32-bit count", client.Table{"x-death": []any{client.Table{"queue": "ops", "reason": "rejected",
			"count": int32(4)}}}, deaths{occurred: true, rejections: 4}},
		{"negative count", client.Table{"x-death": []any{client.Table{"queue": "ops", "reason": "rejected",
			"count": int64(-4)}}}, deaths{occurred: true}},
		{"huge count", client.Table{"x-death": []any{client.Table{"queue": "ops", "reason": "rejected",
			"count": int64(1 << 62)}}}, deaths{occurred: true, rejections: maxAttemptCount}},
		{"no list", client.Table{"x-death": "ops"}, deaths{}},
		{"no tables", client.Table{"x-death": []any{"ops", int64(1), nil}}, deaths{}},
		{"other types", client.Table{"x-death": []any{client.Table{"queue": "ops", "reason": int64(1), "count": "2",
			"time": int64(3), "original-expiration": int64(4), "routing-keys": []any{int64(5)}}}}, deaths{occurred: true}},
	} {
		tc.want.queue = "ops"
		if got := readDeaths("ops", tc.headers); got != tc.want {
			t.Errorf("%s: got %+v, want %+v", tc.name, got, tc.want)
		}
	}
}
