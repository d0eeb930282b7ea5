package policy

import "bergamotstile/quota"

// Configure replaces the objective weights and the teams after a change of the
// configuration. It keeps everything that the policy has learned from
// measurements.
func (p *Policy) Configure(weights Weights, teams map[string]quota.Team) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.settings.Weights = weights
	p.settings.Teams = teams
	p.thresholds = thresholdsFor(weights)
}
