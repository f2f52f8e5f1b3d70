// Package collectd writes and reads the binary network protocol of collectd: parts of type, length and payload in
// UDP datagrams, plain, signed or encrypted. It works on bytes and does no I/O.
//
// Source: https://collectd.org/wiki/index.php/Binary_protocol
package collectd

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/hmac"
	"crypto/sha1" //nolint:gosec // the protocol's own choice
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"time"
)

// MaxPacket is the largest datagram, in bytes: what an Ethernet frame takes with IPv6 and UDP headers.
const MaxPacket = 1452

// MaxText is the longest text of an identifier, in bytes.
const MaxText = 127

// The types of parts.
const (
	partHost           = 0x0000
	partTime           = 0x0001
	partPlugin         = 0x0002
	partPluginInstance = 0x0003
	partType           = 0x0004
	partTypeInstance   = 0x0005
	partValues         = 0x0006
	partInterval       = 0x0007
	partTimeHR         = 0x0008
	partIntervalHR     = 0x0009
	partSignature      = 0x0200
	partEncryption     = 0x0210
)

const (
	partHeaderLen = 4 // of a part: type and length, the length with itself
	signatureLen  = sha256.Size
	ivLen         = aes.BlockSize
	checksumLen   = sha1.Size
)

// Errors of a packet.
var (
	ErrTruncated = errors.New("collectd: a part is cut off")
	ErrPart      = errors.New("collectd: a part can't be read")
	ErrSecurity  = errors.New("collectd: not signed or encrypted as is demanded")
	ErrUser      = errors.New("collectd: unknown user")
	ErrSignature = errors.New("collectd: wrong signature")
	ErrTooLarge  = errors.New("collectd: does not fit a packet")
)

// Kind is the type of a data source.
type Kind byte

// The types of data sources.
const (
	Counter  Kind = 0
	Gauge    Kind = 1
	Derive   Kind = 2
	Absolute Kind = 3
)

// Value is one data source's.
type Value struct {
	Kind  Kind
	Gauge float64 // of a Gauge
	Count int64   // of the others; a Counter and an Absolute are unsigned
}

// List is a list of values under one identifier.
type List struct {
	Host, Plugin, PluginInstance, Type, TypeInstance string
	Time, Interval                                   time.Duration // Time is since 1970
	Values                                           []Value
}

// Level is how packets are guarded.
type Level int

// The levels, each of which a collector that demands a lower one takes as well.
const (
	Plain   Level = iota
	Sign          // HMAC-SHA-256
	Encrypt       // AES-256 in OFB mode, with SHA-1 over the content
)

// Security guards packets.
type Security struct {
	Level          Level
	User, Password string
}

// overhead is what security takes of a packet.
func (s Security) overhead() int {
	switch s.Level {
	case Sign:
		return partHeaderLen + signatureLen + len(s.User)
	case Encrypt:
		return partHeaderLen + 2 + len(s.User) + ivLen + checksumLen
	}
	return 0
}

// Packer fills packets with lists. Parts that say what the list before said are left out.
type Packer struct {
	Security Security
	Random   func([]byte) error // for the initial vectors of encryption
	Emit     func(packet []byte) error

	content  []byte
	previous List // what stands in this packet
}

// toHighResolution is a time in units of 2^-30 s.
func toHighResolution(d time.Duration) uint64 {
	s, ns := uint64(d/time.Second), uint64(d%time.Second)
	return s<<30 + (ns<<30+uint64(time.Second)/2)/uint64(time.Second)
}

func fromHighResolution(v uint64) time.Duration {
	return time.Duration(v>>30)*time.Second + time.Duration(((v&(1<<30-1))*uint64(time.Second)+1<<29)>>30)
}

func appendText(dst []byte, part uint16, text string) []byte {
	dst = binary.BigEndian.AppendUint16(dst, part)
	dst = binary.BigEndian.AppendUint16(dst, uint16(partHeaderLen+len(text)+1))
	return append(append(dst, text...), 0)
}

func appendNumber(dst []byte, part uint16, v uint64) []byte {
	dst = binary.BigEndian.AppendUint16(dst, part)
	dst = binary.BigEndian.AppendUint16(dst, partHeaderLen+8)
	return binary.BigEndian.AppendUint64(dst, v)
}

