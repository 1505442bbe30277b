package dnsserver

import (
	"errors"
	"fmt"
	"time"

	"github.com/miekg/dns"

	"fawnplank/internal/dnszone"
)

// SendUpdate signs an update with the key, sends it over TCP to an address, and returns an error unless the server
// answers NOERROR within the timeout. If the server refuses the update, the error contains the RCODE, and the TSIG
// error if there is one.
func SendUpdate(message *dns.Msg, address string, key Key, timeout time.Duration) error {
	message.SetTsig(key.Name, key.Algorithm, dnszone.FudgeSeconds, time.Now().Unix())
	client := dns.Client{Net: "tcp", Timeout: timeout, TsigProvider: newKeyring([]Key{key})}
	answer, _, err := client.Exchange(message, address)
	if answer == nil || answer.Rcode == dns.RcodeSuccess {
		return err
	}
	// The RCODE takes precedence over err, which only means that the signature of the refusal could not be verified.
	err = errors.New(dns.RcodeToString[answer.Rcode])
	if tsig := answer.IsTsig(); tsig != nil && tsig.Error != 0 {
		err = fmt.Errorf("%w (%s)", err, dns.RcodeToString[int(tsig.Error)])
	}
	return err
}
