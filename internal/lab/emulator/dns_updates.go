package emulator

import (
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/miekg/dns"

	"fawnplank/internal/dnsserver"
	"fawnplank/policy"
)

// Names of the DNS zone that lists the backends if DNS is the scenario's source of discovery.
const (
	ZoneOrigin  = "lab."            // name of the zone
	ZoneService = "_calc._tcp.lab." // name of the SRV records
)

const (
	recordTTLSeconds = 30

	// maxQueuedUpdates is how many changes are queued for an instance that is down; further changes are dropped.
	maxQueuedUpdates = 1 << 16

	updateTimeout     = time.Second
	updateRetryPeriod = 50 * time.Millisecond
)

// updateQueues holds one queue per instance of changes of the list that are to be sent as dynamic updates.
type updateQueues struct {
	instances []chan endpoint
}

func newUpdateQueues(instances int) *updateQueues {
	q := &updateQueues{}
	for range instances {
		q.instances = append(q.instances, make(chan endpoint, maxQueuedUpdates))
	}
	return q
}

// enqueue queues a change for every instance. It drops the change for an instance whose queue is full.
func (q *updateQueues) enqueue(changed endpoint) {
	for _, queue := range q.instances {
		select {
		case queue <- changed:
		default:
		}
	}
}

// ZoneFile returns a zone file with the backends of the current endpoint list.
func (e *Emulator) ZoneFile() string {
	var file strings.Builder
	fmt.Fprintf(&file, "$ORIGIN %s\n$TTL %d\n", ZoneOrigin, recordTTLSeconds)
	file.WriteString("@ IN SOA ns admin 1 3600 600 86400 30\n@ IN NS ns\nns IN A 127.0.0.1\n")
	for _, listed := range e.discovery.snapshot().Endpoints {
		for _, record := range listed.records() {
			fmt.Fprintln(&file, record)
		}
	}
	return file.String()
}

// StartDNSUpdates starts a goroutine that sends each later change of the endpoint list as a dynamic update to the
// instance's name server at the given address, until Close. It must be called once for each instance.
func (e *Emulator) StartDNSUpdates(instance int, address string, key dnsserver.Key) {
	go func() {
		for {
			select {
			case <-e.closed:
				return
			case changed := <-e.discovery.updates.instances[instance]:
				e.sendUpdate(instance, changed, address, key)
			}
		}
	}()
}

// sendUpdate sends a change repeatedly until the name server accepts it. It records the delivery before the first
// attempt, since the instance may have applied an update whose answer was lost.
func (e *Emulator) sendUpdate(instance int, changed endpoint, address string, key dnsserver.Key) {
	e.recordDelivery(instance, changed)
	for {
		select {
		case <-e.closed:
			return
		default:
		}
		if dnsserver.SendUpdate(changed.updateMessage(), address, key, updateTimeout) == nil {
			e.log.CountDNSUpdate()
			return
		}
		time.Sleep(updateRetryPeriod)
	}
}

// updateMessage returns the update that replaces the endpoint's records, or removes them if the endpoint is
// gone.
func (e endpoint) updateMessage() *dns.Msg {
	records := e.records()
	service, host := records[:1], records[1:2]
	message := new(dns.Msg).SetUpdate(ZoneOrigin)
	message.RemoveName(host)
	if e.state == policy.EndpointGone {
		message.Remove(service)
	} else {
		message.Insert(records)
	}
	return message
}

// records returns the endpoint's SRV record, followed by the A and TXT records of the endpoint's own name.
func (e endpoint) records() []dns.RR {
	host, port, _ := net.SplitHostPort(e.Address) // cannot fail: the address comes from a listener
	target := e.Name + "." + ZoneOrigin
	return []dns.RR{
		mustParseRecord("%s SRV 0 100 %s %s", ZoneService, port, target),
		mustParseRecord("%s A %s", target, host),
		mustParseRecord("%s TXT %s", target, e.attributes()),
	}
}

// attributes returns the text of the TXT record, which holds the attributes that A and SRV records cannot express.
func (e endpoint) attributes() string {
	text := fmt.Sprintf(`"fawnplank" "zone=%s" "group=%d" "size=%g"`, e.Zone, e.Group, e.Weight)
	if e.state == policy.EndpointDraining {
		text += ` "status=draining"`
	}
	if e.SinceMs > 0 {
		text += fmt.Sprintf(` "since=%.0f"`, e.SinceMs)
	}
	return text
}

// mustParseRecord formats and parses a record. It panics on a syntax error, which only a mistake in the formats of
// this file can cause.
func mustParseRecord(format string, args ...any) dns.RR {
	record, err := dns.NewRR(fmt.Sprintf(format, args...))
	if err != nil {
		panic(fmt.Sprintf("emulator: parse DNS record: %v", err))
	}
	record.Header().Ttl = recordTTLSeconds
	return record
}
