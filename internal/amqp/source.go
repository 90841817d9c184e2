package amqp

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	client "github.com/rabbitmq/amqp091-go"
)

// Source is the property or header of a message from which a value is read. The zero Source has no value.
type Source struct {
	Header bool
	Name   string
}

// propertyReaders maps the name of each property from which a value can be read to the function that returns it.
var propertyReaders = map[string]func(*client.Delivery) string{
	"type":           func(d *client.Delivery) string { return d.Type },
	"app-id":         func(d *client.Delivery) string { return d.AppId },
	"user-id":        func(d *client.Delivery) string { return d.UserId },
	"content-type":   func(d *client.Delivery) string { return d.ContentType },
	"correlation-id": func(d *client.Delivery) string { return d.CorrelationId },
	"routing-key":    func(d *client.Delivery) string { return d.RoutingKey },
}

// ParseSource parses the name of a property, or "header:" followed by the name of a header. An empty text is the zero
// Source. Any other text is an error.
func ParseSource(text string) (Source, error) {
	if name, isHeader := strings.CutPrefix(text, "header:"); isHeader && name != "" {
		return Source{Header: true, Name: name}, nil
	}
	if _, isProperty := propertyReaders[text]; !isProperty && text != "" {
		const accepted = "header:NAME, or one of type, app-id, user-id, content-type, correlation-id, routing-key"
		return Source{}, fmt.Errorf("value source %q must be %s", text, accepted)
	}
	return Source{Name: text}, nil
}

// value returns the value in a message as text, or "" if there is none or its type is not supported.
func (s Source) value(d *client.Delivery) string {
	if s.Header && brokerHeaders[s.Name] {
		return ""
	}
	if !s.Header {
		if read := propertyReaders[s.Name]; read != nil {
			return read(d)
		}
		return ""
	}
	switch x := d.Headers[s.Name].(type) {
	case string:
		return x
	case []byte:
		return string(x)
	case int, int8, int16, int32, int64, uint8, uint16, uint32:
		return fmt.Sprint(x)
	case float32:
		return strconv.FormatFloat(float64(x), 'f', -1, 32)
	case float64:
		return strconv.FormatFloat(x, 'f', -1, 64)
	}
	return ""
}

// readNumber reads a finite number into value. If the message has no value there, it leaves value unchanged. It returns
// false if the text is not a finite number.
func (s Source) readNumber(d *client.Delivery, value *float64) bool {
	text := s.value(d)
	if text == "" {
		return true
	}
	x, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(x) || math.IsInf(x, 0) {
		return false
	}
	*value = x
	return true
}
