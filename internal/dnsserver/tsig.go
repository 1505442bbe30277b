package dnsserver

import (
	"crypto/hmac"
	"crypto/sha256"
	"crypto/sha512"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"hash"
	"os"
	"strings"

	"github.com/miekg/dns"
)

const (
	// minSecretBytes is the length of the shortest secret accepted, 128 bits.
	minSecretBytes = 16
	// othersPermissions holds the permission bits that the file of a secret must not have.
	othersPermissions = 0o077
)

// Key is a TSIG key (RFC 8945) that may update the zone and transfer it.
type Key struct {
	Name      string // as a DNS name
	Algorithm string // hmac-sha256, hmac-sha384 or hmac-sha512; MD5 and SHA-1 are not accepted
	Secret    []byte
}

var hashes = map[string]func() hash.Hash{
	dns.HmacSHA256: sha256.New,
	dns.HmacSHA384: sha512.New384,
	dns.HmacSHA512: sha512.New,
}

// ReadKey returns a key whose secret it reads from a file in base64. Only the file's owner may have access to
// the file.
func ReadKey(name, algorithm, file string) (Key, error) {
	key := Key{Name: dns.CanonicalName(name), Algorithm: dns.CanonicalName(algorithm)}
	if _, ok := dns.IsDomainName(name); !ok || key.Name == "." {
		return key, fmt.Errorf("%q is no name of a key", name)
	}
	if hashes[key.Algorithm] == nil {
		return key, fmt.Errorf("%q is not hmac-sha256, hmac-sha384 or hmac-sha512", algorithm)
	}
	secret, err := readSecret(file)
	if err != nil {
		return key, err
	}
	key.Secret = secret
	return key, nil
}

func readSecret(file string) ([]byte, error) {
	info, err := os.Stat(file)
	if err != nil {
		return nil, err
	}
	if info.Mode().Perm()&othersPermissions != 0 {
		return nil, fmt.Errorf("%s: others than its owner may read it (mode %o)", file, info.Mode().Perm())
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	secret, err := base64.StdEncoding.DecodeString(strings.TrimSpace(string(text)))
	if err != nil {
		return nil, fmt.Errorf("%s: no base64", file)
	}
	if len(secret) < minSecretBytes {
		return nil, fmt.Errorf("%s: a secret of %d bytes; %d at least", file, len(secret), minSecretBytes)
	}
	return secret, nil
}

// keyring implements dns.TsigProvider. It signs and verifies only with the configured keys, and uses each key
// only with its own algorithm.
type keyring map[string]Key

func newKeyring(keys []Key) keyring {
	ring := keyring{}
	for _, key := range keys {
		ring[key.Name] = key
	}
	return ring
}

func (r keyring) mac(message []byte, tsig *dns.TSIG) ([]byte, error) {
	key, ok := r[dns.CanonicalName(tsig.Hdr.Name)]
	if !ok {
		return nil, dns.ErrSecret
	}
	if dns.CanonicalName(tsig.Algorithm) != key.Algorithm {
		return nil, dns.ErrKeyAlg
	}
	mac := hmac.New(hashes[key.Algorithm], key.Secret)
	_, _ = mac.Write(message) // writing to a hash never returns an error
	return mac.Sum(nil), nil
}

// Generate implements dns.TsigProvider.
func (r keyring) Generate(message []byte, tsig *dns.TSIG) ([]byte, error) {
	return r.mac(message, tsig)
}

// Verify implements dns.TsigProvider.
func (r keyring) Verify(message []byte, tsig *dns.TSIG) error {
	want, err := r.mac(message, tsig)
	if err != nil {
		return err
	}
	if got, err := hex.DecodeString(tsig.MAC); err != nil || !hmac.Equal(want, got) {
		return dns.ErrSig
	}
	return nil
}
