package org.limpetgate.fleet;

import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests of {@link SuspensionDetector}. */
class SuspensionDetectorTests {

	private static final long MILLI = 1_000_000;

	private final SuspensionDetector detector = new SuspensionDetector();

	/** Guards against a suspension that is not noticed, or noticed more than once. */
	@Example
	void suspensionIsDetectedOnce() {
		assertThat(this.detector.observe(100 * MILLI, 5_000 * MILLI)).isFalse();
		assertThat(this.detector.observe(120 * MILLI, 5_020 * MILLI)).isFalse();
		assertThat(this.detector.observe(140 * MILLI, 5_540 * MILLI)).isTrue();
		assertThat(this.detector.observe(160 * MILLI, 5_560 * MILLI)).isFalse();
	}

	/** Guards against a pause of the process that is taken for a suspension. */
	@Example
	void pauseInWhichBothClocksAdvanceIsNoSuspension() {
		this.detector.observe(100 * MILLI, 5_000 * MILLI);
		assertThat(this.detector.observe(4_100 * MILLI, 9_000 * MILLI)).isFalse();
	}

	/** Guards against a wall clock that is set back and then hides a suspension. */
	@Example
	void suspensionIsDetectedAfterTheWallClockWasSetBack() {
		this.detector.observe(100 * MILLI, 5_000 * MILLI);
		assertThat(this.detector.observe(120 * MILLI, 2_000 * MILLI)).isFalse();
		assertThat(this.detector.observe(140 * MILLI, 2_520 * MILLI)).isTrue();
	}

	/** Guards against drift and rounding that are taken for a suspension. */
	@Example
	void clocksThatDriftApartSlowlyShowNoSuspension() {
		long wallNanos = 5_000 * MILLI;
		for (int step = 1; step < 1_000; step++) {
			wallNanos += 20 * MILLI + step % 2 * MILLI;
			assertThat(this.detector.observe(step * 20 * MILLI, wallNanos)).isFalse();
		}
	}

}
