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
	// clockSkew is the setting that bounds how far the replicas' clocks differ.
	clockSkew = 50 * time.Millisecond
	// The key with which clients authenticate.
	keyName   = "lab"
	keySecret = "laboratory"
	// certificateLifetime is longer than any measurement.
	certificateLifetime = time.Hour
	// spareConnections is how many connections the limit server allows beyond those of the clients.
	spareConnections = 8
)

// settings returns the settings of the billing service: windows that do not end during a measurement, and a
// quota that is not used up.
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
	serving      sync.WaitGroup
	address      string // of the limit server
}

// start starts the cluster. If it fails, close frees what it had started.
func (c *cluster) start(ctx context.Context, options Options) error {
	if options.TLS {
		certificates, err := newCertificates(c.folder)
		if err != nil {
			return fmt.Errorf("accounts: certificates: %w", err)
		}
		c.certificates = certificates
	}
	peers, err := newPeers(ctx, "a", "b", "c")
	if err != nil {
		return err
	}
	for _, peer := range peers {
		if err := c.startReplica(peer, peers); err != nil {
			return fmt.Errorf("accounts: replica %s: %w", peer.ID, err)
		}
	}
	return c.startLimitServer(ctx, options.Clients+spareConnections)
}

// newCertificates makes an authority and a certificate that clients and replicas share.
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

// newPeers returns peers with free addresses.
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

// freeAddress returns an address of loopback that nothing listens on. Another process may take it before it
// is used; then the replica fails to start. It is on 127.0.0.1, the only address in the certificates of testca.
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
	c.serving.Go(func() {
		_ = c.server.Serve(listener) // if it fails early, the clients' commands fail
	})
	return nil
}

// close frees what was started, the latest first.
func (c *cluster) close() {
	if c.server != nil {
		_ = c.server.Close()   // fails only if Serve has not begun; closing the listener ends it then
		_ = c.listener.Close() // closed already otherwise
		c.serving.Wait()
	}
	for n := len(c.replicas) - 1; n >= 0; n-- {
		c.services[n].Close()
		c.replicas[n].Close()
	}
}
