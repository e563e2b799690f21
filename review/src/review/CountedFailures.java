package review;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * LOST: a stored job is shown as failed although none of its tasks has failed as often as
 * its queue allows. Machines that last wrote to the store are killed while jobs run of
 * which some tasks fail once.
 */
public final class CountedFailures extends Trial {

	private static final int TRAFFIC_MILLIS = 36_000;

	private static final int JOBS_PER_SECOND = 32;

	private static final int KILLS = 4;

	private static final int KILL_INTERVAL_MILLIS = 8_000;

	private static final int DOWN_MILLIS = 3_500;

	private static final int FINISH_MILLIS = 14_000;

	public static void main(String[] arguments) throws Exception {
		main(new CountedFailures(), arguments);
	}

	@Override
	int play() throws Exception {
		this.record.say("traffic: %d jobs a second, each 8 tasks", JOBS_PER_SECOND);
		this.threads.execute(this::sendJobs);
		if (this.trouble) {
			for (int kill = 0; kill < KILLS; kill++) {
				pause(KILL_INTERVAL_MILLIS - ((kill > 0) ? DOWN_MILLIS : 0));
				Fleet.Machine machine = leader();
				machine.signal("KILL");
				machine.awaitEnd();
				pause(DOWN_MILLIS);
				machine.start();
			}
			pause(TRAFFIC_MILLIS - KILLS * KILL_INTERVAL_MILLIS - DOWN_MILLIS);
		}
		else {
			pause(TRAFFIC_MILLIS);
		}
		pause(FINISH_MILLIS);
		return check();
	}

	private void sendJobs() {
		String body = Client.job("ms=100 flaky=25", 8, 1000, 100, false);
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
