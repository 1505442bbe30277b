package main

import (
	"fawnplank/internal/config"
	"fawnplank/internal/discovery"
)

// loadConfiguration reads the configuration and the operator file, and checks both whole. Rows of the
// overlay, which stand in the replicated store, take precedence over those of the file.
func loadConfiguration(path, operatorPath string,
	overlay config.Overlay) (*config.Config, *config.Operator, error) {
	configuration, err := config.Read(path, overlay)
	if err != nil {
		return nil, nil, err
	}
	if err := discovery.Check(configuration.KnownEndpoints); err != nil {
		return nil, nil, err
	}
	operator, err := config.ReadOperator(operatorPath)
	if err != nil {
		return nil, nil, err
	}
	configuration.AddLimitClass(operator)
	return configuration, operator, nil
}
