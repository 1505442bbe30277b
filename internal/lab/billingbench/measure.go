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
	// TLS enables encryption of the connections of clients and of those between replicas.
	TLS bool
	// Clients is the number of concurrent clients, each of which sends one command at a time. With 0 clients Measure
	// fails, because only clients wait until the replicas have elected a leader.
	Clients int
	// Duration is the time for which each client sends commands after its first success.
	Duration time.Duration
}

// Cost holds the results of a measurement. Times are in milliseconds, except for RequestOverheadNanos.
type Cost struct {
	TLS                  bool
	Clients              int
	CommandsPerSecond    float64 // reservations and commits together
	CommandP50           float64
	CommandP99           float64
	ReleaseDelay         float64 // from the end of an abandoned reservation's lease to its release; the maximum
	ReleaseDelayBound    float64 // the documented upper bound of ReleaseDelay
	RequestOverheadNanos float64 // time that billing adds to a request
}

const (
	// electionTimeout is the time for which clients wait until the replicas have elected a leader. An election takes
	// about a second.
	electionTimeout = 10 * time.Second
	// abandonedReservations is the number of abandoned reservations. They are measured one after the other, and each is
	// released only by a compaction.
	abandonedReservations = 5
	// abandonedUnits is the size of each abandoned reservation, which is far below the quota.
	abandonedUnits = billing.MicroUnits(1e6)
	// abandonedLease is the lease duration of an abandoned reservation.
	abandonedLease = 200 * time.Millisecond
	// firstAbandonedTenant is the first tenant with an abandoned reservation. Its number is above those of the clients'
	// tenants.
	firstAbandonedTenant = 0xf000
	// releasePollInterval is the interval at which an account is polled for a release. It limits the precision of
	// ReleaseDelay.
	releasePollInterval = 10 * time.Millisecond
	// overheadRequests is the number of requests that RequestOverheadNanos is averaged over.
	overheadRequests = 1_000_000
	// tenantsPerCycle is the number of tenants that a client, or the measurement of the request overhead, uses in turn.
	tenantsPerCycle = 100
	// tenantsPerClient is the distance between the first tenants of two clients. It exceeds tenantsPerCycle, so that
	// clients share no tenant.
	tenantsPerClient = 1000
	// planName is the name of the only plan, which all tenants have.
	planName = "team"
)

// Measure measures, one after the other, the commands of clients, the release of abandoned reservations, and the
// overhead of billing per request. If ctx is canceled, it stops early and returns an error.
func Measure(ctx context.Context, options Options) (cost Cost, err error) {
	cost.TLS = options.TLS
	cost.Clients = options.Clients
	folder, err := os.MkdirTemp("", "fawnplank-accounts-")
	if err != nil {
		return cost, err
	}
	defer func() { _ = os.RemoveAll(folder) }() // if it fails, the system's cleanup of temporary files removes the folder
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

// tenantID returns the identifier of the tenant with the given number.
func tenantID(tenant int) string { return fmt.Sprintf("%016x", tenant) }

// measureCommands runs concurrent clients that reserve and commit units, each for tenants of its own.
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

// measureRelease makes reservations that it neither commits nor renews, and measures the delay from the end of the
// lease until the units are released.
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
			return fmt.Errorf("accounts: reserve units to abandon: %w", err)
		}
		awaitRelease(ctx, service, tenant)
		delay := time.Duration(time.Now().UnixNano() - reservation.ExpiresNanos)
		c.ReleaseDelay = max(c.ReleaseDelay, inMillis(delay))
	}
	return ctx.Err()
}

// awaitRelease waits until a tenant has no reservation or ctx is done. It retries failed reads, since reads fail
// during an election.
func awaitRelease(ctx context.Context, service *billingservice.Service, tenant string) {
	for ctx.Err() == nil {
		account, _, err := service.Account(tenant, planName)
		if err == nil && len(account.Reservations) == 0 {
			return
		}
		time.Sleep(releasePollInterval)
	}
}

// measureRequestOverhead measures the calls that a gateway makes to the billing service for each request.
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
