import java.util.HashMap;
import java.util.Map;

/** Which members of each run of a gang are present, over all runners. Thread-safe. */
final class Gangs {

	enum State {

		WAITING, WORKING, BROKEN

	}

	private static final class Gang {

		int missing;

		boolean working;

		boolean broken;

	}

	private final Map<String, Gang> gangs = new HashMap<>();

	synchronized void joined(String gang, int members) {
		Gang joined = this.gangs.computeIfAbsent(gang, (key) -> {
			Gang created = new Gang();
			created.missing = members;
			return created;
		});
		joined.missing--;
		joined.working |= joined.missing == 0;
	}

	// A member that leaves before its work is done ends the run of the gang.
	synchronized void left(String gang, boolean done) {
		Gang left = this.gangs.get(gang);
		left.broken |= left.working && !done;
		if (!left.working) {
			left.missing++;
		}
	}

	synchronized State state(String gang) {
		Gang asked = this.gangs.get(gang);
		return asked.broken ? State.BROKEN : asked.working ? State.WORKING : State.WAITING;
	}

}
