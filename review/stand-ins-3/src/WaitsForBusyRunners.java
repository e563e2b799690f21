/** A task that lost its runner waits for faster runners, which lasting tasks fill for ever, while slower ones are idle. */
final class WaitsForBusyRunners {

	private static final String LASTING = "a100000000000013";

	private static final String JOB = "a200000000000013";

	private static final int SLOW_RUNNERS = 6;

	private static final int FAST_RUNNERS = 2;

	private static final int RUNNER_CPU = 16_000;

	private static final int JOB_CPU = 4000;

	private static final int JOB_MILLIS = 60_000;

	/** Speeds of the site file. */
	private static final double SLOW = 0.7;

	private static final double FAST = 1.7;

	private static final int ROUNDS = 8;

	private static final long CRASH_AFTER_MILLIS = 37_000;

	/** Jobs are asked for this long after the traffic has ended; here after the last fault, if that is later. */
	private static final long FINISH_MILLIS = 14_000;

	private static final long NOTHING_RUNNING_MILLIS = 3000;

	private static final long WATCH_MILLIS = 32_000;

	private WaitsForBusyRunners() {
	}

	static Cases.Result run(Fleet fleet, boolean trouble) throws Exception {
		for (int number = 0; number < SLOW_RUNNERS + FAST_RUNNERS; number++) {
			boolean fast = number % 4 == 3;
			fleet.addRunner(RUNNER_CPU, fast ? "b" : "a", fast ? FAST : SLOW);
		}
		fleet.configure(4, "\"sloMs\":60,");
		fleet.startHosts();
		// Some short jobs on all runners, as on any day; they show how fast the runners are.
		for (int round = 0; round < ROUNDS; round++) {
			fleet.submit(fleet.hosts.get(round % 6), String.format("a3%014d", round), shortJob(2 * (SLOW_RUNNERS + FAST_RUNNERS)));
			Fleet.sleep(1000);
		}
		fleet.await(10_000, "the short jobs", () -> fleet.running("a3") == 0);
		fleet.submit(fleet.hosts.get(0), LASTING,
				"{\"taskSpec\":\"cpu=" + RUNNER_CPU + " ms=0\",\"steps\":[{\"count\":" + FAST_RUNNERS + ",\"cpu\":" + RUNNER_CPU
						+ ",\"memMb\":256,\"estDurationMs\":1000,\"requiredLabel\":\"b\",\"perpetual\":true}]}");
		fleet.await(10_000, "the lasting tasks", () -> fleet.running(LASTING) == FAST_RUNNERS);
		fleet.submit(fleet.hosts.get(1), Fleet.OTHER_PREFIX, JOB, "{\"taskSpec\":\"cpu=" + JOB_CPU + " ms=" + JOB_MILLIS
				+ "\",\"steps\":[{\"count\":1,\"cpu\":" + JOB_CPU + ",\"memMb\":64,\"estDurationMs\":" + JOB_MILLIS + "}]}");
		fleet.await(10_000, "a run of the job", () -> fleet.isRunning(JOB));
		Fleet.sleep(CRASH_AFTER_MILLIS);
		if (trouble) {
			fleet.runners.stream().filter((one) -> one.runs(JOB)).findFirst().orElseThrow().crash();
		}
		long fault = fleet.record.millis();
		long idleSince = -1;
		boolean broken = false;
		while (fleet.record.millis() - fault < WATCH_MILLIS) {
			Fleet.sleep(20);
			if (fleet.attemptsOf(JOB).stream().anyMatch((run) -> "done".equals(run.how))) {
				break;
			}
			long room = fleet.runners.stream()
				.filter((runner) -> runner.isUp() && runner.cpu() - runner.usedCpu() >= JOB_CPU)
				.count();
			if (fleet.record.millis() - fault < FINISH_MILLIS || fleet.isRunning(JOB) || fleet.usedShare() >= 0.5 || room < 2) {
				idleSince = -1;
				if (broken && fleet.isRunning(JOB)) {
					break;
				}
			}
			else if (idleSince < 0) {
				idleSince = fleet.record.millis();
			}
			else if (!broken && fleet.record.millis() - idleSince > NOTHING_RUNNING_MILLIS) {
				broken = true;
				fleet.record.write("BROKEN nothing of job %s has run for %d ms since its runner was lost; %d runners have room"
						+ " for it, %.0f %% of the capacity is in use", JOB, fleet.record.millis() - fault, room,
						100 * fleet.usedShare());
			}
		}
		fleet.record.write("NOTE %d ms after the fault the job %s", fleet.record.millis() - fault,
				fleet.isRunning(JOB) ? "runs" : "does not run");
		return broken ? Cases.Result.BROKEN : Cases.Result.HELD;
	}

	private static String shortJob(int count) {
		return "{\"taskSpec\":\"cpu=6800 ms=400\",\"steps\":[{\"count\":" + count
				+ ",\"cpu\":6800,\"memMb\":64,\"estDurationMs\":400}]}";
	}

}
