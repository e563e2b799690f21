import java.util.ArrayList;
import java.util.List;

/**
 * A job of a client. Its taskSpec tells the stand-in of a runner what its tasks do: how long the
 * tasks of each step work, and how many runs of each task fail at first.
 */
final class Job {

	/** A step: its tasks, their processors, its earlier steps. */
	record Step(int count, int cpu, long millis, List<Integer> after, boolean perpetual, boolean gang) {

	}

	/** How long a task that lasts works unless it is stopped. */
	static final long FOR_EVER_MS = 1_000_000_000L;

	final String id;

	final boolean bestEffort;

	final List<Step> steps = new ArrayList<>();

	int failures;

	/** Further fields of each step, by its number, each after a comma. */
	final java.util.Map<Integer, String> extras = new java.util.HashMap<>();

	int memMb = 64;

	String pad = "";

	Job(String id, boolean bestEffort) {
		this.id = id;
		this.bestEffort = bestEffort;
	}

	Job step(int count, int cpu, long millis, Integer... after) {
		this.steps.add(new Step(count, cpu, millis, List.of(after), false, false));
		return this;
	}

	Job lasting(int count, int cpu) {
		this.steps.add(new Step(count, cpu, FOR_EVER_MS, List.of(), true, false));
		return this;
	}

	/** The field maxPerServer of each step that lasts, 0 to omit it. */
	int maxPerServer;

	/** The field mayMiss of each step that lasts, 0 to omit it. */
	int mayMiss;

	Job gang(int count, int cpu, long millis) {
		this.steps.add(new Step(count, cpu, millis, List.of(), false, true));
		return this;
	}

	Job lastingGang(int count, int cpu) {
		this.steps.add(new Step(count, cpu, FOR_EVER_MS, List.of(), true, true));
		return this;
	}

	Job with(String fields) {
		this.extras.merge(this.steps.size() - 1, "," + fields, String::concat);
		return this;
	}

	Job failing(int runs) {
		this.failures = runs;
		return this;
	}

	String taskSpec() {
		StringBuilder text = new StringBuilder("f" + this.failures);
		this.steps.forEach((step) -> text.append("/" + step.millis()));
		return text.append(this.pad).toString();
	}

	static long millis(String spec, String task) {
		return Long.parseLong(spec.split("/")[1 + Integer.parseInt(task.split("\\.")[2])]);
	}

	static int failures(String spec) {
		return Integer.parseInt(spec.split("/")[0].substring(1));
	}

	String body() {
		StringBuilder text = new StringBuilder("{\"taskSpec\":\"" + taskSpec() + "\",");
		if (this.bestEffort) {
			text.append("\"bestEffort\":true,");
		}
		text.append("\"steps\":[");
		for (int number = 0; number < this.steps.size(); number++) {
			Step step = this.steps.get(number);
			text.append((number > 0) ? "," : "")
				.append("{\"count\":" + step.count() + ",\"cpu\":" + step.cpu() + ",\"memMb\":" + this.memMb);
			if (step.gang()) {
				text.append(",\"gang\":true");
			}
			if (step.perpetual()) {
				text.append(",\"perpetual\":true")
					.append((this.maxPerServer > 0) ? ",\"maxPerServer\":" + this.maxPerServer : "")
					.append((this.mayMiss > 0) ? ",\"mayMiss\":" + this.mayMiss : "");
			}
			else {
				text.append(",\"estDurationMs\":" + step.millis());
			}
			if (!step.after().isEmpty()) {
				text.append(",\"after\":" + step.after());
			}
			text.append(this.extras.getOrDefault(number, "")).append("}");
		}
		return text.append("]}").toString();
	}

}
