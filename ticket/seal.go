// Package ticket seals what callers carry between hosts: cursors that resume a
// stream and tickets that let a call run at most once. Callers can neither read
// nor change them.
package ticket

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"errors"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"
)

type (
	// A Keyring seals with its current key and opens with any of its keys, so
	// that keys rotate without cutting a stream.
	Keyring struct{ sealers []cipher.AEAD }

	// A Purpose keeps one kind of sealed message from being taken for another.
	Purpose byte
)

// The purposes.
const (
	PurposeCursor Purpose = 'c'
	PurposeTicket Purpose = 't'
)

// KeySize is the size of a sealing key in bytes.
const KeySize = 32

var (
	errForged = errors.New("not sealed by a key of this ring")
	encoding  = base64.RawURLEncoding
)

// NewKeyring returns a ring of keys, the current one first.
func NewKeyring(keys ...[]byte) (*Keyring, error) {
	if len(keys) == 0 {
		return nil, eris.New("a keyring needs a key")
	}
	k := &Keyring{}
	for i, key := range keys {
		if len(key) != KeySize {
			return nil, eris.Errorf("key %d has %d bytes, %d are needed", i+1, len(key), KeySize)
		}
		block, err := aes.NewCipher(key)
		if err != nil {
			return nil, eris.Wrap(err, "key")
		}
		sealer, err := cipher.NewGCM(block)
		if err != nil {
			return nil, eris.Wrap(err, "key")
		}
		k.sealers = append(k.sealers, sealer)
	}
	return k, nil
}

// ParseKeys reads keys written as hexadecimal digits, the current one first.
func ParseKeys(texts []string) (*Keyring, error) {
	keys := make([][]byte, len(texts))
	for i, text := range texts {
		key, err := hex.DecodeString(text)
		if err != nil {
			return nil, eris.Errorf("key %d is not hexadecimal", i+1)
		}
		keys[i] = key
	}
	return NewKeyring(keys...)
}

// DeriveKey returns a key made from a phrase. It is meant for demos and tests.
func DeriveKey(phrase string) []byte {
	sum := sha256.Sum256([]byte(phrase))
	return sum[:]
}

// Seal returns m sealed, as text that is safe in URLs and headers.
func (k *Keyring) Seal(p Purpose, m proto.Message) (string, error) {
	plain, err := proto.Marshal(m)
	if err != nil {
		return "", eris.Wrap(err, "seal")
	}
	s := k.sealers[0]
	sealed := make([]byte, s.NonceSize(), s.NonceSize()+len(plain)+s.Overhead())
	if _, err := rand.Read(sealed); err != nil {
		return "", eris.Wrap(err, "seal")
	}
	sealed = s.Seal(sealed, sealed, plain, []byte{byte(p)})
	return encoding.EncodeToString(sealed), nil
}

// Open reads a sealed text into m.
func (k *Keyring) Open(p Purpose, text string, m proto.Message) error {
	sealed, err := encoding.DecodeString(text)
	if err != nil {
		return eris.Wrap(errForged, "encoding")
	}
	for _, s := range k.sealers {
		if len(sealed) < s.NonceSize() {
			break
		}
		plain, err := s.Open(nil, sealed[:s.NonceSize()], sealed[s.NonceSize():], []byte{byte(p)})
		if err != nil {
			continue
		}
		return eris.Wrap(proto.Unmarshal(plain, m), "open")
	}
	return errForged
}
