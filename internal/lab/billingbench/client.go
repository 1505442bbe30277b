package billingbench

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"time"

	"fawnplank/internal/tlsconfig"
)

const (
	// commandTimeout is the timeout of one command. It exceeds the time for which the billing service waits for an
	// election.
	commandTimeout = 20 * time.Second
	// electionRetryInterval is the interval between two attempts to reserve while the replicas have no leader.
	electionRetryInterval = 100 * time.Millisecond
	// reservationLines is the number of lines that follow the first line of the answer to RESERVE.NEW. The first of
	// them holds the epoch.
	reservationLines = 4
)

// clientOptions configure one client.
type clientOptions struct {
	index            int // determines the client's tenants, which no other client uses
	address          string
	certificates     *tlsconfig.CertificateSource // nil: without TLS
	electionDeadline time.Time
	duration         time.Duration
}

// errNotReserved reports a rejected reservation. Every reservation is rejected while the replicas have no leader.
var errNotReserved = errors.New("accounts: reservation rejected")

// client is a connection to the limit server.
type client struct {
	conn   net.Conn
	reader *bufio.Reader
}

func dial(ctx context.Context, address string, certificates *tlsconfig.CertificateSource) (*client, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if certificates != nil {
		conn = tls.Client(conn, certificates.ClientConfig())
	}
	return &client{conn: conn, reader: bufio.NewReader(conn)}, nil
}

// runClient reserves and commits units for the configured duration, counted from its first success. It returns the
// latencies of the commands after that success. It retries rejected reservations until the election deadline.
func runClient(ctx context.Context, options clientOptions) ([]time.Duration, error) {
	c, err := dial(ctx, options.address, options.certificates)
	if err != nil {
		return nil, err
	}
	defer func() { _ = c.conn.Close() }() // nothing is lost: all measured answers have been read
	if _, err := c.send("AUTH " + keyName + " " + keySecret); err != nil {
		return nil, err
	}
	var latencies []time.Duration
	var firstSuccess time.Time
	isFinished := func() bool {
		return !firstSuccess.IsZero() && (time.Since(firstSuccess) >= options.duration || ctx.Err() != nil)
	}
	for iteration := 0; !isFinished(); iteration++ {
		tenant := tenantID(options.index*tenantsPerClient + iteration%tenantsPerCycle)
		commandLatency, err := c.reserveAndCommit(tenant, iteration)
		if errors.Is(err, errNotReserved) && !time.Now().After(options.electionDeadline) {
			time.Sleep(electionRetryInterval)
			continue
		}
		if err != nil {
			return latencies, err
		}
		if firstSuccess.IsZero() {
			firstSuccess = time.Now()
			continue
		}
		latencies = append(latencies, commandLatency.reserve, commandLatency.commit)
	}
	return latencies, nil
}

// commandLatencies holds the latencies of the commands RESERVE.NEW and RESERVE.COMMIT of one reservation.
type commandLatencies struct{ reserve, commit time.Duration }

// reserveAndCommit reserves one unit and commits it. If the reservation is rejected, it returns errNotReserved wrapped
// with the server's error line.
func (c *client) reserveAndCommit(tenant string, number int) (commandLatencies, error) {
	var latencies commandLatencies
	start := time.Now()
	epoch, err := c.reserve(tenant, number)
	if err != nil {
		return latencies, err
	}
	reservedAt := time.Now()
	if err := c.commit(tenant, number, epoch); err != nil {
		return latencies, err
	}
	latencies.reserve = reservedAt.Sub(start)
	latencies.commit = time.Since(reservedAt)
	return latencies, nil
}

// reserve reserves one unit under an identifier made from the number, and returns the reservation's epoch.
func (c *client) reserve(tenant string, number int) (epoch string, err error) {
	command := fmt.Sprintf("RESERVE.NEW %s r%d %s %s 1 30000", tenant, number, keyName, planName)
	answer, err := c.send(command)
	if err != nil {
		return "", err
	}
	if answer.epoch == "" {
		return "", fmt.Errorf("%w: %s", errNotReserved, answer.errorLine)
	}
	return answer.epoch, nil
}

// commit commits one unit of the reservation with the given number and epoch.
func (c *client) commit(tenant string, number int, epoch string) error {
	answer, err := c.send(fmt.Sprintf("RESERVE.COMMIT %s r%d %s 1", tenant, number, epoch))
	if err != nil {
		return fmt.Errorf("accounts: send commit: %w", err)
	}
	if answer.errorLine != "" {
		return errors.New("accounts: commit rejected: " + answer.errorLine)
	}
	return nil
}

// answer is the server's answer to a command. Both fields are empty if the answer is neither a reservation nor an
// error.
type answer struct {
	epoch     string // of the reservation, if the answer is one
	errorLine string // the first line, if the answer is an error
}

// send sends a command and reads its answer.
func (c *client) send(command string) (answer, error) {
	if err := c.conn.SetDeadline(time.Now().Add(commandTimeout)); err != nil {
		return answer{}, err
	}
	if _, err := io.WriteString(c.conn, command+"\r\n"); err != nil {
		return answer{}, err
	}
	line, err := c.reader.ReadString('\n')
	if err != nil {
		return answer{}, err
	}
	switch line[0] {
	case '-':
		return answer{errorLine: strings.TrimSpace(line)}, nil
	case '*':
		epoch, err := c.readReservation()
		return answer{epoch: epoch}, err
	default:
		return answer{}, nil
	}
}

// readReservation reads the lines after the first line of the answer to RESERVE.NEW and returns the epoch.
func (c *client) readReservation() (string, error) {
	epoch := ""
	for lineIndex := range reservationLines {
		line, err := c.reader.ReadString('\n')
		if err != nil {
			return "", err
		}
		if lineIndex == 0 {
			epoch = strings.TrimSpace(line[1:])
		}
	}
	return epoch, nil
}
