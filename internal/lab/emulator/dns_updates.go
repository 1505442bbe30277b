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

// The zone in which the gateway's operators keep the backends if a scenario lists them by DNS.
const (
	ZoneOrigin  = "lab."            // the zone's own name
	ZoneService = "_calc._tcp.lab." // the name of the SRV records
)

const (
	recordTTLSeconds = 30

	// maxQueuedUpdates is how many changes can wait for an instance that is down; further ones are dropped.
	maxQueuedUpdates = 1 << 16

	updateTimeout     = time.Second
	updateRetryPeriod = 50 * time.Millisecond
)

// updateQueues holds the changes of the list that are sent as dynamic updates, in order for each instance.
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

// add queues a change for every instance. An instance whose queue is full misses it.
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

// sendUpdate sends a change until it is answered. The change counts as delivered from the first attempt on,
// since the instance may have applied an update whose answer was lost.
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

// records returns the endpoint's records: first SRV, then those at the endpoint's own name.
func (e endpoint) records() []dns.RR {
	host, port, _ := net.SplitHostPort(e.Address) // the address of a listener is well formed
	target := e.Name + "." + ZoneOrigin
	return []dns.RR{
		newRecord("%s SRV 0 100 %s %s", ZoneService, port, target),
		newRecord("%s A %s", target, host),
		newRecord("%s TXT %s", target, e.attributes()),
	}
}

// attributes returns the text of the TXT record, which holds what has no place in A and SRV.
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

// newRecord parses a record that this file has composed.
func newRecord(format string, args ...any) dns.RR {
	record, err := dns.NewRR(fmt.Sprintf(format, args...))
	if err != nil {
		panic(fmt.Sprintf("emulator: %v", err)) // a mistake in this file
	}
	record.Header().Ttl = recordTTLSeconds
	return record
}