// appendList appends the parts of a list that differ from last. Where the packet is empty all are written.
func appendList(dst []byte, l, last *List) []byte {
	first := len(dst) == 0
	for _, t := range [...]struct {
		part     uint16
		now, was string
	}{{partHost, l.Host, last.Host}, {partPlugin, l.Plugin, last.Plugin},
		{partPluginInstance, l.PluginInstance, last.PluginInstance}, {partType, l.Type, last.Type},
		{partTypeInstance, l.TypeInstance, last.TypeInstance}} {
		if first || t.now != t.was {
			dst = appendText(dst, t.part, t.now)
		}
	}
	if first || l.Time != last.Time {
		dst = appendNumber(dst, partTimeHR, toHighResolution(l.Time))
	}
	if first || l.Interval != last.Interval {
		dst = appendNumber(dst, partIntervalHR, toHighResolution(l.Interval))
	}
	dst = binary.BigEndian.AppendUint16(dst, partValues)
	dst = binary.BigEndian.AppendUint16(dst, uint16(partHeaderLen+2+9*len(l.Values)))
	dst = binary.BigEndian.AppendUint16(dst, uint16(len(l.Values)))
	for _, v := range l.Values {
		dst = append(dst, byte(v.Kind))
	}
	for _, v := range l.Values {
		if v.Kind == Gauge { // the one number of the protocol that is little-endian
			dst = binary.LittleEndian.AppendUint64(dst, math.Float64bits(v.Gauge))
			continue
		}
		dst = binary.BigEndian.AppendUint64(dst, uint64(v.Count))
	}
	return dst
}

// Add puts a list into the packet, which is sent before if there is no room for it.
func (p *Packer) Add(l List) error {
	for _, t := range []string{l.Host, l.Plugin, l.PluginInstance, l.Type, l.TypeInstance} {
		if len(t) > MaxText {
			return fmt.Errorf("%w: a text of %d bytes, %d at most", ErrTooLarge, len(t), MaxText)
		}
	}
	room := MaxPacket - p.Security.overhead()
	before := len(p.content)
	p.content = appendList(p.content, &l, &p.previous)
	if len(p.content) > room {
		p.content = p.content[:before]
		if before == 0 {
			return fmt.Errorf("%w: a list of %d values", ErrTooLarge, len(l.Values))
		}
		if err := p.Flush(); err != nil {
			return err
		}
		return p.Add(l)
	}
	p.previous = l
	return nil
}

// Flush sends what is in the packet.
func (p *Packer) Flush() error {
	if len(p.content) == 0 {
		return nil
	}
	packet, err := p.Security.seal(p.content, p.Random)
	p.content, p.previous = p.content[:0], List{}
	if err != nil {
		return err
	}
	return p.Emit(packet)
}

// seal guards the content of a packet.
func (s Security) seal(content []byte, random func([]byte) error) ([]byte, error) {
	switch s.Level {
	case Sign:
		packet := binary.BigEndian.AppendUint16(nil, partSignature)
		packet = binary.BigEndian.AppendUint16(packet, uint16(partHeaderLen+signatureLen+len(s.User)))
		signed := append([]byte(s.User), content...)
		packet = append(packet, s.mac(signed)...)
		return append(packet, signed...), nil
	case Encrypt:
		var iv [ivLen]byte
		if err := random(iv[:]); err != nil {
			return nil, fmt.Errorf("collectd: initial vector: %w", err)
		}
		sum := sha1.Sum(content) //nolint:gosec // the protocol's own choice
		packet := binary.BigEndian.AppendUint16(nil, partEncryption)
		packet = binary.BigEndian.AppendUint16(packet, uint16(s.overhead()+len(content)))
		packet = binary.BigEndian.AppendUint16(packet, uint16(len(s.User)))
		packet = append(append(packet, s.User...), iv[:]...)
		from := len(packet)
		packet = append(append(packet, sum[:]...), content...)
		return packet, s.crypt(packet[from:], iv[:])
	}
	return append([]byte(nil), content...), nil
}

func (s Security) mac(signed []byte) []byte {
	m := hmac.New(sha256.New, []byte(s.Password))
	m.Write(signed)
	return m.Sum(nil)
}

// crypt encrypts or decrypts in place.
func (s Security) crypt(b, iv []byte) error {
	key := sha256.Sum256([]byte(s.Password))
	block, err := aes.NewCipher(key[:])
	if err != nil {
		return fmt.Errorf("collectd: %w", err)
	}
	cipher.NewOFB(block, iv).XORKeyStream(b, b) //nolint:staticcheck // the protocol's own choice
	return nil
}

// Reader reads packets as a collector does.
type Reader struct {
	Demand    Level                            // lower levels are turned away
	Passwords func(user string) (string, bool) // of users known
}

// Parse reads a packet. What it read before an error is returned along with it.
func (r *Reader) Parse(packet []byte) ([]List, error) {
	var all []List
	var l List
	err := r.parse(packet, Plain, &l, &all)
	return all, err
}

