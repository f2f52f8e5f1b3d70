package collectd

import (
	"encoding/binary"
	"fmt"
	"math"
)

// Packer packs value lists into packets. Parts that equal those of the previous list in the packet are omitted.
type Packer struct {
	Security Security
	Random   func([]byte) error // fills the initialization vectors of encryption
	Emit     func(packet []byte) error

	content  []byte    // content of the current packet
	previous ValueList // last list in the current packet
}

// Add adds a list to the current packet. If the list does not fit, Add emits the packet first. It fails with
// ErrTooLarge if the list does not fit any packet, and with the errors of Random and Emit.
func (p *Packer) Add(l ValueList) error {
	for _, t := range l.texts() {
		if len(*t.text) > MaxTextBytes {
			return fmt.Errorf("%w: text of %d bytes, limit is %d", ErrTooLarge, len(*t.text), MaxTextBytes)
		}
	}
	capacity := MaxPacketBytes - p.Security.overhead()
	before := len(p.content)
	p.content = appendList(p.content, &l, &p.previous)
	if len(p.content) <= capacity {
		p.previous = l
		return nil
	}
	p.content = p.content[:before]
	if before == 0 {
		return fmt.Errorf("%w: list of %d values", ErrTooLarge, len(l.Values))
	}
	if err := p.Flush(); err != nil {
		return err
	}
	return p.Add(l)
}

// Flush emits the current packet unless it is empty.
func (p *Packer) Flush() error {
	if len(p.content) == 0 {
		return nil
	}
	packet, err := p.Security.seal(p.content, p.Random)
	p.content, p.previous = p.content[:0], ValueList{}
	if err != nil {
		return err
	}
	return p.Emit(packet)
}

// appendList appends the parts of a list that differ from the previous list, or all parts if the packet is empty.
func appendList(dst []byte, l, previous *ValueList) []byte {
	first := len(dst) == 0
	previousTexts := previous.texts()
	for i, t := range l.texts() {
		if first || *t.text != *previousTexts[i].text {
			dst = appendText(dst, t.part, *t.text)
		}
	}
	if first || l.Time != previous.Time {
		dst = appendNumber(dst, partTimeHR, toHighResolution(l.Time))
	}
	if first || l.Interval != previous.Interval {
		dst = appendNumber(dst, partIntervalHR, toHighResolution(l.Interval))
	}
	return appendValues(dst, l.Values)
}

func appendValues(dst []byte, values []Value) []byte {
	dst = appendHeader(dst, partValues, countLen+valueLen*len(values))
	dst = binary.BigEndian.AppendUint16(dst, uint16(len(values)))
	for _, v := range values {
		dst = append(dst, byte(v.Kind))
	}
	for _, v := range values {
		if v.Kind == Gauge { // gauges are the only little-endian numbers of the protocol
			dst = binary.LittleEndian.AppendUint64(dst, math.Float64bits(v.Gauge))
			continue
		}
		dst = binary.BigEndian.AppendUint64(dst, uint64(v.Count))
	}
	return dst
}
