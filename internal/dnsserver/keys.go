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

// Key is a TSIG key (RFC 8945) that may update the zone and transfer it.
type Key struct {
	Name      string // of the key, as a DNS name
	Algorithm string // hmac-sha256, hmac-sha384 or hmac-sha512; those with MD5 and SHA-1 are not taken
	Secret    []byte
}

var algorithms = map[string]func() hash.Hash{dns.HmacSHA256: sha256.New, dns.HmacSHA384: sha512.New384, dns.HmacSHA512: sha512.New}

// ReadKey reads a key whose secret stands in a file, in base64. The file must be for its owner's eyes alone.
func ReadKey(name, algorithm, file string) (k Key, err error) {
	k = Key{Name: dns.CanonicalName(name), Algorithm: dns.CanonicalName(algorithm)}
	if _, ok := dns.IsDomainName(name); !ok || k.Name == "." {
		return k, fmt.Errorf("%q is no name of a key", name)
	}
	if algorithms[k.Algorithm] == nil {
		return k, fmt.Errorf("%q is not hmac-sha256, hmac-sha384 or hmac-sha512", algorithm)
	}
	info, err := os.Stat(file)
	if err != nil {
		return k, err
	}
	if info.Mode().Perm()&0o077 != 0 {
		return k, fmt.Errorf("%s: others than its owner may read it (mode %o)", file, info.Mode().Perm())
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return k, err
	}
	if k.Secret, err = base64.StdEncoding.DecodeString(strings.TrimSpace(string(text))); err != nil {
		return k, fmt.Errorf("%s: no base64", file)
	}
	if len(k.Secret) < 16 {
		return k, fmt.Errorf("%s: a secret of %d bytes; 16 at least", file, len(k.Secret))
	}
	return k, nil
}

// keyring signs and checks by the keys of the settings alone, each with its own algorithm alone.
type keyring map[string]Key

func (r keyring) mac(message []byte, t *dns.TSIG) ([]byte, error) {
	k, ok := r[dns.CanonicalName(t.Hdr.Name)]
	if !ok {
		return nil, dns.ErrSecret
	}
	if dns.CanonicalName(t.Algorithm) != k.Algorithm {
		return nil, dns.ErrKeyAlg
	}
	h := hmac.New(algorithms[k.Algorithm], k.Secret)
	h.Write(message)
	return h.Sum(nil), nil
}

// Generate is dns.TsigProvider's.
func (r keyring) Generate(message []byte, t *dns.TSIG) ([]byte, error) { return r.mac(message, t) }

// Verify is dns.TsigProvider's.
func (r keyring) Verify(message []byte, t *dns.TSIG) error {
	want, err := r.mac(message, t)
	if err != nil {
		return err
	}
	if got, err := hex.DecodeString(t.MAC); err != nil || !hmac.Equal(want, got) {
		return dns.ErrSig
	}
	return nil
}
