package org.limpetgate.bench.dispatch;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link SimulatedDataCentre}.
 */
class SimulatedDataCentreTests {

	private static final long END = 22 * VirtualTime.SECOND;

	/**
	 * Guards against violated invariants, which the simulation checks itself, and against
	 * results that differ between runs with the same seed.
	 */
	@Property(seed = "1")
	void runsAreReproducible(@ForAll Scenario scenario, @ForAll Policy policy) {
		Measurements first = new SimulatedDataCentre(scenario, Deployment.RECREATIVAS, policy, 11, END).run();
		Measurements second = new SimulatedDataCentre(scenario, Deployment.RECREATIVAS, policy, 11, END).run();
		assertThat(first.accepted).isPositive().isEqualTo(second.accepted);
		assertThat(first.attempts).isEqualTo(second.attempts);
		assertThat(first.series()).isEqualTo(second.series());
	}

}
