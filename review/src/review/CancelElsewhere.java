package review;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * UNASKED: tasks of jobs that need not be stored start and run on after the jobs were
 * cancelled. Many clients cancel their jobs; the requests reach other machines than those
 * at which the jobs wait.
 */
public final class CancelElsewhere extends Trial {

	private static final int JOBS = 20;

	private static final int STEPS = 4;

	private static final int STEP_MILLIS = 3_000;

	private static final int CANCEL_AFTER_MILLIS = 700;

	/** ackMs, cancel_ms and stopTimeoutMs of the site files. */
	private static final long ACK_MILLIS = 4_000;

	private static final long CANCEL_MILLIS = 3_000;

	private static final long STOP_MILLIS = 50;

	private final Map<String, Long> cancelled = new LinkedHashMap<>();

	private final AtomicInteger completed = new AtomicInteger();

	public static void main(String[] arguments) throws Exception {
		main(new CancelElsewhere(), arguments);
	}

	@Override
	int play() throws Exception {
		String body = job();
		for (int number = 0; number < JOBS; number++) {
			String id = newId();
			Fleet.Machine machine = this.fleet.machines().get(number % this.fleet.machines().size());
			this.threads.execute(() -> {
				Client.Answer answer = this.client.send("POST", machine, PREFIX + id, body, 20_000);
				if ("completed".equals(answer.state())) {
					this.completed.incrementAndGet();
				}
			});
			if (this.trouble && number % 4 == 0) {
				this.threads.execute(() -> cancel(id, machine));
			}
			pause(100);
		}
		pause(STEPS * STEP_MILLIS * 5 / 4 + 2_000);
		return check();
	}

	private static String job() {
		List<Object> steps = new ArrayList<>();
		for (int number = 0; number < STEPS; number++) {
			Map<String, Object> step = new LinkedHashMap<>();
			step.put("count", 1);
			step.put("cpu", 2000);
			step.put("memMb", 64);
			step.put("estDurationMs", STEP_MILLIS);
			if (number > 0) {
				step.put("after", List.of(number - 1));
			}
			steps.add(step);
		}
		Map<String, Object> job = new LinkedHashMap<>();
		job.put("taskSpec", "ms=" + STEP_MILLIS);
		job.put("steps", steps);
		job.put("bestEffort", true);
		return Json.write(job);
	}

	private void cancel(String id, Fleet.Machine submittedTo) {
		pause(CANCEL_AFTER_MILLIS);
		Client.Answer answer = this.client.send("DELETE", anyMachine(submittedTo), PREFIX + id, null, 4_000);
		if (answer.status() == 410 || answer.status() / 100 == 2) {
			synchronized (this.cancelled) {
				this.cancelled.put(id, System.nanoTime());
			}
		}
	}

	private int check() {
		int broken = 0;
		for (Map.Entry<String, Long> entry : this.cancelled.entrySet()) {
			// As late as if the answer were no acknowledgement.
			long startLimit = entry.getValue() + (ACK_MILLIS + CANCEL_MILLIS) * 1_000_000;
			long endLimit = startLimit + STOP_MILLIS * 1_000_000;
			for (Map.Entry<String, List<Events.Run>> task : this.events.runs().entrySet()) {
				if (!task.getKey().startsWith(entry.getKey() + ".")) {
					continue;
				}
				for (Events.Run run : task.getValue()) {
					if (run.startNanos > startLimit || run.endNanos == 0 || run.endNanos > endLimit) {
						broken++;
						this.record.say("UNASKED: %s on %s starts %d ms and ends %d ms after the answer to the cancellation",
								task.getKey(), run.runner, (run.startNanos - entry.getValue()) / 1_000_000,
								(run.endNanos - entry.getValue()) / 1_000_000);
					}
				}
			}
		}
		this.record.say("%d jobs, %d cancelled, %d answered as completed; %d runs break UNASKED", JOBS,
				this.cancelled.size(), this.completed.get(), broken);
		return (broken > 0) ? 1 : (this.trouble && this.cancelled.isEmpty()) ? 2 : 0;
	}

}
