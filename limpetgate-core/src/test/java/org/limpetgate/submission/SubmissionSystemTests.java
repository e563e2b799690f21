package org.limpetgate.submission;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link SubmissionSystem} with single faults. Combinations of faults are
 * covered by {@link SubmissionSimulationTests}.
 */
class SubmissionSystemTests {

	private static final long SECOND = SubmissionFixture.SECOND;

	@Example
	void submissionsSurviveSingleFaults() {
		Map<String, Consumer<SubmissionFixture>> cases = new LinkedHashMap<>();
		ClaimFaultCases.addTo(cases);
		RefusalCases.addTo(cases);
		JobCases.addTo(cases);
		List<String> failures = new ArrayList<>();
		cases.forEach((name, steps) -> {
			SubmissionFixture fixture = new SubmissionFixture();
			try {
				steps.accept(fixture);
				assertThat(fixture.system.counts().brokenInvariants()).isZero();
			}
			catch (AssertionError | RuntimeException ex) {
				failures.add(name + ": " + ex);
			}
		});
		assertThat(failures).isEmpty();
	}

	// Guards against a host that exceeds its share of the appends per second that the
	// log allows.
	@Example
	void appendRateStaysWithinTheShareOfTheHost() {
		for (int perSecond : new int[] { 1, 10, 30, 50, 100, 1000 }) {
			SubmissionFixture fixture = new SubmissionFixture();
			int answered = 0;
			for (int i = 0; i < 10 * perSecond; i++) {
				fixture.submit(i, fixture.jobWithKey("key" + i, "body", 1));
				int open = fixture.appends - answered;
				assertThat(open).as(perSecond + " jobs/s").isLessThanOrEqualTo(1);
				fixture.advance(SECOND / perSecond);
				fixture.system.claimsAppended(fixture.appends, fixture.now);
				answered = fixture.appends;
			}
			assertThat(fixture.appends).as(perSecond + " jobs/s")
				.isLessThanOrEqualTo(Math.min(10 * perSecond, 310) + 1);
		}
	}

}
