package main

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"fawnplank/internal/authz"
	"fawnplank/internal/billingservice"
	"fawnplank/internal/config"
	"fawnplank/internal/dispatch"
	"fawnplank/internal/limitserver"
	"fawnplank/internal/logging"
	"fawnplank/internal/metrics"
	"fawnplank/internal/tlsconfig"
)

// limitService is the server of limit commands. A nil *limits means that the server is off; its methods may still
// be called.
type limitService struct{ server *limitserver.Server }

// limitServiceOptions configures serveLimits.
type limitServiceOptions struct {
	Dispatcher       *dispatch.Dispatcher
	Metrics          *metrics.Registry
	Configuration    *config.Config
	OperatorSettings *config.OperatorSettings
	Accounts         *billingservice.Service // if nil, there are no commands on accounts
}

// serveLimits starts the server of limit commands. It returns nil if the operator file names no address for
// it.
func serveLimits(ctx context.Context, options limitServiceOptions) (*limitService, error) {
	if options.OperatorSettings.LimitCommands.Listen == "" {
		return nil, nil
	}
	listener, err := listenLimits(ctx, options)
	if err != nil {
		return nil, err
	}
	server := newLimitServer(options)
	metrics.AddGauges(options.Metrics, server, limitGauges)
	go func() { // ends when limits.Close is called
		if err := server.Serve(listener); err != nil {
			logging.For(limitsComponent).WithError(err).Error("stopped")
		}
	}()
	logging.For(limitsComponent).WithField(logging.Address, listener.Addr().String()).Info("listening")
	return &limitService{server}, nil
}

// listenLimits listens on the address that the operator file names, with TLS if it names a certificate.
func listenLimits(ctx context.Context, options limitServiceOptions) (net.Listener, error) {
	settings := options.OperatorSettings.LimitCommands
	var listenConfig net.ListenConfig
	listener, err := listenConfig.Listen(ctx, "tcp", settings.Listen)
	if err != nil {
		return nil, err
	}
	if !settings.TLSFiles().Enabled() {
		return listener, nil
	}
	source, err := tlsconfig.New(settings.TLSFiles())
	if err != nil {
		_ = listener.Close() // no connection has been accepted
		return nil, err
	}
	metrics.AddGauges(options.Metrics, source, limitCertificateGauges)
	return tls.NewListener(listener, source.ServerConfig()), nil
}

func newLimitServer(options limitServiceOptions) *limitserver.Server {
	serverOptions := limitserver.Options{
		Dispatcher:     options.Dispatcher,
		Settings:       limitSettings(options.Configuration, options.OperatorSettings),
		MaxConnections: options.OperatorSettings.LimitCommands.MaxConnections,
		Keys:           map[string]authz.Key{},
	}
	for _, key := range options.OperatorSettings.LimitCommands.Keys {
		serverOptions.Keys[key.Name] = key.Key
	}
	if options.Accounts != nil { // a nil service stored in the interface would not compare as nil
		serverOptions.Accounts = options.Accounts
	}
	return limitserver.New(serverOptions)
}

// limitSettings returns what limit commands may name, and how they are checked.
func limitSettings(configuration *config.Config, operator *config.OperatorSettings) limitserver.Settings {
	class, _ := configuration.CheckOnlyClass()
	return limitserver.Settings{
		Class:     class,
		Timeout:   time.Duration(operator.LimitCommands.AnswerTimeout),
		Plans:     configuration.Plans,
		Instances: configuration.Settings.Instances,
		MaxUnits:  configuration.MaxUnits,
	}
}

// UpdateSettings applies the plans of a reloaded configuration.
func (l *limitService) UpdateSettings(settings limitserver.Settings) {
	if l != nil {
		l.server.UpdateSettings(settings)
	}
}

// Close stops the server.
func (l *limitService) Close() {
	if l != nil {
		_ = l.server.Close() // nothing can be done about a listener that does not close
	}
}
