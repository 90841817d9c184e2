package operator

import (
	"fmt"
	"strings"
	"time"

	client "github.com/rabbitmq/amqp091-go"

	"lanewheel/internal/amqp"
	"lanewheel/internal/intake"
	"lanewheel/internal/rights"
)

// AMQP is the front for messages on queues.
type AMQP struct {
	On          bool
	Told        amqp.Told
	Login       string // a file with user:password
	Authorities string // for amqps brokers; empty: the system's
	Certificate string // to log in with, empty for none
	Key         string
}

// Fixed is all that this front goes by from its start on, as text to compare.
func (a *AMQP) Fixed() string {
	t := a.Told
	t.TLS, t.Repeats, t.Login = nil, nil, ""
	return fmt.Sprintf("%v %+v %s %s %s %s", a.On, t, a.Login, a.Authorities, a.Certificate, a.Key)
}

func (r *reader) amqp() AMQP {
	a := AMQP{}
	s := r.section("amqp")
	a.On = s.given()
	t := &a.Told
	t.Brokers = s.list("brokers")
	if a.On && len(t.Brokers) == 0 {
		s.wrong("brokers", "", "wants addresses with commas between, as amqp://user@10.0.0.7:5672/, the preferred first")
	}
	for _, addr := range t.Brokers {
		if _, err := client.ParseURI(addr); err != nil {
			s.wrong("brokers", addr, "wants an address, as amqp://user@10.0.0.7:5672/")
		}
	}
	s.path("login", &a.Login)
	s.path("watch", &t.Watch)
	s.path("authorities", &a.Authorities)
	s.path("certificate", &a.Certificate)
	s.path("key", &a.Key)
	if (a.Certificate == "") != (a.Key == "") {
		s.wrong("certificate", a.Certificate, "wants both, certificate and key, or neither")
	}
	t.InHand = 200 // messages: some times the cores of a large runtime
	s.count("in-hand", &t.InHand, 1, 60_000)
	t.Share = 0.2
	s.number("retry-share", &t.Share, 0, 1)
	// A message that never becomes an op costs some 60 µs: a thirtieth of a core.
	t.Unstarted = 500
	s.count("unstarted-rate", &t.Unstarted, 10, 1_000_000)
	t.Remembered = 20_000 // some minutes of a busy queue
	s.count("remembered", &t.Remembered, 100, 10_000_000)
	t.RememberedIn = 10 * time.Minute
	s.span("remembered-for", &t.RememberedIn, time.Second, 30*24*time.Hour)
	t.Heartbeat = 5 * time.Second // a broker that is gone is noticed within three
	s.span("heartbeat", &t.Heartbeat, time.Second, 10*time.Minute)
	s.close()
	for _, s := range r.named("queue") {
		if !a.On {
			s.wrong("", "", "wants a section amqp, which names the brokers")
		}
		t.Queues = append(t.Queues, s.queue())
	}
	if a.On && len(t.Queues) == 0 {
		s.wrong("", "", "wants a section queue NAME")
	}
	return a
}

func (s *section) queue() amqp.Queue {
	q := amqp.Queue{Queue: intake.Queue{Name: intake.QueueName(s.title()), Weight: 1, Floor: 1, Most: 100},
		Told: intake.Told{Attempts: 5, Delay: time.Second, Answers: true}}
	s.number("weight", &q.Weight, 0.01, 1000)
	s.count("priority", &q.Priority, 0, 100)
	s.count("floor", &q.Floor, 0, 1000)
	s.count("most", &q.Most, 1, 60_000)
	identity := ""
	s.text("identity", &identity)
	if identity != "" && identity != "message" {
		if kind, rest, _ := strings.Cut(identity, ":"); rest == "" || kind != "token" && kind != "uri" && kind != "dns" && kind != "subject" {
			s.wrong("identity", identity, "wants message, or an identity as token:depot")
		}
		q.Identity = rights.Name(identity)
	}
	s.count("attempts", &q.Told.Attempts, 1, 1000)
	s.flag("retry-queue", &q.Told.Retry)
	s.span("retry-delay", &q.Told.Delay, 0, 24*time.Hour)
	s.text("dead-letters", &q.Dead)
	q.Told.Dead = q.Dead != ""
	m := &q.Mapping
	m.Wait, m.Longest, m.Rank0, m.KB0 = time.Minute, 2<<10, 0.5, 4
	s.span("wait", &m.Wait, 0, 24*time.Hour)
	s.count("longest", &m.Longest, 1, 2<<10) // the runtime's bound
	s.number("rank-default", &m.Rank0, 0, 0.999999)
	s.number("kb-default", &m.KB0, 0.001, 1999)
	for _, source := range []struct {
		name, usual string
		to          *amqp.Source
	}{{"type", "type", &m.Type}, {"tenant", "header:tenant", &m.Tenant}, {"subject", "header:subject", &m.Subject},
		{"rank", "header:rank", &m.Rank}, {"cost", "header:cost", &m.Cost}, {"kb", "header:kb", &m.KB}, {"token", "header:token", &m.Token}} {
		text := source.usual
		s.text(source.name, &text)
		read, err := amqp.ReadSource(text)
		if err != nil {
			s.wrong(source.name, text, "wants header:NAME, or a property")
		}
		*source.to = read
	}
	s.close()
	return q
}
