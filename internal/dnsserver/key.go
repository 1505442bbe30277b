package dnsserver

import (
	"crypto/sha256"
	"crypto/sha512"
	"encoding/base64"
	"fmt"
	"hash"
	"os"
	"strings"

	"github.com/miekg/dns"
)

const (
	// minSecretBytes is the length of the shortest accepted secret: 128 bits.
	minSecretBytes = 16
	// nonOwnerPermissions is the mask of the permission bits that must be clear on the file of a secret.
	nonOwnerPermissions = 0o077
)

// Key is a TSIG key (RFC 8945) that may update the zone and transfer it.
type Key struct {
	Name      string // as a DNS name in canonical form
	Algorithm string // as a DNS name: hmac-sha256, hmac-sha384 or hmac-sha512; MD5 and SHA-1 are not accepted
	Secret    []byte // at least 16 bytes
}

// hashByAlgorithm maps the accepted algorithms to their hash functions.
var hashByAlgorithm = map[string]func() hash.Hash{
	dns.HmacSHA256: sha256.New,
	dns.HmacSHA384: sha512.New384,
	dns.HmacSHA512: sha512.New,
}

// ReadKey returns a key with the secret that a file contains in base64. Only the file's owner may have access to the
// file. Errors contain the path of the file, or the invalid name or algorithm.
func ReadKey(name, algorithm, file string) (Key, error) {
	key := Key{Name: dns.CanonicalName(name), Algorithm: dns.CanonicalName(algorithm)}
	if _, ok := dns.IsDomainName(name); !ok || key.Name == "." {
		return key, fmt.Errorf("%q is not a valid key name", name)
	}
	if hashByAlgorithm[key.Algorithm] == nil {
		return key, fmt.Errorf("%q is not hmac-sha256, hmac-sha384 or hmac-sha512", algorithm)
	}
	secret, err := readSecret(file)
	if err != nil {
		return key, err
	}
	key.Secret = secret
	return key, nil
}

// readSecret reads the base64 secret in a file.
func readSecret(file string) ([]byte, error) {
	info, err := os.Stat(file)
	if err != nil {
		return nil, err
	}
	if info.Mode().Perm()&nonOwnerPermissions != 0 {
		return nil, fmt.Errorf("%s: others than its owner may read it (mode %o)", file, info.Mode().Perm())
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	secret, err := base64.StdEncoding.DecodeString(strings.TrimSpace(string(text)))
	if err != nil {
		return nil, fmt.Errorf("%s: the secret is not valid base64", file)
	}
	if len(secret) < minSecretBytes {
		return nil, fmt.Errorf("%s: the secret has %d bytes; the minimum is %d", file, len(secret), minSecretBytes)
	}
	return secret, nil
}
