package config

import (
	"fmt"
	"strings"
	"time"

	client "github.com/rabbitmq/amqp091-go"

	"lanewheel/internal/amqp"
	"lanewheel/internal/amqp/delivery"
	"lanewheel/internal/authz"
)

// AMQP is the front for messages on queues.
type AMQP struct {
	Enabled         bool
	Config          amqp.Config
	LoginFile       string // a file with user:password
	AuthoritiesFile string // for amqps brokers; empty: the system's
	CertificateFile string // to log in with, empty for none
	KeyFile         string
}

// StartupFingerprint is all that this front goes by from its start on, as text to compare.
func (a *AMQP) StartupFingerprint() string {
	config := a.Config
	config.TLS, config.IdempotentClasses, config.Login = nil, nil, ""
	return fmt.Sprintf("%v %+v %s %s %s %s", a.Enabled, config, a.LoginFile, a.AuthoritiesFile, a.CertificateFile, a.KeyFile)
}

func (r *reader) readAMQP() AMQP {
	a := AMQP{}
	s := r.section("amqp")
	a.Enabled = s.exists()
	config := &a.Config
	config.BrokerURLs = s.listValue("brokers")
	if a.Enabled && len(config.BrokerURLs) == 0 {
		s.report("brokers", "", "wants addresses with commas between, as amqp://user@10.0.0.7:5672/, the preferred first")
	}
	for _, address := range config.BrokerURLs {
		if _, err := client.ParseURI(address); err != nil {
			s.report("brokers", address, "wants an address, as amqp://user@10.0.0.7:5672/")
		}
	}
	s.pathValue("login", &a.LoginFile)
	s.pathValue("watch", &config.StatusSocket)
	s.pathValue("authorities", &a.AuthoritiesFile)
	s.pathValue("certificate", &a.CertificateFile)
	s.pathValue("key", &a.KeyFile)
	if (a.CertificateFile == "") != (a.KeyFile == "") {
		s.report("certificate", a.CertificateFile, "wants both, certificate and key, or neither")
	}
	config.MaxInFlight = 200 // messages: some times the cores of a large runtime
	s.intValue("in-hand", &config.MaxInFlight, 1, 60_000)
	config.RetryFraction = 0.2
	s.floatValue("retry-share", &config.RetryFraction, 0, 1)
	// A message that never becomes an op costs some 60 µs: a thirtieth of a core.
	config.UnstartedRate = 500
	s.intValue("unstarted-rate", &config.UnstartedRate, 10, 1_000_000)
	config.MaxRemembered = 20_000 // some minutes of a busy queue
	s.intValue("remembered", &config.MaxRemembered, 100, 10_000_000)
	config.RememberedFor = 10 * time.Minute
	s.durationValue("remembered-for", &config.RememberedFor, time.Second, 30*24*time.Hour)
	config.HeartbeatInterval = 5 * time.Second // a broker that is gone is noticed within three
	s.durationValue("heartbeat", &config.HeartbeatInterval, time.Second, 10*time.Minute)
	s.reportUnknownNames()
	for _, s := range r.sectionsOfKind("queue") {
		if !a.Enabled {
			s.report("", "", "wants a section amqp, which names the brokers")
		}
		config.Queues = append(config.Queues, s.readQueue())
	}
	if a.Enabled && len(config.Queues) == 0 {
		s.report("", "", "wants a section queue NAME")
	}
	return a
}

func (s *section) readQueue() amqp.Queue {
	queue := amqp.Queue{Queue: delivery.Queue{Name: delivery.QueueName(s.label()), Weight: 1, MinInFlight: 1, MaxInFlight: 100},
		Settlement: delivery.SettlementConfig{MaxAttempts: 5, RetryQueueDelay: time.Second, Reply: true}}
	s.floatValue("weight", &queue.Weight, 0.01, 1000)
	s.intValue("priority", &queue.Priority, 0, 100)
	s.intValue("floor", &queue.MinInFlight, 0, 1000)
	s.intValue("most", &queue.MaxInFlight, 1, 60_000)
	identity := ""
	s.stringValue("identity", &identity)
	if identity != "" && identity != "message" {
		if kind, rest, _ := strings.Cut(identity, ":"); rest == "" || kind != "token" && kind != "uri" && kind != "dns" && kind != "subject" {
			s.report("identity", identity, "wants message, or an identity as token:depot")
		}
		queue.Identity = authz.Identity(identity)
	}
	s.intValue("attempts", &queue.Settlement.MaxAttempts, 1, 1000)
	s.boolValue("retry-queue", &queue.Settlement.UseRetryQueue)
	s.durationValue("retry-delay", &queue.Settlement.RetryQueueDelay, 0, 24*time.Hour)
	s.stringValue("dead-letters", &queue.DeadLetterQueue)
	queue.Settlement.DeadLetter = queue.DeadLetterQueue != ""
	mapping := &queue.Mapping
	mapping.DefaultWait, mapping.MaxBodyBytes, mapping.DefaultRank, mapping.DefaultKB = time.Minute, 2<<10, 0.5, 4
	s.durationValue("wait", &mapping.DefaultWait, 0, 24*time.Hour)
	s.intValue("longest", &mapping.MaxBodyBytes, 1, 2<<10) // the runtime's bound
	s.floatValue("rank-default", &mapping.DefaultRank, 0, 0.999999)
	s.floatValue("kb-default", &mapping.DefaultKB, 0.001, 1999)
	for _, source := range []struct {
		name, usual string
		to          *amqp.Source
	}{{"type", "type", &mapping.Class}, {"tenant", "header:tenant", &mapping.Tenant}, {"subject", "header:subject", &mapping.Subject},
		{"rank", "header:rank", &mapping.Rank}, {"cost", "header:cost", &mapping.Cost}, {"kb", "header:kb", &mapping.KB}, {"token", "header:token", &mapping.Token}} {
		text := source.usual
		s.stringValue(source.name, &text)
		parsed, err := amqp.ParseSource(text)
		if err != nil {
			s.report(source.name, text, "wants header:NAME, or a property")
		}
		*source.to = parsed
	}
	s.reportUnknownNames()
	return queue
}
