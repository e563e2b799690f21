package org.limpetgate.bench.dispatch;

import java.util.random.RandomGenerator;

import org.limpetgate.dispatch.AdaptiveDispatcher;
import org.limpetgate.dispatch.ChoiceRule;
import org.limpetgate.dispatch.DispatchSettings;
import org.limpetgate.dispatch.Dispatcher;
import org.limpetgate.dispatch.SimpleDispatcher;

/**
 * The dispatch policies that the experiment compares.
 */
enum Policy {

	RANDOM, LEAST_IN_FLIGHT, POWER_OF_TWO,

	/**
	 * Not a baseline of the targets, because it uses the shares of the adaptive policy.
	 */
	LEAST_WITHIN_SHARES,

	ADAPTIVE;

	Dispatcher create(DispatchSettings settings, RandomGenerator random) {
		return switch (this) {
			case RANDOM -> SimpleDispatcher.withinConnections(settings, ChoiceRule.RANDOM, random);
			case LEAST_IN_FLIGHT -> SimpleDispatcher.withinConnections(settings, ChoiceRule.LEAST_IN_FLIGHT, random);
			case POWER_OF_TWO -> SimpleDispatcher.withinConnections(settings, ChoiceRule.POWER_OF_TWO, random);
			case LEAST_WITHIN_SHARES -> SimpleDispatcher.withinShares(settings, ChoiceRule.LEAST_IN_FLIGHT, random);
			case ADAPTIVE -> AdaptiveDispatcher.of(settings, random);
		};
	}

	boolean isBaseline() {
		return this == RANDOM || this == LEAST_IN_FLIGHT || this == POWER_OF_TWO;
	}

}
