package dnsserver

import (
	"errors"
	"fmt"
	"time"

	"github.com/miekg/dns"

	"fawnplank/internal/dnszone"
)

// SendUpdate signs an update with the key, sends it over TCP to an address, and returns an error unless the
// server answers NOERROR within the timeout. The error names the RCODE, and that of the TSIG if it has one.
func SendUpdate(message *dns.Msg, address string, key Key, timeout time.Duration) error {
	message.SetTsig(key.Name, key.Algorithm, dnszone.FudgeSeconds, time.Now().Unix())
	client := dns.Client{Net: "tcp", Timeout: timeout, TsigProvider: newKeyring([]Key{key})}
	answer, _, err := client.Exchange(message, address)
	if answer == nil || answer.Rcode == dns.RcodeSuccess {
		return err
	}
	// An error from the library only says that it could not verify a refusal.
	err = errors.New(dns.RcodeToString[answer.Rcode])
	if tsig := answer.IsTsig(); tsig != nil && tsig.Error != 0 {
		err = fmt.Errorf("%w (%s)", err, dns.RcodeToString[int(tsig.Error)])
	}
	return err
}
