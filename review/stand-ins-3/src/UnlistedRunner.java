import java.util.List;

/** A runner that the store doesn't hear runs a task of a stored job while the scheduling host is stopped with SIGTERM. */
final class UnlistedRunner {

	private static final String JOB = "a100000000000011";

	private static final int RUNNERS = 8;

	/** Three cuts of this length, each of which begins just before the one before ends. */
	private static final int CUTS = 3;

	private static final long CUT_MILLIS = 4950;

	private static final long OVERLAP_MILLIS = 100;

	/** The scheduling host is stopped this long before the end of the last cut. */
	private static final long STOP_LEAD_MILLIS = 1500;

	/** `graceS`, after which the platform sends SIGKILL. */
	private static final long GRACE_MILLIS = 6000;

	private UnlistedRunner() {
	}

	static Cases.Result run(Fleet fleet, boolean trouble) throws Exception {
		for (int number = 0; number < RUNNERS; number++) {
			fleet.addRunner(16_000);
		}
		fleet.configure(4, "\"sloMs\":60,");
		fleet.startHosts();
		fleet.submit(fleet.hosts.get(0), JOB, "{\"taskSpec\":\"cpu=4000 ms=30000\",\"steps\":[{\"count\":1,\"cpu\":4000,"
				+ "\"memMb\":64,\"estDurationMs\":30000}]}");
		fleet.await(10_000, "a run of the job", () -> fleet.isRunning(JOB));
		Runner runner = fleet.runners.stream().filter((one) -> one.runs(JOB)).findFirst().orElseThrow();
		long cutMillis = CUTS * CUT_MILLIS - (CUTS - 1) * OVERLAP_MILLIS;
		long begin = fleet.record.millis();
		for (int cut = 0; cut < CUTS; cut++) {
			Fleet.sleep(Math.max(0, begin + cut * (CUT_MILLIS - OVERLAP_MILLIS) - fleet.record.millis()));
			if (trouble) {
				runner.cutFromStore(CUT_MILLIS);
			}
		}
		Fleet.sleep(begin + cutMillis - STOP_LEAD_MILLIS - fleet.record.millis());
		Fleet.Host scheduler = fleet.scheduler();
		if (trouble) {
			scheduler.terminate();
		}
		Fleet.sleep(STOP_LEAD_MILLIS);
		if (trouble) {
			for (long waited = STOP_LEAD_MILLIS; scheduler.isAlive() && waited < GRACE_MILLIS; waited += 10) {
				Fleet.sleep(10);
			}
			if (scheduler.isAlive()) {
				scheduler.kill();
			}
			Fleet.sleep(1000);
			scheduler.start();
		}
		Fleet.sleep(5000);
		Cases.Result result = Cases.Result.HELD;
		List<Fleet.Attempt> runs = fleet.attemptsOf(JOB);
		for (int second = 1; second < runs.size(); second++) {
			for (int first = 0; first < second; first++) {
				Fleet.Attempt one = runs.get(first);
				Fleet.Attempt other = runs.get(second);
				long end = (one.how == null) ? fleet.record.millis() : one.endMillis;
				if (one.task.equals(other.task) && end > other.startMillis) {
					fleet.record.write("BROKEN two runs of task %s at the same time for %d ms: %d on %s until %d ms (%s), %d on %s"
							+ " from %d ms", one.task, end - other.startMillis, one.number, one.runner, end, one.how,
							other.number, other.runner, other.startMillis);
					result = Cases.Result.BROKEN;
				}
			}
		}
		for (Fleet.Host each : fleet.hosts) {
			each.copyLog("HANDOVER_SETTLED");
		}
		return result;
	}

}
