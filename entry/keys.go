package entry

import (
	"bufio"
	"encoding/hex"
	"os"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/tanagerdock/tanagerdock/token"
)

// ErrKeyFile reports an unreadable or invalid key file.
var ErrKeyFile = errors.New("key file is not usable")

// currentMarker follows the secret of the key that seals new tokens.
const currentMarker = "current"

// keyFile is the content of a key file.
type keyFile struct {
	secrets   map[uint8][]byte
	current   uint8
	hasMarker bool // a line contains currentMarker
}

// ReadKeys reads a file of token keys, which must be the same for all instances.
// Each line holds the key's number (0 to 255) and its secret in hexadecimal, at
// least 16 bytes. The word "current" follows the key that seals new tokens; it may
// be left out when there is only one key. Text after # is a comment.
//
// To replace a key without breaking flows, add the new key on all instances, then
// mark it as current on all instances, and remove the old key a token lifetime
// later.
func ReadKeys(file string) (*token.Keys, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrapf(ErrKeyFile, "%v", err)
	}
	k := keyFile{secrets: map[uint8][]byte{}}
	lines := bufio.NewScanner(strings.NewReader(string(data)))
	for number := 1; lines.Scan(); number++ {
		if err := k.addLine(lines.Text()); err != nil {
			return nil, errors.Wrapf(ErrKeyFile, "%s:%d: %v", file, number, err)
		}
	}
	if err := lines.Err(); err != nil {
		return nil, errors.Wrapf(ErrKeyFile, "%s: %v", file, err)
	}
	if len(k.secrets) > 1 && !k.hasMarker {
		return nil, errors.Wrapf(ErrKeyFile, "%s: none of %d keys is marked %q", file, len(k.secrets), currentMarker)
	}
	keys, err := token.NewKeys(k.current, k.secrets)
	if err != nil {
		return nil, errors.Wrapf(ErrKeyFile, "%s: %v", file, err)
	}
	return keys, nil
}

// addLine parses one line. Its errors never contain a secret.
func (k *keyFile) addLine(line string) error {
	text, _, _ := strings.Cut(line, "#")
	words := strings.Fields(text)
	if len(words) == 0 {
		return nil
	}
	if len(words) < 2 || len(words) > 3 {
		return errors.Errorf("field \"key\": %d words are not a number, a secret and optionally %q", len(words), currentMarker)
	}
	number, err := strconv.ParseUint(words[0], 10, 8)
	if err != nil {
		return errors.Errorf("field \"number\": value %q is not within 0 to 255", words[0])
	}
	secret, err := hex.DecodeString(words[1])
	if err != nil {
		return errors.Errorf("field \"secret\": value of key %d is not hexadecimal", number)
	}
	if _, found := k.secrets[uint8(number)]; found {
		return errors.Errorf("field \"number\": value %d is given twice", number)
	}
	k.secrets[uint8(number)] = secret
	if len(words) == 3 {
		return k.markCurrent(uint8(number), words[2])
	}
	if !k.hasMarker {
		k.current = uint8(number)
	}
	return nil
}

func (k *keyFile) markCurrent(number uint8, word string) error {
	if word != currentMarker {
		return errors.Errorf("field \"mark\": value %q is not %q", word, currentMarker)
	}
	if k.hasMarker {
		return errors.Errorf("field \"mark\": keys %d and %d are both marked %q", k.current, number, currentMarker)
	}
	k.current, k.hasMarker = number, true
	return nil
}
