package org.limpetgate.fleet;

import java.util.HashSet;
import java.util.Set;

import net.jqwik.api.Example;
import org.limpetgate.DataCentreId;
import org.limpetgate.HostId;
import org.limpetgate.Incarnation;
import org.limpetgate.scheduling.FencingToken;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link BeatPlan}.
 */
class BeatPlanTests {

	private static HostId id(int number) {
		return HostId.of("10.0.0." + number + ":1");
	}

	private static HostState state(int number, int cpuMillis, long claim) {
		return new HostState(Incarnation.of(id(number), 1), DataCentreId.of("a"), false, true, false, cpuMillis,
				new FencingToken(claim), true);
	}

	private static BeatPlan plan(int hosts) {
		BeatPlan plan = new BeatPlan();
		for (int number = 0; number < hosts; number++) {
			plan.learn(id(number));
			plan.heard(state(number, 100 + number, 0));
		}
		return plan;
	}

	/** Guards against a small fleet in which hosts notice the loss of others late. */
	@Example
	void smallFleetsExchangeAllBeats() {
		assertThat(plan(8).next(false)).hasSize(8);
	}

	/** Guards against beats whose number grows with the square of the number of hosts. */
	@Example
	void largeFleetsBeatTheCandidatesAndOneMore() {
		BeatPlan plan = plan(40);
		Set<HostId> probed = new HashSet<>();
		for (int round = 0; round < 40; round++) {
			Set<HostId> targets = plan.next(false);
			assertThat(targets).contains(id(39), id(38), id(37), id(36), id(35)).hasSizeLessThanOrEqualTo(6);
			probed.addAll(targets);
		}
		assertThat(probed).hasSize(40);
	}

	/** Guards against a scheduler that does not notice the loss of a host. */
	@Example
	void aHostThatSchedulesBeatsAll() {
		assertThat(plan(40).next(true)).hasSize(40);
	}

	/**
	 * Guards against hosts that do not find the scheduler, since it is none of the best
	 * candidates, or the host that was never heard of.
	 */
	@Example
	void schedulersAndUnknownHostsAreBeaten() {
		BeatPlan plan = plan(40);
		plan.heard(state(3, 103, 9));
		plan.learn(id(50));
		for (int round = 0; round < 50; round++) {
			assertThat(plan.next(false)).contains(id(3), id(50));
		}
		plan.lost(id(3));
		plan.heard(state(50, 10, 0));
		int beaten = 0;
		for (int round = 0; round < 41; round++) {
			beaten += plan.next(false).contains(id(3)) ? 1 : 0;
		}
		assertThat(beaten).isEqualTo(1);
	}

	/** Guards against hosts that turn to different successors of a lost candidate. */
	@Example
	void aLostCandidateIsReplacedByTheNextAndComesBack() {
		BeatPlan plan = plan(40);
		plan.lost(id(39));
		assertThat(plan.next(false)).contains(id(38), id(37), id(36), id(35), id(34));
		plan.heard(state(39, 139, 0));
		assertThat(plan.next(false)).contains(id(39));
	}

}
