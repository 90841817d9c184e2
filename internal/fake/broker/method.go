package broker

import "fmt"

// methodID holds the class of a method in its upper 16 bits and the method's number in its lower 16 bits.
type methodID uint32

// The supported methods, with their class and number in the specification.
const (
	connectionStart     methodID = 10<<16 | 10
	connectionStartOK   methodID = 10<<16 | 11
	connectionTune      methodID = 10<<16 | 30
	connectionTuneOK    methodID = 10<<16 | 31
	connectionOpen      methodID = 10<<16 | 40
	connectionOpenOK    methodID = 10<<16 | 41
	connectionClose     methodID = 10<<16 | 50
	connectionCloseOK   methodID = 10<<16 | 51
	connectionBlocked   methodID = 10<<16 | 60
	connectionUnblocked methodID = 10<<16 | 61

	channelOpen    methodID = 20<<16 | 10
	channelOpenOK  methodID = 20<<16 | 11
	channelClose   methodID = 20<<16 | 40
	channelCloseOK methodID = 20<<16 | 41

	exchangeDeclare   methodID = 40<<16 | 10
	exchangeDeclareOK methodID = 40<<16 | 11

	queueDeclare   methodID = 50<<16 | 10
	queueDeclareOK methodID = 50<<16 | 11
	queueBind      methodID = 50<<16 | 20
	queueBindOK    methodID = 50<<16 | 21

	basicQos       methodID = 60<<16 | 10
	basicQosOK     methodID = 60<<16 | 11
	basicConsume   methodID = 60<<16 | 20
	basicConsumeOK methodID = 60<<16 | 21
	basicCancel    methodID = 60<<16 | 30
	basicCancelOK  methodID = 60<<16 | 31
	basicPublish   methodID = 60<<16 | 40
	basicDeliver   methodID = 60<<16 | 60
	basicAck       methodID = 60<<16 | 80
	basicReject    methodID = 60<<16 | 90
	basicNack      methodID = 60<<16 | 120

	confirmSelect   methodID = 85<<16 | 10
	confirmSelectOK methodID = 85<<16 | 11
)

// classBasic is the class in content headers.
const classBasic = 60

// Flags of methods. All flags of a method are in one octet.
const (
	declarePassive = 1 << 0 // queue.declare: the queue must exist
	consumeNoAck   = 1 << 1 // basic.consume: deliveries are not acked
	ackMultiple    = 1 << 0
	rejectRequeue  = 1 << 0
	nackMultiple   = 1 << 0
	nackRequeue    = 1 << 1
)

// Reply codes.
const (
	replyAccessRefused      = 403
	replyNotFound           = 404
	replyPreconditionFailed = 406
)

func (m methodID) String() string { return fmt.Sprintf("method %d.%d", m>>16, m&0xffff) }

func newMethod(id methodID) *payloadWriter { return (&payloadWriter{}).u32(uint32(id)) }

// newClose returns a connection.close or channel.close method.
func newClose(id methodID, code uint16, text string) *payloadWriter {
	const causedByNoMethod = 0
	return newMethod(id).u16(code).shortString(text).u16(causedByNoMethod).u16(causedByNoMethod)
}
