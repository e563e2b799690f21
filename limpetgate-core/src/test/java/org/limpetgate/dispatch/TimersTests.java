package org.limpetgate.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link Timers}.
 */
class TimersTests {

	/**
	 * Guards against timers that are lost or run late, early, twice or out of order, over
	 * several turns of the wheel and with cancellations.
	 */
	@Example
	void runsEachTimerOnceInOrder() {
		SplittableRandom random = new SplittableRandom(5);
		Timers timers = new Timers();
		Map<Integer, Long> pending = new HashMap<>();
		Map<Integer, Timers.Timer> handles = new HashMap<>();
		List<Long> ran = new ArrayList<>();
		long now = 1_700_000_000_000_000_000L;
		for (int i = 0; i < 20_000; i++) {
			int id = i;
			long due = now + random.nextLong((i % 3 == 0) ? 60_000_000_000L : 20_000_000L);
			pending.put(id, due);
			handles.put(id, timers.schedule(due, (time) -> {
				assertThat(pending.remove(id)).isLessThanOrEqualTo(time);
				ran.add(due);
			}));
			int cancelledId = random.nextInt(i + 1);
			if (random.nextInt(3) == 0 && pending.remove(cancelledId) != null) {
				timers.cancel(handles.get(cancelledId));
			}
			if (random.nextInt(4) == 0) {
				now += random.nextLong(30_000_000L);
				long time = now;
				ran.clear();
				timers.run(now);
				assertThat(ran).isSorted();
				assertThat(pending.values()).allMatch((remaining) -> remaining > time);
				long earliest = pending.values().stream().mapToLong(Long::longValue).min().orElse(Long.MAX_VALUE);
				assertThat(timers.nextDueNanos()).isLessThanOrEqualTo(earliest).isGreaterThan(now);
			}
		}
		timers.run(now + 100_000_000_000L);
		assertThat(pending).isEmpty();
		assertThat(timers.nextDueNanos()).isEqualTo(Long.MAX_VALUE);
	}

}
