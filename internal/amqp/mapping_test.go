package amqp

import (
	"testing"
	"time"

	client "github.com/rabbitmq/amqp091-go"
)

// Whatever a message says, it reads as a request, and a redelivery reads the same.
func FuzzMapping(f *testing.F) {
	f.Add("id", "view", "1000", "water", "0.5", int64(3), []byte("body"))
	f.Add("", "", "x", "", "NaN", int64(-1), []byte(nil))
	mapping := defaultQueue().Mapping
	mapping.Tenant = Source{Header: true, Name: "tenant"}
	mapping.Rank = Source{Header: true, Name: "rank"}
	f.Fuzz(func(t *testing.T, id, class, expiration, tenant, rank string, count int64, body []byte) {
		incoming := &client.Delivery{
			MessageId:  id,
			Type:       class,
			Expiration: expiration,
			Body:       body,
			Headers: client.Table{
				"tenant":  tenant,
				"rank":    rank,
				"x-death": []any{client.Table{"queue": "ops", "reason": "rejected", "count": count}},
			},
		}
		m := mapping.read("ops", incoming, noDefect, time.Unix(0, 0))
		reread := mapping.read("ops", incoming, noDefect, time.Unix(1, 0))
		if m.id == "" || len(m.request.ID) != 16 || m.id != reread.id || m.digest != reread.digest ||
			m.priorAttempts < 0 || m.request.Timeout < 0 {
			t.Fatalf("%+v", m)
		}
	})
}
