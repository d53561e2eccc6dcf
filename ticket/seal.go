// Package ticket encrypts and authenticates the state that callers carry between hosts:
// cursors, with which a stream is resumed, and tickets, with which a call runs at most once.
// Callers can neither read nor modify the sealed text. The package also stores the records
// of the tickets that a host executes.
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
	// A Keyring seals with its first key and opens with any of its keys. Text sealed
	// before a key rotation therefore remains valid, and streams can still be resumed.
	Keyring struct{ ciphers []cipher.AEAD }

	// A Purpose is the use of a sealed message: cursor or ticket. It is authenticated as additional data,
	// so that a message sealed for one purpose cannot be opened for another.
	Purpose byte
)

// The purposes of sealed messages.
const (
	PurposeCursor Purpose = 'c'
	PurposeTicket Purpose = 't'
)

// KeySize is the size of a sealing key in bytes. It selects AES-256.
const KeySize = 32

var (
	errNotAuthentic = errors.New("sealed text does not authenticate under any configured key")
	textEncoding    = base64.RawURLEncoding
)

// NewKeyring returns a keyring of keys of KeySize bytes. The first key seals.
func NewKeyring(keys ...[]byte) (*Keyring, error) {
	if len(keys) == 0 {
		return nil, eris.New("keyring has no keys; at least one is required")
	}
	k := &Keyring{}
	for i, key := range keys {
		if len(key) != KeySize {
			return nil, eris.Errorf("key %d has %d bytes; a key must have %d", i+1, len(key), KeySize)
		}
		block, err := aes.NewCipher(key)
		if err != nil {
			return nil, eris.Wrap(err, "key")
		}
		aead, err := cipher.NewGCM(block)
		if err != nil {
			return nil, eris.Wrap(err, "key")
		}
		k.ciphers = append(k.ciphers, aead)
	}
	return k, nil
}

// ParseKeys returns a keyring of keys in hexadecimal. The first key seals.
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

// DeriveKey returns the SHA-256 hash of a phrase as a key. It is for demos and tests only.
func DeriveKey(phrase string) []byte {
	sum := sha256.Sum256([]byte(phrase))
	return sum[:]
}

// Seal encrypts m with AES-GCM under the first key and a random nonce. The result is
// base64url text, which is safe in URLs and headers.
func (k *Keyring) Seal(p Purpose, m proto.Message) (string, error) {
	plain, err := proto.Marshal(m)
	if err != nil {
		return "", eris.Wrap(err, "seal")
	}
	aead := k.ciphers[0]
	sealed := make([]byte, aead.NonceSize(), aead.NonceSize()+len(plain)+aead.Overhead())
	if _, err := rand.Read(sealed); err != nil {
		return "", eris.Wrap(err, "seal")
	}
	sealed = aead.Seal(sealed, sealed, plain, []byte{byte(p)})
	return textEncoding.EncodeToString(sealed), nil
}

// Open decrypts a sealed text and unmarshals it into m. It tries the keys in turn until one
// authenticates the text.
func (k *Keyring) Open(p Purpose, text string, m proto.Message) error {
	sealed, err := textEncoding.DecodeString(text)
	if err != nil {
		return eris.Wrap(errNotAuthentic, "encoding")
	}
	for _, aead := range k.ciphers {
		if len(sealed) < aead.NonceSize() {
			break
		}
		plain, err := aead.Open(nil, sealed[:aead.NonceSize()], sealed[aead.NonceSize():], []byte{byte(p)})
		if err != nil {
			continue
		}
		return eris.Wrap(proto.Unmarshal(plain, m), "open")
	}
	return errNotAuthentic
}
