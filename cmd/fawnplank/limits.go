package main

import (
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

// limits is the server of limit commands; a nil one is off.
type limits struct{ *limitserver.Server }

// serveLimits starts it, where the operator file names an address.
func serveLimits(f *dispatch.Dispatcher, figures *metrics.Registry, start *config.Config, set *config.Operator, accounts *billingservice.Service) (*limits, error) {
	if set.Limits.Listen == "" {
		return nil, nil
	}
	l, err := net.Listen("tcp", set.Limits.Listen)
	if err != nil {
		return nil, err
	}
	if files := set.Limits.TLS(); files.Enabled() {
		source, err := tlsconfig.New(files)
		if err != nil {
			return nil, err
		}
		l = tls.NewListener(l, source.ServerConfig())
		figures.AddGauges(map[string]metrics.Gauge{"limits_certificate_seconds": {Help: "until the limits' certificate runs out",
			Value: func() float64 { return source.ExpiresIn().Seconds() }}})
	}
	s := limitserver.New(f, limitNames(start, set), set.Limits.MaxConnections)
	s.Keys = map[string]authz.Key{}
	for _, k := range set.Limits.Keys {
		s.Keys[k.Name] = k.Key
	}
	if accounts != nil {
		s.Accounts = accounts
	}
	counts := func(n int) func() float64 {
		return func() float64 {
			granted, refused, faulty := s.Stats()
			return float64([]uint64{granted, refused, faulty}[n])
		}
	}
	figures.AddGauges(map[string]metrics.Gauge{
		"limit_checks_granted": {Help: "limit checks that found room", Value: counts(0)},
		"limit_checks_refused": {Help: "limit checks that found none", Value: counts(1)},
		"limit_faults":         {Help: "limit commands answered with an error", Value: counts(2)}})
	go func() {
		if err := s.Serve(l); err != nil {
			logging.For("limits").WithError(err).Error("stopped")
		}
	}()
	logging.For("limits").WithField(logging.Address, l.Addr().String()).Info("listens")
	return &limits{s}, nil
}

func limitNames(start *config.Config, set *config.Operator) limitserver.Settings {
	id, _ := start.LimitClass()
	return limitserver.Settings{Class: id, Timeout: time.Duration(set.Limits.AnswerTimeout), Plans: start.Plans, Instances: start.Settings.Instances,
		MaxUnits: start.MaxUnits}
}

// Retune takes the plans of a configuration read anew.
func (l *limits) Retune(names limitserver.Settings) {
	if l != nil {
		l.Server.UpdateSettings(names)
	}
}

// Close ends it.
func (l *limits) Close() {
	if l != nil {
		l.Server.Close()
	}
}
