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

// AMQP configures the front end that serves requests from message queues.
type AMQP struct {
	Enabled         bool
	Config          amqp.Config
	LoginFile       string // contains user:password
	AuthoritiesFile string // the CA certificates for amqps brokers; empty for those of the system
	CertificateFile string // the client certificate to log in with; empty for none
	KeyFile         string
	effective       []string // the settings with their effective values, as "name = value"
}

// StartupFingerprint returns the current names and effective values of all settings of the front end as text, which can
// be compared and printed. These settings take effect only at startup. If the front end is disabled, StartupFingerprint
// returns "off".
func (a *AMQP) StartupFingerprint() string {
	if !a.Enabled {
		return "off"
	}
	return strings.Join(a.effective, ", ")
}

func (r *reader) readAMQP() AMQP {
	parsed := AMQP{Config: amqp.Config{
		MaxInFlight:       200, // several times the number of cores of a large runtime
		RetryFraction:     0.2,
		UnstartedRate:     500,    // per second
		MaxRemembered:     20_000, // a few minutes of messages from a busy queue
		RememberedFor:     10 * time.Minute,
		HeartbeatInterval: 5 * time.Second,
	}}
	s := r.section("amqp")
	parsed.Enabled = s.exists()
	config := &parsed.Config
	config.BrokerURLs = s.listValue("brokers")
	if parsed.Enabled && len(config.BrokerURLs) == 0 {
		s.report("brokers", "", "must be a comma-separated list of amqp or amqps URLs, for example "+
			"amqp://user@10.0.0.7:5672/, with the preferred broker first")
	}
	for _, address := range config.BrokerURLs {
		if _, err := client.ParseURI(address); err != nil {
			s.report("brokers", address, "must be an amqp or amqps URL, for example amqp://user@10.0.0.7:5672/")
		}
	}
	s.pathValue("login-file", &parsed.LoginFile)
	s.pathValue("status-socket", &config.StatusSocket)
	s.pathValue("authorities", &parsed.AuthoritiesFile)
	s.pathValue("certificate", &parsed.CertificateFile)
	s.pathValue("key", &parsed.KeyFile)
	if (parsed.CertificateFile == "") != (parsed.KeyFile == "") {
		s.report("certificate", parsed.CertificateFile, "must be set if and only if key is set")
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
func (r *reader) readQueues(amqpSection *section, parsed *AMQP) {
	for _, s := range r.sectionsOfKind("queue") {
		if !parsed.Enabled {
			s.report("", "", "must be used with a section [amqp], which names the brokers")
		}
		parsed.Config.Queues = append(parsed.Config.Queues, s.readQueue())
		for _, setting := range s.effective {
			parsed.effective = append(parsed.effective, fmt.Sprintf("%s.%s", s.name, setting))
		}
	}
	if parsed.Enabled && len(parsed.Config.Queues) == 0 {
		amqpSection.report("", "", "must be used with a section [queue NAME]")
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
			s.report("identity", identity, "must be message or an identity, for example token:depot")
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

// readMapping reads the mapping of messages to requests.
func (s *section) readMapping() amqp.Mapping {
	const maxBodyBytes = 2 << 10 // the limit of the runtime
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
			s.report(source.name, text, "must be header:NAME or one of app-id, content-type, correlation-id, routing-key, "+
				"type, user-id")
		}
		*source.target = parsed
	}
	return mapping
}
