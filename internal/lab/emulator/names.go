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

// The zone that the gateway's operators keep the backends in where a scenario lists them by DNS.
const (
	ZoneOrigin  = "lab."            // the zone's own name
	ZoneService = "_calc._tcp.lab." // the name of the SRV records
)

const (
	recordTTLSeconds = 30

	// maxQueuedUpdates is how many changes wait for an instance that is down; further ones are dropped.
	maxQueuedUpdates = 1 << 16

	updateTimeout     = time.Second
	updateRetryPeriod = 50 * time.Millisecond
)

// updateQueues holds the changes of the list that go out as dynamic updates, for each instance in their
// order.
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

// add queues a change for every instance; one whose queue is full misses it.
func (q *updateQueues) add(changed endpoint) {
	for _, queue := range q.instances {
		select {
		case queue <- changed:
		default:
		}
	}
}

// ZoneFile returns the zone file of the scenario's backends at the start.
func (e *Emulator) ZoneFile() string {
	var file strings.Builder
	fmt.Fprintf(&file, "$ORIGIN %s\n$TTL %d\n", ZoneOrigin, recordTTLSeconds)
	file.WriteString("@ IN SOA ns admin 1 3600 600 86400 30\n@ IN NS ns\nns IN A 127.0.0.1\n")
	for _, listed := range e.discovery.snapshot(noInstance).Endpoints {
		for _, record := range listed.records() {
			fmt.Fprintln(&file, record)
		}
	}
	return file.String()
}

// SendUpdates sends an instance's name server, at the address given, the changes from now on, until Close. It
// is called once for each instance.
func (e *Emulator) SendUpdates(instance int, address string, key dnsserver.Key) {
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

// sendUpdate sends a change until it is answered. It counts as delivered from the first attempt on: the
// instance may have applied one whose answer was lost.
func (e *Emulator) sendUpdate(instance int, changed endpoint, address string, key dnsserver.Key) {
	e.observeDelivery(instance, changed)
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

// updateMessage returns the update that replaces the endpoint's records, or removes those of one that is
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

// records returns the endpoint's records: SRV first, then those at its own name.
func (e endpoint) records() []dns.RR {
	host, port, _ := net.SplitHostPort(e.Address) // the address of a listener is well formed
	target := e.Name + "." + ZoneOrigin
	return []dns.RR{
		newRecord("%s SRV 0 100 %s %s", ZoneService, port, target),
		newRecord("%s A %s", target, host),
		newRecord("%s TXT %s", target, e.attributes()),
	}
}

// attributes returns the text of the TXT record, which has what A and SRV have no place for.
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

// newRecord parses a record of this file's own making.
func newRecord(format string, args ...any) dns.RR {
	record, err := dns.NewRR(fmt.Sprintf(format, args...))
	if err != nil {
		panic(fmt.Sprintf("emulator: %v", err)) // a fault of this file
	}
	record.Header().Ttl = recordTTLSeconds
	return record
}
