package review;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * TWICE: tasks of a stored job start again after they have ended as done. The store turns
 * the machine away that schedules, so that ends are not saved and the runners list more
 * than 500 of them; then that machine is stopped with SIGTERM and started again.
 */
public final class TruncatedEnds extends Trial {

	private static final int JOBS = 3;

	private static final int TASKS = 610;

	/** Below for_s of platform_down "nodes leader busy" in the site file, 7.0. */
	private static final int BUSY_MILLIS = 6_900;

	/** More ends than a runner returns at once. */
	private static final int MANY_ENDS = 512;

	private static final int STOP_AFTER_MILLIS = 5_500;

	/** graceS: the platform kills a process that has not ended by then. */
	private static final int GRACE_MILLIS = 6_000;

	private static final int FINISH_MILLIS = 14_000;

	/** Whether a runner had more ends than it returns at once. */
	private boolean enoughEnds;

	public static void main(String[] arguments) throws Exception {
		main(new TruncatedEnds(), arguments);
	}

	@Override
	int runnersPerZone() {
		return 1;
	}

	@Override
	int play() throws Exception {
		warmUp();
		this.record.say("traffic: %d jobs of %d tasks", JOBS, TASKS);
		String body = Client.job("ms=100", TASKS, 1000, 100, false);
		for (int number = 0; number < JOBS; number++) {
			String id = newId();
			this.threads.execute(() -> submit(id, body, 4_000));
		}
		pause(300);
		if (this.accepted.size() < JOBS) {
			pause(1_000);
		}
		if (this.trouble) {
			Fleet.Machine machine = leader();
			this.record.say("the store turns %s away", machine.name);
			this.store.setBusy(machine.name, true);
			this.timers.schedule(() -> {
				this.store.setBusy(machine.name, false);
				this.record.say("the store serves %s again", machine.name);
			}, BUSY_MILLIS, TimeUnit.MILLISECONDS);
			long start = this.record.millis();
			while (this.record.millis() - start < STOP_AFTER_MILLIS
					&& this.runners.stream().anyMatch((runner) -> runner.unacknowledgedEnds() < MANY_ENDS)) {
				pause(20);
			}
			this.enoughEnds = this.runners.stream().anyMatch((runner) -> runner.unacknowledgedEnds() >= MANY_ENDS);
			this.record.say("ends that are not taken note of: %s",
					this.runners.stream().map(Runner::unacknowledgedEnds).toList());
			machine.signal("TERM");
			if (!machine.awaitEnd(GRACE_MILLIS)) {
				machine.signal("KILL");
				machine.awaitEnd();
			}
			machine.start();
			pause(BUSY_MILLIS - (this.record.millis() - start));
		}
		else {
			pause(BUSY_MILLIS);
		}
		pause(FINISH_MILLIS);
		return check();
	}

	/** Some jobs before, so that the code of the scheduling machine is compiled. */
	private void warmUp() {
		String body = Client.job("ms=20", 8, 1000, 20, false);
		for (int number = 0; number < 60; number++) {
			String id = newId();
			this.threads.execute(() -> submit(id, body, 4_000));
			pause(50);
		}
		pause(1_000);
	}

	private int check() {
		Map<String, Integer> states = new TreeMap<>();
		this.accepted.keySet().forEach((id) -> states.merge(String.valueOf(state(id)), 1, Integer::sum));
		List<String> twice = this.events.twice();
		twice.forEach((line) -> this.record.add("TWICE: %s", line));
		this.record.say("%d jobs accepted; states %s; %d starts break TWICE", this.accepted.size(), states, twice.size());
		if (!twice.isEmpty()) {
			return 1;
		}
		return (this.trouble && !this.enoughEnds) ? 2 : 0;
	}

}
