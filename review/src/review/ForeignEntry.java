package review;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * TWICE: tasks that run on a sound runner start on others too. Another writer has put an
 * entry into the store's list of runners, with a service that is not named in the
 * configuration and the address of a runner.
 */
public final class ForeignEntry extends Trial {

	private static final int JOBS_PER_SECOND = 8;

	private static final int TRAFFIC_MILLIS = 12_000;

	private static final int ENTRY_AFTER_MILLIS = 5_000;

	private static final int FINISH_MILLIS = 10_000;

	public static void main(String[] arguments) throws Exception {
		main(new ForeignEntry(), arguments);
	}

	@Override
	int play() throws Exception {
		this.threads.execute(this::sendJobs);
		pause(ENTRY_AFTER_MILLIS);
		if (this.trouble) {
			Runner runner = this.runners.stream()
				.max(Comparator.comparingInt((one) -> one.runningTasks().size()))
				.orElseThrow();
			this.record.say("an entry of another writer has the address of %s, which runs %s", runner.id(),
					runner.runningTasks());
			if (runner.runningTasks().isEmpty()) {
				return 2;
			}
			this.store.put("keyed.servers", "agent-7f", entry(runner));
		}
		pause(TRAFFIC_MILLIS - ENTRY_AFTER_MILLIS);
		pause(FINISH_MILLIS);
		List<String> twice = this.events.twice();
		twice.forEach((line) -> this.record.say("TWICE: %s", line));
		this.record.say("%d jobs accepted, %d starts break TWICE", this.accepted.size(), twice.size());
		return twice.isEmpty() ? (this.accepted.isEmpty() ? 2 : 0) : 1;
	}

	private static String entry(Runner runner) {
		Map<String, Object> entry = new LinkedHashMap<>();
		entry.put("service", "metrics-agent");
		entry.put("address", runner.address());
		entry.put("zone", ZONES.get(0));
		entry.put("configVersion", "v1");
		entry.put("slots", 1);
		entry.put("state", "ready");
		entry.put("coldRemainingMs", 0);
		entry.put("capacity", Map.of("cpu", 100, "memMb", 64, "gpu", 0));
		entry.put("labels", List.of());
		entry.put("clockMs", 1000);
		entry.put("seqNo", 0);
		entry.put("born", System.currentTimeMillis());
		return Json.write(entry);
	}

	private void sendJobs() {
		String body = Client.job("ms=1500", 2, 4_000, 1_500, false);
		long start = System.nanoTime();
		for (int number = 0; number < TRAFFIC_MILLIS / 1000 * JOBS_PER_SECOND; number++) {
			pause((start + number * 1_000_000_000L / JOBS_PER_SECOND - System.nanoTime()) / 1_000_000);
			String id = newId();
			this.threads.execute(() -> submit(id, body, 4_000));
		}
	}

}
