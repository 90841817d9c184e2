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

// A broker that says it is blocked gets nothing new from us; a queue that is deleted and comes back is consumed again; a login
// that is refused, and a broker that takes connections and drops them, are tried less and less often.
func Example_brokerFaults() {
	b, c := newBroker(), newFakeServer()
	s := startTestbed(b, c, testConfig(b))
	b.Publish("ops", newMessage("a", "view"))
	s.settled("ops")
	b.SetBlocked(true)
	fake.WaitFor("the intake's end", func() bool { return b.Counts("ops").Consumers == 0 })
	b.Publish("ops", newMessage("b", "view"))
	fmt.Println(state(s), b.Counts("ops").Ready)
	b.SetBlocked(false)
	s.settled("ops")
	b.DeleteQueue("ops")
	time.Sleep(delivery.UpdateInterval)
	b.DeclareQueue("ops", nil)
	b.Publish("ops", newMessage("c", "view"))
	s.settled("ops")
	fmt.Println(len(s.replies()))
	s.close()

	b = newBroker()
	b.RefuseLogins(true)
	s = startTestbed(b, newFakeServer(), testConfig(b))
	time.Sleep(1500 * time.Millisecond)
	ever, _ := b.Connections()
	fmt.Println("tries", ever >= 2 && ever <= 6)
	s.close()
	// Output:
	// blocked 1
	// 3
	// tries true
}

// Brokers under TLS: one whose certificate the told authority signed is consumed from, and told who we are; another is not.
func Example_tls() {
	now := time.Now()
	ours, other := fake.Must(certs.NewAuthority("ours", now, time.Hour)), fake.Must(certs.NewAuthority("other", now, time.Hour))
	pair := func(p certs.KeyPair, err error) tls.Certificate {
		cert, key, _ := fake.Must(p, err).EncodePEM()
		return fake.Must(tls.X509KeyPair(cert, key))
	}
	roots := x509.NewCertPool()
	roots.AddCert(ours.Certificate)
	for _, a := range []certs.KeyPair{ours, other} {
		l := fake.Must(tls.Listen("tcp", "127.0.0.1:0", &tls.Config{ClientCAs: roots, ClientAuth: tls.RequireAndVerifyClientCert,
			Certificates: []tls.Certificate{pair(a.Issue(certs.Subject{CommonName: "broker", Hosts: []string{"127.0.0.1"}}, true, now, time.Hour))}}))
		b, c := broker.NewOnListener(l), newFakeServer()
		b.DeclareQueue("ops", nil)
		b.DeclareQueue("replies", nil)
		t := testConfig(b)
		t.BrokerURLs = []string{"amqps://" + b.Addr() + "/"}
		t.Login = "guest:guest"
		t.TLS = &tls.Config{RootCAs: roots, Certificates: []tls.Certificate{pair(ours.Issue(certs.Subject{CommonName: "node"}, false, now, time.Hour))}}
		s := startTestbed(b, c, t)
		b.Publish("ops", newMessage("a", "view"))
		if a.Certificate == ours.Certificate {
			s.settled("ops")
		} else {
			fake.WaitFor("some tries", func() bool { ever, _ := b.Connections(); return ever > 1 })
		}
		fmt.Println(b.Counts("ops").Acked, s.replies())
		s.close()
	}
	// Output:
	// 1 [c-a acked done a]
	// 0 []
}

func state(s *testbed) string {
	say := make(chan string)
	s.consumer.Post(func() { say <- s.consumer.flow.State("ops").String() })
	return <-say
}
