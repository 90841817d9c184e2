package amqp

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"time"

	"lanewheel/internal/amqp/delivery"
	"lanewheel/internal/certs"
	"lanewheel/internal/fake"
	"lanewheel/internal/fake/broker"
)

// queueState returns the state of the work queue.
func (t *testbed) queueState() string {
	state := make(chan string)
	t.consumer.Post(func() { state <- t.consumer.flow.State("ops").String() })
	return <-state
}

// While the broker blocks publishing, nothing is consumed. A queue that was deleted and declared again is consumed
// again. A broker that refuses the login is retried after increasing delays.
func Example_brokerFaults() {
	b, server := newBroker(), newFakeServer()
	bed := startTestbed(b, server, testConfig(b))
	b.Publish("ops", newMessage("a", "view"))
	bed.waitSettled()
	b.SetBlocked(true)
	fake.WaitFor("consuming to pause", func() bool { return b.Counts("ops").Consumers == 0 })
	b.Publish("ops", newMessage("b", "view"))
	fmt.Println(bed.queueState(), b.Counts("ops").Ready)
	b.SetBlocked(false)
	bed.waitSettled()
	b.DeleteQueue("ops")
	time.Sleep(delivery.UpdateInterval)
	b.DeclareQueue("ops", nil)
	b.Publish("ops", newMessage("c", "view"))
	bed.waitSettled()
	fmt.Println(len(bed.replies()))
	bed.close()

	b = newBroker()
	b.RefuseLogins(true)
	bed = startTestbed(b, newFakeServer(), testConfig(b))
	time.Sleep(1500 * time.Millisecond)
	total, _ := b.Connections()
	fmt.Println("tries", total >= 2 && total <= 6)
	bed.close()
	// Output:
	// blocked 1
	// 3
	// tries true
}

// tlsCertificate returns an issued certificate and its key as a TLS certificate.
func tlsCertificate(pair certs.KeyPair, err error) tls.Certificate {
	cert, key, err := fake.Must(pair, err).EncodePEM()
	fake.Must(cert, err)
	return fake.Must(tls.X509KeyPair(cert, key))
}

// Brokers with TLS: the consumer connects to a broker whose certificate was issued by the configured authority, and
// presents its client certificate. It does not connect to a broker with a certificate of another authority.
func Example_tls() {
	now := time.Now()
	trusted := fake.Must(certs.NewAuthority("ours", now, time.Hour))
	other := fake.Must(certs.NewAuthority("other", now, time.Hour))
	roots := x509.NewCertPool()
	roots.AddCert(trusted.Certificate)
	for _, authority := range []certs.KeyPair{trusted, other} {
		subject := certs.Subject{CommonName: "broker", Hosts: []string{"127.0.0.1"}}
		listener := fake.Must(tls.Listen("tcp", "127.0.0.1:0", &tls.Config{
			ClientCAs:    roots,
			ClientAuth:   tls.RequireAndVerifyClientCert,
			Certificates: []tls.Certificate{tlsCertificate(authority.IssueServer(subject, now, time.Hour))},
		}))
		b, server := broker.NewOnListener(listener), newFakeServer()
		b.DeclareQueue("ops", nil)
		b.DeclareQueue("replies", nil)
		config := testConfig(b)
		config.BrokerURLs = []string{"amqps://" + b.Addr() + "/"}
		config.Login = "guest:guest"
		config.TLS = &tls.Config{
			RootCAs: roots,
			Certificates: []tls.Certificate{
				tlsCertificate(trusted.IssueClient(certs.Subject{CommonName: "node"}, now, time.Hour)),
			},
		}
		bed := startTestbed(b, server, config)
		b.Publish("ops", newMessage("a", "view"))
		if authority.Certificate == trusted.Certificate {
			bed.waitSettled()
		} else {
			fake.WaitFor("repeated connection attempts", func() bool { total, _ := b.Connections(); return total > 1 })
		}
		fmt.Println(b.Counts("ops").Acked, bed.replies())
		bed.close()
	}
	// Output:
	// 1 [c-a acked done a]
	// 0 []
}
