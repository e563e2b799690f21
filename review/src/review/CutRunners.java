package review;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * LOST: a stored job is shown as failed although no run of its task has failed and no
 * runner has crashed under it. Two runners are cut off, one after the other, while the task
 * runs there; its runs lapse. Later the runners crash behind the cut and start again.
 */
public final class CutRunners extends Trial {

	private static final int TASK_MILLIS = 6_000;

	private static final int CUTS = 2;

	/** How long the task has run when its runner is cut off. */
	private static final int CUT_AFTER_MILLIS = 1_500;

	/** When the runner crashes, behind the cut; its leases ended long before. */
	private static final int CRASH_MILLIS = 4_000;

	/** Below for_s of node_cut "servers" in the site file, 5.5. */
	private static final int CUT_MILLIS = 5_400;

	private static final int FINISH_MILLIS = 40_000;

	public static void main(String[] arguments) throws Exception {
		main(new CutRunners(), arguments);
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
		for (int cut = 0; this.trouble && cut < CUTS; cut++) {
			Runner runner = awaitRun(id);
			if (runner == null) {
				this.record.say("the task does not run");
				return 2;
			}
			pause(CUT_AFTER_MILLIS);
			this.record.say("%s is cut off; it runs %s", runner.id(), runner.runningTasks());
			runner.setCut(true);
			this.timers.schedule(() -> {
				runner.setCut(false);
				this.record.say("%s is reached again", runner.id());
			}, CUT_MILLIS, TimeUnit.MILLISECONDS);
			this.threads.execute(() -> crashBehindTheCut(runner));
			while (runner.runningTasks().size() > 0) {
				pause(10);
			}
			this.record.say("the run on %s has lapsed", runner.id());
		}
		long end = this.record.millis() + FINISH_MILLIS;
		String state = String.valueOf(state(id));
		while (this.record.millis() < end && !state.equals("completed") && !state.equals("failed")) {
			pause(500);
			state = String.valueOf(state(id));
		}
		return check(id, state);
	}

	private int check(String id, String state) {
		List<Events.Run> runs = this.events.runs().get(id + ".0.0.0");
		long failures = this.events.mostFailures(id);
		long crashes = runs.stream().filter((run) -> "lost".equals(run.how)).count();
		this.record.say("the job is shown as %s; its queue allows %d attempts; its task has %d ends 'failed' and %d 'lapsed', and %d runs were lost with their runner",
				state, attempts(), failures, runs.stream().filter((run) -> "lapsed".equals(run.how)).count(), crashes);
		if (state.equals("failed") && failures < attempts() && crashes < 2) {
			return 1;
		}
		return state.equals("completed") ? 0 : 2;
	}

	private void crashBehindTheCut(Runner runner) {
		pause(CRASH_MILLIS);
		try {
			runner.crash();
			runner.start();
			this.record.say("%s has started again behind the cut", runner.id());
		}
		catch (IOException ex) {
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
