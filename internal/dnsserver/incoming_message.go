package dnsserver

import (
	"time"

	"github.com/miekg/dns"
	"github.com/sirupsen/logrus"

	"fawnplank/internal/dnszone"
	"fawnplank/internal/logging"
)

// incomingMessage is a received message with the writer for its answer. Only the goroutine that runs ServeDNS uses it.
type incomingMessage struct {
	writer  dns.ResponseWriter
	request *dns.Msg
	tsig    *dns.TSIG // nil if the message is not signed
}

// logger returns a log entry with the sender's address, and its key if the message is signed.
func (m *incomingMessage) logger() *logrus.Entry {
	entry := logging.For(component).WithField("from", m.writer.RemoteAddr().String())
	if m.tsig != nil {
		entry = entry.WithField("key", m.tsig.Hdr.Name)
	}
	return entry
}

// reply sends an answer. It signs the answer if the request is signed.
func (m *incomingMessage) reply(answer *dns.Msg) {
	if m.tsig != nil {
		answer.SetTsig(m.tsig.Hdr.Name, m.tsig.Algorithm, dnszone.FudgeSeconds, time.Now().Unix())
	}
	m.writeMessage(answer)
}

// replyRcode sends an answer that consists only of an RCODE.
func (m *incomingMessage) replyRcode(rcode int) { m.reply(new(dns.Msg).SetRcode(m.request, rcode)) }

// writeMessage sends an answer without signing it.
func (m *incomingMessage) writeMessage(answer *dns.Msg) {
	if err := m.writer.WriteMsg(answer); err != nil {
		logging.For(component).WithError(err).Debug("answer not sent")
	}
}

func (m *incomingMessage) isTCP() bool { return m.writer.RemoteAddr().Network() == "tcp" }
