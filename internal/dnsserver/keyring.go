package dnsserver

import (
	"crypto/hmac"
	"encoding/hex"

	"github.com/miekg/dns"
)

// keyring maps key names to keys, and implements dns.TsigProvider. It signs and verifies only with the configured keys,
// and uses each key only with its own algorithm.
type keyring map[string]Key

func newKeyring(keys []Key) keyring {
	ring := keyring{}
	for _, key := range keys {
		ring[key.Name] = key
	}
	return ring
}

// mac computes the MAC of a message with the key and algorithm that the TSIG record names.
func (r keyring) mac(message []byte, tsig *dns.TSIG) ([]byte, error) {
	key, ok := r[dns.CanonicalName(tsig.Hdr.Name)]
	if !ok {
		return nil, dns.ErrSecret
	}
	if dns.CanonicalName(tsig.Algorithm) != key.Algorithm {
		return nil, dns.ErrKeyAlg
	}
	mac := hmac.New(hashByAlgorithm[key.Algorithm], key.Secret)
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
