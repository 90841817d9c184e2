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

// queueState returns how the work queue is treated.
func (t *testbed) queueState() string {
	state := make(chan string)
	t.consumer.Post(func() { state <- t.consumer.flow.State("ops").String() })
	return <-state
}

// A broker that blocks publishing gives the consumer nothing new; a queue that is deleted and comes back is consumed
// again; a broker that refuses the login is tried less and less often.
func Example_brokerFaults() {
	b, server := newBroker(), newFakeServer()
	bed := startTestbed(b, server, testConfig(b))
	b.Publish("ops", newMessage("a", "view"))
	bed.waitSettled()
	b.SetBlocked(true)
	fake.WaitFor("the pause of consuming", func() bool { return b.Counts("ops").Consumers == 0 })
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

// tlsCertificate returns an issued certificate with its key.
func tlsCertificate(pair certs.KeyPair, err error) tls.Certificate {
	cert, key, err := fake.Must(pair, err).EncodePEM()
	fake.Must(cert, err)
	return fake.Must(tls.X509KeyPair(cert, key))
}

// Brokers under TLS: one whose certificate the configured authority signed is consumed from, and gets our certificate;
// another is not.
func Example_tls() {
	now := time.Now()
	ours := fake.Must(certs.NewAuthority("ours", now, time.Hour))
	other := fake.Must(certs.NewAuthority("other", now, time.Hour))
	roots := x509.NewCertPool()
	roots.AddCert(ours.Certificate)
	for _, authority := range []certs.KeyPair{ours, other} {
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
				tlsCertificate(ours.IssueClient(certs.Subject{CommonName: "node"}, now, time.Hour)),
			},
		}
		bed := startTestbed(b, server, config)
		b.Publish("ops", newMessage("a", "view"))
		if authority.Certificate == ours.Certificate {
			bed.waitSettled()
		} else {
			fake.WaitFor("some tries", func() bool { total, _ := b.Connections(); return total > 1 })
		}
		fmt.Println(b.Counts("ops").Acked, bed.replies())
		bed.close()
	}
	// Output:
	// 1 [c-a acked done a]
	// 0 []
}
