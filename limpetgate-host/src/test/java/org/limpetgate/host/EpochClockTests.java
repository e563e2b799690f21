package org.limpetgate.host;

import java.util.concurrent.TimeUnit;

import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link EpochClock}.
 */
class EpochClockTests {

	private static final long NANOS_PER_MILLI = 1_000_000;

	private long wallMillis = TimeUnit.DAYS.toMillis(21_000);

	private long monotonicNanos = 17;

	private final EpochClock clock = EpochClock.of(() -> this.wallMillis, () -> this.monotonicNanos);

	private final long startNanos = this.clock.getAsLong();

	private void advance(long millis) {
		this.wallMillis += millis;
		this.monotonicNanos += millis * NANOS_PER_MILLI;
	}

	private long elapsedMillis() {
		return (this.clock.getAsLong() - this.startNanos) / NANOS_PER_MILLI;
	}

	/**
	 * Guards against a host that takes messages and leases for fresh after its machine
	 * was suspended (incident TWICE).
	 */
	@Example
	void timeOfASuspensionCounts() {
		advance(1000);
		this.wallMillis += 5000;
		assertThat(elapsedMillis()).isEqualTo(6000);
		advance(1000);
		assertThat(elapsedMillis()).isEqualTo(7000);
	}

	/** Guards against a clock that decreases. */
	@Example
	void wallClockThatIsSetBackHasNoEffect() {
		advance(1000);
		this.wallMillis -= 5000;
		assertThat(elapsedMillis()).isEqualTo(1000);
		advance(1000);
		assertThat(elapsedMillis()).isEqualTo(2000);
	}

	/** Guards against a wrong wall clock that makes all later times wrong. */
	@Example
	void largeStepOfTheWallClockCountsAsALimitedSuspension() {
		this.wallMillis += TimeUnit.DAYS.toMillis(1);
		assertThat(elapsedMillis()).isEqualTo(10_000);
	}

	/** Guards against small corrections of the wall clock that count as suspensions. */
	@Example
	void smallStepOfTheWallClockHasNoEffect() {
		this.wallMillis += 90;
		assertThat(elapsedMillis()).isZero();
	}

}
