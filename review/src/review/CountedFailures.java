package review;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * LOST: a stored job is shown as failed although none of its tasks has failed as often as
 * its queue allows. Machines of the system are stopped with SIGTERM and started again, one
 * at a time, while jobs run of which some tasks fail once.
 */
public final class CountedFailures extends Trial {

	private static final int TRAFFIC_MILLIS = 44_000;

	private static final int JOBS_PER_SECOND = 60;

	private static final int RESTARTS = 7;

	private static final int INTERVAL_MILLIS = 6_000;

	/** graceS: the platform kills a process that has not ended by then. */
	private static final int GRACE_MILLIS = 6_000;

	private static final int FINISH_MILLIS = 14_000;

	public static void main(String[] arguments) throws Exception {
		main(new CountedFailures(), arguments);
	}

	@Override
	int play() throws Exception {
		long end = this.record.millis() + TRAFFIC_MILLIS;
		this.record.say("traffic: %d jobs a second, each 8 tasks", JOBS_PER_SECOND);
		this.threads.execute(this::sendJobs);
		pause(3_000);
		for (int restart = 0; this.trouble && restart < RESTARTS; restart++) {
			long next = this.record.millis() + INTERVAL_MILLIS;
			Fleet.Machine machine = leader();
			machine.signal("TERM");
			if (!machine.awaitEnd(GRACE_MILLIS)) {
				machine.signal("KILL");
				machine.awaitEnd();
			}
			machine.start();
			pause(next - this.record.millis());
		}
		pause(end - this.record.millis());
		pause(FINISH_MILLIS);
		return check();
	}

	private void sendJobs() {
		String body = Client.job("ms=100 flaky=15", 8, 1000, 100, false);
		long start = System.nanoTime();
		for (int number = 0; number < TRAFFIC_MILLIS / 1000 * JOBS_PER_SECOND; number++) {
			long due = start + number * 1_000_000_000L / JOBS_PER_SECOND;
			pause(Math.max(0, (due - System.nanoTime()) / 1_000_000));
			String id = newId();
			this.threads.execute(() -> submit(id, body, 4_000));
		}
	}

	private int check() {
		Map<String, Integer> states = new TreeMap<>();
		List<String> broken = new ArrayList<>();
		for (String id : this.accepted.keySet()) {
			String state = String.valueOf(state(id));
			states.merge(state, 1, Integer::sum);
			long failures = this.events.mostFailures(id);
			if (state.equals("failed") && failures < attempts()) {
				broken.add(id);
				this.record.say("LOST: job %s is shown as failed; its queue allows %d attempts, and no task of it has more than %d ends 'failed'",
						id, attempts(), failures);
			}
		}
		this.record.say("%d jobs accepted; states %s", this.accepted.size(), states);
		return broken.isEmpty() ? 0 : 1;
	}

}
