// Package datagram seals and opens the datagrams between entry hosts. Datagrams
// of another deployment or protocol version are refused. If keys are configured,
// datagrams are encrypted and authenticated with AES-GCM, and those not sealed
// with a known key are refused as well.
package datagram

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/rand"
	"encoding/binary"
	"errors"

	"github.com/zeebo/errs"
	"github.com/zeebo/xxh3"
)

var classError = errs.Class("datagram")

// These errors are the reasons for refusing a datagram.
var (
	errDeployment    = errors.New("another deployment")
	errNoMatchingKey = errors.New("no valid key")
	errUnsealed      = errors.New("not sealed, but this host has keys")
	errProtocol      = errors.New("another protocol version")
	errSealed        = errors.New("sealed, but this host has no keys")
	errShort         = errors.New("shorter than its header and nonce")
)

// KeyBytes is the length of a key in bytes.
const KeyBytes = 32

const (
	protocolVersion = 1

	// headerBytes is the length of the header: the protocol version, the form, and
	// the fingerprint of the deployment.
	headerBytes = 6
	nonceBytes  = 12
	tagBytes    = 16

	// The form says whether the payload is sealed.
	formPlain  = 0
	formSealed = 1

	// Overhead is the number of bytes that sealing adds to a datagram.
	Overhead = headerBytes + nonceBytes + tagBytes
)

// Key seals and opens datagrams.
type Key struct {
	aead cipher.AEAD
}

// NewKey returns the key with the given secret, which must be KeyBytes long.
func NewKey(secret []byte) (Key, error) {
	if len(secret) != KeyBytes {
		return Key{}, classError.New("key is %d bytes long, want %d", len(secret), KeyBytes)
	}
	block, err := aes.NewCipher(secret)
	if err != nil {
		return Key{}, classError.Wrap(err)
	}
	aead, err := cipher.NewGCM(block)
	return Key{aead: aead}, classError.Wrap(err)
}

// Seal returns a datagram that carries payload to nodes of the deployment. It is
// encrypted with the first key, or left in plain text if there are no keys.
func Seal(deployment string, keys []Key, payload []byte) []byte {
	if len(keys) == 0 {
		return append(newHeader(formPlain, deployment), payload...)
	}
	sealed := newHeader(formSealed, deployment)
	nonce := make([]byte, nonceBytes)
	// rand.Read never returns an error: it crashes the process if it fails.
	_, _ = rand.Read(nonce)
	sealed = append(sealed, nonce...)
	return keys[0].aead.Seal(sealed, nonce, payload, sealed[:headerBytes])
}

// Open returns the payload of a datagram. It tries all keys, so that keys can be
// rotated one host at a time.
func Open(deployment string, keys []Key, datagram []byte) ([]byte, error) {
	if len(datagram) < headerBytes {
		return nil, errShort
	}
	head, rest := datagram[:headerBytes], datagram[headerBytes:]
	switch {
	case head[0] != protocolVersion:
		return nil, errProtocol
	case binary.BigEndian.Uint32(head[2:]) != fingerprint(deployment):
		return nil, errDeployment
	case head[1] == formPlain && len(keys) > 0:
		return nil, errUnsealed
	case head[1] == formPlain:
		return rest, nil
	case len(keys) == 0:
		return nil, errSealed
	case len(rest) < nonceBytes:
		return nil, errShort
	}
	for _, key := range keys {
		payload, err := key.aead.Open(nil, rest[:nonceBytes], rest[nonceBytes:], head)
		if err == nil {
			return payload, nil
		}
	}
	return nil, errNoMatchingKey
}

func newHeader(form byte, deployment string) []byte {
	head := make([]byte, headerBytes, headerBytes+nonceBytes)
	head[0], head[1] = protocolVersion, form
	binary.BigEndian.PutUint32(head[2:], fingerprint(deployment))
	return head
}

// fingerprint returns a short hash of the deployment's name.
func fingerprint(deployment string) uint32 {
	return uint32(xxh3.HashString(deployment))
}
