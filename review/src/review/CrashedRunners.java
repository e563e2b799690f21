package review;

/**
 * LOST: a stored job is shown as failed although no run of its tasks has ended as failed.
 * Two runners crash, one after the other, while the task of the job runs on them.
 */
public final class CrashedRunners extends Trial {

	private static final int TASK_MILLIS = 6_000;

	private static final int CRASHES = 2;

	/** How long the task has run when its runner crashes. */
	private static final int CRASH_AFTER_MILLIS = 1_500;

	/** for_s of srv_crash in the site file. */
	private static final int DOWN_MILLIS = 4_500;

	private static final int FINISH_MILLIS = 40_000;

	public static void main(String[] arguments) throws Exception {
		main(new CrashedRunners(), arguments);
	}

	@Override
	int attempts() {
		return 4;
	}

	/** Two of 18 runners are a share of 0.11. */
	@Override
	int runnersPerZone() {
		return 6;
	}

	@Override
	int play() throws Exception {
		String id = newId();
		if (!submit(id, Client.job("ms=" + TASK_MILLIS, 1, 6_800, TASK_MILLIS, false), 4_000)) {
			this.record.say("the job was not accepted");
			return 2;
		}
		for (int crash = 0; this.trouble && crash < CRASHES; crash++) {
			Runner runner = awaitRun(id);
			if (runner == null) {
				this.record.say("the task does not run");
				break;
			}
			pause(CRASH_AFTER_MILLIS);
			this.record.say("%s crashes; it runs %s", runner.id(), runner.runningTasks());
			runner.crash();
			this.threads.execute(() -> startAgain(runner));
		}
		long end = this.record.millis() + FINISH_MILLIS;
		String state = String.valueOf(state(id));
		while (this.record.millis() < end && !state.equals("completed") && !state.equals("failed")) {
			pause(500);
			state = String.valueOf(state(id));
		}
		long failures = this.events.mostFailures(id);
		this.record.say("the job is shown as %s; its queue allows %d attempts, and its task has %d ends 'failed'", state,
				attempts(), failures);
		return (state.equals("failed") && failures < attempts()) ? 1 : state.equals("completed") ? 0 : 2;
	}

	private void startAgain(Runner runner) {
		pause(DOWN_MILLIS);
		try {
			runner.start();
			this.record.say("%s has started again", runner.id());
		}
		catch (java.io.IOException ex) {
			this.record.say("%s did not start again: %s", runner.id(), ex.getMessage());
		}
	}

	private Runner awaitRun(String id) {
		for (int tries = 0; tries < 600; tries++) {
			for (Runner runner : this.runners) {
				if (runner.runningTasks().stream().anyMatch((task) -> task.startsWith(id))) {
					return runner;
				}
			}
			pause(25);
		}
		return null;
	}

}