func (r *Reader) parse(b []byte, level Level, l *List, all *[]List) error {
	for len(b) > 0 {
		if len(b) < partHeaderLen {
			return ErrTruncated
		}
		part, n := binary.BigEndian.Uint16(b), int(binary.BigEndian.Uint16(b[2:]))
		if n < partHeaderLen || n > len(b) {
			return fmt.Errorf("%w: type %#x says %d bytes of %d", ErrTruncated, part, n, len(b))
		}
		body, rest := b[partHeaderLen:n], b[n:]
		switch part {
		case partSignature:
			return r.parseSigned(body, rest, l, all)
		case partEncryption:
			if err := r.parseEncrypted(body, l, all); err != nil {
				return err
			}
			b = rest
			continue
		}
		if level < r.Demand {
			return ErrSecurity
		}
		if err := l.takePart(part, body, all); err != nil {
			return err
		}
		b = rest
	}
	return nil
}

// parseSigned reads what follows a signature; body is that part's.
func (r *Reader) parseSigned(body, rest []byte, l *List, all *[]List) error {
	if len(body) <= signatureLen {
		return fmt.Errorf("%w: a signature of %d bytes", ErrPart, len(body))
	}
	user := string(body[signatureLen:])
	password, ok := r.Passwords(user)
	if !ok {
		return fmt.Errorf("%w %.40q", ErrUser, user)
	}
	s := Security{Password: password}
	if subtle.ConstantTimeCompare(s.mac(append([]byte(user), rest...)), body[:signatureLen]) != 1 {
		return ErrSignature
	}
	return r.parse(rest, Sign, l, all)
}

// parseEncrypted reads the content of an encrypted part.
func (r *Reader) parseEncrypted(body []byte, l *List, all *[]List) error {
	if len(body) < 2 {
		return ErrTruncated
	}
	n := int(binary.BigEndian.Uint16(body))
	if len(body) < 2+n+ivLen+checksumLen {
		return ErrTruncated
	}
	user, iv := string(body[2:2+n]), body[2+n:2+n+ivLen]
	password, ok := r.Passwords(user)
	if !ok {
		return fmt.Errorf("%w %.40q", ErrUser, user)
	}
	clear := append([]byte(nil), body[2+n+ivLen:]...)
	if err := (Security{Password: password}).crypt(clear, iv); err != nil {
		return err
	}
	if sum := sha1.Sum(clear[checksumLen:]); subtle.ConstantTimeCompare(sum[:], clear[:checksumLen]) != 1 { //nolint:gosec // see above
		return ErrSignature
	}
	return r.parse(clear[checksumLen:], Encrypt, l, all)
}

// takePart reads one part into the list, and hands it on where it is one of values. Types not known are passed over.
func (l *List) takePart(part uint16, body []byte, all *[]List) error {
	switch part {
	case partHost, partPlugin, partPluginInstance, partType, partTypeInstance:
		if len(body) == 0 || body[len(body)-1] != 0 || len(body)-1 > MaxText {
			return fmt.Errorf("%w: text of type %#x", ErrPart, part)
		}
		*map[uint16]*string{partHost: &l.Host, partPlugin: &l.Plugin, partPluginInstance: &l.PluginInstance,
			partType: &l.Type, partTypeInstance: &l.TypeInstance}[part] = string(body[:len(body)-1])
	case partTime, partTimeHR, partInterval, partIntervalHR:
		if len(body) != 8 {
			return fmt.Errorf("%w: number of type %#x", ErrPart, part)
		}
		v := binary.BigEndian.Uint64(body)
		var d time.Duration
		switch {
		case part == partTimeHR || part == partIntervalHR:
			d = fromHighResolution(v)
		case v > math.MaxInt64/uint64(time.Second):
			return fmt.Errorf("%w: a time of %d s", ErrPart, v)
		default:
			d = time.Duration(v) * time.Second
		}
		if part == partTime || part == partTimeHR {
			l.Time = d
		} else {
			l.Interval = d
		}
	case partValues:
		if len(body) < 2 {
			return ErrTruncated
		}
		n := int(binary.BigEndian.Uint16(body))
		if n == 0 || len(body) != 2+9*n {
			return fmt.Errorf("%w: %d values in %d bytes", ErrPart, n, len(body))
		}
		out := *l
		out.Values = make([]Value, n)
		for i := range out.Values {
			raw := body[2+n+8*i:]
			v := Value{Kind: Kind(body[2+i])}
			switch v.Kind {
			case Gauge:
				v.Gauge = math.Float64frombits(binary.LittleEndian.Uint64(raw))
			case Counter, Derive, Absolute:
				v.Count = int64(binary.BigEndian.Uint64(raw))
			default:
				return fmt.Errorf("%w: data source of type %d", ErrPart, v.Kind)
			}
			out.Values[i] = v
		}
		*all = append(*all, out)
	}
	return nil
}
