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
	// commandTimeout is the timeout of a command. It is longer than the billing service's own wait for an election.
	commandTimeout = 20 * time.Second
	// electionRetryInterval is the time between two commands while the replicas have no leader.
	electionRetryInterval = 100 * time.Millisecond
	// reservationLines is the number of lines after the first line of the answer to a reservation. The first of them
	// contains the epoch.
	reservationLines = 4
)

// clientOptions configure one client.
type clientOptions struct {
	index            int // number of the client, which determines its tenants
	address          string
	certificates     *tlsconfig.CertificateSource // nil: without TLS
	electionDeadline time.Time
	duration         time.Duration
}

// errNotReserved means that a reservation was refused. All reservations are refused while the replicas have no
// leader.
var errNotReserved = errors.New("reservation refused")

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

// runClient reserves and commits units until the duration has passed since its first success. It returns the
// latencies of the commands after that success.
func runClient(ctx context.Context, options clientOptions) ([]time.Duration, error) {
	c, err := dial(ctx, options.address, options.certificates)
	if err != nil {
		return nil, err
	}
	defer func() { _ = c.conn.Close() }() // all answers have been read, so an error does not matter
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

// commandLatencies are the latencies of a reservation's two commands.
type commandLatencies struct{ reserve, commit time.Duration }

// reserveAndCommit reserves a unit and commits it. If the reservation is refused, it returns an error that wraps
// errNotReserved and contains the answer.
func (c *client) reserveAndCommit(tenant string, reservationNumber int) (commandLatencies, error) {
	var latencies commandLatencies
	start := time.Now()
	epoch, err := c.reserve(tenant, reservationNumber)
	if err != nil {
		return latencies, err
	}
	reservedAt := time.Now()
	if err := c.commit(tenant, reservationNumber, epoch); err != nil {
		return latencies, err
	}
	latencies.reserve = reservedAt.Sub(start)
	latencies.commit = time.Since(reservedAt)
	return latencies, nil
}

// reserve reserves one unit and returns the reservation's epoch.
func (c *client) reserve(tenant string, reservationNumber int) (epoch string, err error) {
	command := fmt.Sprintf("RESERVE.NEW %s r%d %s %s 1 30000", tenant, reservationNumber, keyName, planName)
	answer, err := c.send(command)
	if err != nil {
		return "", err
	}
	if answer.epoch == "" {
		return "", fmt.Errorf("%w: %s", errNotReserved, answer.errorLine)
	}
	return answer.epoch, nil
}

// commit commits one unit of a reservation.
func (c *client) commit(tenant string, reservationNumber int, epoch string) error {
	answer, err := c.send(fmt.Sprintf("RESERVE.COMMIT %s r%d %s 1", tenant, reservationNumber, epoch))
	if err != nil {
		return fmt.Errorf("commit failed: %w", err)
	}
	if answer.errorLine != "" {
		return errors.New("commit refused: " + answer.errorLine)
	}
	return nil
}

// answer is the answer to a command. Both fields are empty if it is neither a reservation nor an error.
type answer struct {
	epoch     string // epoch of the reservation
	errorLine string // the line of an error answer
}

// send sends a command and reads the answer.
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

// readReservation reads the rest of a reservation's answer and returns its epoch.
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
