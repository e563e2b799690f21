import java.util.List;

/** A lasting job of which one task may be away, while the store turns the scheduling host away. */
final class Case13 {

	private static final String LASTING = "a100000000000013";

	private static final int RUNNERS = 8;

	private static final int TASKS = 6;

	private static final int MAY_MISS = 1;

	private static final long REFUSAL_MILLIS = 7000;

	private Case13() {
	}

	static Cases.Result run(Fleet fleet, boolean trouble) throws Exception {
		for (int number = 0; number < RUNNERS; number++) {
			fleet.addRunner(16_000);
		}
		fleet.configure(4, "\"sloMs\":60,");
		fleet.startHosts();
		fleet.submit(fleet.hosts.get(0), LASTING,
				"{\"taskSpec\":\"cpu=4000 ms=0\",\"steps\":[{\"count\":" + TASKS + ",\"cpu\":4000,\"memMb\":64,"
						+ "\"estDurationMs\":1000,\"maxPerServer\":1,\"perpetual\":true,\"mayMiss\":" + MAY_MISS + "}]}");
		fleet.await(10_000, "the lasting tasks", () -> fleet.running(LASTING) == TASKS);
		Fleet.sleep(3000);
		Fleet.Host scheduler = fleet.scheduler();
		fleet.record.write("NOTE all %d tasks are at work; %s schedules", TASKS, scheduler.name);
		if (trouble) {
			fleet.record.write("FAULT the store answers %s with 503", scheduler.name);
			fleet.store.refuse(scheduler.number, true);
		}
		Fleet.sleep(REFUSAL_MILLIS);
		if (trouble) {
			fleet.store.refuse(scheduler.number, false);
			fleet.record.write("FAULT ends; the store serves %s again", scheduler.name);
		}
		Fleet.sleep(5000);
		List<Fleet.Attempt> stops = fleet.attemptsOf(LASTING)
			.stream()
			.filter((run) -> "stopped".equals(run.how) && run.stopOrderMillis > 0)
			.sorted((one, other) -> Long.compare(one.stopOrderMillis, other.stopOrderMillis))
			.toList();
		for (Fleet.Attempt stop : stops) {
			// The other tasks of the step that such an order has ended and that do not run again.
			long away = stops.stream()
				.filter((other) -> !other.task.equals(stop.task) && other.stopOrderMillis <= stop.stopOrderMillis
						&& other != stop
						&& fleet.attemptsOf(other.task + "")
							.stream()
							.noneMatch((run) -> run.task.equals(other.task) && run.number > other.number
									&& run.startMillis + 200 <= stop.stopOrderMillis))
				.map((other) -> other.task)
				.distinct()
				.count();
			if (away >= MAY_MISS) {
				fleet.record.write("BROKEN a stop at %d ms ended task %s, at work on %s, while %d others of its step are"
						+ " away by such orders; %d may be", stop.stopOrderMillis, stop.task, stop.runner, away, MAY_MISS);
				for (Fleet.Host each : fleet.hosts) {
					each.copyLog("STORED_JOBS");
					each.copyLog("RELEASED");
				}
				return Cases.Result.BROKEN;
			}
		}
		return Cases.Result.HELD;
	}

}
