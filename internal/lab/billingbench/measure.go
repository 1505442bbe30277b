package billingbench

import (
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"sync"
	"time"

	"fawnplank/internal/billing"
	"fawnplank/internal/billingservice"
	"fawnplank/internal/tlsconfig"
)

// Options configure a measurement.
type Options struct {
	// TLS encrypts the connections of clients and those between replicas.
	TLS bool
	// Clients is the number of connections, each of which sends one command after the other. It must be above 0,
	// because only clients wait until the replicas have elected a leader.
	Clients int
	// Duration is how long each client sends commands after its first success.
	Duration time.Duration
}

// Cost holds the measured costs. Times are in milliseconds, except for RequestOverheadNanos.
type Cost struct {
	TLS                  bool
	Clients              int
	CommandsPerSecond    float64 // reservations and commits, which alternate
	CommandP50           float64
	CommandP99           float64
	ReleaseDelay         float64 // longest delay from the end of an abandoned reservation's lease to its release
	ReleaseDelayBound    float64 // the documented upper bound of ReleaseDelay
	RequestOverheadNanos float64 // time that billing adds to a request
}

const (
	// electionTimeout is how long clients wait for the replicas to elect a leader. An election takes about a second.
	electionTimeout = 10 * time.Second
	// abandonedReservations is the number of abandoned reservations whose release is measured. They are measured one
	// after the other, because the release of each waits for a compaction.
	abandonedReservations = 5
	// abandonedUnits is the size of an abandoned reservation, which is far below the quota.
	abandonedUnits = billing.MicroUnits(1e6)
	// abandonedLease is the lease of an abandoned reservation.
	abandonedLease = 200 * time.Millisecond
	// firstAbandonedTenant is the first tenant with an abandoned reservation. Clients use tenants with lower numbers.
	firstAbandonedTenant = 0xf000
	// releasePollInterval is the time between two reads of an account, which limits the precision of the measured
	// delay.
	releasePollInterval = 10 * time.Millisecond
	// overheadRequests is the number of requests over which the overhead per request is averaged.
	overheadRequests = 1_000_000
	// tenantsPerCycle is the number of tenants that a client, or the measurement of the overhead, uses in rotation.
	tenantsPerCycle = 100
	// tenantsPerClient is the distance between the first tenants of two successive clients. It is larger than
	// tenantsPerCycle, so that clients have no common tenants.
	tenantsPerClient = 1000
	// planName is the only plan of the tenants.
	planName = "team"
)

// Measure measures the commands of clients, the release of abandoned reservations and the overhead per request, one
// after the other. If ctx ends, it returns early with an error.
func Measure(ctx context.Context, options Options) (cost Cost, err error) {
	cost.TLS = options.TLS
	cost.Clients = options.Clients
	folder, err := os.MkdirTemp("", "fawnplank-accounts-")
	if err != nil {
		return cost, err
	}
	defer func() { _ = os.RemoveAll(folder) }() // the system cleans up folders for temporary files
	c := &cluster{folder: folder}
	defer c.close()
	if err := c.start(ctx, options); err != nil {
		return cost, err
	}
	if err := cost.measureCommands(ctx, options.Duration, c.address, c.certificates); err != nil {
		return cost, err
	}
	if err := cost.measureRelease(ctx, c.services[1]); err != nil {
		return cost, err
	}
	cost.measureRequestOverhead(c.services[2])
	return cost, nil
}

// tenantID returns the identifier of a tenant.
func tenantID(tenant int) string { return fmt.Sprintf("%016x", tenant) }

// measureCommands measures the commands of concurrent clients that reserve and commit units, each for tenants of its
// own.
func (c *Cost) measureCommands(
	ctx context.Context, duration time.Duration, address string, certificates *tlsconfig.CertificateSource,
) error {
	var mu sync.Mutex
	var latencies []time.Duration
	var clientErrors error
	var clients sync.WaitGroup
	electionDeadline := time.Now().Add(electionTimeout)
	for index := range c.Clients {
		clients.Go(func() {
			clientLatencies, err := runClient(ctx, clientOptions{
				index:            index,
				address:          address,
				certificates:     certificates,
				electionDeadline: electionDeadline,
				duration:         duration,
			})
			mu.Lock()
			defer mu.Unlock()
			latencies = append(latencies, clientLatencies...)
			clientErrors = errors.Join(clientErrors, err)
		})
	}
	clients.Wait()
	if clientErrors != nil || len(latencies) == 0 {
		return errors.Join(clientErrors, ctx.Err())
	}
	slices.Sort(latencies)
	c.CommandsPerSecond = float64(len(latencies)) / duration.Seconds()
	c.CommandP50 = inMillis(latencies[len(latencies)/2])
	c.CommandP99 = inMillis(latencies[len(latencies)*99/100])
	return nil
}

// measureRelease abandons reservations and measures the delay from the end of their leases to their release.
func (c *Cost) measureRelease(ctx context.Context, service *billingservice.Service) error {
	c.ReleaseDelayBound = inMillis(clockSkew + billingservice.CompactionInterval)
	for n := range abandonedReservations {
		tenant := tenantID(firstAbandonedTenant + n)
		reservation, err := service.Reserve(tenant, billing.ReservationRequest{
			ID:         "left",
			Holder:     keyName,
			Plan:       planName,
			MicroUnits: abandonedUnits,
			LeaseNanos: int64(abandonedLease),
		})
		if err != nil {
			return fmt.Errorf("reservation failed: %w", err)
		}
		awaitRelease(ctx, service, tenant)
		delay := time.Duration(time.Now().UnixNano() - reservation.ExpiresNanos)
		c.ReleaseDelay = max(c.ReleaseDelay, inMillis(delay))
	}
	return ctx.Err()
}

// awaitRelease waits until a tenant has no reservation or ctx ends. It retries failed reads, which occur during an
// election.
func awaitRelease(ctx context.Context, service *billingservice.Service, tenant string) {
	for ctx.Err() == nil {
		account, _, err := service.Account(tenant, planName)
		if err == nil && len(account.Reservations) == 0 {
			return
		}
		time.Sleep(releasePollInterval)
	}
}

// measureRequestOverhead measures the time of the calls that a gateway makes for each request if billing is on.
func (c *Cost) measureRequestOverhead(service *billingservice.Service) {
	start := time.Now()
	for n := range overheadRequests {
		tenant := tenantID(n % tenantsPerCycle)
		service.TenantPlan(tenant)
		service.RecordUsage(tenant, planName, start, 1)
	}
	c.RequestOverheadNanos = float64(time.Since(start)) / overheadRequests
}

func inMillis(duration time.Duration) float64 { return float64(duration) / 1e6 }
