package amqp

import (
	"testing"
	"time"

	client "github.com/rabbitmq/amqp091-go"
)

func FuzzMapping(f *testing.F) {
	f.Add("id", "view", "1000", "water", "0.5", int64(3), []byte("body"))
	f.Add("", "", "x", "", "NaN", int64(-1), []byte(nil))
	m := defaultQueue.Mapping
	m.Tenant, m.Rank = Source{Header: true, Name: "tenant"}, Source{Header: true, Name: "rank"}
	f.Fuzz(func(t *testing.T, id, kind, expiration, tenant, rank string, count int64, body []byte) {
		d := &client.Delivery{MessageId: id, Type: kind, Expiration: expiration, Body: body, Headers: client.Table{"tenant": tenant, "rank": rank,
			"x-death": []any{client.Table{"queue": "ops", "reason": "rejected", "count": count}}}}
		r := m.read("ops", d, "", time.Unix(0, 0))
		again := m.read("ops", d, "", time.Unix(1, 0))
		if r.id == "" || len(r.request.ID) != 16 || r.id != again.id || r.digest != again.digest || r.attempt < 0 || r.request.Timeout < 0 {
			t.Fatalf("%+v", r)
		}
	})
}
