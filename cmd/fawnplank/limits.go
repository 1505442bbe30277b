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

// limitService runs the server of limit commands. A nil *limitService stands for a server that is off; its methods may
// be called and do nothing.
type limitService struct{ server *limitserver.Server }

// limitServiceOptions configures serveLimits.
type limitServiceOptions struct {
	Dispatcher       *dispatch.Dispatcher
	Metrics          *metrics.Registry
	Configuration    *config.Config
	OperatorSettings *config.OperatorSettings
	Accounts         *billingservice.Service // nil if billing is off; the server then has no account commands
}

// serveLimits starts the server of limit commands. It returns nil if the operator file names no address for the
// server.
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
	go func() { // ends when limitService.Close is called
		if err := server.Serve(listener); err != nil {
			logging.For(limitsComponent).WithError(err).Error("stopped")
		}
	}()
	logging.For(limitsComponent).WithField(logging.Address, listener.Addr().String()).Info("listening")
	return &limitService{server}, nil
}

// listenLimits listens on the limits address of the operator file, with TLS if the operator file names a certificate.
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
	if options.Accounts != nil { // an interface that holds a nil pointer is not equal to nil
		serverOptions.Accounts = options.Accounts
	}
	return limitserver.New(serverOptions)
}

// limitSettings returns the plans, the class and the bounds that apply to limit commands.
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
		_ = l.server.Close() // an error cannot be handled: the process is about to end
	}
}
