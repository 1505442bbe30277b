package billingbench

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"path/filepath"
	"sync"
	"time"

	"fawnplank/internal/authz"
	"fawnplank/internal/billing"
	"fawnplank/internal/billingservice"
	"fawnplank/internal/lab/testca"
	"fawnplank/internal/limitserver"
	"fawnplank/internal/store"
	"fawnplank/internal/tlsconfig"
)

const (
	// clockSkew is the configured limit of the difference between the replicas' clocks.
	clockSkew = 50 * time.Millisecond
	// The name and secret of the key with which clients authenticate.
	keyName   = "lab"
	keySecret = "laboratory"
	// certificateLifetime is longer than any measurement.
	certificateLifetime = time.Hour
	// spareConnections is the number of connections that the limit server allows beyond those of the clients.
	spareConnections = 8
)

// settings returns the settings of the billing service. Windows are so long that none ends during a measurement, and
// the quota is so large that it is not exhausted.
func settings() billing.Settings {
	return billing.Settings{
		WindowNanos:           3600e9,
		PlanChangeNoticeNanos: 2e9,
		ClockSkewNanos:        int64(clockSkew),
		MaxLeaseNanos:         60e9,
		ExportDelayNanos:      1e9,
		Plans:                 map[string]billing.Quota{planName: {Rate: 1e5, Burst: 1e5}},
	}
}

// cluster is three replicas, each with an instance of the billing service, and a limit server in front of the
// first.
type cluster struct {
	folder       string
	certificates *tlsconfig.CertificateSource // nil: without TLS
	replicas     []*store.Store
	services     []*billingservice.Service
	listener     net.Listener
	server       *limitserver.Server
	serveLoop    sync.WaitGroup
	address      string // of the limit server
}

// start starts the cluster. If it fails, close must be called to stop the parts that were started.
func (c *cluster) start(ctx context.Context, options Options) error {
	if options.TLS {
		certificates, err := newCertificates(c.folder)
		if err != nil {
			return fmt.Errorf("creating certificates: %w", err)
		}
		c.certificates = certificates
	}
	peers, err := newPeers(ctx, "a", "b", "c")
	if err != nil {
		return err
	}
	for _, peer := range peers {
		if err := c.startReplica(peer, peers); err != nil {
			return fmt.Errorf("starting replica %s: %w", peer.ID, err)
		}
	}
	return c.startLimitServer(ctx, options.Clients+spareConnections)
}

// newCertificates creates a certificate authority and a certificate that all clients and replicas use.
func newCertificates(folder string) (*tlsconfig.CertificateSource, error) {
	authority, err := testca.New("laboratory")
	if err != nil {
		return nil, err
	}
	files, err := authority.IssueCertificate(folder, "replica", certificateLifetime)
	if err != nil {
		return nil, err
	}
	return tlsconfig.New(files)
}

// newPeers returns peers with unused addresses.
func newPeers(ctx context.Context, ids ...string) ([]store.Peer, error) {
	var peers []store.Peer
	for _, id := range ids {
		raftAddress, err := freeAddress(ctx)
		if err != nil {
			return nil, err
		}
		apiAddress, err := freeAddress(ctx)
		if err != nil {
			return nil, err
		}
		peers = append(peers, store.Peer{ID: id, Raft: raftAddress, API: apiAddress})
	}
	return peers, nil
}

func listen(ctx context.Context) (net.Listener, error) {
	var config net.ListenConfig
	return config.Listen(ctx, "tcp", "127.0.0.1:0")
}

// freeAddress returns an unused loopback address. If another process takes the address before the replica listens on
// it, the replica fails to start. The address is on 127.0.0.1, the only one that certificates of testca contain.
func freeAddress(ctx context.Context) (string, error) {
	listener, err := listen(ctx)
	if err != nil {
		return "", err
	}
	address := listener.Addr().String()
	return address, listener.Close()
}

func (c *cluster) startReplica(self store.Peer, peers []store.Peer) error {
	replica, err := store.Open(store.Options{
		Dir:   filepath.Join(c.folder, self.ID),
		Self:  self,
		Peers: peers,
		TLS:   c.certificates,
	})
	if err != nil {
		return err
	}
	c.replicas = append(c.replicas, replica)
	c.services = append(c.services, billingservice.Start(billingservice.Options{
		Replica:        replica,
		Instance:       self.ID,
		Settings:       settings,
		ReportInterval: time.Second,
	}))
	return nil
}

func (c *cluster) startLimitServer(ctx context.Context, maxConnections int) error {
	listener, err := listen(ctx)
	if err != nil {
		return err
	}
	c.address = listener.Addr().String()
	if c.certificates != nil {
		listener = tls.NewListener(listener, c.certificates.ServerConfig())
	}
	c.listener = listener
	c.server = limitserver.New(limitserver.Options{
		MaxConnections: maxConnections,
		Accounts:       c.services[0],
		Keys: map[string]authz.Key{keyName: {
			Secret: []byte(keySecret),
			Rights: authz.Read | authz.Reserve | authz.Change,
		}},
	})
	c.serveLoop.Go(func() {
		_ = c.server.Serve(listener) // if Serve fails, so do the clients' commands
	})
	return nil
}

// close stops the parts that were started, in reverse order.
func (c *cluster) close() {
	if c.server != nil {
		_ = c.server.Close()   // fails only before Serve has begun, which the closed listener then ends
		_ = c.listener.Close() // in all other cases the listener is closed already
		c.serveLoop.Wait()
	}
	for n := len(c.replicas) - 1; n >= 0; n-- {
		c.services[n].Close()
		c.replicas[n].Close()
	}
}
