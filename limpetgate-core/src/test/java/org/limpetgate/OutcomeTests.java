package org.limpetgate;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link Outcome}.
 */
class OutcomeTests {

	@Property(seed = "1")
	void parseInvertsText(@ForAll Outcome outcome) {
		assertThat(Outcome.parse(outcome.text())).isEqualTo(outcome);
	}

	/**
	 * Guards against a second start of a task that is not idempotent and may have run.
	 */
	@Example
	void onlyNotRunIsRetryableIfNotIdempotent() {
		assertThat(Outcome.values()).filteredOn((outcome) -> outcome.isRetryable(false))
			.containsExactly(Outcome.NOT_RUN);
	}

}
