package collectd

import (
	"encoding/binary"
	"fmt"
	"math"
	"time"
)

// Reader parses packets as a collector does.
type Reader struct {
	MinLevel  Level                            // packets of a lower level are rejected
	Passwords func(user string) (string, bool) // returns false for unknown users
}

// Parse parses a packet. On an error it also returns the value lists that precede the error.
func (r *Reader) Parse(packet []byte) ([]ValueList, error) {
	p := parser{reader: r}
	err := p.parse(packet, Plain)
	return p.lists, err
}

// parser holds the state of parsing one packet.
type parser struct {
	reader  *Reader
	current ValueList // next value list, as specified by the parts parsed so far
	lists   []ValueList
}

// parse parses the parts of content that was protected at a level.
func (p *parser) parse(content []byte, level Level) error {
	for len(content) > 0 {
		if len(content) < partHeaderLen {
			return ErrTruncated
		}
		part, length := binary.BigEndian.Uint16(content), int(binary.BigEndian.Uint16(content[2:]))
		if length < partHeaderLen || length > len(content) {
			return fmt.Errorf("%w: type %#x specifies %d bytes, %d are left", ErrTruncated, part, length, len(content))
		}
		payload, rest := content[partHeaderLen:length], content[length:]
		switch {
		case part == partSignature:
			return p.parseSigned(payload, rest)
		case part == partEncryption:
			if err := p.parseEncrypted(payload); err != nil {
				return err
			}
		case level < p.reader.MinLevel:
			return ErrInsufficientSecurity
		default:
			if err := p.parsePart(part, payload); err != nil {
				return err
			}
		}
		content = rest
	}
	return nil
}

// security returns the Security that verifies and decrypts a user's packets.
func (p *parser) security(user string) (Security, error) {
	password, ok := p.reader.Passwords(user)
	if !ok {
		return Security{}, fmt.Errorf("%w %.40q", ErrUnknownUser, user)
	}
	return Security{Password: password}, nil
}

// parseSigned verifies a signature and parses the content that follows it.
func (p *parser) parseSigned(signature, content []byte) error {
	if len(signature) <= signatureLen {
		return fmt.Errorf("%w: signature part of %d bytes, want more than %d", ErrMalformedPart, len(signature), signatureLen)
	}
	user := signature[signatureLen:]
	s, err := p.security(string(user))
	if err != nil {
		return err
	}
	signed := append(append([]byte(nil), user...), content...)
	if err := s.verify(signature[:signatureLen], signed); err != nil {
		return err
	}
	return p.parse(content, Sign)
}

// parseEncrypted decrypts an encrypted part and parses its content.
func (p *parser) parseEncrypted(payload []byte) error {
	if len(payload) < countLen {
		return ErrTruncated
	}
	userLen := int(binary.BigEndian.Uint16(payload))
	rest := payload[countLen:]
	if len(rest) < userLen+ivLen+checksumLen {
		return ErrTruncated
	}
	user, iv, encrypted := rest[:userLen], rest[userLen:userLen+ivLen], rest[userLen+ivLen:]
	s, err := p.security(string(user))
	if err != nil {
		return err
	}
	content, err := s.decrypt(encrypted, iv)
	if err != nil {
		return err
	}
	return p.parse(content, Encrypt)
}

// parsePart parses one part of the next value list. The values part completes the list. Unknown types are ignored.
func (p *parser) parsePart(part uint16, payload []byte) error {
	switch part {
	case partHost, partPlugin, partPluginInstance, partType, partTypeInstance:
		return p.parseText(part, payload)
	case partTime, partTimeHR, partInterval, partIntervalHR:
		return p.parseTime(part, payload)
	case partValues:
		values, err := parseValues(payload)
		if err != nil {
			return err
		}
		l := p.current
		l.Values = values
		p.lists = append(p.lists, l)
	}
	return nil
}

func (p *parser) parseText(part uint16, payload []byte) error {
	end := len(payload) - 1
	if end < 0 || payload[end] != 0 || end > MaxTextBytes {
		return fmt.Errorf("%w: text of type %#x is not terminated or too long", ErrMalformedPart, part)
	}
	for _, t := range p.current.texts() {
		if t.part == part {
			*t.text = string(payload[:end])
		}
	}
	return nil
}

func (p *parser) parseTime(part uint16, payload []byte) error {
	if len(payload) != numberLen {
		return fmt.Errorf("%w: number of type %#x has %d bytes, want %d", ErrMalformedPart, part, len(payload), numberLen)
	}
	v := binary.BigEndian.Uint64(payload)
	var d time.Duration
	switch {
	case part == partTimeHR || part == partIntervalHR:
		d = fromHighResolution(v)
	case v > math.MaxInt64/uint64(time.Second):
		return fmt.Errorf("%w: time of %d s is out of range", ErrMalformedPart, v)
	default:
		d = time.Duration(v) * time.Second
	}
	if part == partTime || part == partTimeHR {
		p.current.Time = d
	} else {
		p.current.Interval = d
	}
	return nil
}

func parseValues(payload []byte) ([]Value, error) {
	if len(payload) < countLen {
		return nil, ErrTruncated
	}
	count := int(binary.BigEndian.Uint16(payload))
	if count == 0 || len(payload) != countLen+valueLen*count {
		return nil, fmt.Errorf("%w: %d values in %d bytes", ErrMalformedPart, count, len(payload))
	}
	kinds, numbers := payload[countLen:countLen+count], payload[countLen+count:]
	values := make([]Value, count)
	for i := range values {
		var err error
		if values[i], err = parseValue(Kind(kinds[i]), numbers[numberLen*i:]); err != nil {
			return nil, err
		}
	}
	return values, nil
}

func parseValue(kind Kind, number []byte) (Value, error) {
	v := Value{Kind: kind}
	switch kind {
	case Gauge:
		v.Gauge = math.Float64frombits(binary.LittleEndian.Uint64(number))
	case Counter, Derive, Absolute:
		v.Count = int64(binary.BigEndian.Uint64(number))
	default:
		return v, fmt.Errorf("%w: unknown data source type %d", ErrMalformedPart, kind)
	}
	return v, nil
}
