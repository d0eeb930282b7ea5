package policy

import "bergamotstile/quota"

// Configure replaces the objective weights and the teams, as a new
// configuration has them. What the policy has learned stays.
func (p *Policy) Configure(weights Weights, teams map[string]quota.Team) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.settings.Weights = weights
	p.settings.Teams = teams
	p.limits = limitsFor(weights)
}
