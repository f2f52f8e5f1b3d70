package collectd

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/hmac"
	"crypto/sha1" // the protocol prescribes it
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"fmt"
)

// Level is the protection of packets.
type Level int

// The levels in ascending order. A collector that requires one accepts higher ones as well.
const (
	Plain   Level = iota // not protected
	Sign                 // HMAC-SHA-256
	Encrypt              // AES-256 in OFB mode, with a SHA-1 checksum of the content
)

const (
	signatureLen = sha256.Size
	ivLen        = aes.BlockSize
	checksumLen  = sha1.Size
)

// Security configures the protection of packets.
type Security struct {
	Level          Level
	User, Password string
}

// overhead returns the number of bytes that the protection adds to a packet.
func (s Security) overhead() int {
	switch s.Level {
	case Plain:
		return 0
	case Sign:
		return partHeaderLen + signatureLen + len(s.User)
	case Encrypt:
		return partHeaderLen + countLen + len(s.User) + ivLen + checksumLen
	}
	return 0
}

// seal returns a packet with the content, protected at the level. random fills the initialization vector of encryption.
func (s Security) seal(content []byte, random func([]byte) error) ([]byte, error) {
	switch s.Level {
	case Plain:
	case Sign:
		return s.sign(content), nil
	case Encrypt:
		return s.encrypt(content, random)
	}
	return append([]byte(nil), content...), nil
}

func (s Security) sign(content []byte) []byte {
	signed := append([]byte(s.User), content...)
	packet := appendHeader(nil, partSignature, signatureLen+len(s.User))
	packet = append(packet, s.mac(signed)...)
	return append(packet, signed...)
}

func (s Security) encrypt(content []byte, random func([]byte) error) ([]byte, error) {
	var iv [ivLen]byte
	if err := random(iv[:]); err != nil {
		return nil, fmt.Errorf("collectd: generate initialization vector: %w", err)
	}
	checksum := sha1.Sum(content) // the protocol prescribes it
	packet := appendHeader(nil, partEncryption, s.overhead()-partHeaderLen+len(content))
	packet = binary.BigEndian.AppendUint16(packet, uint16(len(s.User)))
	packet = append(append(packet, s.User...), iv[:]...)
	plain := len(packet)
	packet = append(append(packet, checksum[:]...), content...)
	return packet, s.crypt(packet[plain:], iv[:])
}

// mac returns the signature of signed.
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
		return fmt.Errorf("collectd: create cipher: %w", err)
	}
	cipher.NewOFB(block, iv).XORKeyStream(b, b) //nolint:staticcheck // the protocol prescribes it
	return nil
}

// verify checks the signature of signed. It fails with ErrSignature.
func (s Security) verify(signature, signed []byte) error {
	if subtle.ConstantTimeCompare(s.mac(signed), signature) != 1 {
		return ErrSignature
	}
	return nil
}

// decrypt returns the decrypted content. It fails with ErrSignature if the checksum of the content is wrong.
func (s Security) decrypt(encrypted, iv []byte) ([]byte, error) {
	plain := append([]byte(nil), encrypted...)
	if err := s.crypt(plain, iv); err != nil {
		return nil, err
	}
	content := plain[checksumLen:]
	checksum := sha1.Sum(content) // the protocol prescribes it
	if subtle.ConstantTimeCompare(checksum[:], plain[:checksumLen]) != 1 {
		return nil, ErrSignature
	}
	return content, nil
}
