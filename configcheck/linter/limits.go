package linter

import (
	"github.com/currantwood/currantwood"
	"github.com/currantwood/currantwood/budgeter"
)

// checkRouteLimits reports the limits of routes that can't be kept together.
func (c *check) checkRouteLimits() {
	for i, route := range c.document.Routes {
		if route.Timeout <= 0 {
			c.add(TimeoutNotPositive, at(currantwood.FieldRouteTimeout, i), "the timeout is %s: every request of the route times out", route.Timeout)
			continue
		}
		if route.Target > route.Timeout {
			c.add(TargetAboveTimeout, at(currantwood.FieldRouteTarget, i), "the latency objective, %s, is above the timeout, %s", route.Target, route.Timeout)
		}
		if route.GapTarget > route.Timeout {
			c.add(GapTargetAboveTimeout, at(currantwood.FieldRouteGapTarget, i), "the objective for the time between events, %s, is above the timeout, %s", route.GapTarget, route.Timeout)
		}
		c.checkAttempts(i, route)
	}
}

// checkAttempts reports a route whose attempts exceed the retry budget even if no other
// request needs a retry. Only runs of repeatable and resumable requests are retried.
func (c *check) checkAttempts(i int, route currantwood.Route) {
	if c.Settings == nil || !route.RunsAgain() {
		return
	}
	bounds := c.Settings.Bounds
	budget := budgeter.Options{RetryShare: bounds.RetryShare, Reserve: bounds.RetryReserve}.Budget(1, 1)
	if retries := route.MaxUpstreams - 1; float64(retries) > budget {
		c.add(AttemptsOverBudget, at(currantwood.FieldRouteAttempts, i), "%d attempts are %d retries, but the retry budget allows a single request only %.4g", route.MaxUpstreams, retries, budget)
	}
}

// checkClientLimits reports a limit of bodies that no gateway with the settings can hold.
func (c *check) checkClientLimits() {
	if c.Settings != nil && c.document.Limits.MaxBodyBytes() > c.BodyMemory {
		c.add(BodyOverMemory, at(currantwood.FieldLimitBody, 0), "bodies may have %d bytes, but a VM with %d bytes of memory holds at most %d bytes of bodies: longer ones are refused",
			c.document.Limits.MaxBodyBytes(), c.Settings.MemoryBytes, c.BodyMemory)
	}
}

// checkWarmUp reports the groups with only one of warm-up time and warm-up rate.
func (c *check) checkWarmUp() {
	for i, group := range c.document.GroupList {
		switch {
		case group.WarmUpTime > 0 && group.WarmUpRate == 0:
			c.add(WarmUpWithoutRate, at(currantwood.FieldGroupWarmUpTime, i), "upstreams of group %q are cold for %s, but without a warm-up rate nothing limits their requests", group.ID, group.WarmUpTime)
		case group.WarmUpRate > 0 && group.WarmUpTime == 0:
			c.add(WarmUpWithoutTime, at(currantwood.FieldGroupWarmUpRate, i), "the warm-up rate of group %q, %g requests per second, applies only to upstreams that say they are cold: there is no warm-up time", group.ID, group.WarmUpRate)
		}
	}
}

// checkSettings reports that API keys are to be revoked faster than a configuration is
// applied.
func (c *check) checkSettings() {
	if c.Settings == nil {
		return
	}
	bounds := c.Settings.Bounds
	if bounds.RevocationTime > 0 && bounds.RevocationTime < bounds.ConfigurationApplyTime {
		c.addAt(RevocationBeforeApplied, c.RevocationAt, "API keys must be revoked within %s, but a configuration may take %s to be applied", bounds.RevocationTime, bounds.ConfigurationApplyTime)
	}
}
