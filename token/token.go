// Package token seals and opens flow tokens.
//
// A flow token names the entry instance that owns a flow, so that any instance
// can route the flow's packets without state shared between instances. The
// instance that accepts a flow seals the token under a key from its settings,
// and the caller sends the token with each packet.
//
// A sealed token has Size bytes: layout version, key number, flow, owner,
// incarnation, data centre, service, backend server, issue time and an
// HMAC-SHA256 truncated to 16 bytes. Names are encoded as 64-bit hashes (see
// Hash).
//
// # Usage
//
//	keys, err := token.NewKeys(1, map[uint8][]byte{1: secret})
//	sealed := keys.Seal(token.Token{Flow: 7, Owner: token.Hash("entry-1")})
//	opened, err := keys.Open(sealed, clock.Now())
//	if errors.Is(err, token.ErrForged) { ... }
package token

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"hash"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/tanagerdock/tanagerdock/clock"
)

// Layout of a sealed token, in bytes.
const (
	bodySize = 2 + 7*8
	macSize  = 16
	// Size is the length of every sealed token in bytes.
	Size = bodySize + macSize
)

const layoutVersion = 1

// Lifetime is how long a token is accepted after it was issued. Owners reissue
// the tokens of open flows well before that.
const Lifetime = 24 * clock.Hour

// maxClockSkew is how far in the future an issue time may be, as the clocks of
// two instances differ.
const maxClockSkew = 5 * clock.Minute

// Errors returned by NewKeys, Open and Peek.
var (
	// ErrMalformed reports a token of the wrong length or an unknown layout version.
	ErrMalformed = errors.New("token is malformed")
	// ErrForged reports a token whose key is unknown or whose MAC is wrong.
	ErrForged = errors.New("token seal does not match")
	// ErrExpired reports a token older than Lifetime, or issued further in the
	// future than clock skew explains.
	ErrExpired = errors.New("token has expired")
	// ErrKey reports a key that is too short or a current key that is missing.
	ErrKey = errors.New("token key is not usable")
)

// Token holds the fields of a flow token.
type Token struct {
	Flow        uint64       // random identifier of the flow
	Owner       uint64       // Hash of the owning instance's name
	Incarnation uint64       // start time of the owner's process, in ms
	Centre      uint64       // Hash of the data centre's name
	Service     uint64       // Hash of the service's name
	Backend     uint64       // Hash of the name of the backend server that the flow is pinned to, or 0
	Issued      clock.Millis // when the token was sealed
}

// Hash returns the 64-bit hash that stands for a name in tokens and envelopes.
func Hash(name string) uint64 {
	return xxhash.Sum64String(name)
}

// Keys is a key ring: it seals tokens under its current key and opens tokens
// sealed under any of its keys, so that keys can be rotated while flows stay
// open. It is safe for concurrent use.
type Keys struct {
	current  uint8
	macPools map[uint8]*sync.Pool
}

// minKeySize is the minimum length of a secret, in bytes.
const minKeySize = 16

// NewKeys returns a key ring with a copy of secrets, which are keyed by key
// number. It seals under secrets[current].
func NewKeys(current uint8, secrets map[uint8][]byte) (*Keys, error) {
	k := &Keys{current: current, macPools: make(map[uint8]*sync.Pool, len(secrets))}
	for number, secret := range secrets {
		secret = slices.Clone(secret)
		if len(secret) < minKeySize {
			return nil, errors.Wrapf(ErrKey, "key %d has %d bytes, at least %d are needed", number, len(secret), minKeySize)
		}
		k.macPools[number] = &sync.Pool{New: func() any { return hmac.New(sha256.New, secret) }}
	}
	if k.macPools[current] == nil {
		return nil, errors.Wrapf(ErrKey, "current key %d is not among the %d keys", current, len(secrets))
	}
	return k, nil
}

// Seal returns the sealed form of t under the current key.
func (k *Keys) Seal(t Token) []byte {
	sealed := make([]byte, bodySize, Size)
	sealed[0] = layoutVersion
	sealed[1] = k.current
	words := [...]uint64{t.Flow, t.Owner, t.Incarnation, t.Centre, t.Service, t.Backend, uint64(t.Issued)}
	for i, w := range words {
		binary.BigEndian.PutUint64(sealed[2+8*i:], w)
	}
	return k.appendMAC(sealed, k.current)
}

// appendMAC appends the truncated MAC of body under a key of the ring.
func (k *Keys) appendMAC(body []byte, keyNumber uint8) []byte {
	pool := k.macPools[keyNumber]
	mac := pool.Get().(hash.Hash)
	defer pool.Put(mac)
	mac.Reset()
	mac.Write(body)
	var sum [sha256.Size]byte
	return append(body, mac.Sum(sum[:0])[:macSize]...)
}

// Open decodes a token after checking its MAC and its age.
func (k *Keys) Open(sealed []byte, now clock.Millis) (Token, error) {
	t, err := Peek(sealed)
	if err != nil {
		return Token{}, err
	}
	if k.macPools[sealed[1]] == nil {
		return Token{}, errors.Wrapf(ErrForged, "key %d is not known", sealed[1])
	}
	body := make([]byte, bodySize, Size)
	copy(body, sealed)
	if !hmac.Equal(k.appendMAC(body, sealed[1]), sealed) {
		return Token{}, errors.Wrapf(ErrForged, "key %d", sealed[1])
	}
	if now-t.Issued > Lifetime || t.Issued-now > maxClockSkew {
		return Token{}, errors.Wrapf(ErrExpired, "issued %d ms ago, at most %d are allowed", now-t.Issued, Lifetime)
	}
	return t, nil
}

// Peek decodes a token without checking its MAC. Use it only to choose the
// instance that will check it.
func Peek(sealed []byte) (Token, error) {
	if len(sealed) != Size {
		return Token{}, errors.Wrapf(ErrMalformed, "token has %d bytes, not %d", len(sealed), Size)
	}
	if sealed[0] != layoutVersion {
		return Token{}, errors.Wrapf(ErrMalformed, "layout version %d, not %d", sealed[0], layoutVersion)
	}
	word := func(i int) uint64 { return binary.BigEndian.Uint64(sealed[2+8*i:]) }
	return Token{
		Flow: word(0), Owner: word(1), Incarnation: word(2), Centre: word(3),
		Service: word(4), Backend: word(5), Issued: clock.Millis(word(6)),
	}, nil
}
