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

// Options say what to measure.
type Options struct {
	// TLS encrypts the connections of clients and those between replicas.
	TLS bool
	// Clients is how many connections send one command after the other; 0 fails, since only clients
	// wait for the replicas to elect a leader.
	Clients int
	// Duration is how long they send, each from its first success on.
	Duration time.Duration
}

// Cost is what was measured. Times are in milliseconds, except for RequestOverheadNanos.
type Cost struct {
	TLS                  bool
	Clients              int
	CommandsPerSecond    float64 // a reservation, then a commit
	CommandP50           float64
	CommandP99           float64
	ReleaseDelay         float64 // of an abandoned reservation after the end of its lease; the worst measured
	ReleaseDelayBound    float64 // the documented upper bound of ReleaseDelay
	RequestOverheadNanos float64 // by how much billing lengthens a request
}

const (
	// electionTimeout is how long clients wait for the replicas to elect a leader: an election takes a second
	// or so.
	electionTimeout = 10 * time.Second
	// abandonedReservations is how many are measured, one after the other, as each waits for a compaction.
	abandonedReservations = 5
	// abandonedUnits is how many units each reserves: far below the quota.
	abandonedUnits = billing.MicroUnits(1e6)
	// abandonedLease is the lease of such a reservation.
	abandonedLease = 200 * time.Millisecond
	// firstAbandonedTenant is above the tenants that clients use.
	firstAbandonedTenant = 0xf000
	// releasePollInterval is the time between two looks at an account. It limits how exactly a release is timed.
	releasePollInterval = 10 * time.Millisecond
	// ordinaryRequests is how many requests are billed to time one, for tenantsInTurn tenants.
	ordinaryRequests = 1_000_000
	// tenantsInTurn is how many tenants a client, or the ordinary path, uses in turn.
	tenantsInTurn = 100
	// tenantsPerClient is the distance between the first tenants of two clients, so that they share none.
	tenantsPerClient = 1000
	// planName is the only plan of the tenants.
	planName = "team"
)

// Measure measures the commands of clients, the release of abandoned reservations and the ordinary path, one
// after the other. It ends early, with an error, when ctx does.
func Measure(ctx context.Context, options Options) (cost Cost, err error) {
	cost.TLS = options.TLS
	cost.Clients = options.Clients
	folder, err := os.MkdirTemp("", "fawnplank-accounts-")
	if err != nil {
		return cost, err
	}
	defer func() { _ = os.RemoveAll(folder) }() // the system cleans up a folder that is left behind
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
	cost.measureOrdinaryPath(c.services[2])
	return cost, nil
}

// tenantID returns the identifier of a tenant.
func tenantID(tenant int) string { return fmt.Sprintf("%016x", tenant) }

// measureCommands makes clients reserve and commit, each for its own tenants.
func (c *Cost) measureCommands(
	ctx context.Context, duration time.Duration, address string, certificates *tlsconfig.CertificateSource,
) error {
	var mu sync.Mutex
	var latencies []time.Duration
	var failures error
	var clients sync.WaitGroup
	electionDeadline := time.Now().Add(electionTimeout)
	for index := range c.Clients {
		clients.Go(func() {
			measured, err := runClient(ctx, clientOptions{
				index:            index,
				address:          address,
				certificates:     certificates,
				electionDeadline: electionDeadline,
				duration:         duration,
			})
			mu.Lock()
			defer mu.Unlock()
			latencies = append(latencies, measured...)
			failures = errors.Join(failures, err)
		})
	}
	clients.Wait()
	if failures != nil || len(latencies) == 0 {
		return errors.Join(failures, ctx.Err())
	}
	slices.Sort(latencies)
	c.CommandsPerSecond = float64(len(latencies)) / duration.Seconds()
	c.CommandP50 = inMillis(latencies[len(latencies)/2])
	c.CommandP99 = inMillis(latencies[len(latencies)*99/100])
	return nil
}

// measureRelease abandons reservations, and measures how long after the end of their leases the units are
// released.
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
			return fmt.Errorf("accounts: reserve: %w", err)
		}
		awaitRelease(ctx, service, tenant)
		late := time.Duration(time.Now().UnixNano() - reservation.ExpiresNanos)
		c.ReleaseDelay = max(c.ReleaseDelay, inMillis(late))
	}
	return ctx.Err()
}

// awaitRelease waits until a tenant has no reservation, or ctx ends. If a read fails, as during an election,
// it tries again.
func awaitRelease(ctx context.Context, service *billingservice.Service, tenant string) {
	for ctx.Err() == nil {
		account, _, err := service.Account(tenant, planName)
		if err == nil && len(account.Reservations) == 0 {
			return
		}
		time.Sleep(releasePollInterval)
	}
}

// measureOrdinaryPath measures the time of what the gateway does for a request when billing is on.
func (c *Cost) measureOrdinaryPath(service *billingservice.Service) {
	start := time.Now()
	for n := range ordinaryRequests {
		tenant := tenantID(n % tenantsInTurn)
		service.TenantPlan(tenant)
		service.RecordUsage(tenant, planName, start, 1)
	}
	c.RequestOverheadNanos = float64(time.Since(start)) / ordinaryRequests
}

func inMillis(duration time.Duration) float64 { return float64(duration) / 1e6 }
