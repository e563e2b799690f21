/** A stored job whose runner crashes twice, on a service where a lasting job has a task on each runner. */
final class Case11 {

	private static final String LASTING = "a100000000000011";

	private static final String JOB = "a200000000000011";

	private static final int RUNNERS = 8;

	/** The bound of the rule: jobs are asked for this long after the traffic has ended. */
	private static final long FINISH_MILLIS = 14_000;

	private static final long NOTHING_RUNNING_MILLIS = 3000;

	/** How long the case watches whether the job runs at all, beyond what the rule asks. */
	private static final long WATCH_MILLIS = 60_000;

	private static final long OUTAGE_MILLIS = 3000;

	private Case11() {
	}

	static Cases.Result run(Fleet fleet, boolean trouble) throws Exception {
		for (int number = 0; number < RUNNERS; number++) {
			fleet.addRunner(16_000);
		}
		fleet.configure(4, "\"sloMs\":60,");
		fleet.startHosts();
		Fleet.Host host = fleet.hosts.get(0);
		fleet.submit(host, LASTING, "{\"taskSpec\":\"cpu=1000 ms=0\",\"steps\":[{\"count\":" + RUNNERS
				+ ",\"cpu\":1000,\"memMb\":64,\"estDurationMs\":1000,\"maxPerServer\":1,\"perpetual\":true}]}");
		fleet.await(10_000, "the lasting tasks", () -> fleet.running(LASTING) == RUNNERS);
		fleet.submit(host, JOB, "{\"taskSpec\":\"cpu=4000 ms=12000\",\"steps\":[{\"count\":1,\"cpu\":4000,\"memMb\":64,"
				+ "\"estDurationMs\":12000}]}");
		for (int crash = 0; crash < 2; crash++) {
			fleet.await(10_000, "a run of the job", () -> fleet.isRunning(JOB));
			Fleet.sleep(1500);
			if (trouble) {
				Runner runner = fleet.runners.stream().filter((one) -> one.runs(JOB)).findFirst().orElseThrow();
				runner.crash();
				Fleet.sleep(OUTAGE_MILLIS);
				runner.start();
				Fleet.sleep(2500);
			}
		}
		fleet.record.write("CALM from here on; no request is sent and no fault comes");
		long calm = fleet.record.millis();
		long idleSince = -1;
		while (fleet.record.millis() - calm < FINISH_MILLIS + 20_000) {
			Fleet.sleep(20);
			if (fleet.attemptsOf(JOB).stream().anyMatch((run) -> "done".equals(run.how))) {
				String state = awaitState(fleet, "completed");
				fleet.record.write("NOTE the task is done and the state is %s", state);
				return Cases.Result.HELD;
			}
			boolean asked = fleet.record.millis() - calm >= FINISH_MILLIS;
			// Room for the task on two runners at least, beside what runs there.
			long room = fleet.runners.stream().filter((runner) -> runner.isUp() && runner.cpu() - runner.usedCpu() >= 4000)
				.count();
			if (!asked || fleet.isRunning(JOB) || fleet.usedShare() >= 0.5 || room < 2) {
				idleSince = -1;
			}
			else if (idleSince < 0) {
				idleSince = fleet.record.millis();
			}
			else if (fleet.record.millis() - idleSince > NOTHING_RUNNING_MILLIS) {
				fleet.record.write("BROKEN for %d ms nothing of job %s runs; %d runners have room for it, %.0f %% of the"
						+ " capacity is in use", fleet.record.millis() - idleSince, JOB, room, 100 * fleet.usedShare());
				fleet.state(fleet.hosts.get(1), JOB);
				while (fleet.record.millis() - calm < WATCH_MILLIS && !fleet.isRunning(JOB)) {
					Fleet.sleep(20);
				}
				fleet.record.write("NOTE %d s after the last fault %s", (fleet.record.millis() - calm) / 1000,
						fleet.isRunning(JOB) ? "it runs again" : "it still does not run");
				for (Fleet.Host each : fleet.hosts) {
					each.copyLog("LG1315");
				}
				return Cases.Result.BROKEN;
			}
		}
		return Cases.Result.HELD;
	}

	private static String awaitState(Fleet fleet, String wanted) {
		String state = "";
		for (int tries = 0; tries < 10 && !state.equals(wanted); tries++) {
			state = fleet.state(fleet.hosts.get(1), JOB);
			Fleet.sleep(200);
		}
		return state;
	}

}
