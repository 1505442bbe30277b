package limitserver

import (
	"bytes"
	"fmt"
	"strconv"

	"fawnplank/internal/dispatch"
	"fawnplank/policy"
)

// The arguments of LIMIT.CHECK and CL.THROTTLE are tenant, plan, units, spread and first; those of LIMIT.PEEK
// are tenant, plan and spread. Each constant is the number of arguments of a command that ends with the named
// argument.
const (
	argumentsThroughPlan       = 2
	argumentsThroughUnits      = 3
	argumentsThroughFirst      = 5
	peekArgumentsThroughSpread = 3
)

// parseCheck parses the arguments of a check.
func (s *Settings) parseCheck(args [][]byte) (dispatch.RequestSpec, error) {
	if len(args) != argumentsThroughPlan && len(args) != argumentsThroughUnits && len(args) != argumentsThroughFirst {
		return dispatch.RequestSpec{}, errArgumentCount
	}
	tenant, plan, err := s.parseTenantPlan(args)
	if err != nil {
		return dispatch.RequestSpec{}, err
	}
	spec := dispatch.RequestSpec{
		Class:       s.Class,
		Plan:        plan,
		Tenant:      tenant,
		Remaining:   s.Timeout,
		Units:       1,
		EntryPoints: s.instances(),
	}
	if len(args) >= argumentsThroughUnits {
		spec.Units, err = s.parseUnits(args[2])
	}
	if err == nil && len(args) >= argumentsThroughFirst {
		spec.EntryPoints, spec.FirstInstance, err = s.parseEntryPoints(args[3], args[4])
	}
	if err != nil {
		return dispatch.RequestSpec{}, err
	}
	return spec, nil
}

// parsePeek parses the arguments of a peek.
func (s *Settings) parsePeek(args [][]byte) (policy.QuotaQuery, error) {
	if len(args) != argumentsThroughPlan && len(args) != peekArgumentsThroughSpread {
		return policy.QuotaQuery{}, errArgumentCount
	}
	tenant, plan, err := s.parseTenantPlan(args)
	if err != nil {
		return policy.QuotaQuery{}, err
	}
	query := policy.QuotaQuery{Tenant: tenant, Plan: plan, EntryPoints: s.instances()}
	if len(args) == argumentsThroughPlan {
		return query, nil
	}
	query.EntryPoints, err = s.parseSpread(args[2])
	return query, err
}

// instances returns the number of instances of the fleet, which is 1 if none is configured.
func (s *Settings) instances() int { return max(s.Instances, 1) }

// parseEntryPoints parses the number of instances that receive a tenant's requests, and the first of them.
func (s *Settings) parseEntryPoints(spread, first []byte) (entryPoints, firstInstance int, err error) {
	entryPoints, err = s.parseSpread(spread)
	if err != nil {
		return 0, 0, err
	}
	firstInstance, err = integerArgument{name: "first", maximum: s.instances() - 1}.parse(first)
	return entryPoints, firstInstance, err
}

// parseSpread parses the number of instances that receive a tenant's requests.
func (s *Settings) parseSpread(text []byte) (int, error) {
	return integerArgument{name: "spread", minimum: 1, maximum: s.instances()}.parse(text)
}

// parseTenantPlan parses the tenant and the plan, which are the first two arguments. The errors of these commands
// call the tenant "customer"; clients depend on that text.
func (s *Settings) parseTenantPlan(args [][]byte) (policy.TenantID, policy.PlanID, error) {
	id, err := strconv.ParseUint(string(args[0]), 16, 64)
	if err != nil || len(args[0]) != tenantIDDigits || id >= tenantIDLimit {
		return 0, 0, fmt.Errorf("customer '%.20s' is no number of 16 hexadecimal digits below 2^33",
			printable(string(args[0])))
	}
	plan, ok := s.Plans[string(args[1])]
	if !ok {
		return 0, 0, fmt.Errorf("no plan '%.40s'", printable(string(args[1])))
	}
	return policy.TenantID(id), plan, nil
}

// parseUnits parses the units of a check, a decimal number. It rejects the other forms that strconv.ParseFloat
// accepts, such as hexadecimal numbers.
func (s *Settings) parseUnits(text []byte) (float64, error) {
	units, err := strconv.ParseFloat(string(text), 64)
	if err != nil || !(units > 0 && units <= s.MaxUnits) || bytes.ContainsAny(text, "xXpP_") {
		return 0, fmt.Errorf("units '%.20s' are not above 0 and at most %g",
			printable(string(text)), s.MaxUnits)
	}
	return units, nil
}

// integerArgument describes an argument that is an integer from minimum to maximum.
type integerArgument struct {
	name    string
	minimum int
	maximum int
}

func (a integerArgument) parse(text []byte) (int, error) {
	integer, err := strconv.Atoi(string(text))
	if err != nil || integer < a.minimum || integer > a.maximum {
		return 0, fmt.Errorf("%s '%.20s' is no whole number from %d to %d",
			a.name, printable(string(text)), a.minimum, a.maximum)
	}
	return integer, nil
}
