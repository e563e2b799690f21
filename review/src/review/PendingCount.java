package review;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * MIXED: the number of pending jobs leaves out jobs of which no task has started. The only
 * runner with the label that they require answers their starts with 503 for some seconds.
 */
public final class PendingCount extends Trial {

	private static final int JOBS = 12;

	private static final String LABEL = "r2-2";

	/** for_s of srv_grey in the site file. */
	private static final int GREY_MILLIS = 6_500;

	/** visible_ms and the age that the value may have. */
	private static final long SHOWN_AFTER_MILLIS = 3_000 + 2_000;

	private static final int FINISH_MILLIS = 10_000;

	public static void main(String[] arguments) throws Exception {
		main(new PendingCount(), arguments);
	}

	/** The last rack of the third zone has one runner. */
	@Override
	List<String> labels(int zone, int number) {
		boolean lastRack = zone == 2 && number == runnersPerZone();
		return List.of("a", lastRack ? LABEL : "r" + zone + "-1");
	}

	@Override
	int play() throws Exception {
		warmUp();
		Runner runner = this.runners.get(this.runners.size() - 1);
		if (this.trouble) {
			this.record.say("%s answers starts with 503", runner.id());
			runner.setShedding(true);
		}
		long start = this.record.millis();
		List<String> jobs = new ArrayList<>();
		String body = job();
		for (int number = 0; number < JOBS; number++) {
			String id = newId();
			if (submit(id, body, 4_000)) {
				jobs.add(id);
			}
		}
		if (jobs.size() < JOBS) {
			this.record.say("%d jobs were not accepted", JOBS - jobs.size());
			return 2;
		}
		int broken = 0;
		int asked = 0;
		while (this.record.millis() - start < GREY_MILLIS - 200) {
			broken += checkCount(jobs);
			asked++;
			pause(200);
		}
		if (this.trouble) {
			pause(GREY_MILLIS - (this.record.millis() - start));
			runner.setShedding(false);
			this.record.say("%s starts tasks again", runner.id());
		}
		pause(FINISH_MILLIS);
		long completed = jobs.stream().filter((id) -> "completed".equals(state(id))).count();
		this.record.say("%d questions, %d answers break MIXED; %d of %d jobs completed in the end", asked, broken,
				completed, JOBS);
		return (broken > 0) ? 1 : 0;
	}

	private int checkCount(List<String> jobs) {
		long asked = this.record.millis();
		List<String> due = jobs.stream()
			.filter((id) -> asked - this.accepted.get(id) > SHOWN_AFTER_MILLIS)
			.toList();
		Fleet.Machine machine = anyMachine(null);
		Client.Answer answer = this.client.send("GET", machine, PREFIX, null, 2_000);
		long waiting = due.stream().filter((id) -> this.events.starts(id) == 0).count();
		if (answer.status() != 200 || waiting == 0) {
			return 0;
		}
		long pending = Json.integer(Json.object(answer.body()), "pendingJobs", -1);
		if (2 * pending >= waiting) {
			return 0;
		}
		this.record.say("MIXED: %s gives %d as pendingJobs; %d jobs that were accepted over %d ms before have not begun",
				machine.name, pending, waiting, SHOWN_AFTER_MILLIS);
		return 1;
	}

	private static String job() {
		Map<String, Object> step = new LinkedHashMap<>();
		step.put("count", 1);
		step.put("cpu", 1000);
		step.put("memMb", 64);
		step.put("estDurationMs", 200);
		step.put("requiredLabel", LABEL);
		return Json.write(Map.of("taskSpec", "ms=200", "steps", List.of(step)));
	}

	private void warmUp() {
		String body = Client.job("ms=50", 2, 1000, 50, false);
		for (int number = 0; number < 10; number++) {
			submit(newId(), body, 4_000);
		}
		pause(1_000);
	}

}
