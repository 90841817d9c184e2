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

// AMQP is the front end for messages on queues.
type AMQP struct {
	Enabled         bool
	Config          amqp.Config
	LoginFile       string // with user:password
	AuthoritiesFile string // for amqps brokers; empty: the system's
	CertificateFile string // to log in with, empty for none
	KeyFile         string
	effective       []string
}

// StartupFingerprint is all that this front end goes by from its start on, as text to compare and to show: the names
// and values that a file would have.
func (a *AMQP) StartupFingerprint() string {
	if !a.Enabled {
		return "off"
	}
	return strings.Join(a.effective, ", ")
}

func (r *reader) readAMQP() AMQP {
	parsed := AMQP{Config: amqp.Config{
		MaxInFlight:       200, // some times the cores of a large runtime
		RetryFraction:     0.2,
		UnstartedRate:     500,    // a second
		MaxRemembered:     20_000, // some minutes of a busy queue
		RememberedFor:     10 * time.Minute,
		HeartbeatInterval: 5 * time.Second,
	}}
	s := r.section("amqp")
	parsed.Enabled = s.exists()
	config := &parsed.Config
	config.BrokerURLs = s.listValue("brokers")
	if parsed.Enabled && len(config.BrokerURLs) == 0 {
		s.report("brokers", "", "wants addresses with commas between, as amqp://user@10.0.0.7:5672/, the preferred first")
	}
	for _, address := range config.BrokerURLs {
		if _, err := client.ParseURI(address); err != nil {
			s.report("brokers", address, "wants an address, as amqp://user@10.0.0.7:5672/")
		}
	}
	s.pathValue("login-file", &parsed.LoginFile)
	s.pathValue("status-socket", &config.StatusSocket)
	s.pathValue("authorities", &parsed.AuthoritiesFile)
	s.pathValue("certificate", &parsed.CertificateFile)
	s.pathValue("key", &parsed.KeyFile)
	if (parsed.CertificateFile == "") != (parsed.KeyFile == "") {
		s.report("certificate", parsed.CertificateFile, "wants both, certificate and key, or neither")
	}
	s.intValue("max-in-flight", &config.MaxInFlight, 1, 60_000)
	s.floatValue("retry-budget", &config.RetryFraction, 0, 1)
	s.intValue("rejected-rate", &config.UnstartedRate, 10, 1_000_000)
	s.intValue("dedup-entries", &config.MaxRemembered, 100, 10_000_000)
	s.durationValue("dedup-ttl", &config.RememberedFor, time.Second, 30*24*time.Hour)
	s.durationValue("heartbeat", &config.HeartbeatInterval, time.Second, 10*time.Minute)
	s.reportUnknownNames()
	parsed.effective = s.effective
	r.readQueues(s, &parsed)
	return parsed
}

// readQueues reads each [queue NAME].
func (r *reader) readQueues(front *section, parsed *AMQP) {
	for _, s := range r.sectionsOfKind("queue") {
		if !parsed.Enabled {
			s.report("", "", "wants a section amqp, which names the brokers")
		}
		parsed.Config.Queues = append(parsed.Config.Queues, s.readQueue())
		for _, setting := range s.effective {
			parsed.effective = append(parsed.effective, fmt.Sprintf("%s.%s", s.name, setting))
		}
	}
	if parsed.Enabled && len(parsed.Config.Queues) == 0 {
		front.report("", "", "wants a section queue NAME")
	}
}

func (s *section) readQueue() amqp.Queue {
	queue := amqp.Queue{
		Queue: delivery.Queue{
			Name:        delivery.QueueName(s.label()),
			Weight:      1,
			MinInFlight: 1,
			MaxInFlight: 100,
		},
		Settlement: delivery.SettlementConfig{
			MaxAttempts:     5,
			RetryQueueDelay: time.Second,
			Reply:           true,
		},
	}
	s.floatValue("weight", &queue.Weight, 0.01, 1000)
	s.intValue("priority", &queue.Priority, 0, 100)
	s.intValue("min-in-flight", &queue.MinInFlight, 0, 1000)
	s.intValue("max-in-flight", &queue.MaxInFlight, 1, 60_000)
	identity := ""
	s.stringValue("identity", &identity)
	if identity != "" && identity != "message" {
		if !isIdentity(identity) {
			s.report("identity", identity, "wants message, or an identity as token:depot")
		}
		queue.Identity = authz.Identity(identity)
	}
	s.intValue("max-attempts", &queue.Settlement.MaxAttempts, 1, 1000)
	s.boolValue("retry-queue", &queue.Settlement.UseRetryQueue)
	s.durationValue("retry-delay", &queue.Settlement.RetryQueueDelay, 0, 24*time.Hour)
	s.stringValue("dead-letter-queue", &queue.DeadLetterQueue)
	queue.Settlement.DeadLetter = queue.DeadLetterQueue != ""
	queue.Mapping = s.readMapping()
	s.reportUnknownNames()
	return queue
}

// readMapping reads how a message becomes a request.
func (s *section) readMapping() amqp.Mapping {
	const maxBodyBytes = 2 << 10 // the runtime's bound
	mapping := amqp.Mapping{
		DefaultTimeout: time.Minute,
		MaxBodyBytes:   maxBodyBytes,
		DefaultRank:    0.5,
		DefaultKB:      4,
	}
	s.durationValue("default-timeout", &mapping.DefaultTimeout, 0, 24*time.Hour)
	s.intValue("max-body-bytes", &mapping.MaxBodyBytes, 1, maxBodyBytes)
	s.floatValue("default-rank", &mapping.DefaultRank, 0, 0.999999)
	s.floatValue("default-kb", &mapping.DefaultKB, 0.001, 1999)
	for _, source := range []struct {
		name         string
		defaultValue string
		target       *amqp.Source
	}{
		{"class", "type", &mapping.Class},
		{"tenant", "header:tenant", &mapping.Tenant},
		{"subject", "header:subject", &mapping.Subject},
		{"rank", "header:rank", &mapping.Rank},
		{"cost", "header:cost", &mapping.Cost},
		{"kb", "header:kb", &mapping.KB},
		{"token", "header:token", &mapping.Token},
	} {
		text := source.defaultValue
		s.stringValue(source.name, &text)
		parsed, err := amqp.ParseSource(text)
		if err != nil {
			s.report(source.name, text, "wants header:NAME, or a property")
		}
		*source.target = parsed
	}
	return mapping
}
