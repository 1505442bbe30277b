package dnsserver

import (
	"errors"
	"time"

	"github.com/miekg/dns"

	"fawnplank/internal/dnszone"
	"fawnplank/internal/logging"
)

// plainUDP is what an answer may take where the other side says nothing; ownUDP what is offered: it passes any
// link without being cut up.
const (
	plainUDP = 512
	ownUDP   = 1232
)

// query answers a question about the zone, with authority. Others are refused: names are not looked up for anybody.
func (s *Server) query(w dns.ResponseWriter, m *dns.Msg) *dns.Msg {
	z := s.asked.Load()
	r := new(dns.Msg).SetReply(m)
	q := m.Question[0]
	name := dns.CanonicalName(q.Name)
	if q.Qclass != dns.ClassINET || !dns.IsSubDomain(z.Origin, name) {
		return r.SetRcode(m, dns.RcodeRefused)
	}
	r.Authoritative, r.Compress = true, true
	for range 8 { // aliases: a loop ends here
		r.Answer = append(r.Answer, z.RRset(name, q.Qtype)...)
		alias := z.RRset(name, dns.TypeCNAME)
		if len(alias) == 0 || q.Qtype == dns.TypeCNAME || q.Qtype == dns.TypeANY {
			break
		}
		r.Answer = append(r.Answer, alias...)
		name = alias[0].(*dns.CNAME).Target
	}
	if len(r.Answer) == 0 {
		if len(z.RRset(name, dns.TypeANY)) == 0 && !z.HasDescendants(name) {
			r.Rcode = dns.RcodeNameError
		}
		r.Ns = z.RRset(z.Origin, dns.TypeSOA)
	}
	size := plainUDP
	if opt := m.IsEdns0(); opt != nil {
		r.SetEdns0(ownUDP, false)
		size = min(max(int(opt.UDPSize()), plainUDP), ownUDP)
	}
	if w.RemoteAddr().Network() == "tcp" {
		size = dns.MaxMsgSize
	}
	r.Truncate(size)
	return r
}

var errTransfer = errors.New("not signed, not of this zone, or not over TCP")

// transfer gives the zone to a secondary that signs: whole (RFC 5936), or the changes since a serial (RFC 1995).
func (s *Server) transfer(w dns.ResponseWriter, m *dns.Msg, t *dns.TSIG) {
	s.mu.Lock()
	z, changes := s.zone, s.changes
	s.mu.Unlock()
	q := m.Question[0]
	if t == nil || dns.CanonicalName(q.Name) != z.Origin || w.RemoteAddr().Network() != "tcp" {
		s.refuse(w, t, errTransfer, "transfer refused")
		answer(w, new(dns.Msg).SetRcode(m, dns.RcodeRefused), t)
		return
	}
	soa := z.RRset(z.Origin, dns.TypeSOA)[0]
	rrs := append(z.Records(), soa)
	if q.Qtype == dns.TypeIXFR && len(m.Ns) == 1 {
		if theirs, ok := m.Ns[0].(*dns.SOA); ok {
			if !dnszone.SerialNewer(z.Serial(), theirs.Serial) {
				rrs = []dns.RR{soa}
			} else if some := since(changes, theirs.Serial); some != nil {
				rrs = append(append([]dns.RR{soa}, some...), soa)
			}
		}
	}
	messages := make(chan *dns.Envelope)
	go func() {
		defer close(messages)
		for len(rrs) > 0 {
			n := min(len(rrs), 200) // a record takes some hundred bytes of a message's 64 KB
			select {
			case messages <- &dns.Envelope{RR: rrs[:n]}:
			case <-time.After(10 * time.Second): // the other side has gone
				return
			}
			rrs = rrs[n:]
		}
	}()
	if err := new(dns.Transfer).Out(w, m, messages); err != nil {
		s.log(w, t).WithError(err).Warn("transfer")
	}
	w.Close()
}

// since is what has changed after a serial, in IXFR's order; nil where that is not known any more.
func since(changes []*dnszone.Change, serial uint32) (rrs []dns.RR) {
	found := false
	for _, c := range changes {
		if found = found || c.FromSerial == serial; !found {
			continue
		}
		for _, texts := range [][]string{c.Deleted, c.Added} {
			var rest []dns.RR
			for _, text := range texts {
				rr, err := dns.NewRR(text)
				if err != nil {
					return nil
				}
				if rr.Header().Rrtype == dns.TypeSOA { // leads its part
					rrs = append(rrs, rr)
				} else {
					rest = append(rest, rr)
				}
			}
			rrs = append(rrs, rest...)
		}
	}
	return rrs
}

// announce tells the secondaries that the serial has changed. The lock is held.
func (s *Server) announce() {
	for _, n := range s.news {
		select {
		case n <- struct{}{}:
		default: // it is to be told already
		}
	}
}

// notify tells one secondary (RFC 1996): three tries for each change, and changes meanwhile are told as one.
func (s *Server) notify(at string, news <-chan struct{}) {
	c := dns.Client{Timeout: 2 * time.Second}
	for {
		select {
		case <-s.stop:
			return
		case <-news:
		}
		var err error
		for range 3 {
			soa := s.asked.Load().RRset(s.o.Settings.Origin, dns.TypeSOA)
			m := new(dns.Msg).SetNotify(s.o.Settings.Origin)
			m.Answer = soa
			if _, _, err = c.Exchange(m, at); err == nil {
				break
			}
			select {
			case <-s.stop:
				return
			case <-time.After(time.Second):
			}
		}
		if err != nil {
			logging.For("dns").WithField("secondary", at).WithError(err).Warn("not told of a change")
		}
	}
}
