package main

import (
	"errors"
	"fmt"
	"io/fs"

	"fawnplank/internal/config"
	"fawnplank/internal/discovery"
)

// loadConfiguration reads the configuration and the operator file, and validates both completely. The plans and classes
// of the overlay, which come from the replicated store, take precedence over those of the configuration file.
func loadConfiguration(path, operatorPath string,
	overlay config.Overlay) (*config.Config, *config.OperatorSettings, error) {
	configuration, err := config.Read(path, overlay)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil, fmt.Errorf("%w; name an existing file with --config or GW_CONFIG", err)
	}
	if err != nil {
		return nil, nil, err
	}
	if err := discovery.ValidateCachedList(configuration.KnownEndpoints); err != nil {
		return nil, nil, err
	}
	operator, err := readOperator(operatorPath, "name an existing file with --operator or GW_OPERATOR")
	if err != nil {
		return nil, nil, err
	}
	configuration.AddCheckOnlyClass(operator)
	return configuration, operator, nil
}

// readOperator reads the operator file. If the operator file does not exist, the error ends with the hint. If the
// operator file refers to another file that does not exist, the error concerns the key with that reference.
func readOperator(path, hint string) (*config.OperatorSettings, error) {
	operator, err := config.ReadOperatorSettings(path)
	var pathError *fs.PathError
	if errors.As(err, &pathError) && pathError.Path == path && errors.Is(err, fs.ErrNotExist) {
		return nil, fmt.Errorf("%w; %s", err, hint)
	}
	return operator, err
}
