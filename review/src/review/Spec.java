package review;

/**
 * The taskSpec of the clients of a trial: "ms=200 flaky=25" is a task of 200 ms (three
 * quarters to five quarters of it, by its name) of which 25 in a hundred fail once, in the
 * first run that comes to its end, through their own fault.
 */
final class Spec {

	private Spec() {
	}

	private static long field(String spec, String name) {
		for (String word : spec.split(" ")) {
			if (word.startsWith(name + "=")) {
				return Long.parseLong(word.substring(name.length() + 1));
			}
		}
		return 0;
	}

	static long millis(String spec, String task) {
		long mean = field(spec, "ms");
		return mean * 3 / 4 + Math.floorMod(task.hashCode() * 31L, 50) * mean / 100;
	}

	static boolean failsOnce(String spec, String task) {
		return Math.floorMod(task.hashCode() * 131L / 7, 100) < field(spec, "flaky");
	}

}
