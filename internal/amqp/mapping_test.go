package amqp

import (
	"testing"
	"time"

	client "github.com/rabbitmq/amqp091-go"
)

// Any message can be read as a request, and a redelivery has the same id and digest.
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
		message := mapping.read("ops", incoming, noDefect, time.Unix(0, 0))
		reread := mapping.read("ops", incoming, noDefect, time.Unix(1, 0))
		if message.id == "" || len(message.request.ID) != 16 || message.id != reread.id ||
			message.content != reread.content || message.priorAttempts < 0 || message.request.Timeout < 0 {
			t.Fatalf("read as %+v, reread as %+v", message, reread)
		}
	})
}
